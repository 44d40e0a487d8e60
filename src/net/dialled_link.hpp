/// The link that this host dials to one peer, for sending.
#pragma once

#include "event_sink.hpp"

#include <bronzespar/endpoint.hpp>
#include <bronzespar/wire/peer_codec.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bronzespar {

/// \brief What a link needs to know of its host and its peer.
struct dialled_link_settings {
  peer_hello Hello; ///< Its Recipient is the peer.
  endpoint Where;
  std::string PeerKey;
};

/// \brief Keeps a link to one peer; dials again after each end. Destroying it
/// closes the link; no event follows.
class dialled_link {
public:
  dialled_link(boost::asio::io_context &Loop, dialled_link_settings Settings,
               const event_sink &Report);
  dialled_link(const dialled_link &) = delete;
  dialled_link &operator=(const dialled_link &) = delete;
  ~dialled_link();

  [[nodiscard]] const endpoint &where() const noexcept;

  /// \brief Queues a message. It is lost while the link is down, as it may be
  /// whenever the link goes down; a full queue ends the link.
  void send(const peer_message &Message);

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bronzespar
