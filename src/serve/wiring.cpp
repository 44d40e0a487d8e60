/// Clock and socket options.
#include "wiring.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <ctime>

namespace bronzespar::serve {

namespace {

/// A peer that sends nothing for KeepAliveIdleS + KeepAliveProbes *
/// KeepAliveIntervalS seconds counts as lost.
constexpr int KeepAliveIdleS = 6;
constexpr int KeepAliveIntervalS = 2;
constexpr int KeepAliveProbes = 3;

} // namespace

instant bootNow() noexcept {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return instant(std::chrono::seconds(Time.tv_sec) +
                 std::chrono::microseconds(Time.tv_nsec / 1000));
}

boost::asio::ip::tcp::endpoint toAsio(const endpoint &Where) {
  boost::system::error_code Error;
  const auto Address = boost::asio::ip::make_address(Where.Address, Error);
  return {Address, Where.Port};
}

void prepareSocket(boost::asio::ip::tcp::socket &Socket) noexcept {
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
  const int Handle = Socket.native_handle();
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleS,
             sizeof KeepAliveIdleS);
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalS,
             sizeof KeepAliveIntervalS);
  setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes,
             sizeof KeepAliveProbes);
}

} // namespace bronzespar::serve
