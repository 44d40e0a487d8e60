/// Callers' sessions and the requests that they send.
#pragma once

#include "http_client.hpp"
#include "run_settings.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <random>

namespace bronzespar::load {

/// \brief One session of one account. It has one request out at a time.
struct caller_session {
  std::uint32_t Id = 0; ///< Unique over all accounts.
  std::uint32_t Account = NoAccount;
  std::uint32_t Number = 0; ///< Within the account.
  bool Busy = false;
  std::string Token;
  /// Latest sequence of each row that the session writes, by group and row.
  std::map<std::pair<std::string, std::string>, std::uint32_t> Sequences;
};

struct entry_host {
  load_host Host;
  bool Ready = false; ///< By the balancer's check.
};

/// \brief State of the load tool while it drives load.
struct driver {
  boost::asio::io_context &Context;
  const load_run &Run;
  http_client Client;
  std::vector<planned_work> Plan;
  std::size_t NextWork = 0;
  std::chrono::steady_clock::time_point Start;
  std::vector<entry_host> Hosts;
  /// By account number; the last entry is for open routes.
  std::vector<std::deque<caller_session>> Sessions;
  std::uint32_t NextSession = 1;
  std::uint64_t NextKey = 1; ///< Numbers idempotency keys.
  std::mt19937_64 Random;    ///< Chooses hosts.
  history History;
  std::size_t Working = 0; ///< Pieces of work that have not ended.

  driver(boost::asio::io_context &ForContext, const load_run &ForRun);
};

/// \brief The present moment on the history's time line.
[[nodiscard]] instant nowOf(const driver &Driver);

/// \brief What one request asks for.
struct request_plan {
  const route_settings *Route = nullptr;
  statement_kind Kind = statement_kind::Read;
  std::string Row;
  std::string Value;
  std::vector<row_write> Writes;
  std::optional<duration> MaxAge;
  std::string IdempotencyKey;
  bool InTransaction = false;
  std::string Transaction;
};

/// Called with the record and the transaction's id, if one was returned.
using request_handler =
    std::function<void(const request_record &, const std::string &)>;

/// \brief Sends one request by a random host that is ready, and records it.
void sendRequest(driver &Driver, caller_session &Session,
                 const request_plan &Plan, request_handler Handler);

/// \brief Runs one piece of work to its end.
void runWork(driver &Driver, const planned_work &Work);

/// \brief Asks each host whether it is ready; calls Handler once all have
/// answered.
void probeHosts(driver &Driver, const std::function<void()> &Handler);

} // namespace bronzespar::load
