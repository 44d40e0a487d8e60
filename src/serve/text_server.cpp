/// HTTP server on Boost.Beast.
#include "text_server.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <memory>

namespace bronzespar::serve {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

/// A connection without a complete request for this long is closed.
constexpr auto IdleTimeout = std::chrono::seconds(15);

} // namespace

struct text_server::connection : std::enable_shared_from_this<connection> {
  connection(tcp::socket Socket, const handler &Handler)
      : Stream(std::move(Socket)), Answer(Handler) {}

  void read() {
    Request = {};
    Stream.expires_after(IdleTimeout);
    http::async_read(
        Stream, Buffer, Request,
        [Self = shared_from_this()](beast::error_code Failed, std::size_t) {
          if (!Failed)
            Self->write();
        });
  }

  void write() {
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
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response<http::string_body> Response;
};

text_server::text_server(boost::asio::io_context &Io, const endpoint &Where,
                         handler Handler)
    : Acceptor(Io, toAsio(Where), true), Answer(std::move(Handler)) {}

void text_server::start() { accept(); }

void text_server::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Failed)
          std::make_shared<connection>(std::move(Socket), Answer)->read();
        accept();
      });
}

} // namespace bronzespar::serve
