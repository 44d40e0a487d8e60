/// Connections between hosts, over which tokens of client accounts move.
#pragma once

#include "wiring.hpp"

#include <array>
#include <map>
#include <memory>
#include <string>

namespace bronzespar::serve {

class token_links {
public:
  token_links(boost::asio::io_context &Context, const endpoint &Where,
              event_sink Sink);

  void start();
  void carryOut(const proxy::effects::ask_tokens &Effect);
  void carryOut(const proxy::effects::grant_tokens &Effect);

private:
  struct frame_socket;

  void accept();
  void frameArrived(const std::string &Name, const std::string &Frame);
  void ended(const std::string &Name);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::acceptor Acceptor;
  event_sink Events;
  /// By "address:port" when dialled, by "#number" when accepted.
  std::map<std::string, std::shared_ptr<frame_socket>> Sockets;
  std::uint64_t LastNumber = 0;
};

} // namespace bronzespar::serve
