/// Listener for callers. Each accepted connection is one session.
#pragma once

#include "line_socket.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace bronzespar::serve {

/// \brief Accepts callers' connections and turns their messages into events.
class caller_listener {
public:
  caller_listener(boost::asio::io_context &Io, const endpoint &Where,
                  event_sink Sink);

  void start();
  void carryOut(const proxy::effects::accept_session &Effect);
  void carryOut(const proxy::effects::refuse_session &Effect);
  void carryOut(const proxy::effects::answer_caller &Effect);
  void carryOut(const proxy::effects::close_session &Effect);
  /// \brief Closes connections that sent no startup message in time.
  void closeUnstarted(instant Now);

private:
  struct session {
    std::shared_ptr<line_socket> Socket;
    instant OpenedAt{};
    bool Started = false; ///< The startup message has arrived.
  };

  void accept();
  void addConnection(boost::asio::ip::tcp::socket Socket);
  bool lineArrived(proxy::session_number Number, std::string_view Line);
  void endSession(proxy::session_number Number);
  void closeSession(proxy::session_number Number, const std::string &FinalText);

  boost::asio::ip::tcp::acceptor Acceptor;
  event_sink Events;
  std::map<proxy::session_number, session> Sessions;
  proxy::session_number LastNumber = 0;
};

} // namespace bronzespar::serve
