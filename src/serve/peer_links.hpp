/// Connections between session hosts: tokens of client accounts, statements for
/// owners, electors, and calls to the platform on another host's behalf.
#pragma once

#include "wiring.hpp"

#include <platform/http_link.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bronzespar::serve {

/// \brief How a peer answered a relayed call.
struct relay_answer {
  platform::http_answer Answer;
  bool PeerAnswered = false;   ///< False: the peer is silent or gone.
  bool PeerTurnedAway = false; ///< It made no call.
};
using relay_callback = std::function<void(relay_answer)>;
/// Makes a call for a peer; answers through the callback.
using relay_handler = std::function<void(platform::http_call, relay_callback)>;

class peer_links {
public:
  peer_links(boost::asio::io_context &Context, const endpoint &Where,
             event_sink Sink, relay_handler Relay);
  ~peer_links();
  peer_links(const peer_links &) = delete;
  peer_links &operator=(const peer_links &) = delete;

  void start();
  void carryOut(const proxy::effects::request_tokens &Effect);
  void carryOut(const proxy::effects::grant_tokens &Effect);
  void carryOut(const proxy::effects::request_vote &Effect);
  void carryOut(const proxy::effects::send_vote &Effect);
  void carryOut(const proxy::effects::forward &Effect);
  void carryOut(const proxy::effects::end_forward &Effect);
  void carryOut(const proxy::effects::answer_forward &Effect);
  void carryOut(const proxy::effects::drop_peer &Effect);
  /// \brief Asks a peer to make a call; Callback runs once.
  void relay(const endpoint &Peer, const platform::http_call &Call,
             relay_callback Callback);
  /// \brief Ends relayed calls whose peer did not answer in time.
  void dropOverdue(instant Now);

private:
  struct frame_socket;
  struct pending_relay {
    std::string Peer;
    instant Deadline{};
    relay_callback Callback;
  };

  void accept();
  frame_socket &dialled(const endpoint &Where);
  void frameArrived(const std::string &Name, const std::string &Frame);
  void relayAsked(const std::string &Name, std::uint64_t Number,
                  platform::http_call Call);
  void relayAnswered(std::uint64_t Number, relay_answer Answer);
  void ended(const std::string &Name);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  event_sink Events;
  relay_handler Relay;
  /// By "address:port" when dialled, by "#number" when accepted.
  std::map<std::string, std::shared_ptr<frame_socket>> Sockets;
  std::map<std::uint64_t, pending_relay> Relays;
  std::uint64_t LastNumber = 0;
};

} // namespace bronzespar::serve
