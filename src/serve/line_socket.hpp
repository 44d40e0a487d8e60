/// A TCP connection that carries lines, with an outgoing buffer.
#pragma once

#include "client_memory.hpp"
#include "wiring.hpp"

#include <platform/line_codec.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace bronzespar::serve {

/// \brief A connection that delivers complete lines.
/// Invariant: at most one read and one write are under way; Outgoing holds at
/// most MaxOutgoingBytes.
class line_socket : public std::enable_shared_from_this<line_socket> {
public:
  static constexpr std::size_t MaxOutgoingBytes = std::size_t{4} << 20;
  /// A client's lines wait while it has not read more than this.
  static constexpr std::size_t MaxUnreadBytes = std::size_t{64} << 10;
  /// Read of a client while its lines wait; the rest stays in its socket.
  /// Reading does not stop at once, because a connection's end is noticed by
  /// reading.
  static constexpr std::size_t MaxReadAheadBytes = std::size_t{16} << 10;
  /// Read of a client after the last text was sent to it.
  static constexpr std::size_t MaxDiscardedBytes = std::size_t{1} << 20;

  /// Called with each line; returning false stops reading.
  using line_hook = std::function<bool(std::string_view)>;
  /// Called once when the connection ends without a call of close().
  using end_hook = std::function<void()>;

  explicit line_socket(boost::asio::ip::tcp::socket Open);
  explicit line_socket(boost::asio::io_context &Io);

  void connect(const endpoint &Where, std::string Greeting);
  /// \brief Counts what the connection holds as a client's.
  void countAsClient(client_memory &Memory, proxy::client_holder Holder);
  void start(line_hook Line, end_hook End);
  void send(std::string_view Text);
  /// \brief Delivers no further line until resume().
  /// \param HeldBytes What the last line occupies meanwhile.
  void pause(std::size_t HeldBytes);
  void resume();
  /// \brief Closes the connection without calling the end hook.
  void close();
  /// \brief Sends the buffered text and ends the outgoing direction. The
  /// connection closes when the other end closes it, or sends much more: a
  /// socket that is closed with unread bytes resets the connection, which can
  /// destroy the text on its way.
  void closeAfterSending();
  /// \brief Whether the outgoing direction has ended.
  [[nodiscard]] bool isDiscarding() const noexcept { return Discarding; }
  /// \brief Whether the other end has begun a message without ending it, or has
  /// not read what was sent.
  [[nodiscard]] bool isOutOfStep() const noexcept;
  [[nodiscard]] bool isClosed() const noexcept { return Closed; }
  /// \brief Grows with each complete line and with each part that is sent.
  [[nodiscard]] std::uint32_t progress() const noexcept { return Progress; }

private:
  void read();
  void write();
  void sent(bool Failed);
  void received(std::size_t Length);
  void deliver();
  void readOn();
  void fail();
  void discard();
  void reportHeld();
  [[nodiscard]] bool mayDeliver() const noexcept;
  [[nodiscard]] std::size_t unreadBytes() const noexcept;
  [[nodiscard]] std::size_t pendingBytes() const noexcept;

  boost::asio::ip::tcp::socket Socket;
  bool Dialled = false; ///< This host opened the connection to a target.
  platform::line_reader Reader;
  std::array<char, 4096> Chunk{};
  std::string Outgoing; ///< Waits for the write under way.
  std::string Sending;  ///< Buffer of the write under way.
  line_hook OnLine;
  end_hook OnEnd;
  memory_share Share;
  std::size_t HeldByLine = 0; ///< Of the line that is being answered.
  std::uint32_t Progress = 0;
  bool Reading = false;
  bool Writing = false;
  bool Connecting = false;
  bool Closed = false;
  bool ClosesAfterSending = false;
  bool Discarding = false;
  std::size_t DiscardedBytes = 0;
  bool Paused = false;
  bool Delivering = false;
  bool Stopped = false; ///< The hook wants no further lines.
};

} // namespace bronzespar::serve
