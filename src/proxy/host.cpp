/// One step of a session host.
#include "parts.hpp"

#include <utility>

namespace bronzespar::proxy {

namespace {

/// Entries that lapsed during an outage are back within this.
constexpr duration TargetEntryReturnTimeout = std::chrono::seconds(2);

void updateStoreReachability(step_context &Step, bool Reached) {
  host &State = Step.State;
  if (State.StoreReached == Reached)
    return;
  State.StoreReached = Reached;
  State.KeepAbsentUntil = Step.Now + TargetEntryReturnTimeout;
  logLine(Step, Reached ? "store.regained" : "store.lost", {});
}

void runPeriodicTasks(step_context &Step) {
  superviseLease(Step);
  superviseElectors(Step);
  superviseCoordinatorRole(Step);
  supervisePromotions(Step);
  dropAbsentTargets(Step);
  superviseConnections(Step);
  disconnectSilentOwners(Step);
  expireRequests(Step);
  endIdleTransactions(Step);
  redistributeRates(Step);
  requestTokens(Step);
  updateReadiness(Step);
  superviseIsolation(Step);
  superviseStop(Step);
}

struct event_handler {
  step_context &Step;

  void operator()(events::session_opened &What) {
    openSession(Step, std::move(What));
  }
  void operator()(events::statement_arrived &What) {
    acceptStatement(Step, std::move(What));
  }
  void operator()(events::session_closed &What) {
    closeSession(Step, What.Session);
  }
  void operator()(events::target_ready &What) { targetReady(Step, What); }
  void operator()(events::target_refused &What) { targetRefused(Step, What); }
  void operator()(events::target_answered &What) {
    targetAnswered(Step, std::move(What));
  }
  void operator()(events::target_lost &What) {
    targetLost(Step, What.Connection);
  }
  void operator()(events::target_probed &What) { targetProbed(Step, What); }
  void operator()(events::settings_changed &What) {
    adoptSettings(Step, std::move(What.Settings));
  }
  void operator()(events::targets_listed &What) {
    adoptTargets(Step, std::move(What.Targets));
  }
  void operator()(events::store_reachability_changed &What) {
    updateStoreReachability(Step, What.Reachable);
  }
  void operator()(events::isolation_changed &What) {
    isolationChanged(Step, What.Isolated);
  }
  void operator()(events::record_changed &What) {
    recordChanged(Step, What.Record);
  }
  void operator()(events::record_removed &What) {
    recordRemoved(Step, What.Key);
  }
  void operator()(events::records_read &What) { recordsRead(Step, What); }
  void operator()(events::change_ended &What) { changeEnded(Step, What); }
  void operator()(events::lease_answered &What) { leaseAnswered(Step, What); }
  void operator()(events::promotion_answered &What) {
    promotionAnswered(Step, What);
  }
  void operator()(events::forward_requested &What) {
    forwardRequested(Step, std::move(What));
  }
  void operator()(events::forward_ended &What) {
    forwardEnded(Step, {What.Link, What.Ticket});
  }
  void operator()(events::peer_lost &What) { peerLost(Step, What.Link); }
  void operator()(events::vote_requested &What) { voteRequested(Step, What); }
  void operator()(events::vote_received &What) {
    voteReceived(Step, What.Vote);
  }
  void operator()(events::tokens_requested &What) {
    tokensRequested(Step, What);
  }
  void operator()(events::tokens_granted &What) { tokensGranted(Step, What); }
  void operator()(events::stop_requested &) { requestStop(Step); }
  void operator()(events::tick &) { runPeriodicTasks(Step); }
};

} // namespace

void host_deleter::operator()(host *State) const noexcept { delete State; }

host_pointer makeHost(host_identity Identity) {
  host_pointer State(new host);
  State->Identity = std::move(Identity);
  return State;
}

void step(host &State, event What, instant Now, effect_list &Out) {
  step_context Step{State, Now, Out};
  if (State.StartedAt == instant{})
    State.StartedAt = Now;
  std::visit(event_handler{Step}, What);
  placeWaiting(Step);
}

void logLine(step_context &Step, std::string_view Event,
             std::initializer_list<effects::log_field> Fields) {
  Step.Out.push_back(effects::write_log{Event, Fields});
}

std::string retryAfterText(duration Wait) {
  return "retry after " + elapsedMsText(instant{}, instant(Wait)) + " ms";
}

duration withSafetyMargin(duration Length) noexcept {
  constexpr double Part = 0.9;
  return duration(
      static_cast<duration::rep>(static_cast<double>(Length.count()) * Part));
}

std::string elapsedMsText(instant Then, instant Now) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Then)
          .count());
}

} // namespace bronzespar::proxy
