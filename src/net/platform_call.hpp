/// One request to the platform, tried at each of its endpoints until one takes
/// it.
#pragma once

#include "http_connection.hpp"

#include <vector>

namespace bronzespar {

/// \brief How a request to the platform ended.
struct platform_reply {
  bool Sent = false;     ///< False: certainly not sent to any endpoint.
  bool Answered = false; ///< A whole answer with status 200 came.
  std::string Body;
};

/// \brief One request. The endpoint that worked last is tried first.
class platform_exchange {
public:
  /// \param Preferred Index into Endpoints; moves on when one fails.
  platform_exchange(boost::asio::io_context &Loop,
                    const std::vector<endpoint> &Endpoints,
                    std::size_t &Preferred, http_request Request,
                    std::function<void(platform_reply)> Done);

private:
  void tryNext();
  void send();

  boost::asio::io_context &Loop;
  const std::vector<endpoint> &Endpoints;
  std::size_t &Preferred;
  http_request Request;
  std::function<void(platform_reply)> Done;
  std::size_t Tried = 0;
  std::unique_ptr<http_connection> Link;
};

} // namespace bronzespar
