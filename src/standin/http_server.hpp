/// HTTP/1.1 server of the stand-ins, with the faults that a network or a host
/// can show: silence, cuts, connections closed without an answer.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/instant.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bronzespar::standin {

struct http_server;
struct http_connection;
using http_server_ptr = std::shared_ptr<http_server>;
using http_connection_ptr = std::shared_ptr<http_connection>;

/// \brief One request, read whole.
struct http_request {
  std::string Method;
  std::string Path;
  std::string Body;
};

/// \brief What a server does with requests and connections.
struct http_service {
  /// Called for each request; answered by one of sendAnswer, beginStream and
  /// closeConnection, at once or later.
  std::function<void(const http_connection_ptr &, const http_request &)> Handle;
  /// Called once when a connection has ended; may be empty.
  std::function<void(const http_connection_ptr &)> Closed;
  /// Called for each connection over the limit; may be empty.
  std::function<void()> Refused;
};

inline constexpr std::size_t DefaultBodyLimit = 256UL * 1024;

/// \brief Limits of one server.
struct http_limits {
  std::size_t BodyBytes = DefaultBodyLimit;
  /// One connection more is accepted and closed at once; 0: no limit.
  std::size_t Connections = 0;
  duration ConnectTime{}; ///< From accepting to reading the first request.
};

/// \brief Starts a server. Throws boost::system::system_error if it cannot
/// listen.
[[nodiscard]] http_server_ptr startServer(boost::asio::io_context &Context,
                                          const endpoint &Where,
                                          const http_limits &Limits,
                                          http_service Service);

/// \brief Stops receiving and sending; connections stay open and silent, new
/// ones are not accepted.
void pauseServer(http_server &Server);
/// \brief Goes on with everything that was held back.
void resumeServer(const http_server_ptr &Server);
/// \brief Makes the connections of this moment silent for good. They no longer
/// count as open, and the service is told that they have closed.
void silenceConnections(http_server &Server);
/// \brief Closes all connections and refuses new ones.
void closeServer(http_server &Server);
/// \brief Closes for good; the service is told nothing more.
void stopServer(http_server &Server);
/// \brief Listens again after closeServer.
void reopenServer(const http_server_ptr &Server);
/// \brief Connections that count against the limit.
[[nodiscard]] std::size_t openConnections(const http_server &Server);

/// \brief Number of a connection, unique within its server.
[[nodiscard]] std::uint64_t
connectionNumber(const http_connection &Connection) noexcept;
/// \brief Answers the connection's request.
void sendAnswer(const http_connection_ptr &Connection, unsigned Status,
                std::string Body);
/// \brief Answers with an error text as JSON: {"error": REASON}.
void sendError(const http_connection_ptr &Connection, unsigned Status,
               const std::string &Reason);
/// \brief Answers 200 with a chunked body, sent by sendChunk.
void beginStream(const http_connection_ptr &Connection);
void sendChunk(const http_connection_ptr &Connection, const std::string &Chunk);
/// \brief Closes without an answer.
void closeConnection(const http_connection_ptr &Connection);

} // namespace bronzespar::standin
