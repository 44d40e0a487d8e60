/// HTTP server on Boost.Beast.
#include "text_server.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>

namespace bronzespar::serve {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

/// A connection without a complete request for this long is closed.
constexpr auto IdleTimeout = std::chrono::seconds(15);
constexpr std::uint32_t MaxHeaderBytes = 8192;
/// Delay before the next connection is accepted when none could be, for want of
/// a descriptor.
constexpr auto AcceptDelay = std::chrono::milliseconds(100);

} // namespace

struct text_server::connection : std::enable_shared_from_this<connection> {
  connection(tcp::socket Socket, const handler &Handler)
      : Stream(std::move(Socket)), Answer(Handler) {}

  void read() {
    Parser.emplace();
    Parser->header_limit(MaxHeaderBytes);
    Stream.expires_after(IdleTimeout);
    http::async_read(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](beast::error_code Failed, std::size_t) {
          if (!Failed)
            Self->write();
        });
  }

  void write() {
    const auto &Request = Parser->get();
    text_answer Out = Answer(std::string(Request.target()));
    Response = {};
    Response.version(Request.version());
    Response.result(Out.Status);
    Response.keep_alive(Request.keep_alive());
    Response.set(http::field::content_type, "text/plain; version=0.0.4");
    Response.body() = std::move(Out.Body);
    Response.prepare_payload();
    http::async_write(
        Stream, Response,
        [Self = shared_from_this()](beast::error_code Failed, std::size_t) {
          if (!Failed && Self->Response.keep_alive())
            Self->read();
        });
  }

  beast::tcp_stream Stream;
  const handler &Answer;
  beast::flat_buffer Buffer{std::size_t{2} * MaxHeaderBytes};
  /// A request has no body; one with a body is an error.
  std::optional<http::request_parser<http::empty_body>> Parser;
  http::response<http::string_body> Response;
};

text_server::text_server(boost::asio::io_context &Io, const endpoint &Where,
                         handler Handler, std::size_t MaxOpen)
    : Acceptor(Io, toAsio(Where), true), AcceptTimer(Io),
      Answer(std::move(Handler)), MaxConnections(MaxOpen) {}

void text_server::start() { accept(); }

void text_server::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Failed) {
          add(std::move(Socket));
          accept();
          return;
        }
        AcceptTimer.expires_after(AcceptDelay);
        AcceptTimer.async_wait([this](boost::system::error_code Cancelled) {
          if (!Cancelled)
            accept();
        });
      });
}

void text_server::add(tcp::socket Socket) {
  Connections.remove_if([](const auto &Each) { return Each.expired(); });
  if (Connections.size() >= MaxConnections) {
    if (const auto Oldest = Connections.front().lock())
      Oldest->Stream.close();
    Connections.pop_front();
  }
  const auto Added = std::make_shared<connection>(std::move(Socket), Answer);
  Connections.push_back(Added);
  Added->read();
}

} // namespace bronzespar::serve
