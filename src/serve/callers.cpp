/// Sessions of callers' connections.
#include "callers.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::serve {

namespace {

using boost::asio::ip::tcp;

/// Sweeps, one a second, after which a connection is closed that has sent no
/// startup message, because it would hold a file descriptor without any use.
constexpr std::uint8_t MaxUnstartedSweeps = 10;
/// The same for one that ends no message and reads no answer meanwhile.
constexpr std::uint8_t MaxStalledSweeps = 60;
/// The same for the last text of a connection whose session has ended.
constexpr std::uint8_t MaxEndingSweeps = 10;
/// The same once that text was sent, if the other end does not close.
constexpr std::uint8_t MaxUnclosedSweeps = 2;
/// Delay before the next connection is accepted when none could be, for want of
/// a descriptor.
constexpr duration AcceptDelay = std::chrono::milliseconds(100);
/// Part of the table that is cleared at once, because choosing reads all of it.
constexpr std::size_t RoomPart = 32;
/// A statement is held as text, as a request and as a message to the target.
constexpr std::size_t CopiesOfLine = 2;

proxy::connection_use useOf(bool Started, bool Busy, bool InTransaction) {
  if (Busy)
    return proxy::connection_use::Busy;
  if (!Started)
    return proxy::connection_use::Unstarted;
  return InTransaction ? proxy::connection_use::InTransaction
                       : proxy::connection_use::Idle;
}

} // namespace

caller_listener::caller_listener(boost::asio::io_context &Io,
                                 const endpoint &Where, event_sink Sink,
                                 client_memory &ClientMemory,
                                 std::size_t MaxConnections,
                                 close_report OnClose)
    : Acceptor(Io, toAsio(Where), true), AcceptTimer(Io),
      Events(std::move(Sink)), Memory(ClientMemory),
      MaxSessions(MaxConnections), Report(std::move(OnClose)) {}

void caller_listener::start() { accept(); }

void caller_listener::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (Failed) {
          acceptLater();
          return;
        }
        addConnection(std::move(Socket));
        makeRoom();
        if (Sessions.size() + Ending.size() > MaxSessions)
          acceptLater();
        else
          accept();
      });
}

void caller_listener::acceptLater() {
  AcceptTimer.expires_after(AcceptDelay);
  AcceptTimer.async_wait([this](boost::system::error_code Cancelled) {
    if (Cancelled)
      return;
    makeRoom();
    if (Sessions.size() + Ending.size() > MaxSessions)
      acceptLater();
    else
      accept();
  });
}

void caller_listener::makeRoom() {
  if (Sessions.size() + Ending.size() < MaxSessions)
    return;
  std::erase_if(Ending, [](const ending_connection &Each) {
    if (Each.Socket->isDiscarding())
      Each.Socket->close();
    return Each.Socket->isClosed();
  });
  std::vector<proxy::connection_candidate> Candidates;
  for (const auto &[Number, Each] : Sessions)
    if (Number != LastNumber)
      Candidates.push_back({Number,
                            useOf(Each.Started, Each.Busy, Each.InTransaction),
                            Each.LastActivity});
  for (const proxy::session_number Number :
       proxy::chooseEvicted(std::move(Candidates), 1 + MaxSessions / RoomPart))
    cutOff(Number, "caller.evicted");
}

void caller_listener::cutOff(proxy::session_number Number,
                             std::string_view Event) {
  Report(Event);
  endSession(Number);
}

void caller_listener::addConnection(tcp::socket Socket) {
  const proxy::session_number Number = ++LastNumber;
  auto Connection = std::make_shared<line_socket>(std::move(Socket));
  Connection->countAsClient(Memory, {proxy::client_kind::Caller, Number});
  session &Added = Sessions[Number];
  Added.Socket = Connection;
  Added.LastActivity = ++LastActivity;
  Connection->start(
      [this, Number](std::string_view Text) {
        return lineArrived(Number, Text);
      },
      [this, Number] { endSession(Number); });
}

bool caller_listener::lineArrived(proxy::session_number Number,
                                  std::string_view Line) {
  const auto Found = Sessions.find(Number);
  if (Found == Sessions.end())
    return false;
  using platform::caller_message_kind;
  platform::caller_message Message = platform::parseCallerLine(Line);
  const bool IsStartup = Message.Kind == caller_message_kind::Startup;
  if (Message.Kind == caller_message_kind::Terminate) {
    endSession(Number);
    return false;
  }
  if (Message.Kind == caller_message_kind::Invalid ||
      IsStartup == Found->second.Started) {
    const bool Started = Found->second.Started;
    closeSession(Number, platform::formatRefusal(proxy::answer_code::Malformed,
                                                 "no such message here"));
    if (Started)
      Events(proxy::events::session_closed{Number});
    return false;
  }
  session &Session = Found->second;
  // The next line waits for the answer to this one.
  Session.Socket->pause(CopiesOfLine * Line.size());
  Session.Busy = true;
  Session.LastActivity = ++LastActivity;
  if (IsStartup) {
    Session.Started = true;
    Events(proxy::events::session_opened{Number, std::move(Message.Database),
                                         std::move(Message.Credential)});
  } else {
    Events(proxy::events::statement_arrived{Number, std::move(Message.Id),
                                            std::move(Message.Statement)});
  }
  return Sessions.contains(Number);
}

void caller_listener::endSession(proxy::session_number Number) {
  const auto Found = Sessions.find(Number);
  if (Found == Sessions.end())
    return;
  const bool Started = Found->second.Started;
  Found->second.Socket->close();
  Sessions.erase(Found);
  if (Started)
    Events(proxy::events::session_closed{Number});
}

void caller_listener::closeSession(proxy::session_number Number,
                                   const std::string &FinalText) {
  const auto Found = Sessions.find(Number);
  if (Found == Sessions.end())
    return;
  const std::shared_ptr<line_socket> Socket = Found->second.Socket;
  Sessions.erase(Found);
  if (!FinalText.empty())
    Socket->send(FinalText);
  Ending.push_back({Socket});
  Socket->closeAfterSending();
  if (Socket->isClosed())
    Ending.pop_back();
}

void caller_listener::carryOut(const proxy::effects::accept_session &Effect) {
  const auto Found = Sessions.find(Effect.Session);
  if (Found == Sessions.end())
    return;
  Found->second.Busy = false;
  const std::shared_ptr<line_socket> Socket = Found->second.Socket;
  Socket->send(platform::formatWelcome());
  Socket->resume();
}

void caller_listener::carryOut(const proxy::effects::refuse_session &Effect) {
  closeSession(Effect.Session,
               platform::formatRefusal(Effect.Code, Effect.Text));
}

void caller_listener::carryOut(const proxy::effects::answer_caller &Effect) {
  const auto Found = Sessions.find(Effect.Session);
  if (Found == Sessions.end())
    return;
  Found->second.Busy = false;
  Found->second.InTransaction =
      Effect.Answer.Phase == proxy::session_phase::InTransaction;
  // Sending or resuming may end the session.
  const std::shared_ptr<line_socket> Socket = Found->second.Socket;
  Socket->send(platform::formatAnswer(Effect.Answer));
  Socket->resume();
}

void caller_listener::carryOut(const proxy::effects::close_session &Effect) {
  // A statement that has just arrived is refused before its connection closes.
  const auto Found = Sessions.find(Effect.Session);
  if (Found != Sessions.end() && Found->second.Busy)
    return;
  closeSession(Effect.Session, {});
}

bool caller_listener::isStalled(session &Session) const {
  const std::uint32_t Progress = Session.Socket->progress();
  const bool Waits = !Session.Started || Session.Socket->isOutOfStep();
  if (!Waits || Progress != Session.SeenProgress)
    Session.StalledSweeps = 0;
  else
    Session.StalledSweeps += 1;
  Session.SeenProgress = Progress;
  return Session.StalledSweeps >=
         (Session.Started ? MaxStalledSweeps : MaxUnstartedSweeps);
}

void caller_listener::sweep() {
  std::vector<std::pair<proxy::session_number, bool>> Stalled;
  for (auto &[Number, Session] : Sessions)
    if (isStalled(Session))
      Stalled.emplace_back(Number, Session.Started);
  for (const auto &[Number, Started] : Stalled)
    cutOff(Number, Started ? "caller.stalled" : "caller.unstarted");
  sweepEnding();
}

void caller_listener::sweepEnding() {
  std::erase_if(Ending, [](ending_connection &Each) {
    if (Each.Socket->isDiscarding() && !std::exchange(Each.IsSent, true))
      Each.Sweeps = 0;
    Each.Sweeps += 1;
    if (Each.Sweeps >= (Each.IsSent ? MaxUnclosedSweeps : MaxEndingSweeps))
      Each.Socket->close();
    return Each.Socket->isClosed();
  });
}

void caller_listener::stopAccepting() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  AcceptTimer.cancel();
  std::vector<proxy::session_number> Unused;
  for (const auto &[Number, Session] : Sessions)
    if (!Session.Started)
      Unused.push_back(Number);
  for (const proxy::session_number Number : Unused)
    closeSession(Number, {});
}

bool caller_listener::isDrained() const noexcept {
  return Sessions.empty() && std::all_of(Ending.begin(), Ending.end(),
                                         [](const ending_connection &Each) {
                                           return Each.Socket->isClosed();
                                         });
}

} // namespace bronzespar::serve
