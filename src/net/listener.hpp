/// Opens listening sockets.
#pragma once

#include <bronzespar/endpoint.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace bronzespar {

/// \brief Binds and listens. \returns False when the address cannot be had.
[[nodiscard]] bool openListener(boost::asio::ip::tcp::acceptor &Acceptor,
                                const endpoint &Where);

/// \brief Address an acceptor listens on.
[[nodiscard]] endpoint
listenerAddress(const boost::asio::ip::tcp::acceptor &Acceptor);

} // namespace bronzespar
