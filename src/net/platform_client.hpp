/// The platform: calls to its key-value service and its host list.
#pragma once

#include "event_sink.hpp"

#include <bronzespar/host_settings.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bronzespar {

/// \brief Adapter of the platform. Watches the settings and lists the hosts by
/// itself from the start.
class platform_client {
public:
  platform_client(boost::asio::io_context &Loop, const host_settings &Self,
                  std::uint64_t Seed, event_sink Report);
  platform_client(const platform_client &) = delete;
  platform_client &operator=(const platform_client &) = delete;
  ~platform_client();

  void carryOut(const effects::call_platform &Effect);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bronzespar
