/// Client connections over HTTP/1.1, by Boost.Beast.
#include "http_connection.hpp"

#include "clock.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::uint32_t MaxAnswerHeaderBytes = 8U << 10U;
constexpr std::uint64_t MaxAnswerBodyBytes = 8U << 20U;
constexpr unsigned HttpVersion = 11;

exchange_fault faultOf(const error_code &Error) {
  if (Error == http::error::end_of_stream)
    return exchange_fault::Closed;
  const bool IsHttpFault =
      Error.category() == make_error_code(http::error::bad_version).category();
  return IsHttpFault ? exchange_fault::Invalid : exchange_fault::Closed;
}

} // namespace

struct http_connection::impl : std::enable_shared_from_this<impl> {
  enum class phase { Closed, Dialling, Idle, Busy };

  impl(asio::io_context &Loop, const endpoint &Address)
      : Socket(Loop), Timer(Loop), Where(Address) {}

  tcp::socket Socket;
  asio::steady_timer Timer;
  endpoint Where;
  phase Phase = phase::Closed;
  bool TimedOut = false;
  bool IdleWatchPending = false;
  bool WritePending = false;
  /// Invariant: empty while idle; a rest after an answer is a fault.
  boost::beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  std::optional<http::response_parser<http::string_body>> Parser;
  instant SentAt{};
  std::function<void(bool)> Dialled;
  std::function<void(http_reply)> Answered;
  std::function<void()> IdleEnded;

  void close() {
    Phase = phase::Closed;
    error_code Ignored;
    Socket.close(Ignored);
    Timer.cancel();
  }

  void startTimer(duration Timeout) {
    TimedOut = false;
    Timer.expires_after(Timeout);
    Timer.async_wait([Self = shared_from_this()](const error_code &Error) {
      const bool Expired = !Error && Self->Timer.expiry() <=
                                         asio::steady_timer::clock_type::now();
      const bool Waiting =
          Self->Phase == phase::Dialling || Self->Phase == phase::Busy;
      if (!Expired || !Waiting)
        return;
      Self->TimedOut = true;
      error_code Ignored;
      Self->Socket.close(Ignored);
    });
  }

  void dial(duration Timeout) {
    error_code Error;
    const auto Address = asio::ip::make_address(Where.Address, Error);
    if (!Error)
      Socket.open(tcp::v4(), Error);
    if (!Error)
      Socket.set_option(tcp::no_delay(true), Error);
    Phase = phase::Dialling;
    if (Error) {
      asio::post(Socket.get_executor(),
                 [Self = shared_from_this()] { Self->finishDial(false); });
      return;
    }
    startTimer(Timeout);
    Socket.async_connect(
        tcp::endpoint(Address, Where.Port),
        [Self = shared_from_this()](const error_code &ConnectError) {
          Self->finishDial(!ConnectError && !Self->TimedOut);
        });
  }

  void finishDial(bool Connected) {
    if (Phase != phase::Dialling)
      return;
    Timer.cancel();
    if (Connected)
      becomeIdle();
    else
      close();
    const auto Done = std::exchange(Dialled, nullptr);
    if (Done)
      Done(Connected);
  }

  void becomeIdle() {
    Phase = phase::Idle;
    if (!IdleEnded || IdleWatchPending)
      return;
    IdleWatchPending = true;
    Socket.async_wait(tcp::socket::wait_read,
                      [Self = shared_from_this()](const error_code &Error) {
                        Self->IdleWatchPending = false;
                        if (Error || Self->Phase != phase::Idle)
                          return;
                        Self->close();
                        Self->IdleEnded();
                      });
  }

  void exchange(std::optional<duration> Timeout) {
    Phase = phase::Busy;
    SentAt = presentInstant();
    if (Timeout)
      startTimer(*Timeout);
    http::async_write(
        Socket, Request,
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          if (Error)
            Self->finishExchange(Error);
        });
    Parser.emplace();
    Parser->header_limit(MaxAnswerHeaderBytes);
    Parser->body_limit(MaxAnswerBodyBytes);
    http::async_read(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](const error_code &Error, std::size_t) {
          Self->finishExchange(Error);
        });
  }

  void finishExchange(const error_code &Error) {
    if (Phase != phase::Busy)
      return;
    http_reply Reply;
    Reply.SentAt = SentAt;
    if (Error) {
      Reply.Fault = TimedOut ? exchange_fault::TimedOut : faultOf(Error);
      close();
    } else {
      takeAnswer(Reply);
    }
    const auto Done = std::exchange(Answered, nullptr);
    if (Done)
      Done(std::move(Reply));
  }

  void takeAnswer(http_reply &Reply) {
    Timer.cancel();
    const bool KeepsOpen = Parser->keep_alive() && !WritePending;
    Reply.Status = Parser->get().result_int();
    Reply.Body = std::move(Parser->get().body());
    if (Buffer.size() != 0) {
      Reply.Fault = exchange_fault::Invalid;
      close();
    } else if (KeepsOpen) {
      becomeIdle();
    } else {
      close();
    }
  }
};

http_connection::http_connection(asio::io_context &Loop, const endpoint &Where)
    : Impl(std::make_shared<impl>(Loop, Where)) {}

http_connection::~http_connection() {
  Impl->Dialled = nullptr;
  Impl->Answered = nullptr;
  Impl->close();
  Impl->IdleEnded = nullptr;
}

void http_connection::dial(duration Timeout, std::function<void(bool)> Done) {
  Impl->Dialled = std::move(Done);
  Impl->dial(Timeout);
}

void http_connection::exchange(const http_request &Request,
                               std::optional<duration> Timeout,
                               std::function<void(http_reply)> Done) {
  const auto Method = Request.Body.empty() ? http::verb::get : http::verb::post;
  Impl->Request = {Method, Request.Path, HttpVersion, Request.Body};
  Impl->Request.set(http::field::host, Impl->Where.Address);
  if (!Request.Body.empty())
    Impl->Request.set(http::field::content_type, "application/json");
  Impl->Request.prepare_payload();
  Impl->Answered = std::move(Done);
  Impl->exchange(Timeout);
}

void http_connection::watchIdle(std::function<void()> Ended) {
  Impl->IdleEnded = std::move(Ended);
}

bool http_connection::isIdle() const noexcept {
  return Impl->Phase == impl::phase::Idle;
}

} // namespace bronzespar
