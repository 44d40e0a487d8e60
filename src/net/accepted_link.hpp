/// A link that a peer dialled, for receiving.
#pragma once

#include "one_shot.hpp"

#include <bronzespar/wire/peer_codec.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace bronzespar {

/// \brief Authenticates frames, checks their order, and counts them back.
/// Invariant: no message is handed on before a valid Hello for this host.
class accepted_link : public std::enable_shared_from_this<accepted_link> {
public:
  struct handlers {
    std::function<void(accepted_link &)> Opened; ///< Hello was valid.
    std::function<void(accepted_link &, peer_message &&)> Message;
    /// Ended; Reason is empty for an ordinary close.
    std::function<void(accepted_link &, const std::string &Reason)> Ended;
  };

  accepted_link(boost::asio::ip::tcp::socket Accepted, std::string Key,
                host_id Host, const handlers &Given);

  void start();
  /// \brief Closes without calling Ended.
  void close();
  /// \brief The peer; empty before its Hello.
  [[nodiscard]] const host_id &peer() const noexcept { return Peer; }

private:
  void readLength();
  void readRest(std::size_t Length);
  void takeFrame();
  [[nodiscard]] bool accept(peer_frame &&Frame);
  [[nodiscard]] bool acceptHello(const peer_frame &Frame);
  void acknowledgeLater();
  void acknowledge();
  void end(const std::string &Reason);

  boost::asio::ip::tcp::socket Socket;
  std::string PeerKey;
  host_id Self;
  const handlers &Handlers;
  one_shot HelloTimer;
  one_shot AckTimer;
  bool Closed = false;
  bool AckPending = false;
  bool AckInFlight = false;
  std::array<char, NonceBytes> Nonce{};
  std::array<char, LengthBytes> Length{};
  std::array<unsigned char, 8> Ack{};
  std::vector<char> Rest;
  host_id Peer;
  std::uint64_t Received = 0;     ///< Frames taken; the next one's sequence.
  std::uint64_t Acknowledged = 0; ///< Latest count sent back.
};

} // namespace bronzespar
