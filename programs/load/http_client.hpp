/// HTTP client with pooled connections; all on one thread.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/instant.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzespar::load {

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_call {
  endpoint Where;
  bool Post = true; ///< Else GET.
  std::string Path;
  header_list Headers;
  std::string Body;
  duration Timeout{};
};

/// \brief How far a call got.
enum class transport_end {
  Answered, ///< A whole answer came.
  NotSent,  ///< No connection: certainly nothing was sent.
  Lost      ///< Sent, but no whole answer came in time.
};

struct http_answer {
  transport_end End = transport_end::Lost;
  unsigned Status = 0;
  header_list Headers;
  std::string Body;
};

/// \brief Value of a header; empty if there is none.
[[nodiscard]] std::string headerOf(const http_answer &Answer,
                                   std::string_view Name);

using answer_handler = std::function<void(http_answer)>;

/// \brief Keeps idle connections to each address and uses them again.
class http_client {
public:
  explicit http_client(boost::asio::io_context &Context);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// \brief Makes a call; the handler runs exactly once, never at once.
  void send(http_call Call, answer_handler Handler);

  struct connection_pool;

private:
  std::shared_ptr<connection_pool> Pool;
};

} // namespace bronzespar::load
