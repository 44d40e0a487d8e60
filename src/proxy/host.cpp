/// Dispatch of events to the parts of a session host, and its periodic tasks.
#include "parts.hpp"

#include <utility>

namespace bronzespar::proxy {

namespace {

/// Target entries that expired during a store outage are listed again within
/// this time.
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
  if (Step.State.HasEnded)
    return;
  reportPendingForwards(Step);
  superviseSamples(Step);
  superviseWitnesses(Step);
  superviseLease(Step);
  superviseRestore(Step);
  superviseElectors(Step);
  superviseWorkAtPrimaries(Step);
  superviseEvacuations(Step);
  superviseCoordinatorRole(Step);
  supervisePromotions(Step);
  dropAbsentTargets(Step);
  superviseConnections(Step);
  disconnectUnresponsiveOwners(Step);
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

  void operator()(events::session_opened &Event) {
    openSession(Step, std::move(Event));
  }
  void operator()(events::statement_arrived &Event) {
    acceptStatement(Step, std::move(Event));
  }
  void operator()(events::session_closed &Event) {
    closeSession(Step, Event.Session);
  }
  void operator()(events::target_ready &Event) { targetReady(Step, Event); }
  void operator()(events::target_refused &Event) { targetRefused(Step, Event); }
  void operator()(events::target_answered &Event) {
    targetAnswered(Step, std::move(Event));
  }
  void operator()(events::target_lost &Event) {
    targetLost(Step, Event.Connection);
  }
  void operator()(events::target_probed &Event) {
    noteStatus(Step, Event);
    targetProbed(Step, Event);
  }
  void operator()(events::settings_changed &Event) {
    adoptSettings(Step, std::move(Event.Settings));
  }
  void operator()(events::targets_listed &Event) {
    adoptTargets(Step, std::move(Event.Targets));
  }
  void operator()(events::store_reachability_changed &Event) {
    updateStoreReachability(Step, Event.Reachable);
  }
  void operator()(events::isolation_changed &Event) {
    isolationChanged(Step, Event.Isolated);
  }
  void operator()(events::store_restored &Event) { storeRestored(Step, Event); }
  void operator()(events::evacuations_changed &Event) {
    evacuationsChanged(Step, std::move(Event));
  }
  void operator()(events::record_changed &Event) {
    recordChanged(Step, Event.Record);
  }
  void operator()(events::record_removed &Event) { recordRemoved(Step, Event); }
  void operator()(events::records_read &Event) { recordsRead(Step, Event); }
  void operator()(events::change_ended &Event) { changeEnded(Step, Event); }
  void operator()(events::lease_answered &Event) { leaseAnswered(Step, Event); }
  void operator()(events::promotion_sent &Event) { promotionSent(Step, Event); }
  void operator()(events::promotion_answered &Event) {
    promotionAnswered(Step, Event);
  }
  void operator()(events::forward_requested &Event) {
    forwardRequested(Step, std::move(Event));
  }
  void operator()(events::forward_ended &Event) {
    forwardEnded(Step, {Event.Link, Event.Ticket});
  }
  void operator()(events::forward_pending &Event) {
    forwardPending(Step, Event.Link);
  }
  void operator()(events::peer_lost &Event) {
    if (!Event.LastTicket)
      forgetTokenRequests(Step.State.Allowances, Event.Link);
    peerLost(Step, Event);
  }
  void operator()(events::link_replaced &Event) {
    // Nothing answers what was sent on the silent connection.
    forgetTokenRequests(Step.State.Allowances, Event.Link);
    linkReplaced(Step, Event);
  }
  void operator()(events::peer_stopping &Event) { peerStopping(Step, Event); }
  void operator()(events::vote_requested &Event) { voteRequested(Step, Event); }
  void operator()(events::vote_received &Event) {
    voteReceived(Step, Event.Vote);
  }
  void operator()(events::position_requested &Event) {
    positionRequested(Step, Event);
  }
  void operator()(events::position_received &Event) {
    positionReceived(Step, Event.Shared);
  }
  void operator()(events::tokens_requested &Event) {
    tokensRequested(Step, Event);
  }
  void operator()(events::tokens_granted &Event) { tokensGranted(Step, Event); }
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

void step(host &State, event Event, instant Now, effect_list &Effects) {
  step_context Step{State, Now, Effects};
  if (State.StartedAt == instant{})
    State.StartedAt = Now;
  noteStepGap(Step);
  std::visit(event_handler{Step}, Event);
  placeWaiting(Step);
  closeAnsweredSessions(Step);
}

void logLine(step_context &Step, std::string_view Event,
             std::initializer_list<effects::log_field> Fields) {
  Step.Out.push_back(effects::write_log{Event, Fields});
}

std::string retryAfterText(duration Wait) {
  return "retry after " + elapsedMsText(instant{}, instant(Wait)) + " ms";
}

duration withSafetyMargin(duration Length) noexcept {
  constexpr double Fraction = 0.9;
  return duration(static_cast<duration::rep>(
      static_cast<double>(Length.count()) * Fraction));
}

std::string elapsedMsText(instant Then, instant Now) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Then)
          .count());
}

} // namespace bronzespar::proxy
