/// Connections between session hosts. They carry token transfers, statements
/// for connection owners, votes of electors, and relayed calls to the platform.
#pragma once

#include "client_memory.hpp"
#include "relay_table.hpp"
#include "wiring.hpp"

#include <boost/asio/steady_timer.hpp>
#include <bronzespar/proxy/link_watch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bronzespar::session_wire {
struct ForwardAsk;
}

namespace bronzespar::serve {

/// Makes a call on a peer's behalf; answers through the callback.
using relay_handler = std::function<void(platform::http_call, relay_callback)>;
/// \brief Called with the name of a connection and the size of a frame on it
/// that is not valid, before the connection is closed.
using invalid_frame_handler =
    std::function<void(const std::string &Link, std::size_t Bytes)>;

/// \brief Keeps the connections to peers and translates frames to events.
class peer_links {
public:
  peer_links(boost::asio::io_context &Context, const endpoint &Where,
             event_sink Sink, relay_handler Handler,
             invalid_frame_handler OnInvalidFrame);
  ~peer_links();
  peer_links(const peer_links &) = delete;
  peer_links &operator=(const peer_links &) = delete;

  /// \brief Limits the accepted connections that have sent no valid frame.
  void limitUnproven(client_memory &ClientMemory, std::size_t MaxConnections,
                     std::function<void(std::string_view Event)> OnClose);
  /// \brief Closes those that stay without one. Call it once a second.
  void sweepUnproven();
  /// \brief Closes an accepted connection.
  void cutOff(std::uint64_t Number, std::string_view Event);
  void start();
  void carryOut(const proxy::effects::request_tokens &Effect);
  void carryOut(const proxy::effects::grant_tokens &Effect);
  void carryOut(const proxy::effects::request_vote &Effect);
  void carryOut(const proxy::effects::send_vote &Effect);
  void carryOut(const proxy::effects::request_position &Effect);
  void carryOut(const proxy::effects::send_position &Effect);
  void carryOut(const proxy::effects::forward &Effect);
  void carryOut(const proxy::effects::end_forward &Effect);
  void carryOut(const proxy::effects::answer_forward &Effect);
  void carryOut(const proxy::effects::report_pending &Effect);
  void carryOut(const proxy::effects::announce_stop &Effect);
  void carryOut(const proxy::effects::check_peer &Effect);
  void carryOut(const proxy::effects::drop_peer &Effect);
  /// \brief Sends a call through a peer; Callback runs once.
  void relay(const endpoint &Peer, const platform::http_call &Call,
             relay_callback Callback);
  /// \brief Checks connections that are silent, closes those that were
  /// replaced, and expires relays.
  void supervise(instant Now);
  /// \brief Fails relayed calls whose peer did not answer before the deadline.
  void expireRelays(instant Now);
  /// \brief Fails relayed watches that are not answered yet, so that they are
  /// sent anew.
  void abandonWatches();

private:
  struct frame_socket;
  /// A connection that was replaced, as it was silent. Answers that are only
  /// late may still arrive on it.
  struct retired_link {
    std::shared_ptr<frame_socket> Socket;
    std::uint64_t ReceivedBytes = 0; ///< When it was replaced.
    instant CloseAt{};
    bool IsProlonged = false; ///< Something has arrived on it since.
  };

  void accept();
  std::shared_ptr<frame_socket> makeSocket(boost::asio::ip::tcp::socket Socket,
                                           std::string Name);
  frame_socket &findOrDial(const endpoint &Where);
  /// The connection that carries a forwarded statement: the one on which its
  /// transaction began, or else the usual one.
  frame_socket &linkOf(const endpoint &Owner, std::uint64_t Ticket);
  /// Finds or dials a connection for a request that the peer answers at once.
  frame_socket &linkForRequest(const endpoint &Where);
  void frameArrived(const std::string &Name, const std::string &Frame);
  void checkLink(const std::string &Name, const endpoint &Where);
  void checkAnswered(const std::string &Name, std::uint64_t Number);
  void replaceLink(const std::string &Name);
  void closeCheck(const std::string &Name);
  void closeRetired(const std::string &Name);
  void superviseChecks(instant Now);
  void superviseRetired(instant Now);
  /// Refuses a statement of a host that speaks another forward protocol.
  void forwardArrived(const std::string &Name,
                      const session_wire::ForwardAsk &Ask);
  void relayRequested(const std::string &Name, std::uint64_t Number,
                      platform::http_call Call);
  void connectionEnded(const std::string &Name);
  void closeLink(const std::string &Name);
  void addUnproven(frame_socket &Link);
  /// Ends the limits of a connection that has sent a valid frame.
  void prove(const std::string &Name);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  event_sink Events;
  relay_handler RelayHandler;
  invalid_frame_handler InvalidFrame;
  /// Keyed by "address:port" when dialled, by "#number" when accepted.
  std::map<std::string, std::shared_ptr<frame_socket>> Sockets;
  /// Connections over which silent ones are checked, by the latter's names.
  std::map<std::string, std::shared_ptr<frame_socket>> Checks;
  std::map<std::string, retired_link> Retired; ///< By name.
  client_memory *Memory = nullptr;             ///< Null: no limit.
  std::size_t MaxUnproven = 0;
  std::function<void(std::string_view Event)> ReportClose;
  /// Sweeps since the connection was accepted, by its number.
  std::map<std::uint64_t, unsigned> Unproven;
  relay_table Relays;
  std::uint64_t LastNumber = 0;
};

} // namespace bronzespar::serve
