/// Connections to targets.
#include "target_links.hpp"

#include "http_connection.hpp"

#include <bronzespar/wire/target_codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <unordered_map>

namespace bronzespar {

namespace {

using namespace std::chrono_literals;

constexpr duration DialTimeout = 1s;
constexpr unsigned StatusOk = 200;

/// The answer, if it is whole and for this request.
std::optional<target_answer> readAnswer(const http_reply &Reply,
                                        const std::string &RequestId) {
  if (Reply.Fault != exchange_fault::None || Reply.Status != StatusOk)
    return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<target_answer>> {
        BOOST_LEAF_AUTO(Answer, decodeJson<target_answer>(Reply.Body));
        if (Answer.Id != RequestId)
          return std::optional<target_answer>{};
        return std::optional<target_answer>(std::move(Answer));
      },
      [] { return std::optional<target_answer>{}; });
}

} // namespace

struct target_links::impl {
  impl(boost::asio::io_context &EventLoop, event_sink Sink)
      : Loop(EventLoop), Report(std::move(Sink)) {}

  boost::asio::io_context &Loop;
  event_sink Report;
  std::unordered_map<connection_ref, std::unique_ptr<http_connection>> Links;

  void end(connection_ref Ref, events::connection_fault Fault) {
    Links.erase(Ref);
    Report(events::target_disconnected{Ref, Fault});
  }

  void finish(connection_ref Ref, const std::string &RequestId,
              const http_reply &Reply) {
    auto Answer = readAnswer(Reply, RequestId);
    if (!Answer) {
      const bool IsClosed = Reply.Fault == exchange_fault::Closed ||
                            Reply.Fault == exchange_fault::TimedOut;
      end(Ref, IsClosed ? events::connection_fault::Closed
                        : events::connection_fault::AnswerInvalid);
      return;
    }
    const bool StaysOpen = Links.at(Ref)->isIdle();
    Report(events::target_answered{Ref, std::move(*Answer)});
    if (!StaysOpen)
      end(Ref, events::connection_fault::Closed);
  }
};

target_links::target_links(boost::asio::io_context &Loop, event_sink Report)
    : Impl(std::make_unique<impl>(Loop, std::move(Report))) {}

target_links::~target_links() = default;

void target_links::carryOut(const effects::open_connection &Effect) {
  const connection_ref Ref = Effect.Connection;
  auto &Link = Impl->Links[Ref];
  Link = std::make_unique<http_connection>(Impl->Loop, Effect.Endpoint);
  Link->watchIdle([Impl = Impl.get(), Ref] {
    Impl->end(Ref, events::connection_fault::Closed);
  });
  Link->dial(DialTimeout, [Impl = Impl.get(), Ref](bool Connected) {
    if (Connected)
      Impl->Report(events::target_connected{Ref});
    else
      Impl->end(Ref, events::connection_fault::ConnectFailed);
  });
}

void target_links::carryOut(const effects::send_statement &Effect) {
  const connection_ref Ref = Effect.Connection;
  const auto Link = Impl->Links.find(Ref);
  // Ended already: that event is on its way to the decisions.
  if (Link == Impl->Links.end() || !Link->second->isIdle())
    return;
  Link->second->exchange(
      {"/statement", encodeJson(Effect.Request)}, std::nullopt,
      [Impl = Impl.get(), Ref, Id = Effect.Request.Id](
          const http_reply &Reply) { Impl->finish(Ref, Id, Reply); });
}

void target_links::carryOut(const effects::close_connection &Effect) {
  Impl->Links.erase(Effect.Connection);
}

} // namespace bronzespar
