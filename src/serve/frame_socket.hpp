/// A TCP connection that carries length-prefixed frames.
#pragma once

#include "client_memory.hpp"
#include "wiring.hpp"

#include <functional>
#include <memory>
#include <string>

namespace bronzespar::serve {

/// \brief A connection between hosts.
/// Invariant: Outgoing holds at most MaxOutgoingBytes; a frame that does not
/// fit is dropped.
class frame_socket : public std::enable_shared_from_this<frame_socket> {
public:
  static constexpr std::uint32_t MaxFrameBytes = 8U << 20;
  static constexpr std::size_t MaxOutgoingBytes = std::size_t{16} << 20;

  using frame_hook = std::function<void(const std::string &)>;
  using end_hook = std::function<void()>;

  frame_socket(boost::asio::ip::tcp::socket Open, frame_hook Frame,
               end_hook End);

  void connect(const endpoint &Where);
  /// \brief Counts incoming bytes as a client's, until trust().
  void countAsClient(client_memory &Memory, proxy::client_holder Holder);
  /// \brief The other end has sent a valid frame.
  void trust();
  /// \brief Reads frames of an accepted connection.
  void start();
  void send(std::string_view Payload);
  /// \brief Closes the connection; no hook is called afterwards.
  void close();
  [[nodiscard]] bool isClosed() const noexcept { return Closed; }
  /// \brief Bytes that have arrived, also of a frame that is not complete.
  [[nodiscard]] std::uint64_t receivedBytes() const noexcept {
    return ReceivedBytes;
  }

private:
  void write();
  void readLength();
  void readBody(std::uint32_t Size);
  void complete();
  void fail();
  /// \param Size Bytes that the read under way has received so far.
  void countReceived(std::size_t Size) noexcept;
  /// Receives a buffer, and calls Done(error) unless the connection is closed.
  template <class Buffer, class Done>
  void receive(const Buffer &Into, Done Complete);

  boost::asio::ip::tcp::socket Socket;
  frame_hook OnFrame;
  end_hook OnEnd;
  std::uint64_t ReceivedBytes = 0;
  std::size_t CountedOfRead = 0; ///< Bytes of the read under way among them.
  std::uint32_t Length = 0;      ///< Of the incoming frame, big endian.
  std::string Body;
  std::string Outgoing; ///< Waits for the write under way.
  std::string Sending;  ///< Buffer of the write under way.
  memory_share Share;   ///< Of a connection that is not trusted yet.
  bool IsTrusted = true;
  bool Connecting = false;
  bool Writing = false;
  bool Closed = false;
};

} // namespace bronzespar::serve
