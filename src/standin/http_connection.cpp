/// One HTTP/1.1 connection of a stand-in's server, on Boost.Beast.
#include "http_server_state.hpp"

#include "json_text.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <cstdio>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace bronzespar::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Longest wait for the peer's end of a connection that was answered last.
constexpr std::chrono::seconds LingerTime{2};
constexpr std::size_t DrainBytes = 4096;

using held_action = std::function<void()>;

enum class connection_state { Reading, Handling, Writing, Streaming, Ended };

} // namespace

struct http_connection {
  http_connection(http_server_ptr Owner, tcp::socket Accepted)
      : Server(std::move(Owner)), Number(++Server->LastNumber),
        Socket(std::move(Accepted)), Timer(Server->Context) {}

  http_server_ptr Server;
  std::uint64_t Number;
  tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  http::response<http::string_body> Response;
  connection_state State = connection_state::Reading;
  std::uint64_t RequestNumber = 0;
  bool Silent = false;
  std::vector<held_action> Held;  ///< Actions put off while paused, in order.
  std::deque<std::string> Chunks; ///< Front one is being written.
  std::array<char, DrainBytes> Drained{};
};

namespace {

void readRequest(const http_connection_ptr &Connection);

/// Runs the action now, or on resuming while the server is paused.
void whenResumed(const http_connection_ptr &Connection, held_action Action) {
  if (Connection->Server->Paused) {
    Connection->Held.push_back(std::move(Action));
    return;
  }
  Action();
}

void closeSocket(http_connection &Connection) {
  error_code Ignored;
  Connection.Timer.cancel();
  Connection.Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  Connection.Socket.close(Ignored);
}

/// Takes the connection out of the server's count; its socket stays open.
void detach(const http_connection_ptr &Connection) {
  if (Connection->State == connection_state::Ended)
    return;
  Connection->State = connection_state::Ended;
  Connection->Held.clear();
  http_server &Server = *Connection->Server;
  Server.Connections.erase(Connection->Number);
  if (Server.Service.Closed)
    Server.Service.Closed(Connection);
}

/// Reads and discards until the peer closes.
void drain(const http_connection_ptr &Connection) {
  Connection->Socket.async_read_some(
      asio::buffer(Connection->Drained),
      [Connection](error_code Error, std::size_t) {
        if (Error)
          closeSocket(*Connection);
        else
          drain(Connection);
      });
}

/// Ends a connection whose last answer has been written, so that the peer can
/// still read it.
void linger(const http_connection_ptr &Connection) {
  detach(Connection);
  error_code Ignored;
  Connection->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  Connection->Timer.expires_after(LingerTime);
  Connection->Timer.async_wait([Connection](error_code Error) {
    if (!Error)
      closeSocket(*Connection);
  });
  drain(Connection);
}

/// Notices the peer closing while its request is being handled.
void watchPeer(const http_connection_ptr &Connection) {
  const std::uint64_t Request = Connection->RequestNumber;
  Connection->Socket.async_wait(
      tcp::socket::wait_read, [Connection, Request](error_code Error) {
        if (Error)
          return;
        if (Connection->Silent) {
          drain(Connection);
          return;
        }
        whenResumed(Connection, [Connection, Request] {
          const bool Waits = Connection->State == connection_state::Handling ||
                             Connection->State == connection_state::Streaming;
          if (!Waits || Connection->RequestNumber != Request)
            return;
          error_code Fault;
          if (Connection->Socket.available(Fault) == 0 || Fault)
            closeConnection(Connection);
        });
      });
}

void refuseRequest(const http_connection_ptr &Connection, error_code Error) {
  const bool TooLarge = Error == http::error::body_limit;
  Connection->State = connection_state::Handling;
  Connection->Parser.reset();
  sendError(Connection, TooLarge ? 413 : 400,
            TooLarge ? "the body is too large"
                     : "malformed HTTP: " + Error.message());
}

bool isProtocolFault(error_code Error) {
  return Error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

void handleRequest(const http_connection_ptr &Connection) {
  Connection->State = connection_state::Handling;
  ++Connection->RequestNumber;
  auto &Message = Connection->Parser->get();
  const http_request Request{std::string(Message.method_string()),
                             std::string(Message.target()),
                             std::move(Message.body())};
  const std::uint64_t Number = Connection->RequestNumber;
  Connection->Server->Service.Handle(Connection, Request);
  if (Connection->RequestNumber == Number &&
      Connection->State != connection_state::Ended)
    watchPeer(Connection);
}

void requestRead(const http_connection_ptr &Connection, error_code Error) {
  if (Connection->State == connection_state::Ended)
    return;
  if (!Error)
    handleRequest(Connection);
  else if (isProtocolFault(Error))
    refuseRequest(Connection, Error);
  else
    closeConnection(Connection);
}

void readRequest(const http_connection_ptr &Connection) {
  if (Connection->Silent) {
    drain(Connection);
    return;
  }
  if (Connection->State == connection_state::Ended)
    return;
  Connection->State = connection_state::Reading;
  Connection->Parser.emplace();
  Connection->Parser->body_limit(Connection->Server->Limits.BodyBytes);
  http::async_read(Connection->Socket, Connection->Buffer, *Connection->Parser,
                   [Connection](error_code Error, std::size_t) {
                     if (Connection->Silent) {
                       if (Error)
                         closeSocket(*Connection);
                       else
                         drain(Connection);
                       return;
                     }
                     whenResumed(Connection, [Connection, Error] {
                       requestRead(Connection, Error);
                     });
                   });
}

void answerWritten(const http_connection_ptr &Connection, error_code Error) {
  if (Connection->Silent)
    drain(Connection);
  else if (Connection->State == connection_state::Ended)
    return;
  else if (Error)
    closeConnection(Connection);
  else if (!Connection->Response.keep_alive())
    linger(Connection);
  else
    readRequest(Connection);
}

void writeAnswer(const http_connection_ptr &Connection, unsigned Status,
                 std::string Body) {
  if (Connection->State != connection_state::Handling || Connection->Silent)
    return;
  Connection->State = connection_state::Writing;
  Connection->Response = {};
  auto &Response = Connection->Response;
  Response.version(11);
  Response.result(Status);
  Response.set(http::field::content_type, "application/json");
  Response.body() = std::move(Body);
  Response.keep_alive(Connection->Parser && Connection->Parser->keep_alive());
  Response.prepare_payload();
  http::async_write(Connection->Socket, Response,
                    [Connection](error_code Error, std::size_t) {
                      answerWritten(Connection, Error);
                    });
}

/// Writes the queue's front; the rest follows.
void writeChunks(const http_connection_ptr &Connection) {
  asio::async_write(Connection->Socket,
                    asio::buffer(Connection->Chunks.front()),
                    [Connection](error_code Error, std::size_t) {
                      if (Connection->State != connection_state::Streaming)
                        return;
                      if (Error) {
                        closeConnection(Connection);
                        return;
                      }
                      Connection->Chunks.pop_front();
                      if (!Connection->Chunks.empty())
                        writeChunks(Connection);
                    });
}

void queueBytes(const http_connection_ptr &Connection, std::string Bytes) {
  if (Connection->State != connection_state::Streaming || Connection->Silent)
    return;
  Connection->Chunks.push_back(std::move(Bytes));
  if (Connection->Chunks.size() == 1)
    writeChunks(Connection);
}

void startReading(const http_connection_ptr &Connection) {
  const duration ConnectTime = Connection->Server->Limits.ConnectTime;
  if (ConnectTime == duration::zero()) {
    readRequest(Connection);
    return;
  }
  Connection->Timer.expires_after(ConnectTime);
  Connection->Timer.async_wait([Connection](error_code Error) {
    if (!Error)
      readRequest(Connection);
  });
}

} // namespace

void openConnection(const http_server_ptr &Server, tcp::socket Socket) {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  const auto Connection =
      std::make_shared<http_connection>(Server, std::move(Socket));
  Server->Connections.emplace(Connection->Number, Connection);
  startReading(Connection);
}

void runHeldActions(const http_connection_ptr &Connection) {
  const std::vector<held_action> Actions = std::exchange(Connection->Held, {});
  for (const held_action &Action : Actions)
    Action();
}

void silenceConnection(const http_connection_ptr &Connection) {
  Connection->Silent = true;
  detach(Connection);
}

std::uint64_t connectionNumber(const http_connection &Connection) noexcept {
  return Connection.Number;
}

void sendAnswer(const http_connection_ptr &Connection, unsigned Status,
                std::string Body) {
  whenResumed(Connection, [Connection, Status, Body = std::move(Body)] {
    writeAnswer(Connection, Status, Body);
  });
}

void sendError(const http_connection_ptr &Connection, unsigned Status,
               const std::string &Reason) {
  sendAnswer(Connection, Status, errorText(Reason));
}

void beginStream(const http_connection_ptr &Connection) {
  if (Connection->State != connection_state::Handling)
    return;
  Connection->State = connection_state::Streaming;
  queueBytes(Connection, "HTTP/1.1 200 OK\r\n"
                         "Content-Type: application/json\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
}

void sendChunk(const http_connection_ptr &Connection,
               const std::string &Chunk) {
  std::array<char, 16> Size{};
  const int Digits =
      std::snprintf(Size.data(), Size.size(), "%zx", Chunk.size());
  std::string Bytes(Size.data(), static_cast<std::size_t>(Digits));
  Bytes += "\r\n" + Chunk + "\r\n";
  queueBytes(Connection, std::move(Bytes));
}

void closeConnection(const http_connection_ptr &Connection) {
  detach(Connection);
  closeSocket(*Connection);
}

} // namespace bronzespar::standin
