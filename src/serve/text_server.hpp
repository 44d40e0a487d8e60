/// HTTP server for readiness checks and metrics.
#pragma once

#include "wiring.hpp"

#include <functional>
#include <string>

namespace bronzespar::serve {

struct text_answer {
  unsigned Status = 200;
  std::string Body;
};

/// \brief Answers GET requests by their path.
class text_server {
public:
  using handler = std::function<text_answer(const std::string &Path)>;

  text_server(boost::asio::io_context &Io, const endpoint &Where,
              handler Handler);
  void start();

private:
  struct connection;
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor;
  handler Answer;
};

} // namespace bronzespar::serve
