/// HTTP server for readiness checks and metrics.
#pragma once

#include "wiring.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <memory>
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

  /// \param MaxOpen Connections; a further one ends the oldest.
  text_server(boost::asio::io_context &Io, const endpoint &Where,
              handler Handler, std::size_t MaxOpen);
  void start();

private:
  struct connection;
  void accept();
  void add(boost::asio::ip::tcp::socket Socket);

  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  handler Answer;
  std::size_t MaxConnections = 0;
  /// The oldest first; those that have ended are dropped with the next one.
  std::list<std::weak_ptr<connection>> Connections;
};

} // namespace bronzespar::serve
