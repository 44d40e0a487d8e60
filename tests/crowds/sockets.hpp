/// Blocking TCP sockets on loopback, for the stand-ins and the crowds.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace bronzespar::crowds {

/// \brief Owns a file descriptor; -1: none.
class descriptor {
public:
  descriptor() noexcept = default;
  explicit descriptor(int Owned) noexcept : Number(Owned) {}
  descriptor(descriptor &&Other) noexcept
      : Number(std::exchange(Other.Number, -1)) {}
  descriptor &operator=(descriptor &&Other) noexcept {
    std::swap(Number, Other.Number);
    return *this;
  }
  ~descriptor() { close(); }

  void close() noexcept;
  [[nodiscard]] int get() const noexcept { return Number; }
  [[nodiscard]] bool isOpen() const noexcept { return Number >= 0; }

private:
  int Number = -1;
};

/// \brief Listens on 127.0.0.1. \param Port 0: any free one.
[[nodiscard]] descriptor listenOn(std::uint16_t Port);
[[nodiscard]] std::uint16_t portOf(const descriptor &Socket);
/// \brief Connects to 127.0.0.1. \returns A closed descriptor on failure.
[[nodiscard]] descriptor dial(std::uint16_t Port);
/// \returns Whether all was sent; blocks until then.
bool sendAll(int Socket, std::string_view Text);
/// \brief Appends what arrives next; blocks.
/// \returns Whether the connection is open.
bool receiveInto(int Socket, std::string &Buffer);

/// \brief Accepts connections and runs a handler for each in its own thread.
class server {
public:
  using handler = std::function<void(int Socket)>;

  explicit server(handler OnConnection);
  ~server();
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  [[nodiscard]] std::uint16_t port() const { return portOf(Listener); }

private:
  struct connection {
    descriptor Socket;
    std::thread Thread;
  };

  void accept();

  handler Handle;
  descriptor Listener;
  std::mutex Guard; ///< Of Connections.
  std::list<connection> Connections;
  std::thread Accepting;
};

} // namespace bronzespar::crowds
