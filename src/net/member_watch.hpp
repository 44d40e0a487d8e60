/// Members' maintenance ports: long polls of their reports, and the failover
/// coordinator's commands.
///
/// A report request that fails is tried once more on a fresh connection before
/// the member counts as unreachable, so an old connection that went silent is
/// no evidence against the member.
#pragma once

#include "event_sink.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bronzespar {

/// \brief Adapter of the members' maintenance ports.
class member_watch {
public:
  member_watch(boost::asio::io_context &Loop, event_sink Report);
  member_watch(const member_watch &) = delete;
  member_watch &operator=(const member_watch &) = delete;
  ~member_watch();

  void carryOut(const effects::watch_member &Effect);
  void carryOut(const effects::unwatch_member &Effect);
  void carryOut(const effects::send_control_command &Effect);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bronzespar
