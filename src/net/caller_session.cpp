/// One caller's connection, by Boost.Beast.
#include "caller_session.hpp"

#include "clock.hpp"

#include <bronzespar/wire/caller_codec.hpp>

#include <boost/asio/read.hpp>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr unsigned HttpVersion = 11;

bool isHttpFault(const error_code &Error) {
  return Error.category() ==
         make_error_code(http::error::bad_version).category();
}

} // namespace

caller_reply refusal(unsigned Status, refusal_cause Cause,
                     std::string_view Detail) {
  return {Status,
          "application/problem+json",
          {},
          encodeProblem(Status, Cause, Detail)};
}

caller_session::caller_session(tcp::socket Accepted,
                               const caller_limits &Bounds,
                               const session_owner &Server)
    : Socket(std::move(Accepted)), Limits(Bounds), Owner(Server),
      Since(presentInstant()), Buffer(Bounds.HeaderBytes + Bounds.BodyBytes) {}

void caller_session::readRequest() {
  Phase = phase::Reading;
  Since = presentInstant();
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser->body_limit(Limits.BodyBytes);
  http::async_read(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        if (Self->Phase == phase::Reading)
          Self->takeRequest(Error);
      });
}

void caller_session::takeRequest(const error_code &Error) {
  if (Error) {
    refuse(Error);
    return;
  }
  Phase = phase::Serving;
  KeepAlive = Parser->keep_alive();
  watchCaller();
  Owner.Dispatch(shared_from_this(), Parser->get());
}

void caller_session::refuse(const error_code &Error) {
  // End of stream: closed between two requests.
  if (!isHttpFault(Error) || Error == http::error::end_of_stream) {
    close();
    return;
  }
  Phase = phase::Serving;
  constexpr auto Cause = refusal_cause::MalformedRequest;
  if (Error == http::error::body_limit || Error == http::error::buffer_overflow)
    reply(refusal(413, Cause, "the body is too long"), false);
  else if (Error == http::error::header_limit)
    reply(refusal(431, Cause, "the header is too long"), false);
  else if (Error == http::error::partial_message)
    reply(refusal(400, Cause, "the request was cut short"), false);
  else
    reply(refusal(400, Cause, "the request is not HTTP/1.1"), false);
}

/// Waits for the caller's closing while its request is served. A caller that
/// shuts down its sending side counts as gone.
void caller_session::watchCaller() {
  if (Buffer.size() != 0)
    return; // a further request is there already
  Socket.async_wait(tcp::socket::wait_read, [Self = shared_from_this()](
                                                const error_code &Error) {
    if (Error || Self->Phase != phase::Serving)
      return;
    char Byte = 0;
    error_code PeekError;
    const std::size_t Count = Self->Socket.receive(
        asio::buffer(&Byte, 1), tcp::socket::message_peek, PeekError);
    if (!PeekError && Count > 0)
      return; // a further request, read in its turn
    Self->Owner.Gone(*Self);
    Self->close();
  });
}

void caller_session::reply(caller_reply Reply, bool KeepOpen) {
  if (Phase != phase::Serving)
    return;
  Phase = phase::Writing;
  Since = presentInstant();
  Ref = {};
  const bool StaysOpen = KeepOpen && KeepAlive;
  Response = {static_cast<http::status>(Reply.Status), HttpVersion};
  Response.set(http::field::content_type, Reply.ContentType);
  for (const auto &[Name, Value] : Reply.Headers)
    Response.set(Name, Value);
  Response.body() = std::move(Reply.Body);
  Response.keep_alive(StaysOpen);
  Response.prepare_payload();
  http::async_write(Socket, Response,
                    [Self = shared_from_this(),
                     StaysOpen](const error_code &Error, std::size_t) {
                      if (Self->Phase != phase::Writing)
                        return;
                      if (Error)
                        Self->close();
                      else
                        Self->finishWrite(StaysOpen);
                    });
}

void caller_session::finishWrite(bool KeepOpen) {
  if (KeepOpen)
    readRequest();
  else
    linger();
}

/// Closing with unread input would reset the connection and could take the
/// answer away from the caller.
void caller_session::linger() {
  Phase = phase::Lingering;
  Since = presentInstant();
  error_code Error;
  Socket.shutdown(tcp::socket::shutdown_send, Error);
  if (Error)
    close();
  else
    discard();
}

void caller_session::discard() {
  Socket.async_read_some(
      asio::buffer(Discarded),
      [Self = shared_from_this()](const error_code &Error, std::size_t) {
        if (Self->Phase != phase::Lingering)
          return;
        if (Error)
          Self->close();
        else
          Self->discard();
      });
}

void caller_session::close() {
  if (Phase == phase::Closed)
    return;
  Phase = phase::Closed;
  error_code Ignored;
  Socket.close(Ignored);
  Owner.Closed(*this);
}

void caller_session::closeIfIdle() {
  if (Phase == phase::Reading)
    close();
}

void caller_session::closeIfOverdue(instant Now) {
  const duration Bound =
      Phase == phase::Lingering ? Limits.Linger : Limits.Idle;
  if (Phase != phase::Serving && Now - Since > Bound)
    close();
}

} // namespace bronzespar
