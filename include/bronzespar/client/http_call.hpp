/// One HTTP/1.1 call, made and waited for: what command-line tools need.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace bronzespar::client {

struct http_header {
  std::string Name;
  std::string Value;
};

struct http_call {
  std::string Method = "GET";
  std::string Path = "/";
  std::vector<http_header> Headers;
  std::string Body;
  duration Timeout = 5s;
};

struct http_reply {
  unsigned Status = 0;
  std::string Body;
};

/// \brief How far a failed call got.
enum class call_fault_kind {
  NotSent, ///< No connection: the call certainly had no effect.
  NoAnswer ///< Sent, but no whole answer came: it may have had its effect.
};
BOOST_DESCRIBE_ENUM(call_fault_kind, NotSent, NoAnswer)

/// \brief Error of the client layer.
struct call_fault {
  call_fault_kind Kind = call_fault_kind::NotSent;
  endpoint Where;
  std::string Reason;
};

/// \brief Makes a call and waits for the answer.
/// \returns The reply, whatever its status, or an error carrying call_fault.
[[nodiscard]] boost::leaf::result<http_reply> callHttp(const endpoint &Where,
                                                       const http_call &Call);

} // namespace bronzespar::client
