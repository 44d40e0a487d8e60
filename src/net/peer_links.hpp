/// Links to peers: one dialled to each peer and used for sending, and those
/// accepted from peers and used for receiving.
///
/// The acceptor of a link answers with the number of frames it has taken, each
/// as 8 bytes (big endian). A dialled link whose frames stay without that sign
/// is closed and dialled anew, so a link that went silent is found within
/// AckTimeout even while its sockets stay open.
#pragma once

#include "event_sink.hpp"

#include <bronzespar/host_settings.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bronzespar {

/// \brief Adapter of the links to peers.
class peer_links {
public:
  peer_links(boost::asio::io_context &Loop, const host_settings &Self,
             std::uint64_t Incarnation, event_sink Report, log_sink Log);
  peer_links(const peer_links &) = delete;
  peer_links &operator=(const peer_links &) = delete;
  ~peer_links();

  /// \brief Starts to listen. \returns False when the address cannot be had.
  [[nodiscard]] bool listen(const endpoint &Where);
  /// \brief Address listened on, with the port the system chose for port 0.
  [[nodiscard]] endpoint where() const;

  void carryOut(const effects::connect_peer &Effect);
  void carryOut(const effects::disconnect_peer &Effect);
  void carryOut(const effects::send_peer_message &Effect);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bronzespar
