/// FlatBuffers between session hosts.
#include "peer_links.hpp"

#include "frame_socket.hpp"

#include <session_peer_generated.h>

#include <utility>

namespace bronzespar::serve {

namespace wire = session_wire;
using boost::asio::ip::tcp;

namespace {

/// Added to a relayed call's own limit: the way to the peer and back.
constexpr duration RelaySlack = std::chrono::milliseconds(100);

template <class Build> std::string frameOf(wire::SessionBody Kind, Build Body) {
  flatbuffers::FlatBufferBuilder Builder;
  const auto Offset = Body(Builder).Union();
  Builder.Finish(wire::CreateSessionFrame(Builder, Kind, Offset));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

std::string textOf(const flatbuffers::String *Text) {
  return Text == nullptr ? std::string() : Text->str();
}

} // namespace

struct peer_links::frame_socket : serve::frame_socket {
  using serve::frame_socket::frame_socket;
};

peer_links::peer_links(boost::asio::io_context &Context, const endpoint &Where,
                       event_sink Sink, relay_handler Handler)
    : Io(Context), Acceptor(Context, toAsio(Where), true),
      Events(std::move(Sink)), Relay(std::move(Handler)) {}

peer_links::~peer_links() = default;

void peer_links::start() { accept(); }

void peer_links::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Failed) {
          const std::string Name = '#' + std::to_string(++LastNumber);
          auto Link = std::make_shared<frame_socket>(
              std::move(Socket),
              [this, Name](const std::string &Frame) {
                frameArrived(Name, Frame);
              },
              [this, Name] { ended(Name); });
          Sockets[Name] = Link;
          Link->start();
        }
        accept();
      });
}

peer_links::frame_socket &peer_links::dialled(const endpoint &Where) {
  const std::string Name = toText(Where);
  std::shared_ptr<frame_socket> &Link = Sockets[Name];
  if (!Link) {
    Link = std::make_shared<frame_socket>(
        tcp::socket(Io),
        [this, Name](const std::string &Frame) { frameArrived(Name, Frame); },
        [this, Name] { ended(Name); });
    Link->connect(Where);
  }
  return *Link;
}

void peer_links::frameArrived(const std::string &Name,
                              const std::string &Frame) {
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Frame.data());
  flatbuffers::Verifier Verifier(Bytes, Frame.size());
  if (!wire::VerifySessionFrameBuffer(Verifier))
    return;
  const auto *Message = wire::GetSessionFrame(Bytes);
  if (const auto *Ask = Message->body_as_TokenAsk()) {
    Events(proxy::events::tokens_asked{
        Name, {textOf(Ask->account()), Ask->tokens()}});
  } else if (const auto *Grant = Message->body_as_TokenGrant()) {
    Events(proxy::events::tokens_granted{
        Name, {textOf(Grant->account()), Grant->tokens()}});
  } else if (const auto *Call = Message->body_as_RelayCall()) {
    relayAsked(Name, Call->number(),
               {textOf(Call->method()),
                textOf(Call->path()),
                textOf(Call->body()),
                {},
                duration(Call->limit_us())});
  } else if (const auto *Answer = Message->body_as_RelayAnswer()) {
    relayAnswered(Answer->number(), {{Answer->status(), textOf(Answer->body())},
                                     true,
                                     Answer->turned_away()});
  }
}

void peer_links::relayAsked(const std::string &Name, std::uint64_t Number,
                            platform::http_call Call) {
  Relay(std::move(Call), [this, Name, Number](const relay_answer &Done) {
    const auto Found = Sockets.find(Name);
    if (Found == Sockets.end())
      return;
    Found->second->send(
        frameOf(wire::SessionBody_RelayAnswer,
                [&](flatbuffers::FlatBufferBuilder &Builder) {
                  const auto Body = Builder.CreateString(Done.Answer.Body);
                  return wire::CreateRelayAnswer(Builder, Number,
                                                 Done.Answer.Status, Body,
                                                 Done.PeerTurnedAway);
                }));
  });
}

void peer_links::relayAnswered(std::uint64_t Number, relay_answer Answer) {
  const auto Found = Relays.find(Number);
  if (Found == Relays.end())
    return;
  const relay_callback Callback = std::move(Found->second.Callback);
  Relays.erase(Found);
  Callback(std::move(Answer));
}

void peer_links::ended(const std::string &Name) {
  Sockets.erase(Name);
  std::vector<std::uint64_t> Lost;
  for (const auto &[Number, Pending] : Relays)
    if (Pending.Peer == Name)
      Lost.push_back(Number);
  for (const std::uint64_t Number : Lost)
    relayAnswered(Number, {});
}

void peer_links::dropOverdue(instant Now) {
  std::vector<std::uint64_t> Overdue;
  for (const auto &[Number, Pending] : Relays)
    if (Now > Pending.Deadline)
      Overdue.push_back(Number);
  for (const std::uint64_t Number : Overdue) {
    const auto Found = Relays.find(Number);
    if (Found == Relays.end())
      continue;
    // A peer that is silent may have lost track of the connection.
    const std::string Peer = Found->second.Peer;
    if (const auto Link = Sockets.find(Peer); Link != Sockets.end())
      Link->second->close();
    ended(Peer);
  }
}

void peer_links::relay(const endpoint &Peer, const platform::http_call &Call,
                       relay_callback Callback) {
  const std::uint64_t Number = ++LastNumber;
  Relays[Number] = {toText(Peer), bootNow() + Call.Limit + RelaySlack,
                    std::move(Callback)};
  dialled(Peer).send(
      frameOf(wire::SessionBody_RelayCall,
              [&](flatbuffers::FlatBufferBuilder &Builder) {
                const auto Method = Builder.CreateString(Call.Method);
                const auto Path = Builder.CreateString(Call.Path);
                const auto Body = Builder.CreateString(Call.Body);
                return wire::CreateRelayCall(Builder, Number, Method, Path,
                                             Body, Call.Limit.count());
              }));
}

void peer_links::carryOut(const proxy::effects::ask_tokens &Effect) {
  dialled(Effect.Host)
      .send(frameOf(wire::SessionBody_TokenAsk,
                    [&](flatbuffers::FlatBufferBuilder &Builder) {
                      const auto Account =
                          Builder.CreateString(Effect.Wanted.Account);
                      return wire::CreateTokenAsk(Builder, Account,
                                                  Effect.Wanted.Tokens);
                    }));
}

void peer_links::carryOut(const proxy::effects::grant_tokens &Effect) {
  const auto Found = Sockets.find(Effect.Host);
  if (Found == Sockets.end())
    return;
  Found->second->send(frameOf(wire::SessionBody_TokenGrant,
                              [&](flatbuffers::FlatBufferBuilder &Builder) {
                                const auto Account = Builder.CreateString(
                                    Effect.Granted.Account);
                                return wire::CreateTokenGrant(
                                    Builder, Account, Effect.Granted.Tokens);
                              }));
}

} // namespace bronzespar::serve
