/// Links to peers.
#include "peer_links.hpp"

#include "accepted_link.hpp"
#include "dialled_link.hpp"
#include "listener.hpp"
#include "one_shot.hpp"

#include <unordered_map>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr duration AcceptPause = 50ms;
constexpr std::size_t MaxAcceptedLinks = 2048;

} // namespace

struct peer_links::impl {
  impl(asio::io_context &EventLoop, const host_settings &Host,
       std::uint64_t Start, event_sink Sink, log_sink Logger)
      : Loop(EventLoop), Self(Host), Incarnation(Start),
        Report(std::move(Sink)), Log(std::move(Logger)), Acceptor(EventLoop),
        AcceptRetry(EventLoop) {
    Handlers.Opened = [this](accepted_link &Link) { replaceOlder(Link); };
    Handlers.Message = [this](accepted_link &Link, peer_message &&Message) {
      Report(events::peer_message_arrived{Link.peer(), std::move(Message)});
    };
    Handlers.Ended = [this](accepted_link &Link, const std::string &Reason) {
      forget(Link, Reason);
    };
  }

  asio::io_context &Loop;
  host_settings Self;
  std::uint64_t Incarnation;
  event_sink Report;
  log_sink Log;
  tcp::acceptor Acceptor;
  one_shot AcceptRetry;
  accepted_link::handlers Handlers;
  std::unordered_map<host_id, std::unique_ptr<dialled_link>> Dialled;
  std::unordered_map<accepted_link *, std::shared_ptr<accepted_link>> Accepted;

  bool listen(const endpoint &Where) {
    if (!openListener(Acceptor, Where))
      return false;
    accept();
    return true;
  }

  void accept() {
    Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return; // destroyed
      if (Error) {
        AcceptRetry.start(AcceptPause, [this] { accept(); });
        return;
      }
      if (Accepted.size() < MaxAcceptedLinks)
        open(std::move(Socket));
      accept();
    });
  }

  void open(tcp::socket Socket) {
    auto Link = std::make_shared<accepted_link>(std::move(Socket), Self.PeerKey,
                                                Self.Id, Handlers);
    Accepted.emplace(Link.get(), Link);
    Link->start();
  }

  /// A peer that dials again has given up its older link.
  void replaceOlder(accepted_link &Newer) {
    for (auto Place = Accepted.begin(); Place != Accepted.end();) {
      accepted_link &Link = *Place->second;
      const bool IsOlder = &Link != &Newer && Link.peer() == Newer.peer();
      if (IsOlder)
        Link.close();
      Place = IsOlder ? Accepted.erase(Place) : std::next(Place);
    }
  }

  void forget(accepted_link &Link, const std::string &Reason) {
    if (!Reason.empty()) {
      Log({effects::log_severity::Warning,
           "peer link refused",
           {{"peer", Link.peer().Value}, {"reason", Reason}}});
    }
    Accepted.erase(&Link);
  }
};

peer_links::peer_links(asio::io_context &Loop, const host_settings &Self,
                       std::uint64_t Incarnation, event_sink Report,
                       log_sink Log)
    : Impl(std::make_unique<impl>(Loop, Self, Incarnation, std::move(Report),
                                  std::move(Log))) {}

peer_links::~peer_links() {
  for (const auto &[Key, Link] : Impl->Accepted)
    Link->close();
}

bool peer_links::listen(const endpoint &Where) { return Impl->listen(Where); }

endpoint peer_links::where() const { return listenerAddress(Impl->Acceptor); }

void peer_links::carryOut(const effects::connect_peer &Effect) {
  auto &Link = Impl->Dialled[Effect.Host];
  if (Link && Link->where() == Effect.Endpoint)
    return;
  dialled_link_settings Settings;
  Settings.Hello = {Impl->Self.Id, Impl->Self.DataCentre, Impl->Incarnation,
                    Effect.Host};
  Settings.Where = Effect.Endpoint;
  Settings.PeerKey = Impl->Self.PeerKey;
  Link = std::make_unique<dialled_link>(Impl->Loop, std::move(Settings),
                                        Impl->Report);
}

void peer_links::carryOut(const effects::disconnect_peer &Effect) {
  Impl->Dialled.erase(Effect.Host);
}

void peer_links::carryOut(const effects::send_peer_message &Effect) {
  const auto Link = Impl->Dialled.find(Effect.Host);
  if (Link != Impl->Dialled.end())
    Link->second->send(Effect.Message);
}

} // namespace bronzespar
