/// One client connection over HTTP/1.1 that carries one exchange at a time.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/instant.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzespar {

/// \brief How an exchange ended.
enum class exchange_fault {
  None,
  Closed,   ///< The other side closed or reset before a whole answer.
  TimedOut, ///< No whole answer in time.
  Invalid   ///< The answer was cut short or is not HTTP.
};

struct http_request {
  std::string Path;
  std::string Body; ///< Empty: the method is GET, else POST with JSON.
};

struct http_reply {
  exchange_fault Fault = exchange_fault::None;
  unsigned Status = 0;
  std::string Body;
  instant SentAt{}; ///< When the request was handed to the socket.
};

/// \brief Client connection. Destroying it closes the socket; no handler is
/// called afterwards. After any fault the connection is closed.
class http_connection {
public:
  http_connection(boost::asio::io_context &Loop, const endpoint &Where);
  http_connection(const http_connection &) = delete;
  http_connection &operator=(const http_connection &) = delete;
  ~http_connection();

  /// \brief Connects once.
  void dial(duration Timeout, std::function<void(bool Connected)> Done);

  /// \brief Sends a request and reads its answer; the connection must be idle.
  /// \param Timeout Nothing: waits until the connection is destroyed.
  void exchange(const http_request &Request, std::optional<duration> Timeout,
                std::function<void(http_reply)> Done);

  /// \brief Reports the end of the idle connection: closed by the other side,
  /// or bytes that nobody asked for. Call before dialling.
  void watchIdle(std::function<void()> Ended);

  [[nodiscard]] bool isIdle() const noexcept;

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bronzespar
