/// HTTP/1.1 client of the stand-ins: one request at a time on a kept
/// connection.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/instant.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzespar::standin {

struct http_client;
using http_client_ptr = std::shared_ptr<http_client>;

/// \brief Receives the body of a 200 answer; nothing on any fault, after which
/// the connection has been closed.
using http_reply = std::function<void(const std::optional<std::string> &)>;

[[nodiscard]] http_client_ptr makeClient(boost::asio::io_context &Context,
                                         const endpoint &Where);

/// \brief Posts a JSON body; connects first if need be.
/// \remarks Precondition: no other request is outstanding.
void postJson(const http_client_ptr &Client, const std::string &Path,
              std::string Body, duration Timeout, http_reply Reply);

/// \brief Closes for good; an outstanding request's reply is not called.
void closeClient(const http_client_ptr &Client);

} // namespace bronzespar::standin
