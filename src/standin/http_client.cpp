/// HTTP/1.1 client of the stand-ins, on Boost.Beast.
#include "http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace bronzespar::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t AnswerLimit = 16UL * 1024 * 1024;

} // namespace

struct http_client {
  http_client(asio::io_context &Context, tcp::endpoint Address)
      : Where(std::move(Address)), Stream(Context) {}

  tcp::endpoint Where;
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  std::optional<http::response_parser<http::string_body>> Parser;
  http_reply Reply; ///< Empty while nothing is outstanding.
  bool Connected = false;
};

namespace {

void closeStream(http_client &Client) {
  error_code Ignored;
  Client.Connected = false;
  Client.Buffer.clear();
  Client.Stream.expires_never();
  Client.Stream.socket().close(Ignored);
}

void finish(const http_client_ptr &Client,
            const std::optional<std::string> &Body) {
  if (!Body)
    closeStream(*Client);
  if (const http_reply Reply = std::exchange(Client->Reply, nullptr))
    Reply(Body);
}

void answerRead(const http_client_ptr &Client) {
  auto &Answer = Client->Parser->get();
  if (Answer.result() != http::status::ok) {
    finish(Client, std::nullopt);
    return;
  }
  const std::string Body = std::move(Answer.body());
  if (!Client->Parser->keep_alive())
    closeStream(*Client);
  finish(Client, Body);
}

void readAnswer(const http_client_ptr &Client) {
  Client->Parser.emplace();
  Client->Parser->body_limit(AnswerLimit);
  http::async_read(Client->Stream, Client->Buffer, *Client->Parser,
                   [Client](error_code Error, std::size_t) {
                     if (Error)
                       finish(Client, std::nullopt);
                     else
                       answerRead(Client);
                   });
}

void writeRequest(const http_client_ptr &Client) {
  http::async_write(Client->Stream, Client->Request,
                    [Client](error_code Error, std::size_t) {
                      if (Error)
                        finish(Client, std::nullopt);
                      else
                        readAnswer(Client);
                    });
}

void connect(const http_client_ptr &Client) {
  Client->Stream.async_connect(Client->Where, [Client](error_code Error) {
    if (Error) {
      finish(Client, std::nullopt);
      return;
    }
    error_code Ignored;
    Client->Stream.socket().set_option(tcp::no_delay(true), Ignored);
    Client->Connected = true;
    writeRequest(Client);
  });
}

} // namespace

http_client_ptr makeClient(asio::io_context &Context, const endpoint &Where) {
  return std::make_shared<http_client>(
      Context,
      tcp::endpoint(asio::ip::make_address(Where.Address), Where.Port));
}

void postJson(const http_client_ptr &Client, const std::string &Path,
              std::string Body, duration Timeout, http_reply Reply) {
  Client->Reply = std::move(Reply);
  auto &Request = Client->Request;
  Request = {};
  Request.version(11);
  Request.method(http::verb::post);
  Request.target(Path);
  Request.set(http::field::host, Client->Where.address().to_string());
  Request.set(http::field::content_type, "application/json");
  Request.body() = std::move(Body);
  Request.prepare_payload();
  Client->Stream.expires_after(Timeout);
  if (Client->Connected)
    writeRequest(Client);
  else
    connect(Client);
}

void closeClient(const http_client_ptr &Client) {
  Client->Reply = nullptr;
  closeStream(*Client);
}

} // namespace bronzespar::standin
