/// Listener for callers. Each accepted connection is one session.
#pragma once

#include "line_socket.hpp"

#include <bronzespar/proxy/connection_limits.hpp>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <vector>

namespace bronzespar::serve {

/// \brief Accepts callers' connections and turns their messages into events.
class caller_listener {
public:
  /// \brief Called for each connection that the listener ends for its own
  /// protection, with a name for the log.
  using close_report = std::function<void(std::string_view Event)>;

  caller_listener(boost::asio::io_context &Io, const endpoint &Where,
                  event_sink Sink, client_memory &ClientMemory,
                  std::size_t MaxConnections, close_report OnClose);

  void start();
  void carryOut(const proxy::effects::accept_session &Effect);
  void carryOut(const proxy::effects::refuse_session &Effect);
  void carryOut(const proxy::effects::answer_caller &Effect);
  void carryOut(const proxy::effects::close_session &Effect);
  /// \brief Closes connections that sent no startup message in time, or don't
  /// end a message, or don't read their answers. Call it every SweepInterval.
  void sweep();
  /// \brief Listens no longer, and closes connections without a session.
  void stopAccepting();
  /// \brief Whether no connection is left whose last text may be under way.
  [[nodiscard]] bool isDrained() const noexcept;
  /// \brief Closes a connection at once.
  void cutOff(proxy::session_number Number, std::string_view Event);

  static constexpr duration SweepInterval = std::chrono::seconds(1);

private:
  struct session {
    std::shared_ptr<line_socket> Socket;
    std::uint64_t LastActivity = 0; ///< Order of the last message.
    std::uint32_t SeenProgress = 0; ///< Of the socket, at the last sweep.
    std::uint8_t StalledSweeps = 0; ///< Sweeps without any progress.
    bool Started = false;           ///< The startup message has arrived.
    bool Busy = false;              ///< A statement is unanswered.
    bool InTransaction = false;     ///< As the last answer says.
  };
  /// \brief A connection without a session, whose last text is being sent.
  struct ending_connection {
    std::shared_ptr<line_socket> Socket;
    std::uint8_t Sweeps = 0; ///< Since the start of the last phase.
    bool IsSent = false;     ///< The text was sent, as the last sweep saw.
  };

  void accept();
  void acceptLater();
  /// Closes connections that cost least where the table is full.
  void makeRoom();
  [[nodiscard]] bool isStalled(session &Session) const;
  void sweepEnding();
  void addConnection(boost::asio::ip::tcp::socket Socket);
  bool lineArrived(proxy::session_number Number, std::string_view Line);
  void endSession(proxy::session_number Number);
  void closeSession(proxy::session_number Number, const std::string &FinalText);

  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  event_sink Events;
  client_memory &Memory;
  std::size_t MaxSessions = 0;
  close_report Report;
  std::map<proxy::session_number, session> Sessions;
  std::vector<ending_connection> Ending;
  std::uint64_t LastActivity = 0;
  proxy::session_number LastNumber = 0;
};

} // namespace bronzespar::serve
