/// HTTP server of callers and operators: listens, tells requests apart, and
/// finds the session of each answer.
#include "caller_server.hpp"

#include "caller_session.hpp"
#include "clock.hpp"
#include "listener.hpp"
#include "one_shot.hpp"

#include <bronzespar/wire/caller_codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <unordered_map>
#include <unordered_set>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr duration SweepInterval = 500ms;
/// Pause when no socket can be accepted, as with too many open files.
constexpr duration AcceptPause = 50ms;
constexpr std::string_view ExplainPath = "/v1/explain/";
constexpr const char *MetricsContentType = "text/plain; version=0.0.4";

/// Headers that decide what a request means; each may occur once.
constexpr std::array<std::string_view, 6> SingleHeaders{
    "Authorization",          "Bronzespar-Session",     "Bronzespar-Max-Age-Ms",
    "Bronzespar-Deadline-Ms", "Bronzespar-Transaction", "Idempotency-Key"};

std::string_view view(boost::string_view Text) {
  return {Text.data(), Text.size()};
}

caller_head headOf(const caller_http_request &Request) {
  caller_head Head;
  Head.Path = view(Request.target());
  Head.Authorization = view(Request[http::field::authorization]);
  Head.SessionToken = view(Request["Bronzespar-Session"]);
  Head.MaxAgeMs = view(Request["Bronzespar-Max-Age-Ms"]);
  Head.DeadlineMs = view(Request["Bronzespar-Deadline-Ms"]);
  Head.Transaction = view(Request["Bronzespar-Transaction"]);
  Head.IdempotencyKey = view(Request["Idempotency-Key"]);
  return Head;
}

const char *repeatedHeader(const caller_http_request &Request) {
  for (const std::string_view Name : SingleHeaders)
    if (Request.count({Name.data(), Name.size()}) > 1)
      return Name.data();
  return nullptr;
}

using session_ptr = std::shared_ptr<caller_session>;

} // namespace

struct caller_server::impl : std::enable_shared_from_this<impl> {
  impl(asio::io_context &EventLoop, const caller_limits &Bounds,
       std::string Prefix, caller_outlets Handlers)
      : Loop(EventLoop), Limits(Bounds), IdPrefix(std::move(Prefix)),
        Outlets(std::move(Handlers)), Acceptor(EventLoop),
        AcceptRetry(EventLoop), Sweep(EventLoop), Closing(EventLoop) {
    Owner.Dispatch = [this](const session_ptr &Session,
                            const caller_http_request &Request) {
      dispatch(Session, Request);
    };
    Owner.Gone = [this](caller_session &Session) { callerGone(Session); };
    Owner.Closed = [this](caller_session &Session) { forget(Session); };
  }

  asio::io_context &Loop;
  caller_limits Limits;
  std::string IdPrefix;
  caller_outlets Outlets;
  session_owner Owner;
  tcp::acceptor Acceptor;
  one_shot AcceptRetry;
  one_shot Sweep;
  one_shot Closing;
  std::unordered_map<caller_session *, session_ptr> Sessions;
  std::unordered_map<caller_ref, session_ptr> Served;
  std::uint64_t LastRef = 0;
  bool Ready = false;
  bool Stopping = false;

  bool listen(const endpoint &Where) {
    if (!openListener(Acceptor, Where))
      return false;
    accept();
    sweep();
    return true;
  }

  void accept() {
    Acceptor.async_accept([Self = shared_from_this()](const error_code &Error,
                                                      tcp::socket Socket) {
      if (Self->Stopping)
        return;
      if (Error) {
        Self->AcceptRetry.start(AcceptPause,
                                [Impl = Self.get()] { Impl->accept(); });
        return;
      }
      Self->open(std::move(Socket));
      Self->accept();
    });
  }

  void open(tcp::socket Socket) {
    if (Sessions.size() >= Limits.Connections)
      return; // closes the socket: nothing was read, so nothing was run
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto Session =
        std::make_shared<caller_session>(std::move(Socket), Limits, Owner);
    Sessions.emplace(Session.get(), Session);
    Session->start();
  }

  void sweep() {
    const instant Now = presentInstant();
    const auto Copy = Sessions; // closing erases
    for (const auto &[Key, Session] : Copy)
      Session->closeIfOverdue(Now);
    Sweep.start(SweepInterval, [this] { sweep(); });
  }

  void forget(caller_session &Session) {
    Served.erase(Session.Ref);
    Sessions.erase(&Session);
    if (Stopping && Sessions.empty())
      finishStop();
  }

  void callerGone(caller_session &Session) {
    if (Session.Ref.Value == 0)
      return;
    Outlets.Report(events::caller_disconnected{Session.Ref});
  }

  void dispatch(const session_ptr &Session,
                const caller_http_request &Request) {
    const std::string_view Path = view(Request.target());
    if (const char *Name = repeatedHeader(Request)) {
      refuseBadRequest(*Session, std::string(Name) + " occurs twice");
    } else if (Path.starts_with(RoutesPath)) {
      if (Request.method() == http::verb::post)
        takeStatement(Session, Request);
      else
        refuseMethod(*Session, "POST");
    } else if (Request.method() == http::verb::get) {
      dispatchGet(Session, Path);
    } else {
      refusePath(*Session);
    }
  }

  void dispatchGet(const session_ptr &Session, std::string_view Path) {
    const caller_ref Ref = assignRef(Session);
    if (Path == "/ready")
      answerReady(*Session);
    else if (Path == "/metrics")
      refuseUnless(Outlets.AskMetrics(Ref), *Session);
    else if (Path == "/v1/status")
      refuseUnless(Outlets.Offer(events::status_requested{Ref}), *Session);
    else if (Path.starts_with(ExplainPath))
      refuseUnless(
          Outlets.Offer(events::explain_requested{
              Ref, request_id(std::string(Path.substr(ExplainPath.size())))}),
          *Session);
    else
      refusePath(*Session);
  }

  void takeStatement(const session_ptr &Session,
                     const caller_http_request &Request) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(Decoded,
                          decodeCallerRequest(headOf(Request), Request.body()));
          const caller_ref Ref = assignRef(Session);
          Decoded.Id = request_id(IdPrefix + std::to_string(Ref.Value));
          refuseUnless(
              Outlets.Offer(events::request_arrived{Ref, std::move(Decoded)}),
              *Session);
          return {};
        },
        [&](const wire_fault &Fault) {
          refuseBadRequest(*Session, Fault.Reason);
        },
        [&] { refuseBadRequest(*Session, "the request cannot be read"); });
  }

  caller_ref assignRef(const session_ptr &Session) {
    const caller_ref Ref{++LastRef};
    Session->Ref = Ref;
    Served.emplace(Ref, Session);
    return Ref;
  }

  void refuseUnless(bool Accepted, caller_session &Session) {
    if (!Accepted)
      reply(Session, refusal(503, refusal_cause::QueueFull,
                             "the host has too many requests waiting"));
  }

  void refuseBadRequest(caller_session &Session, const std::string &Reason) {
    Session.reply(refusal(400, refusal_cause::MalformedRequest, Reason), false);
  }

  void refuseMethod(caller_session &Session, const char *Allowed) {
    caller_reply Reply = refusal(405, refusal_cause::MalformedRequest,
                                 "the path does not take this method");
    Reply.Headers.emplace_back("Allow", Allowed);
    Session.reply(std::move(Reply), false);
  }

  void refusePath(caller_session &Session) {
    reply(Session,
          refusal(404, refusal_cause::RouteUnknown, "there is no such path"));
  }

  void answerReady(caller_session &Session) {
    if (Ready)
      reply(Session, {200, "application/json", {}, R"({"ready":true})"});
    else
      reply(Session, refusal(503, refusal_cause::HostLeaving,
                             "the host takes no new sessions"));
  }

  void reply(caller_session &Session, caller_reply Reply) {
    Served.erase(Session.Ref);
    // A host that is not ready sends its callers to others.
    Session.reply(std::move(Reply), Ready && !Stopping);
  }

  void answer(caller_ref Ref, caller_reply Reply) {
    const auto Found = Served.find(Ref);
    if (Found == Served.end())
      return; // the caller went away
    const session_ptr Session = Found->second;
    reply(*Session, std::move(Reply));
  }

  void stop() {
    Stopping = true;
    error_code Ignored;
    Acceptor.close(Ignored);
    const auto Copy = Sessions;
    for (const auto &[Key, Session] : Copy)
      Session->closeIfIdle();
    if (Sessions.empty())
      finishStop();
    else
      Closing.start(Limits.Closing, [this] { finishStop(); });
  }

  void finishStop() {
    Sweep.stop();
    Closing.stop();
    if (const auto Done = std::exchange(Outlets.Stopped, nullptr))
      Done();
  }
};

caller_server::caller_server(asio::io_context &Loop,
                             const caller_limits &Limits, std::string IdPrefix,
                             caller_outlets Outlets)
    : Impl(std::make_shared<impl>(Loop, Limits, std::move(IdPrefix),
                                  std::move(Outlets))) {}

caller_server::~caller_server() {
  Impl->Stopping = true;
  Impl->Outlets.Stopped = nullptr;
  Impl->Sweep.stop();
  Impl->AcceptRetry.stop();
  error_code Ignored;
  Impl->Acceptor.close(Ignored);
  const auto Copy = Impl->Sessions;
  for (const auto &[Key, Session] : Copy)
    Session->close();
}

bool caller_server::listen(const endpoint &Where) {
  return Impl->listen(Where);
}

endpoint caller_server::where() const {
  return listenerAddress(Impl->Acceptor);
}

void caller_server::carryOut(const effects::answer_caller &Effect) {
  const bool IsRefusal = Effect.Answer.Cause != refusal_cause::None;
  Impl->answer(Effect.Caller,
               {httpStatus(Effect.Answer),
                IsRefusal ? "application/problem+json" : "application/json",
                answerHeaders(Effect.Answer),
                encodeCallerAnswer(Effect.Answer)});
}

void caller_server::carryOut(const effects::answer_explain &Effect) {
  if (Effect.Found)
    Impl->answer(Effect.Caller,
                 {200, "application/json", {}, encodeTrace(Effect.Trace)});
  else
    Impl->answer(Effect.Caller, refusal(404, refusal_cause::None,
                                        "no host has this request's trace"));
}

void caller_server::carryOut(const effects::answer_status &Effect) {
  Impl->answer(Effect.Caller, {200, "application/json", {}, Effect.Json});
}

void caller_server::carryOut(const effects::set_ready &Effect) {
  Impl->Ready = Effect.Ready;
}

void caller_server::answerMetrics(caller_ref Caller, const std::string &Text) {
  Impl->answer(Caller, {200, MetricsContentType, {}, Text});
}

void caller_server::stop() { Impl->stop(); }

} // namespace bronzespar
