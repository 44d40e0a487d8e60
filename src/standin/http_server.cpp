/// HTTP/1.1 server of the stand-ins: listening and faults.
#include "http_server_state.hpp"

#include "peer_closed.hpp"

#include <boost/asio/post.hpp>

namespace bronzespar::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int ListenBacklog = 1024;
/// After a pause, connections accepted within this time may have been given up
/// while they waited.
constexpr std::chrono::milliseconds BacklogTime{100};

bool isGivenUp(const http_server &Server, tcp::socket &Socket) {
  const bool Waited =
      std::chrono::steady_clock::now() < Server.ResumedAt + BacklogTime;
  return Waited && peerClosed(Socket.native_handle());
}

bool isFull(const http_server &Server) {
  return Server.Limits.Connections != 0 &&
         Server.Connections.size() >= Server.Limits.Connections;
}

/// A socket that is not taken in closes as it goes out of scope.
void takeSocket(const http_server_ptr &Server, tcp::socket Socket) {
  if (isGivenUp(*Server, Socket))
    return;
  if (!isFull(*Server))
    openConnection(Server, std::move(Socket));
  else if (Server->Service.Refused)
    Server->Service.Refused();
}

void acceptNext(const http_server_ptr &Server) {
  if (Server->Accepting || Server->Paused || !Server->Acceptor.is_open())
    return;
  Server->Accepting = true;
  Server->Acceptor.async_accept([Server](error_code Error, tcp::socket Socket) {
    Server->Accepting = false;
    if (!Error)
      takeSocket(Server, std::move(Socket));
    acceptNext(Server);
  });
}

void listenAgain(const http_server_ptr &Server) {
  Server->Acceptor.open(Server->Where.protocol());
  Server->Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Server->Acceptor.bind(Server->Where);
  Server->Acceptor.listen(ListenBacklog);
  acceptNext(Server);
}

} // namespace

http_server_ptr startServer(asio::io_context &Context, const endpoint &Where,
                            const http_limits &Limits, http_service Service) {
  const tcp::endpoint Address(asio::ip::make_address(Where.Address),
                              Where.Port);
  auto Server = std::make_shared<http_server>(Context, Address, Limits,
                                              std::move(Service));
  listenAgain(Server);
  return Server;
}

void pauseServer(http_server &Server) {
  if (std::exchange(Server.Paused, true))
    return;
  error_code Ignored;
  Server.Acceptor.cancel(Ignored);
}

void resumeServer(const http_server_ptr &Server) {
  if (!std::exchange(Server->Paused, false))
    return;
  Server->ResumedAt = std::chrono::steady_clock::now();
  const auto Connections = Server->Connections;
  for (const auto &[Number, Connection] : Connections)
    runHeldActions(Connection);
  // New connections come after the ends of old ones.
  asio::post(Server->Context, [Server] { acceptNext(Server); });
}

void silenceConnections(http_server &Server) {
  const auto Connections = Server.Connections;
  for (const auto &[Number, Connection] : Connections)
    silenceConnection(Connection);
}

void closeServer(http_server &Server) {
  error_code Ignored;
  Server.Acceptor.close(Ignored);
  const auto Connections = Server.Connections;
  for (const auto &[Number, Connection] : Connections)
    closeConnection(Connection);
}

void stopServer(http_server &Server) {
  Server.Service = {};
  closeServer(Server);
}

void reopenServer(const http_server_ptr &Server) {
  if (!Server->Acceptor.is_open())
    listenAgain(Server);
}

std::size_t openConnections(const http_server &Server) {
  return Server.Connections.size();
}

} // namespace bronzespar::standin
