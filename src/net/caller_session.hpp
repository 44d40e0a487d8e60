/// One caller's connection: reads requests, keeps their order, notices when
/// the caller goes away.
#pragma once

#include "caller_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace bronzespar {

/// \brief An answer, apart from how it is sent.
struct caller_reply {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

/// \brief Makes a refusal of the adapter itself.
[[nodiscard]] caller_reply refusal(unsigned Status, refusal_cause Cause,
                                   std::string_view Detail);

class caller_session;
using caller_http_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/// \brief What a session asks of its server.
struct session_owner {
  std::function<void(const std::shared_ptr<caller_session> &,
                     const caller_http_request &)>
      Dispatch;
  std::function<void(caller_session &)> Gone; ///< Left while being served.
  std::function<void(caller_session &)> Closed;
};

/// \brief A caller's connection.
/// Invariant: at most one request is being served; the next one is read only
/// after its answer has been written.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
  caller_session(boost::asio::ip::tcp::socket Accepted,
                 const caller_limits &Bounds, const session_owner &Server);

  void start() { readRequest(); }
  /// \brief Answers the request being served.
  /// \param KeepOpen False: the connection is closed after the answer.
  void reply(caller_reply Reply, bool KeepOpen);
  void close();
  /// \brief Closes unless a request is being served, or its answer is on its
  /// way.
  void closeIfIdle();
  /// \brief Closes if the connection has been idle for too long.
  void closeIfOverdue(instant Now);

  caller_ref Ref; ///< Request being served; 0 when none is.

private:
  enum class phase { Reading, Serving, Writing, Lingering, Closed };

  void readRequest();
  void takeRequest(const boost::system::error_code &Error);
  void refuse(const boost::system::error_code &Error);
  void watchCaller();
  void finishWrite(bool KeepOpen);
  void linger();
  void discard();

  boost::asio::ip::tcp::socket Socket;
  const caller_limits &Limits;
  const session_owner &Owner;
  phase Phase = phase::Reading;
  bool KeepAlive = true; ///< Asked for by the request being served.
  instant Since{};       ///< Start of the phase.
  boost::beast::flat_buffer Buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      Parser;
  boost::beast::http::response<boost::beast::http::string_body> Response;
  std::array<char, 4096> Discarded{};
};

} // namespace bronzespar
