/// What the adapters share: where events go, and the clock.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/proxy/interface.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace bronzespar::serve {

using event_sink = std::function<void(proxy::event)>;

/// \brief Present instant on a clock that counts suspensions.
[[nodiscard]] instant bootNow() noexcept;

[[nodiscard]] boost::asio::ip::tcp::endpoint toAsio(const endpoint &Where);

/// \brief Sets what every connection of a host needs: no delay of small
/// messages, and probes that find a silent far end.
void prepareSocket(boost::asio::ip::tcp::socket &Socket) noexcept;

} // namespace bronzespar::serve
