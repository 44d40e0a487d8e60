/// Reports of members from this host's watches and from peers; wiring of the
/// failover library.
#include "control.hpp"
#include "bounds.hpp"
#include "entry.hpp"
#include "runs.hpp"
#include "settings_intake.hpp"
#include "transactions.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

struct located_member {
  group_view *View = nullptr;
  member_view *Member = nullptr;
};

located_member locateMember(host_state &State, const target_id &Target) {
  const auto Group = State.GroupOfTarget.find(Target);
  if (Group == State.GroupOfTarget.end())
    return {};
  group_view &View = State.Groups.at(Group->second);
  for (member_view &Member : View.Members)
    if (Member.Target == Target)
      return {&View, &Member};
  return {};
}

/// Finds the groups that this host coordinates, when hosts or groups changed.
void refreshDuties(host_state &State) {
  impl::failover_duties &Duties = State.Duties;
  std::vector<host_id> Hosts = dutyCandidates(State.Membership, std::nullopt);
  Duties.LiveDataCentres = liveDataCentres(State.Membership).size();
  if (Duties.Revision == State.Fleet.Revision && Duties.Hosts == Hosts)
    return;
  Duties.Hosts = std::move(Hosts);
  Duties.Revision = State.Fleet.Revision;
  Duties.Coordinated.clear();
  for (const group_settings &Group : State.Fleet.Groups) {
    const auto Coordinator = failoverCoordinator(Group.Id, Duties.Hosts);
    if (Coordinator && *Coordinator == State.Self.Id)
      Duties.Coordinated.insert(Group.Id);
  }
}

bool isReachableByAnyHost(const host_state &State, const target_id &Target) {
  const auto Found = State.Observations.find(Target);
  if (Found == State.Observations.end())
    return false;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [](const auto &Item) { return Item.second.Reachable; });
}

void recordObservation(context &Context, const located_member &Where,
                       const host_id &Observer, bool Reaches) {
  const target_id &Target = Where.Member->Target;
  Context.State.Observations[Target][Observer] = {Reaches, Context.Now};
  Where.Member->Reachable = isReachableByAnyHost(Context.State, Target);
}

/// A member leaves by the operators' word or by its own.
void updateLeaving(context &Context, const located_member &Where) {
  const target_settings *Settings =
      findTarget(Context.State.Fleet, Where.Member->Target);
  const bool Reported = Where.Member->Report && Where.Member->Report->Leaving;
  Where.Member->Leaving =
      Reported || (Settings != nullptr && Settings->Leaving);
}

void membersChanged(context &Context, const group_id &Group) {
  confirmRuns(Context, Group);
  endSupersededTransactions(Context, Group);
  groupChanged(Context, Group);
}

data_centre_id dataCentreOf(const host_state &State, const host_id &Host) {
  if (Host == State.Self.Id)
    return State.Self.DataCentre;
  for (const peer_view &Peer : State.Membership.Peers)
    if (Peer.Id == Host)
      return Peer.DataCentre;
  return {};
}

std::vector<unreachable_report> collectUnreachable(const host_state &State,
                                                   const group_view &View) {
  std::vector<unreachable_report> Silence;
  for (const member_view &Member : View.Members) {
    const auto Found = State.Observations.find(Member.Target);
    if (Found == State.Observations.end())
      continue;
    for (const auto &[Host, Observation] : Found->second)
      if (!Observation.Reachable)
        Silence.push_back({Host, dataCentreOf(State, Host), Member.Target});
  }
  return Silence;
}

promotion_inputs makePromotionInputs(host_state &State,
                                     const group_settings &Group) {
  const group_view &View = State.Groups.at(Group.Id);
  return {View,
          Group,
          State.Charts.Promotion,
          State.Duties.Coordinated.count(Group.Id) != 0,
          collectUnreachable(State, View),
          State.Duties.LiveDataCentres,
          State.Incarnation,
          &State.NextPlatformRef};
}

/// Drops what peers said too long ago, or whose link is down.
void expireObservations(context &Context) {
  host_state &State = Context.State;
  for (auto &[Target, Observers] : State.Observations) {
    std::erase_if(Observers, [&](const auto &Item) {
      return Item.first != State.Self.Id &&
             Context.Now - Item.second.ObservedAt > ObservationLifetime;
    });
    const located_member Where = locateMember(State, Target);
    if (Where.Member != nullptr)
      Where.Member->Reachable = isReachableByAnyHost(State, Target);
  }
}

bool isReachableFromSelf(const host_state &State, const target_id &Target) {
  const auto Observers = State.Observations.find(Target);
  if (Observers == State.Observations.end())
    return false;
  const auto Own = Observers->second.find(State.Self.Id);
  return Own != Observers->second.end() && Own->second.Reachable;
}

relayed_report makeRelayedReport(const context &Context,
                                 const member_view &Member) {
  return {*Member.Report, Context.Now - Member.ReportedAt};
}

/// Tells a peer of members that it cannot reach and this host can.
void sendReachableReports(context &Context, const host_id &Peer,
                          const std::vector<target_id> &Targets) {
  member_reports Reports;
  for (const target_id &Target : Targets) {
    const located_member Where = locateMember(Context.State, Target);
    if (Where.Member != nullptr && Where.Member->Report &&
        isReachableFromSelf(Context.State, Target))
      Reports.Reports.push_back(makeRelayedReport(Context, *Where.Member));
  }
  if (!Reports.Reports.empty())
    emit(Context, effects::send_peer_message{Peer, std::move(Reports)});
}

} // namespace

void memberReported(context &Context, const events::member_reported &Event) {
  const located_member Where = locateMember(Context.State, Event.Target);
  if (Where.Member == nullptr || Event.Report.Target != Event.Target.Value)
    return;
  const bool WasReached = isReachableFromSelf(Context.State, Event.Target);
  applyReport(*Where.View, Event.Report, Event.SentAt);
  recordObservation(Context, Where, Context.State.Self.Id, true);
  updateLeaving(Context, Where);
  if (!WasReached)
    sendToAllPeers(
        Context,
        member_reports{{makeRelayedReport(Context, *Where.Member)}, {}});
  membersChanged(Context, Where.View->Group);
}

void memberUnreachable(context &Context,
                       const events::member_unreachable &Event) {
  const located_member Where = locateMember(Context.State, Event.Target);
  if (Where.Member == nullptr)
    return;
  recordObservation(Context, Where, Context.State.Self.Id, false);
  sendUnreachableMembers(Context);
  groupChanged(Context, Where.View->Group);
}

void controlCommandFinished(context &Context,
                            const events::control_command_finished &Event) {
  const located_member Where = locateMember(Context.State, Event.Target);
  if (Where.Member == nullptr)
    return;
  host_state &State = Context.State;
  const group_id Group = Where.View->Group;
  if (Event.Answered && Event.Answer.Report.Target == Event.Target.Value)
    applyReport(*Where.View, Event.Answer.Report, instant{});
  const group_settings *Settings = findGroup(State.Fleet, Group);
  applyControlAnswer(State.Promotions[Group],
                     makePromotionInputs(State, *Settings), State.Self, Event,
                     Context.Now, Context.Effects);
  membersChanged(Context, Group);
}

void platformAnswered(context &Context,
                      const events::platform_answered &Event) {
  host_state &State = Context.State;
  for (const group_settings &Group : State.Fleet.Groups)
    if (applyRecordAnswer(State.Promotions[Group.Id],
                          makePromotionInputs(State, Group), State.Self, Event,
                          Context.Now, Context.Effects))
      return;
}

void peerReported(context &Context, const host_id &From,
                  const member_reports &Reports) {
  host_state &State = Context.State;
  for (const target_id &Target : Reports.Unreachable) {
    const located_member Where = locateMember(State, Target);
    if (Where.Member != nullptr)
      recordObservation(Context, Where, From, false);
  }
  sendReachableReports(Context, From, Reports.Unreachable);
  std::set<group_id> Changed;
  for (const relayed_report &Relayed : Reports.Reports) {
    const located_member Where =
        locateMember(State, target_id(Relayed.Report.Target));
    if (Where.Member == nullptr)
      continue;
    // When it was true cannot be known here: it proves positions, not ages.
    applyReport(*Where.View, Relayed.Report, instant{});
    recordObservation(Context, Where, From, true);
    updateLeaving(Context, Where);
    Changed.insert(Where.View->Group);
  }
  for (const group_id &Group : Changed)
    membersChanged(Context, Group);
}

void sendUnreachableMembers(context &Context) {
  host_state &State = Context.State;
  State.UnreachableSentAt = Context.Now;
  member_reports Reports;
  for (const auto &[Target, Observers] : State.Observations) {
    const auto Own = Observers.find(State.Self.Id);
    if (Own != Observers.end() && !Own->second.Reachable)
      Reports.Unreachable.push_back(Target);
  }
  if (!Reports.Unreachable.empty())
    sendToAllPeers(Context, Reports);
}

void tickControl(context &Context) {
  host_state &State = Context.State;
  if (Context.Now - State.LastControlTick < FailoverControlInterval)
    return;
  State.LastControlTick = Context.Now;
  refreshDuties(State);
  expireObservations(Context);
  if (Context.Now - State.UnreachableSentAt >= UnreachableReportInterval)
    sendUnreachableMembers(Context);
  for (const group_settings &Group : State.Fleet.Groups)
    tickPromotion(State.Promotions[Group.Id], makePromotionInputs(State, Group),
                  State.Self, Context.Now, Context.Effects);
}

} // namespace bronzespar::impl
