/// HTTP calls by Boost.Beast, one connection for each.
#include <bronzespar/client/http_call.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>

namespace bronzespar::client {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint64_t LongestReply = 64ULL * 1024 * 1024; // bytes

/// Runs one asynchronous operation to its end.
template <class Start>
beast::error_code runOne(asio::io_context &Context, Start &&Operation) {
  beast::error_code Result;
  Operation([&Result](beast::error_code Error, auto &&...) { Result = Error; });
  Context.restart();
  Context.run();
  return Result;
}

http::request<http::string_body> makeRequest(const endpoint &Where,
                                             const http_call &Call) {
  http::request<http::string_body> Request;
  Request.method_string(Call.Method);
  Request.target(Call.Path);
  Request.version(11);
  Request.set(http::field::host, toText(Where));
  for (const http_header &Header : Call.Headers)
    Request.set(Header.Name, Header.Value);
  Request.body() = Call.Body;
  Request.prepare_payload();
  return Request;
}

auto fault(call_fault_kind Kind, const endpoint &Where,
           const beast::error_code &Error) {
  return boost::leaf::new_error(call_fault{Kind, Where, Error.message()});
}

} // namespace

boost::leaf::result<http_reply> callHttp(const endpoint &Where,
                                         const http_call &Call) {
  asio::io_context Context;
  beast::tcp_stream Stream(Context);
  Stream.expires_after(Call.Timeout);
  const asio::ip::tcp::endpoint Remote(asio::ip::make_address(Where.Address),
                                       Where.Port);
  auto Error = runOne(Context, [&](auto Done) {
    Stream.async_connect(Remote, std::move(Done));
  });
  if (Error)
    return fault(call_fault_kind::NotSent, Where, Error);

  const auto Request = makeRequest(Where, Call);
  Error = runOne(Context, [&](auto Done) {
    http::async_write(Stream, Request, std::move(Done));
  });
  if (Error)
    return fault(call_fault_kind::NoAnswer, Where, Error);

  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(LongestReply);
  Error = runOne(Context, [&](auto Done) {
    http::async_read(Stream, Buffer, Parser, std::move(Done));
  });
  if (Error)
    return fault(call_fault_kind::NoAnswer, Where, Error);
  return http_reply{Parser.get().result_int(), std::move(Parser.get().body())};
}

} // namespace bronzespar::client
