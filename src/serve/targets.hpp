/// Connections to targets.
#pragma once

#include "line_socket.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace bronzespar::serve {

/// \brief Keeps the connections to targets and turns answers into events.
class target_links {
public:
  target_links(boost::asio::io_context &Context, event_sink Sink);

  void carryOut(const proxy::effects::open_target &Effect);
  void carryOut(const proxy::effects::send_target &Effect);
  void carryOut(const proxy::effects::close_target &Effect);
  void carryOut(const proxy::effects::probe_target &Effect);

private:
  struct link {
    std::shared_ptr<line_socket> Socket;
    platform::answer_reader Reader;
    bool Ready = false; ///< The target has accepted the connection.
  };
  struct probe;

  bool lineArrived(proxy::connection_number Number, std::string_view Line);
  void connectionLost(proxy::connection_number Number);

  boost::asio::io_context &Io;
  event_sink Events;
  std::map<proxy::connection_number, link> Links;
};

} // namespace bronzespar::serve
