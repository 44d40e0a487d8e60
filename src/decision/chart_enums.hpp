/// States, events, guards and actions of the state charts (SCXML) of requests,
/// runs and connections. The enumerator names are the names in the SCXML files.
#pragma once

#include <bronzespar/compiled_chart.hpp>
#include <bronzespar/failover.hpp>

namespace bronzespar::impl {

/// \brief States of a request at its entry host, see charts/request.scxml.
enum class request_state {
  Checking,        ///< Key, route and rate limit are being checked.
  AwaitingRate,    ///< Waiting for a token of its account's rate limit.
  Choosing,        ///< A group member is being chosen.
  CatchingUp,      ///< Waiting for a member to reach the required position.
  AwaitingPrimary, ///< Waiting until the group has a primary.
  BackingOff,      ///< Waiting for the next retry.
  AtOwner,         ///< Forwarded to a pool owner, not answered yet.
  Finished
};
BOOST_DESCRIBE_ENUM(request_state, Checking, AwaitingRate, Choosing, CatchingUp,
                    AwaitingPrimary, BackingOff, AtOwner, Finished)

enum class request_event {
  RateAwaited,
  Accepted,
  Refused,
  TargetChosen,
  MustCatchUp,
  PrimaryMissing,
  ViewChanged,
  Answered, ///< The pool owner returned a final answer.
  NotRun,   ///< The pool owner reported that the target did not run it.
  Lost,     ///< It was sent, and its outcome can no longer be learned.
  DeadlinePassed,
  CallerGone
};
BOOST_DESCRIBE_ENUM(request_event, RateAwaited, Accepted, Refused, TargetChosen,
                    MustCatchUp, PrimaryMissing, ViewChanged, Answered, NotRun,
                    Lost, DeadlinePassed, CallerGone)

enum class request_guard { MayMove, MayRepeat };
BOOST_DESCRIBE_ENUM(request_guard, MayMove, MayRepeat)

enum class request_action {
  ChooseTarget,
  SendToOwner,
  PlanRetry,
  StopAwaitingRate,
  AnswerSuccess,
  AnswerRefusal,
  AnswerDeadline
};
BOOST_DESCRIBE_ENUM(request_action, ChooseTarget, SendToOwner, PlanRetry,
                    StopAwaitingRate, AnswerSuccess, AnswerRefusal,
                    AnswerDeadline)

using request_chart =
    compiled_chart<request_state, request_event, request_guard, request_action>;

/// \brief States of a run, that is of one execution of a statement at the pool
/// owner, see charts/run.scxml.
enum class run_state {
  Queued,     ///< Waiting for a slot.
  Connecting, ///< Holds a slot, waiting for a connection.
  Running,    ///< The statement was sent and has not been answered.
  Confirming, ///< Answered; waiting until a majority holds its log position.
  Finished
};
BOOST_DESCRIBE_ENUM(run_state, Queued, Connecting, Running, Confirming,
                    Finished)

enum class run_event {
  SlotGranted,
  StatementSent,
  Done,            ///< The target ran it.
  Refused,         ///< The target did not run it.
  ConnectionLost,  ///< Its connection closed before an answer arrived.
  PositionReached, ///< A majority holds its log position.
  Superseded,      ///< A later term has replaced the term it was sent in.
  DeadlinePassed,
  TransactionLost ///< Its transaction ended before the statement was sent.
};
BOOST_DESCRIBE_ENUM(run_event, SlotGranted, StatementSent, Done, Refused,
                    ConnectionLost, PositionReached, Superseded, DeadlinePassed,
                    TransactionLost)

enum class run_guard { NeedsConfirmation };
BOOST_DESCRIBE_ENUM(run_guard, NeedsConfirmation)

enum class run_action {
  FindConnection,
  ReleaseSlot,
  AwaitMajority,
  ReportDone,
  ReportNotRun,
  ReportLost,
  CloseConnection
};
BOOST_DESCRIBE_ENUM(run_action, FindConnection, ReleaseSlot, AwaitMajority,
                    ReportDone, ReportNotRun, ReportLost, CloseConnection)

using run_chart = compiled_chart<run_state, run_event, run_guard, run_action>;

/// \brief States of a pooled connection, see charts/connection.scxml.
enum class connection_state {
  Dialling,
  Idle,
  Running, ///< A statement was sent and has not been answered.
  Pinned,  ///< Reserved for an open transaction, no statement outstanding.
  Closed
};
BOOST_DESCRIBE_ENUM(connection_state, Dialling, Idle, Running, Pinned, Closed)

enum class connection_event {
  Connected,
  Disconnected, ///< The socket has been closed or never connected.
  StatementSent,
  Answered,
  Overdue, ///< No answer, or no connection, within the timeout.
  Retired  ///< The proxy no longer needs or trusts the connection.
};
BOOST_DESCRIBE_ENUM(connection_event, Connected, Disconnected, StatementSent,
                    Answered, Overdue, Retired)

enum class connection_guard { InTransaction };
BOOST_DESCRIBE_ENUM(connection_guard, InTransaction)

enum class connection_action {
  CloseSocket,
  DelayDialling,  ///< Back off before the next dial to this target.
  RetireSiblings, ///< Close idle connections that have not answered since.
  FailRun,        ///< Report the outstanding statement as lost.
  LoseTransaction,
  Forget
};
BOOST_DESCRIBE_ENUM(connection_action, CloseSocket, DelayDialling,
                    RetireSiblings, FailRun, LoseTransaction, Forget)

using connection_chart = compiled_chart<connection_state, connection_event,
                                        connection_guard, connection_action>;

/// \brief The compiled state charts of a host.
struct chart_set {
  request_chart Request;
  run_chart Run;
  connection_chart Connection;
  promotion_chart Promotion;
};

/// \brief Loads request.scxml, run.scxml, connection.scxml and promotion.scxml
/// from a directory.
[[nodiscard]] boost::leaf::result<chart_set>
loadCharts(const std::string &Directory);

} // namespace bronzespar::impl
