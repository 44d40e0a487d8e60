/// A TCP connection that carries lines, with an outgoing buffer.
#pragma once

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

  /// Called with each line; returning false stops reading.
  using line_hook = std::function<bool(std::string_view)>;
  /// Called once when the connection ends without a call of close().
  using end_hook = std::function<void()>;

  explicit line_socket(boost::asio::ip::tcp::socket Open);
  explicit line_socket(boost::asio::io_context &Io);

  void connect(const endpoint &Where, std::string Greeting);
  void start(line_hook Line, end_hook End);
  void send(std::string_view Text);
  /// \brief Closes the connection without calling the end hook.
  void close();
  /// \brief Sends the buffered text, then closes the connection.
  void closeAfterSending();

private:
  void read();
  void write();
  void received(std::size_t Length);
  void fail();

  boost::asio::ip::tcp::socket Socket;
  bool Dialled = false; ///< This host opened the connection to a target.
  platform::line_reader Reader;
  std::array<char, 4096> Chunk{};
  std::string Outgoing; ///< Waits for the write under way.
  std::string Sending;  ///< Buffer of the write under way.
  line_hook OnLine;
  end_hook OnEnd;
  bool Writing = false;
  bool Connecting = false;
  bool Closed = false;
  bool ClosesAfterSending = false;
};

} // namespace bronzespar::serve
