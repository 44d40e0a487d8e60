/// Client side of a streamed answer, by Boost.Beast and Boost.JSON's stream
/// parser, which finds where each object ends.
#include "http_stream.hpp"

#include "one_shot.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/stream_parser.hpp>

#include <array>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr unsigned HttpVersion = 11;
constexpr std::size_t ChunkBytes = 16U << 10U;
/// A value is up to a megabyte, in base64.
constexpr std::size_t MaxObjectBytes = 4U << 20U;

/// Cuts a stream of JSON texts into objects.
class object_splitter {
public:
  /// \returns False when the stream is not JSON or an object is too long.
  template <class Handler> bool feed(std::string_view Bytes, Handler &&Take) {
    while (true) {
      if (Current.empty())
        Bytes = skipSpace(Bytes);
      if (Bytes.empty())
        return true;
      error_code Error;
      const std::size_t Used = Parser.write_some(Bytes, Error);
      if (Error || Current.size() + Used > MaxObjectBytes)
        return false;
      Current += Bytes.substr(0, Used);
      Bytes.remove_prefix(Used);
      if (!Parser.done())
        continue;
      Parser.reset();
      Take(std::exchange(Current, {}));
    }
  }

private:
  static std::string_view skipSpace(std::string_view Bytes) {
    const std::size_t Start = Bytes.find_first_not_of(" \r\n\t");
    return Start == std::string_view::npos ? std::string_view()
                                           : Bytes.substr(Start);
  }

  boost::json::stream_parser Parser;
  std::string Current;
};

} // namespace

struct http_stream::impl : std::enable_shared_from_this<impl> {
  impl(asio::io_context &Loop, duration Timeout, handlers Given)
      : Socket(Loop), DialTimer(Loop), DialTimeout(Timeout),
        Handlers(std::move(Given)) {}

  tcp::socket Socket;
  one_shot DialTimer;
  duration DialTimeout;
  handlers Handlers;
  bool Closed = false;
  http::request<http::string_body> Request;
  boost::beast::flat_buffer Buffer;
  http::response_parser<http::buffer_body> Parser;
  std::array<char, ChunkBytes> Chunk{};
  object_splitter Splitter;

  void close() {
    Closed = true;
    DialTimer.stop();
    error_code Ignored;
    Socket.close(Ignored);
  }

  void end() {
    if (Closed)
      return;
    close();
    const auto Ended = Handlers.Ended;
    Ended();
  }

  void dial(const endpoint &Where) {
    error_code Error;
    const auto Address = asio::ip::make_address(Where.Address, Error);
    if (!Error)
      Socket.open(tcp::v4(), Error);
    DialTimer.start(DialTimeout, [this] { end(); });
    if (Error)
      return; // ends by the timer
    Socket.async_connect(
        tcp::endpoint(Address, Where.Port),
        [Self = shared_from_this()](const error_code &ConnectError) {
          Self->sendRequest(ConnectError);
        });
  }

  void sendRequest(const error_code &Error) {
    if (Closed)
      return;
    DialTimer.stop();
    if (Error) {
      end();
      return;
    }
    http::async_write(
        Socket, Request,
        [Self = shared_from_this()](const error_code &WriteError, std::size_t) {
          Self->readHeader(WriteError);
        });
  }

  void readHeader(const error_code &Error) {
    if (Error) {
      end();
      return;
    }
    Parser.body_limit(boost::none); // bounded for each object instead
    http::async_read_header(
        Socket, Buffer, Parser,
        [Self = shared_from_this()](const error_code &ReadError, std::size_t) {
          if (Self->Closed)
            return;
          if (ReadError || Self->Parser.get().result() != http::status::ok)
            Self->end();
          else
            Self->readChunk();
        });
  }

  void readChunk() {
    Parser.get().body().data = Chunk.data();
    Parser.get().body().size = Chunk.size();
    http::async_read_some(
        Socket, Buffer, Parser,
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          if (!Self->Closed)
            Self->takeChunk(Error);
        });
  }

  void takeChunk(const error_code &Error) {
    const bool Failed = Error && Error != http::error::need_buffer;
    const std::size_t Size = Chunk.size() - Parser.get().body().size;
    const bool IsJson =
        Splitter.feed({Chunk.data(), Size}, [this](std::string Object) {
          if (!Closed)
            Handlers.Object(std::move(Object));
        });
    if (Closed)
      return;
    if (Failed || !IsJson || Parser.is_done())
      end();
    else
      readChunk();
  }
};

http_stream::http_stream(asio::io_context &Loop, const endpoint &Where,
                         const http_request &Request, duration DialTimeout,
                         handlers Handlers)
    : Impl(std::make_shared<impl>(Loop, DialTimeout, std::move(Handlers))) {
  Impl->Request = {http::verb::post, Request.Path, HttpVersion, Request.Body};
  Impl->Request.set(http::field::host, Where.Address);
  Impl->Request.set(http::field::content_type, "application/json");
  Impl->Request.prepare_payload();
  Impl->dial(Where);
}

http_stream::~http_stream() { Impl->close(); }

} // namespace bronzespar
