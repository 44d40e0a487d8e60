/// HTTP server of callers and operators.
#pragma once

#include "event_sink.hpp"

#include <bronzespar/endpoint.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace bronzespar {

/// \brief Bounds of the caller server.
struct caller_limits {
  std::size_t HeaderBytes = 8U << 10U;
  std::size_t BodyBytes = 256U << 10U;
  std::size_t Connections = 4096;
  duration Idle = 60s;   ///< From one answer to the next whole request.
  duration Linger = 1s;  ///< To let a refused caller read the refusal.
  duration Closing = 2s; ///< To finish answers when stopping.
};

/// \brief Where the caller server hands things on.
struct caller_outlets {
  event_offer Offer; ///< New requests; may be refused when full.
  event_sink Report; ///< Callers that went away.
  /// Asks for the metrics text; answered by answerMetrics. False when full.
  std::function<bool(caller_ref)> AskMetrics;
  std::function<void()> Stopped; ///< All connections are closed.
};

/// \brief Adapter of callers and operators.
class caller_server {
public:
  /// \param IdPrefix Starts each request's id; unique for each start of a host.
  caller_server(boost::asio::io_context &Loop, const caller_limits &Limits,
                std::string IdPrefix, caller_outlets Outlets);
  caller_server(const caller_server &) = delete;
  caller_server &operator=(const caller_server &) = delete;
  ~caller_server();

  /// \brief Starts to listen. \returns False when the address cannot be had.
  [[nodiscard]] bool listen(const endpoint &Where);
  /// \brief Address listened on, with the port the system chose for port 0.
  [[nodiscard]] endpoint where() const;

  void carryOut(const effects::answer_caller &Effect);
  void carryOut(const effects::answer_explain &Effect);
  void carryOut(const effects::answer_status &Effect);
  void carryOut(const effects::set_ready &Effect);
  void answerMetrics(caller_ref Caller, const std::string &Text);

  /// \brief Stops to listen, lets answers go out, closes, calls Stopped.
  void stop();

private:
  struct impl;
  std::shared_ptr<impl> Impl;
};

} // namespace bronzespar
