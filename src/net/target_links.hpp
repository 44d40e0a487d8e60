/// Connections to targets: dials them, sends one statement at a time on each,
/// and reports answers and ends.
#pragma once

#include "event_sink.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bronzespar {

/// \brief Adapter of the connections to targets.
class target_links {
public:
  target_links(boost::asio::io_context &Loop, event_sink Report);
  target_links(const target_links &) = delete;
  target_links &operator=(const target_links &) = delete;
  ~target_links();

  void carryOut(const effects::open_connection &Effect);
  void carryOut(const effects::send_statement &Effect);
  void carryOut(const effects::close_connection &Effect);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bronzespar
