/// State of an HTTP server, shared by the files that implement it.
#pragma once

#include "http_server.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>

namespace bronzespar::standin {

struct http_server {
  http_server(boost::asio::io_context &Owner,
              boost::asio::ip::tcp::endpoint Address, const http_limits &Bounds,
              http_service Handlers)
      : Context(Owner), Where(std::move(Address)), Limits(Bounds),
        Service(std::move(Handlers)), Acceptor(Owner) {}

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::endpoint Where;
  http_limits Limits;
  http_service Service;
  boost::asio::ip::tcp::acceptor Acceptor;
  bool Paused = false;
  bool Accepting = false;
  std::chrono::steady_clock::time_point ResumedAt;
  std::uint64_t LastNumber = 0;
  /// Open connections that are neither silent nor ending, by number.
  std::map<std::uint64_t, http_connection_ptr> Connections;
};

/// \brief Takes an accepted socket in and reads requests from it once the
/// server's connect time is over.
void openConnection(const http_server_ptr &Server,
                    boost::asio::ip::tcp::socket Socket);
/// \brief Runs what was put off while the server was paused.
void runHeldActions(const http_connection_ptr &Connection);
/// \brief Makes the connection silent for good and takes it out of the count.
void silenceConnection(const http_connection_ptr &Connection);

} // namespace bronzespar::standin
