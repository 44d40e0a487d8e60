/// Members' maintenance ports.
#include "member_watch.hpp"

#include "http_connection.hpp"
#include "one_shot.hpp"

#include <bronzespar/wire/target_codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <list>
#include <unordered_map>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr std::uint32_t LongPollMs = 100;
/// From sending a report request to its whole answer; above LongPollMs.
constexpr duration ReportTimeout = 300ms;
constexpr duration ReportDialTimeout = 200ms;
/// Pause before an unreachable member is asked again.
constexpr duration RetryPause = 100ms;
constexpr duration ControlTimeout = 500ms;
constexpr unsigned StatusOk = 200;

template <class Message>
std::optional<Message> readReply(const http_reply &Reply) {
  if (Reply.Fault != exchange_fault::None || Reply.Status != StatusOk)
    return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Message>> {
        BOOST_LEAF_AUTO(Decoded, decodeJson<Message>(Reply.Body));
        return std::optional<Message>(std::move(Decoded));
      },
      [] { return std::optional<Message>{}; });
}

/// Polls one member for as long as it lives.
class report_poll {
public:
  report_poll(asio::io_context &EventLoop, const effects::watch_member &Effect,
              const event_sink &Sink)
      : Loop(EventLoop), Watch(Effect), Report(Sink), Pause(EventLoop) {
    dialAndAsk();
  }

  [[nodiscard]] const endpoint &where() const noexcept {
    return Watch.Endpoint;
  }

private:
  void dialAndAsk() {
    Link = std::make_unique<http_connection>(Loop, Watch.Endpoint);
    Fresh = true;
    Link->dial(ReportDialTimeout, [this](bool Connected) {
      if (Connected)
        ask();
      else
        fail();
    });
  }

  void ask() {
    const report_request Request{Known.Term, Known.Position, LongPollMs};
    Link->exchange({"/report", encodeJson(Request)}, ReportTimeout,
                   [this](const http_reply &Reply) { take(Reply); });
  }

  void take(const http_reply &Reply) {
    auto Answer = readReply<member_report>(Reply);
    if (!Answer || Answer->Target != Watch.Target.Value) {
      retryOrFail();
      return;
    }
    Known = std::move(*Answer);
    Fresh = false;
    Report(events::member_reported{Watch.Target, Known, Reply.SentAt});
    if (Link->isIdle())
      ask();
    else
      dialAndAsk();
  }

  /// Only a fresh connection's failure tells something about the member.
  void retryOrFail() {
    if (Fresh)
      fail();
    else
      dialAndAsk();
  }

  void fail() {
    Link.reset();
    Known = {};
    Report(events::member_unreachable{Watch.Target});
    Pause.start(RetryPause, [this] { dialAndAsk(); });
  }

  asio::io_context &Loop;
  effects::watch_member Watch;
  const event_sink &Report;
  one_shot Pause;
  std::unique_ptr<http_connection> Link;
  bool Fresh = true; ///< No answer has come on Link yet.
  member_report Known;
};

/// One control command on a connection of its own.
struct control_call {
  control_call(asio::io_context &Loop,
               const effects::send_control_command &Command)
      : Link(Loop, Command.Endpoint), Effect(Command) {}

  http_connection Link;
  effects::send_control_command Effect;
};

} // namespace

struct member_watch::impl {
  impl(asio::io_context &EventLoop, event_sink Sink)
      : Loop(EventLoop), Report(std::move(Sink)) {}

  asio::io_context &Loop;
  event_sink Report;
  std::unordered_map<target_id, std::unique_ptr<report_poll>> Polls;
  std::list<control_call> Calls;

  using call_place = std::list<control_call>::iterator;

  void finish(call_place Call, std::optional<control_answer> Answer) {
    events::control_command_finished Event;
    Event.Target = Call->Effect.Target;
    Event.Request = Call->Effect.Request;
    Event.Answered = Answer.has_value();
    if (Answer)
      Event.Answer = std::move(*Answer);
    Calls.erase(Call);
    Report(std::move(Event));
  }

  void send(call_place Call) {
    Call->Link.exchange({"/control", encodeJson(Call->Effect.Request)},
                        ControlTimeout, [this, Call](const http_reply &Reply) {
                          finish(Call, readReply<control_answer>(Reply));
                        });
  }
};

member_watch::member_watch(asio::io_context &Loop, event_sink Report)
    : Impl(std::make_unique<impl>(Loop, std::move(Report))) {}

member_watch::~member_watch() = default;

void member_watch::carryOut(const effects::watch_member &Effect) {
  auto &Poll = Impl->Polls[Effect.Target];
  if (!Poll || Poll->where() != Effect.Endpoint)
    Poll = std::make_unique<report_poll>(Impl->Loop, Effect, Impl->Report);
}

void member_watch::carryOut(const effects::unwatch_member &Effect) {
  Impl->Polls.erase(Effect.Target);
}

void member_watch::carryOut(const effects::send_control_command &Effect) {
  Impl->Calls.emplace_back(Impl->Loop, Effect);
  const auto Call = std::prev(Impl->Calls.end());
  Call->Link.dial(ControlTimeout, [Impl = Impl.get(), Call](bool Connected) {
    if (Connected)
      Impl->send(Call);
    else
      Impl->finish(Call, std::nullopt);
  });
}

} // namespace bronzespar
