/// HTTP client over Boost.Beast.
#include "http_client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <map>
#include <utility>

namespace bronzespar::load {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using stream_ptr = std::unique_ptr<beast::tcp_stream>;

constexpr unsigned HttpVersion = 11;
/// Longest wait for a connection.
constexpr auto ConnectTimeout = std::chrono::milliseconds(1000);

} // namespace

struct http_client::connection_pool {
  asio::io_context &Context;
  std::map<endpoint, std::vector<stream_ptr>> Idle;
};

namespace {

using pool_ptr = std::shared_ptr<http_client::connection_pool>;

/// One call from connecting to its answer.
struct exchange : std::enable_shared_from_this<exchange> {
  pool_ptr Pool;
  http_call Call;
  answer_handler Handler;
  stream_ptr Stream;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response_parser<http::string_body> Answer;

  exchange(pool_ptr ForPool, http_call ToCall, answer_handler WithHandler)
      : Pool(std::move(ForPool)), Call(std::move(ToCall)),
        Handler(std::move(WithHandler)) {}
};

using exchange_ptr = std::shared_ptr<exchange>;

void finish(exchange &Exchange, http_answer Answer) {
  const answer_handler Handler = std::exchange(Exchange.Handler, nullptr);
  if (Handler)
    Handler(std::move(Answer));
}

void finishWhole(exchange &Exchange) {
  const auto &Message = Exchange.Answer.get();
  http_answer Answer;
  Answer.End = transport_end::Answered;
  Answer.Status = Message.result_int();
  for (const auto &Field : Message)
    Answer.Headers.emplace_back(Field.name_string(), Field.value());
  Answer.Body = Message.body();
  if (Message.keep_alive()) {
    Exchange.Stream->expires_never();
    Exchange.Pool->Idle[Exchange.Call.Where].push_back(
        std::move(Exchange.Stream));
  }
  finish(Exchange, std::move(Answer));
}

void prepare(exchange &Exchange) {
  const http_call &Call = Exchange.Call;
  auto &Request = Exchange.Request;
  Request.version(HttpVersion);
  Request.method(Call.Post ? http::verb::post : http::verb::get);
  Request.target(Call.Path);
  Request.set(http::field::host, toText(Call.Where));
  for (const auto &[Name, Value] : Call.Headers)
    Request.set(Name, Value);
  if (Call.Post)
    Request.set(http::field::content_type, "application/json");
  Request.body() = Call.Body;
  Request.prepare_payload();
  Exchange.Answer.body_limit(boost::none);
}

void sendOn(const exchange_ptr &Exchange) {
  Exchange->Stream->expires_after(Exchange->Call.Timeout);
  http::async_write(*Exchange->Stream, Exchange->Request,
                    [Exchange](error_code Error, std::size_t) {
                      if (Error)
                        finish(*Exchange, {});
                    });
  http::async_read(*Exchange->Stream, Exchange->Buffer, Exchange->Answer,
                   [Exchange](error_code Error, std::size_t) {
                     if (!Exchange->Handler)
                       return;
                     if (Error)
                       finish(*Exchange, {});
                     else
                       finishWhole(*Exchange);
                   });
}

void connect(const exchange_ptr &Exchange) {
  const endpoint &Where = Exchange->Call.Where;
  Exchange->Stream =
      std::make_unique<beast::tcp_stream>(Exchange->Pool->Context);
  Exchange->Stream->expires_after(ConnectTimeout);
  const asio::ip::tcp::endpoint Peer(asio::ip::make_address_v4(Where.Address),
                                     Where.Port);
  Exchange->Stream->async_connect(Peer, [Exchange](error_code Error) {
    if (Error) {
      http_answer Answer;
      Answer.End = transport_end::NotSent;
      finish(*Exchange, std::move(Answer));
      return;
    }
    Exchange->Stream->socket().set_option(asio::ip::tcp::no_delay(true));
    sendOn(Exchange);
  });
}

/// False once the peer has closed an idle connection.
bool isOpen(beast::tcp_stream &Stream) {
  char Byte = 0;
  error_code Error;
  Stream.socket().non_blocking(true, Error);
  Stream.socket().receive(asio::buffer(&Byte, 1),
                          asio::socket_base::message_peek, Error);
  return Error == asio::error::would_block;
}

/// An idle connection to an address, if there is one.
stream_ptr takeIdle(http_client::connection_pool &Pool, const endpoint &Where) {
  auto &Idle = Pool.Idle[Where];
  while (!Idle.empty()) {
    stream_ptr Stream = std::move(Idle.back());
    Idle.pop_back();
    if (isOpen(*Stream))
      return Stream;
  }
  return nullptr;
}

} // namespace

std::string headerOf(const http_answer &Answer, std::string_view Name) {
  for (const auto &[Field, Value] : Answer.Headers) {
    if (beast::iequals(Field, {Name.data(), Name.size()}))
      return Value;
  }
  return {};
}

http_client::http_client(asio::io_context &Context)
    : Pool(std::make_shared<connection_pool>(connection_pool{Context, {}})) {}

http_client::~http_client() = default;

void http_client::send(http_call Call, answer_handler Handler) {
  auto Exchange =
      std::make_shared<exchange>(Pool, std::move(Call), std::move(Handler));
  prepare(*Exchange);
  Exchange->Stream = takeIdle(*Pool, Exchange->Call.Where);
  if (Exchange->Stream)
    sendOn(Exchange);
  else
    connect(Exchange);
}

} // namespace bronzespar::load
