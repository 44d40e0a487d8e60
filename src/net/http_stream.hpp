/// Client side of a streamed answer: one request, then JSON objects for as long
/// as the other side sends them.
#pragma once

#include "http_connection.hpp"

namespace bronzespar {

/// \brief One streamed exchange. Destroying it closes the socket; no handler
/// is called afterwards.
class http_stream {
public:
  struct handlers {
    std::function<void(std::string Object)> Object; ///< A whole JSON object.
    std::function<void()> Ended;                    ///< Failed or closed.
  };

  /// \brief Dials, sends the request, and reads.
  http_stream(boost::asio::io_context &Loop, const endpoint &Where,
              const http_request &Request, duration DialTimeout,
              handlers Handlers);
  http_stream(const http_stream &) = delete;
  http_stream &operator=(const http_stream &) = delete;
  ~http_stream();

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bronzespar
