/// Target connections and status probes.
#include "targets.hpp"

#include <utility>

namespace bronzespar::serve {

namespace {

/// Account name in the startup message of a probe, which serves no account.
constexpr std::string_view ProbeAccount = "-";
/// A target that does not answer a probe within this time is not promoted.
constexpr duration ProbeTimeout = std::chrono::milliseconds(300);

} // namespace

/// \brief A status request to a target, on a separate connection.
struct target_links::probe : std::enable_shared_from_this<probe> {
  probe(boost::asio::io_context &Io, event_sink Sink, std::string TargetName,
        proxy::call_number ProbeCall)
      : Socket(std::make_shared<line_socket>(Io)), Timer(Io),
        Events(std::move(Sink)), Target(std::move(TargetName)),
        Call(ProbeCall) {}

  void start(const proxy::effects::probe_target &Effect) {
    proxy::outgoing_statement StatusQuery;
    StatusQuery.Statement.Kind = proxy::statement_kind::Status;
    Socket->connect(
        Effect.Endpoint,
        platform::formatStartup(Effect.Group, ProbeAccount, Effect.Target) +
            platform::formatQuery(StatusQuery));
    Socket->start(
        [Self = shared_from_this()](std::string_view Line) {
          return Self->lineArrived(Line);
        },
        [Self = shared_from_this()] { Self->finish(std::nullopt); });
    Timer.expires_after(ProbeTimeout);
    Timer.async_wait(
        [Self = shared_from_this()](boost::system::error_code Cancelled) {
          if (!Cancelled)
            Self->finish(std::nullopt);
        });
  }

  bool lineArrived(std::string_view Line) {
    const auto Progress = platform::addAnswerLine(Reader, Line);
    if (Progress == platform::answer_progress::Invalid) {
      finish(std::nullopt);
      return false;
    }
    if (Progress == platform::answer_progress::More)
      return true;
    const platform::answer_reader Complete = std::exchange(Reader, {});
    if (!Complete.HasOutcome)
      return true; // READY line that accepts the connection.
    finish(Complete.Partial.Rows.empty()
               ? std::nullopt
               : platform::parseStatusRow(Complete.Partial.Rows.front()));
    return false;
  }

  void finish(std::optional<proxy::target_status> Status) {
    if (Finished)
      return;
    Finished = true;
    Timer.cancel();
    Socket->close();
    Events(proxy::events::target_probed{Target, Status, Call});
  }

  std::shared_ptr<line_socket> Socket;
  boost::asio::steady_timer Timer;
  event_sink Events;
  std::string Target;
  proxy::call_number Call = 0;
  platform::answer_reader Reader;
  bool Finished = false;
};

target_links::target_links(boost::asio::io_context &Context, event_sink Sink)
    : Io(Context), Events(std::move(Sink)) {}

void target_links::carryOut(const proxy::effects::open_target &Effect) {
  const proxy::connection_number Number = Effect.Connection;
  auto Socket = std::make_shared<line_socket>(Io);
  Links[Number] = {Socket, {}, false};
  Socket->connect(
      Effect.Endpoint,
      platform::formatStartup(Effect.Group, Effect.Account, Effect.Target));
  Socket->start(
      [this, Number](std::string_view Line) {
        return lineArrived(Number, Line);
      },
      [this, Number] { connectionLost(Number); });
}

bool target_links::lineArrived(proxy::connection_number Number,
                               std::string_view Line) {
  const auto Found = Links.find(Number);
  if (Found == Links.end())
    return false;
  link &Link = Found->second;
  const auto Progress = platform::addAnswerLine(Link.Reader, Line);
  if (Progress == platform::answer_progress::Invalid) {
    Link.Socket->close();
    connectionLost(Number);
    return false;
  }
  if (!Link.Ready && Link.Reader.Partial.Code != proxy::answer_code::Complete) {
    const proxy::answer_code Code = Link.Reader.Partial.Code;
    Link.Socket->close();
    Links.erase(Found);
    Events(proxy::events::target_refused{Number, Code});
    return false;
  }
  if (Progress == platform::answer_progress::More)
    return true;
  platform::answer_reader Complete = std::exchange(Link.Reader, {});
  if (!Link.Ready) {
    Link.Ready = true;
    Events(proxy::events::target_ready{Number, Complete.Partial.Position});
  } else if (!Complete.HasOutcome) {
    Link.Socket->close();
    connectionLost(Number);
    return false;
  } else {
    Events(proxy::events::target_answered{Number, std::move(Complete.Partial)});
  }
  return Links.contains(Number);
}

void target_links::connectionLost(proxy::connection_number Number) {
  if (Links.erase(Number) > 0)
    Events(proxy::events::target_lost{Number});
}

void target_links::carryOut(const proxy::effects::send_target &Effect) {
  const auto Found = Links.find(Effect.Connection);
  if (Found == Links.end())
    return;
  std::string Text;
  for (const proxy::outgoing_statement &Statement : Effect.Statements)
    Text += platform::formatQuery(Statement);
  Found->second.Socket->send(Text);
}

void target_links::carryOut(const proxy::effects::close_target &Effect) {
  const auto Found = Links.find(Effect.Connection);
  if (Found == Links.end())
    return;
  Found->second.Socket->close();
  Links.erase(Found);
}

void target_links::carryOut(const proxy::effects::probe_target &Effect) {
  std::make_shared<probe>(Io, Events, Effect.Target, Effect.Call)
      ->start(Effect);
}

} // namespace bronzespar::serve
