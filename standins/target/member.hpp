/// A running stand-in target: its log and the servers around it. All of it
/// lives on one thread.
#pragma once

#include "standin/group_plan.hpp"
#include "standin/http_client.hpp"
#include "standin/http_server.hpp"

#include <bronzespar/standin/member_state.hpp>
#include <bronzespar/standin/replication.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace bronzespar::standin {

using steady_time = std::chrono::steady_clock::time_point;
using timer_ptr = std::shared_ptr<boost::asio::steady_timer>;
using transaction_ptr = std::shared_ptr<transaction_buffer>;

/// \brief Costs that the member models.
struct member_costs {
  std::chrono::milliseconds Lag{20};      ///< Until a replica shows an entry.
  std::chrono::milliseconds Statement{1}; ///< Of a slot for each statement.
  std::chrono::milliseconds Connect{12};  ///< Of accepting a connection.
};

/// \brief A statement that waits for a slot.
struct waiting_statement {
  http_connection_ptr Connection;
  transaction_ptr Transaction;
  target_request Request;
  timer_ptr Bound; ///< Answers Busy when the wait has been too long.
};

/// \brief A request withheld until the state changes or its time is over.
template <class Request> struct withheld_request {
  http_connection_ptr Connection;
  Request Asked;
  steady_time Since;
  timer_ptr Bound;
};

/// \brief Entries that have come in but are not yet visible.
struct delayed_pull {
  steady_time Arrived;
  steady_time HeardAt; ///< The primary's state is at least as late as this.
  pull_answer Answer;
};

/// \brief The replica's side of replication.
struct replica_link {
  http_client_ptr Client;
  std::uint64_t Generation = 0; ///< Grows with every restart of pulling.
  std::deque<delayed_pull> Delayed;
  std::unique_ptr<boost::asio::steady_timer> ApplyTimer;
  std::unique_ptr<boost::asio::steady_timer> RetryTimer;
  std::optional<delayed_pull> HeldByCut; ///< Arrived during a cut.
  log_position PrimaryPosition;          ///< Of the latest visible pull.
  std::optional<steady_time> HeardAt;
};

/// \brief All state of the process.
/// Invariant: Running <= Plan.Self.Slots; Waiting is empty while a slot is
/// free.
struct member {
  member(boost::asio::io_context &Owner, group_plan Group, member_log Start,
         member_costs Modelled, std::uint64_t Seed)
      : Context(Owner), Plan(std::move(Group)), Costs(Modelled),
        Lag(Modelled.Lag), Random(Seed), Log(std::move(Start)) {}

  boost::asio::io_context &Context;
  group_plan Plan;
  member_costs Costs;
  std::chrono::milliseconds Lag;
  std::mt19937_64 Random;
  member_log Log;
  member_counts Counts;
  bool Cut = false;
  bool Leaving = false;
  steady_time LeavingSince;

  http_server_ptr Statements;
  http_server_ptr Maintenance;
  http_server_ptr Replication;
  http_server_ptr Control;

  std::uint32_t Running = 0;
  std::list<waiting_statement> Waiting;
  std::map<std::uint64_t, transaction_ptr> Transactions; ///< By connection.
  std::list<withheld_request<report_request>> Reports;
  std::list<withheld_request<pull_request>> Pulls;
  replica_link Link;
};

using member_ptr = std::shared_ptr<member>;

/// \brief Starts the four servers.
void startStatements(const member_ptr &Member);
void startMaintenance(const member_ptr &Member);
void startReplication(const member_ptr &Member);
void startControl(const member_ptr &Member, const endpoint &Where);

/// \brief Describes the member at this moment.
[[nodiscard]] member_report describeMember(const member &Member);

/// \brief Answers whoever waits for a change. To be called after each change of
/// the log, role, term or leaving.
void stateChanged(const member_ptr &Member);

/// \brief Refuses waiting statements whose term has passed.
void refuseWrongTerms(const member_ptr &Member);
/// \brief Answers report requests that the state now differs from.
void answerReports(const member_ptr &Member);
/// \brief Answers pulls for which there is something new.
void answerPulls(const member_ptr &Member);

/// \brief Starts pulling afresh from the primary that the log names, or stops
/// when the member is no replica.
void restartPulling(const member_ptr &Member);
/// \brief Goes on after a cut.
void resumePulling(const member_ptr &Member);
/// \brief Makes the link's open connection silent for good.
void silencePulling(const member_ptr &Member);
/// \brief Delays entries by the lag now in force, also those that wait.
void applyLag(const member_ptr &Member);

} // namespace bronzespar::standin
