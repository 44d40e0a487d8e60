/// A running stand-in platform: store, watches, host list and faults. All of it
/// lives on one thread.
#pragma once

#include "standin/etcd_requests.hpp"
#include "standin/fault_messages.hpp"
#include "standin/host_list.hpp"
#include "standin/http_server.hpp"

#include <bronzespar/standin/key_value_store.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace bronzespar::standin {

/// \brief One open watch.
struct open_watch {
  http_connection_ptr Connection;
  watch_request Asked;
  std::int64_t Next = 0; ///< Revision of the first event not yet sent.
};

/// \brief All state of the process.
struct platform {
  explicit platform(boost::asio::io_context &Owner)
      : Context(Owner), Housekeeping(Owner) {}

  boost::asio::io_context &Context;
  boost::asio::steady_timer Housekeeping;
  duration Latency{};
  duration ListLag{};
  key_value_store Store;
  host_list Hosts;
  platform_fault_kind Fault = platform_fault_kind::None;
  duration Slowness{};
  std::uint64_t Outages = 0; ///< Calls begun before an outage are lost.
  std::map<std::string, std::uint64_t> Calls; ///< By kind.
  std::list<open_watch> Watches;
  instant LastProgress{};
  http_server_ptr Api;
  http_server_ptr Control;
};

using platform_ptr = std::shared_ptr<platform>;

/// \brief The monotonic clock on the project's time line.
[[nodiscard]] instant now();

/// \brief Starts the two servers and the housekeeping (leases, progress).
void startApi(const platform_ptr &Platform, const endpoint &Where);
void startControl(const platform_ptr &Platform, const endpoint &Where);
void startHousekeeping(const platform_ptr &Platform);

/// \brief Opens a watch and sends what it has missed.
void openWatch(const platform_ptr &Platform,
               const http_connection_ptr &Connection,
               const watch_request &Asked);
/// \brief Sends new events to all watches.
void notifyWatches(platform &Platform);
/// \brief Tells idle watches that asked for it the present revision.
void sendProgress(platform &Platform);

} // namespace bronzespar::standin
