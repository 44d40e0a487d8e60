/// Sessions of callers' connections.
#include "callers.hpp"

#include <utility>

namespace bronzespar::serve {

namespace {

using boost::asio::ip::tcp;

/// A connection without a startup message within this time is closed, because
/// it would hold a file descriptor without any use.
constexpr duration StartupTimeout = std::chrono::seconds(10);

} // namespace

caller_listener::caller_listener(boost::asio::io_context &Io,
                                 const endpoint &Where, event_sink Sink)
    : Acceptor(Io, toAsio(Where), true), Events(std::move(Sink)) {}

void caller_listener::start() { accept(); }

void caller_listener::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Failed)
          addConnection(std::move(Socket));
        accept();
      });
}

void caller_listener::addConnection(tcp::socket Socket) {
  const proxy::session_number Number = ++LastNumber;
  auto Connection = std::make_shared<line_socket>(std::move(Socket));
  Sessions[Number] = {Connection, bootNow(), false};
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
  if (IsStartup) {
    Found->second.Started = true;
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
  Socket->closeAfterSending();
}

void caller_listener::carryOut(const proxy::effects::accept_session &Effect) {
  const auto Found = Sessions.find(Effect.Session);
  if (Found != Sessions.end())
    Found->second.Socket->send(platform::formatWelcome());
}

void caller_listener::carryOut(const proxy::effects::refuse_session &Effect) {
  closeSession(Effect.Session,
               platform::formatRefusal(Effect.Code, Effect.Text));
}

void caller_listener::carryOut(const proxy::effects::answer_caller &Effect) {
  const auto Found = Sessions.find(Effect.Session);
  if (Found != Sessions.end())
    Found->second.Socket->send(platform::formatAnswer(Effect.Answer));
}

void caller_listener::carryOut(const proxy::effects::close_session &Effect) {
  closeSession(Effect.Session, {});
}

void caller_listener::closeUnstarted(instant Now) {
  std::vector<proxy::session_number> Unstarted;
  for (const auto &[Number, Session] : Sessions)
    if (!Session.Started && Now > Session.OpenedAt + StartupTimeout)
      Unstarted.push_back(Number);
  for (const proxy::session_number Number : Unstarted)
    closeSession(Number, {});
}

} // namespace bronzespar::serve
