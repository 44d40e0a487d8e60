/// Blocking sockets.
#include "sockets.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace bronzespar::crowds {

namespace {

constexpr int MaxQueuedConnections = 1024;

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace

void descriptor::close() noexcept {
  if (Number >= 0)
    ::close(Number);
  Number = -1;
}

descriptor listenOn(std::uint16_t Port) {
  descriptor Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int On = 1;
  ::setsockopt(Socket.get(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in Address = loopback(Port);
  if (::bind(Socket.get(), reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Socket.get(), MaxQueuedConnections) != 0)
    throw std::runtime_error("cannot listen on 127.0.0.1");
  return Socket;
}

std::uint16_t portOf(const descriptor &Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  ::getsockname(Socket.get(), reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

descriptor dial(std::uint16_t Port) {
  descriptor Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in Address = loopback(Port);
  if (::connect(Socket.get(), reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0)
    return {};
  return Socket;
}

bool sendAll(int Socket, std::string_view Text) {
  while (!Text.empty()) {
    const ssize_t Sent = ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Text.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool receiveInto(int Socket, std::string &Buffer) {
  std::array<char, 65536> Chunk{};
  const ssize_t Length = ::recv(Socket, Chunk.data(), Chunk.size(), 0);
  if (Length <= 0)
    return false;
  Buffer.append(Chunk.data(), static_cast<std::size_t>(Length));
  return true;
}

server::server(handler OnConnection)
    : Handle(std::move(OnConnection)), Listener(listenOn(0)),
      Accepting([this] { accept(); }) {}

server::~server() {
  ::shutdown(Listener.get(), SHUT_RDWR);
  Accepting.join();
  for (connection &Each : Connections) {
    ::shutdown(Each.Socket.get(), SHUT_RDWR);
    Each.Thread.join();
  }
}

void server::accept() {
  while (true) {
    descriptor Socket(
        ::accept4(Listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!Socket.isOpen())
      return;
    const std::lock_guard Lock(Guard);
    connection &Added = Connections.emplace_back();
    Added.Socket = std::move(Socket);
    Added.Thread = std::thread([this, Number = Added.Socket.get()] {
      Handle(Number);
      ::shutdown(Number, SHUT_RDWR);
    });
  }
}

} // namespace bronzespar::crowds
