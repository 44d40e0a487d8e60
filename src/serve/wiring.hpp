/// Shared by the adapters of a session host: event sink, clock, socket options.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/proxy/interface.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace bronzespar::serve {

using event_sink = std::function<void(proxy::event)>;

/// \brief Current time of the boot clock, which also advances while the machine
/// is suspended.
[[nodiscard]] instant bootNow() noexcept;

[[nodiscard]] boost::asio::ip::tcp::endpoint toAsio(const endpoint &Where);

/// \brief Sets the options of every connection: no delay of small messages, and
/// keep-alive probes that detect an unresponsive peer.
void prepareSocket(boost::asio::ip::tcp::socket &Socket) noexcept;

} // namespace bronzespar::serve
