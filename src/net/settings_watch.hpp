/// Watch of the settings key in the platform's store.
#pragma once

#include "backoff.hpp"
#include "event_sink.hpp"
#include "http_stream.hpp"
#include "one_shot.hpp"
#include "platform_call.hpp"

#include <bronzespar/host_settings.hpp>
#include <bronzespar/wire/platform_codec.hpp>

namespace bronzespar {

/// \brief Reads the settings, then watches for changes. A watch that ends is
/// followed by a new read, and a watch may have gone silent, so the key's
/// version is also looked up at times.
class settings_watch {
public:
  settings_watch(boost::asio::io_context &EventLoop, const host_settings &Host,
                 std::uint64_t Seed, const event_sink &Sink);

private:
  void read();
  void takeRead(const platform_reply &Reply);
  void watch(std::int64_t StartRevision);
  void takeChange(const std::string &Object);
  void checkLater();
  void check();
  void takeCheck(const platform_reply &Reply);
  void deliver(versioned_value Value);
  void retry();

  boost::asio::io_context &Loop;
  const host_settings &Self;
  const event_sink &Report;
  backoff Pauses;
  one_shot Retry;
  one_shot CheckTimer;
  std::size_t Preferred = 0;  ///< Endpoint of the platform to use.
  std::int64_t Delivered = 0; ///< Latest version handed on.
  std::unique_ptr<platform_exchange> Call;
  std::unique_ptr<http_stream> Stream;
};

} // namespace bronzespar
