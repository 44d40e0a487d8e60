/// Changes of primary, run by the coordinator: it closes the group's record,
/// waits until every host has stopped using the primary, chooses the replica
/// with the highest received position, orders its promotion, and opens the
/// record once the replica is primary.
///
/// A change of the record that was not answered may be made later, while the
/// record has the revision that the change expects. Therefore each promotion
/// writes the closed record itself, also when it finds it closed: the write
/// changes the revision, so that no earlier change can open the record after
/// the order.
///
/// The closed record names each order before it is sent. So a coordinator knows
/// the latest order that may have been carried out, whoever gave it, and uses
/// no target but that order's (docs/design/promotion-orders.md).
#include "parts.hpp"

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// A replica that does not answer a probe in time is not promoted.
constexpr duration ProbeTimeout = std::chrono::milliseconds(350);
constexpr duration ProbeInterval = std::chrono::milliseconds(40);
/// A replica is never primary sooner than this after the order.
constexpr duration MinPromotionTime = std::chrono::milliseconds(300);
/// A replica is never promoted later than this after the order was decided.
/// Another order before that could make two primaries.
constexpr duration MaxPromotionTime = std::chrono::milliseconds(3500);
/// An order that was not sent by then is decided anew. MaxPromotionTime counts
/// from the decision, so that the wait must be a small part of it.
constexpr duration MaxOrderWait = std::chrono::milliseconds(400);
/// Delay after an order that the platform did not accept.
constexpr duration OrderRetryDelay = std::chrono::milliseconds(100);
/// A planned change waits this long for a replica to catch up.
constexpr duration CatchUpTimeout = std::chrono::milliseconds(1500);
/// If no replica can be promoted for this long, the old primary is used again.
constexpr duration NoReplicaTimeout = std::chrono::milliseconds(4000);
/// Delay after a planned change for which no replica was ready. The primary is
/// used meanwhile, as it serves until its drain ends.
constexpr duration PlannedRetryDelay = std::chrono::seconds(2);
/// For this long, an expired host counts as one that may reach the primary.
constexpr duration ExpiredHostVotePeriod = std::chrono::seconds(5);
/// The lease of a host that does not acknowledge in time is revoked.
constexpr duration AcknowledgeTimeout = std::chrono::milliseconds(2500);
/// Time between two checks of a group's electors, as there may be hundreds of
/// groups.
constexpr duration ElectorCheckInterval = std::chrono::milliseconds(500);
/// Delay after a change of a group's record that was not confirmed.
constexpr duration RecordRetryDelay = std::chrono::milliseconds(200);
/// A read of the hosts that is not answered in time is repeated.
constexpr duration HostsReadTimeout = std::chrono::milliseconds(1600);

void enterStage(step_context &Step, const std::string &Name, group_state &Group,
                promotion_stage Stage) {
  Group.Promotion.Stage = Stage;
  Group.Promotion.StageSince = Step.Now;
  logLine(Step, "promotion.stage",
          {{"group", Name},
           {"stage", std::string(enumName(Stage))},
           {"candidate", Group.Promotion.Candidate},
           {"ms", elapsedMsText(Group.Promotion.StartedAt, Step.Now)}});
}

std::string generationText(const host &State, const std::string &Name) {
  const auto Group = State.Groups.find(Name);
  return Group == State.Groups.end() || !Group->second.Record
             ? "unknown"
             : std::to_string(Group->second.Record->Generation);
}

std::string groupKey(const std::string &Name) {
  return std::string(GroupsPrefix) + Name;
}

void changeRecord(step_context &Step, const std::string &Name,
                  group_state &Group, std::uint64_t ExpectedRevision,
                  group_record Record) {
  Record.Era = Step.State.StoreEra;
  Record.Members = membersToRecord(Step.State, Name, Group, Step.Now);
  Group.Promotion.ChangeCall = nextNumber(Step.State);
  effects::change_records Change;
  Change.Call = Group.Promotion.ChangeCall;
  Change.Expected.emplace_back(groupKey(Name), ExpectedRevision);
  // The change may wait in a queue, or in a process that is suspended, until
  // another host is the coordinator.
  Change.Expected.emplace_back(std::string(CoordinatorKey),
                               Step.State.Coordinator.FencingToken);
  Group.Promotion.ChangeValue = formatRecord(Record);
  Change.Writes.push_back({groupKey(Name), Group.Promotion.ChangeValue, false});
  Step.Out.push_back(std::move(Change));
}

/// Begins a promotion in a group of which an order that is not known may have
/// been sent before the store was restored.
void beginRebuild(step_context &Step, group_state &Group) {
  if (wasRestored(Step.State))
    Group.OrderUnderWayUntil =
        std::max(Group.OrderUnderWayUntil,
                 Step.State.Restore.KnownAt + MaxPromotionTime);
  Group.Promotion = {};
  Group.Promotion.StartedAt = Step.Now;
}

/// Writes a group's first record. It is open only if nothing but its primary
/// can have led; otherwise an order decides who leads.
void createRecord(step_context &Step, const std::string &Name,
                  group_state &Group) {
  const auto Record = firstRecord(Step.State, Name, Step.Now);
  if (!Record)
    return;
  logLine(Step, "primary.first_record",
          {{"group", Name},
           {"claims", describeClaims(Step.State, Name)},
           {"era", std::to_string(Step.State.StoreEra)},
           {"knew_earlier_era", Step.State.Restore.IsSeen ? "true" : "false"},
           {"open", Record->Open ? "true" : "false"}});
  if (!Record->Open) {
    beginRebuild(Step, Group);
    enterStage(Step, Name, Group, promotion_stage::Closing);
  }
  changeRecord(Step, Name, Group, Group.Restored.IsMissing ? 0 : Group.Revision,
               *Record);
}

/// Number of hosts that are listed or have expired recently. A host that still
/// reaches the store while the others lost it must not decide alone that a
/// primary is unreachable.
std::size_t recentHosts(const host &State, instant Now) {
  const auto Expired = std::count_if(
      State.ExpiredHosts.begin(), State.ExpiredHosts.end(),
      [&](const auto &Entry) {
        return Now < Entry.second.ExpiredAt + ExpiredHostVotePeriod;
      });
  return State.Hosts.size() + static_cast<std::size_t>(Expired);
}

/// Whether at least half of the witnesses cannot reach the group's primary. The
/// number of witnesses is scaled up by the hosts that have expired recently.
bool isPrimaryUnreachable(const host &State, const std::string &Name,
                          group_state &Group, instant Now) {
  const unreachable_reports Count = countReports(State, Name, Group);
  return Count.Reports > 0 && Count.Reports * 2 * State.Hosts.size() >=
                                  Count.Witnesses * recentHosts(State, Now);
}

/// Whether there is a replica that may be promoted. A planned change uses none
/// that has to be replaced itself.
bool replicaListed(const host &State, const std::string &Name,
                   const std::string &Primary, bool Planned) {
  return std::any_of(State.Targets.begin(), State.Targets.end(),
                     [&](const auto &Entry) {
                       const target_view &Target = Entry.second;
                       return isMemberOf(Target, Name) &&
                              !(Planned && !mayBecomePrimary(State, Target)) &&
                              Entry.first != Primary;
                     });
}

/// Writes the closed record. One that is closed already keeps its generation,
/// as the hosts' acknowledgements of it stay valid.
/// \param LatestOrder The order that may have been carried out, if any.
void closeRecord(step_context &Step, const std::string &Name,
                 group_state &Group, std::optional<named_order> LatestOrder) {
  enterStage(Step, Name, Group, promotion_stage::Closing);
  group_record Closed = *Group.Record;
  Closed.Generation += Closed.Open ? 1 : 0;
  Closed.Open = false;
  Closed.PrimaryStays = Group.Promotion.ReplacesElectors;
  Closed.LatestOrder = std::move(LatestOrder);
  if (!isConfirmed(Step.State, *Group.Record))
    Closed = rebuiltRecord(Step.State, *Group.Record);
  changeRecord(Step, Name, Group, Group.Revision, Closed);
}

/// Starts a promotion if the group needs another primary and has a replica.
void considerChange(step_context &Step, const std::string &Name,
                    group_state &Group) {
  const target_view *Primary =
      findIn(Step.State.Targets, Group.Record->Primary);
  if (mayBeListedSoon(Step.State, Group, Group.Record->Primary, Step.Now))
    return;
  const bool MustMove = Primary == nullptr || !Primary->Listed ||
                        Primary->Entry.Draining ||
                        isEvacuated(Step.State, Primary->Entry);
  const bool Disproved = isReportedDisproved(Step.State, Name, Group);
  const bool Unreachable =
      Disproved || isPrimaryUnreachable(Step.State, Name, Group, Step.Now);
  const bool Planned = !Unreachable && Primary != nullptr && Primary->Listed;
  if ((!MustMove && !Unreachable) ||
      (Planned && Step.Now < Group.NextPlannedChangeAt) ||
      (!Disproved &&
       !replicaListed(Step.State, Name, Group.Record->Primary, Planned)))
    return;
  Group.Promotion = {};
  Group.Promotion.Planned = Planned;
  Group.Promotion.StartedAt = Step.Now;
  logLine(Step, "promotion.begun",
          {{"group", Name},
           {"primary", Group.Record->Primary},
           {"planned", Group.Promotion.Planned ? "true" : "false"},
           {"blind_hosts",
            std::to_string(countReports(Step.State, Name, Group).Reports)},
           {"hosts", std::to_string(Step.State.Hosts.size())}});
  // Another target may lead by an order that was carried out late.
  closeRecord(Step, Name, Group,
              Disproved ? std::optional(named_order{}) : std::nullopt);
}

/// Starts the replacement of electors that are missing or too few. The primary
/// stays and is used again as soon as the record is reopened.
void considerElectors(step_context &Step, const std::string &Name,
                      group_state &Group) {
  if (Group.Promotion.Stage != promotion_stage::None ||
      Step.Now < Group.NextElectorCheckAt)
    return;
  Group.NextElectorCheckAt = Step.Now + ElectorCheckInterval;
  if (!areElectorsStale(Step.State, Group, Step.Now))
    return;
  Group.ElectorsSufficedAt = Step.Now;
  Group.Promotion = {};
  Group.Promotion.ReplacesElectors = true;
  Group.Promotion.StartedAt = Step.Now;
  logLine(Step, "electors.refresh",
          {{"group", Name},
           {"electors", std::to_string(Group.Record->Electors.size())},
           {"hosts", std::to_string(Step.State.Hosts.size())}});
  closeRecord(Step, Name, Group, std::nullopt);
}

/// Writes the record with the members that it has to name. Its generation
/// stays.
void considerMembers(step_context &Step, const std::string &Name,
                     group_state &Group) {
  if (Group.Promotion.Stage != promotion_stage::None ||
      !areMembersStale(Step.State, Name, Group, Step.Now))
    return;
  changeRecord(Step, Name, Group, Group.Revision, *Group.Record);
}

/// Reads which hosts may still use the old primary.
void readHosts(step_context &Step, group_state &Group) {
  Group.Promotion.HostsCall = nextNumber(Step.State);
  Group.Promotion.NextTryAt = Step.Now + HostsReadTimeout;
  Step.Out.push_back(effects::read_records{Group.Promotion.HostsCall,
                                           std::string(HostsPrefix)});
}

void beginGathering(step_context &Step, const std::string &Name,
                    group_state &Group, std::uint64_t ClosedRevision) {
  Group.Promotion.ClosedRevision = ClosedRevision;
  enterStage(Step, Name, Group, promotion_stage::Gathering);
  readHosts(Step, Group);
}

void probeTarget(step_context &Step, const std::string &Name,
                 const promotion_state &Promotion, const std::string &Id) {
  const target_view *Target = findIn(Step.State.Targets, Id);
  if (Target != nullptr)
    Step.Out.push_back(effects::probe_target{Id, Name, Target->Entry.Endpoint,
                                             Promotion.ProbeCall});
}

/// Begins a round of probes of all members.
void probeMembers(step_context &Step, const std::string &Name,
                  group_state &Group) {
  promotion_state &Promotion = Group.Promotion;
  Promotion.Statuses.clear();
  Promotion.PendingProbes.clear();
  Promotion.ProbeCall = nextNumber(Step.State);
  Promotion.ProbesSentAt = Step.Now;
  for (const auto &[Id, Target] : Step.State.Targets) {
    if (!isMemberOf(Target, Name))
      continue;
    Promotion.PendingProbes.insert(Id);
    probeTarget(Step, Name, Promotion, Id);
  }
  Promotion.NextTryAt = Step.Now + ProbeTimeout;
}

void openRecord(step_context &Step, const std::string &Name, group_state &Group,
                const std::string &Primary) {
  const target_status *Status = findIn(Group.Promotion.Statuses, Primary);
  const std::uint64_t Term = Status != nullptr && Status->IsPrimary
                                 ? std::max(Status->Term, Group.Record->Term)
                                 : Group.Record->Term;
  Group.Promotion.Candidate = Primary;
  Group.OrderUnderWayUntil = {};
  logLine(Step, "promotion.opening",
          {{"group", Name},
           {"primary", Primary},
           {"term", std::to_string(Term)},
           {"statuses", describeStatuses(Step.State, Group.Promotion)}});
  enterStage(Step, Name, Group, promotion_stage::Opening);
  changeRecord(Step, Name, Group, Group.Promotion.ClosedRevision,
               {Group.Record->Generation + 1, Primary, true,
                chooseElectors(Step.State, Step.Now), false, Term});
}

/// Has the store end the lease of a host that does not acknowledge. The host's
/// record shows that first: the store may end the lease under the next
/// coordinator, which waits because of it.
void revokeLease(step_context &Step, const std::string &Host,
                 const listed_peer &Peer) {
  coordinator_state &Role = Step.State.Coordinator;
  if (Peer.Record.Revoked) {
    Step.Out.push_back(effects::revoke_lease{Peer.Lease});
    return;
  }
  const std::string Key = std::string(HostsPrefix) + Host;
  for (const auto &[Call, Mark] : Role.PendingMarks)
    if (Mark.Key == Key)
      return;
  host_record Marked = Peer.Record;
  Marked.Revoked = true;
  effects::change_records Change;
  Change.Call = nextNumber(Step.State);
  Change.Lease = Peer.Lease;
  Change.Expected.emplace_back(Key, Peer.Revision);
  Change.Expected.emplace_back(std::string(CoordinatorKey), Role.FencingToken);
  Change.Writes.push_back({Key, formatRecord(Marked), true});
  Role.PendingMarks[Change.Call] = {Key, Change.Writes.front().Value, 0,
                                    Peer.Lease};
  Step.Out.push_back(std::move(Change));
}

/// \returns Whether the change marks a host's record.
bool markEnded(step_context &Step, const events::change_ended &Event) {
  auto Pending = Step.State.Coordinator.PendingMarks.extract(Event.Call);
  if (Pending.empty())
    return false;
  store_record &Mark = Pending.mapped();
  if (Event.Outcome != change_outcome::Done) {
    logUnconfirmedChange(Step, Mark.Key, Event);
    return true;
  }
  Mark.Revision = Event.Revision;
  recordChanged(Step, Mark);
  Step.Out.push_back(effects::revoke_lease{Mark.Lease});
  return true;
}

/// Waits until no host can use the old primary.
void awaitAcknowledgements(step_context &Step, const std::string &Name,
                           group_state &Group) {
  promotion_state &Promotion = Group.Promotion;
  if (!Promotion.HostsRead) {
    if (Step.Now < Promotion.NextTryAt)
      return;
    readHosts(Step, Group);
    return;
  }
  bool AllStopped = true;
  for (const auto &[Host, Peer] : Step.State.Hosts) {
    if (hasAcknowledged(Peer.Record, Name, Group.Record->Generation))
      continue;
    AllStopped = false;
    instant &Since =
        Promotion.AwaitedSince.try_emplace(Host, Step.Now).first->second;
    // A lease of an earlier era may be another host's by now.
    if (isAwaited(Step.State, Host) || Step.Now < Since + AcknowledgeTimeout)
      continue;
    // The host may register again under another lease.
    Since = Step.Now;
    revokeLease(Step, Host, Peer);
    logLine(Step, "promotion.holdout", {{"group", Name}, {"host", Host}});
  }
  if (!AllStopped || Step.Now < Step.State.Coordinator.OrdersFrom)
    return;
  const bool ElectorsStopped =
      haveElectorsAcknowledged(Step.State, Name) &&
      (!Group.Record->Rebuilt || areMostHostsBack(Step.State));
  if (!ElectorsStopped && !haveExpiredHostsStopped(Step.State, Step.Now))
    return;
  if (Promotion.ReplacesElectors) {
    openRecord(Step, Name, Group, Group.Record->Primary);
    return;
  }
  enterStage(Step, Name, Group, promotion_stage::Choosing);
  probeMembers(Step, Name, Group);
}

/// Writes the closed record with the order, which is sent once the store has
/// confirmed that.
void nameOrder(step_context &Step, const std::string &Name, group_state &Group,
               std::string Candidate) {
  logLine(
      Step, "promotion.chosen",
      {{"group", Name},
       {"candidate", Candidate},
       {"primary", Group.Record->Primary},
       {"statuses", describeStatuses(Step.State, Group.Promotion)},
       {"replicas",
        std::to_string(countReplicas(Step.State, Name, Group, Step.Now))},
       {"unanswered", std::to_string(Group.Promotion.PendingProbes.size())}});
  const target_status &Status = Group.Promotion.Statuses.at(Candidate);
  group_record Record = *Group.Record;
  Group.Promotion.OrderBefore = Record.LatestOrder;
  Record.LatestOrder = {Candidate, Status.IsPrimary ? Status.Term : 0};
  Group.Promotion.Candidate = std::move(Candidate);
  Group.Promotion.IsOrderAccepted = false;
  enterStage(Step, Name, Group, promotion_stage::Naming);
  changeRecord(Step, Name, Group, Group.Promotion.ClosedRevision, Record);
}

void chooseAgain(step_context &Step, const std::string &Name,
                 group_state &Group) {
  enterStage(Step, Name, Group, promotion_stage::Choosing);
  probeMembers(Step, Name, Group);
}

/// Whether an order may leave this host now.
bool mayOrderNow(const step_context &Step, const group_state &Group) {
  return isCoordinator(Step.State, Step.Now) &&
         Step.Now >= Step.State.Coordinator.OrdersFrom &&
         Step.Now >= Group.Promotion.OrderNotBefore &&
         Step.Now >= Group.OrderUnderWayUntil;
}

/// Sends the order that the record names at the given revision.
void sendOrder(step_context &Step, const std::string &Name, group_state &Group,
               std::uint64_t ClosedRevision) {
  promotion_state &Promotion = Group.Promotion;
  Promotion.ClosedRevision = ClosedRevision;
  if (!mayOrderNow(Step, Group)) {
    Group.Record->LatestOrder = Promotion.OrderBefore;
    chooseAgain(Step, Name, Group);
    return;
  }
  enterStage(Step, Name, Group, promotion_stage::Ordered);
  Promotion.NextTryAt = Step.Now + MinPromotionTime;
  Promotion.ProbeCall = nextNumber(Step.State);
  Promotion.Statuses.clear();
  Promotion.OrderCall = nextNumber(Step.State);
  Group.OrderUnderWayUntil = Step.Now + MaxPromotionTime;
  Step.Out.push_back(effects::order_promotion{
      Promotion.OrderCall, Name, Promotion.Candidate, Step.State.Identity.Name,
      Step.State.Coordinator.FencingToken, Step.Now, Step.Now + MaxOrderWait});
}

/// Whether the old primary answers and lacks no acknowledged commit.
bool canReturn(const step_context &Step, const std::string &Name,
               const group_state &Group) {
  const target_status *Old =
      findIn(Group.Promotion.Statuses, Group.Record->Primary);
  return Old != nullptr &&
         (Old->IsPrimary ||
          holdsAcknowledgedCommits(Step.State, Name, Group, *Old, Step.Now));
}

/// Probes the targets again, and returns to the old primary when no replica
/// can be promoted in time. After an order, another target may lead that does
/// not answer, so that the old primary is ordered to lead the next term.
void awaitReplica(step_context &Step, const std::string &Name,
                  group_state &Group, duration Timeout) {
  const bool IsOver = Step.Now > Group.Promotion.StageSince + Timeout;
  if (IsOver && Group.Record->LatestOrder) {
    if (canReturn(Step, Name, Group) && mayOrderNow(Step, Group)) {
      Group.NextPlannedChangeAt =
          Step.Now + MaxPromotionTime + PlannedRetryDelay;
      nameOrder(Step, Name, Group, std::string(Group.Record->Primary));
    } else if (Step.Now >= Group.Promotion.NextTryAt) {
      probeMembers(Step, Name, Group);
    }
  } else if (IsOver) {
    logLine(
        Step, "promotion.no_candidate",
        {{"group", Name},
         {"primary", Group.Record->Primary},
         {"statuses", describeStatuses(Step.State, Group.Promotion)},
         {"replicas",
          std::to_string(countReplicas(Step.State, Name, Group, Step.Now))},
         {"unanswered", std::to_string(Group.Promotion.PendingProbes.size())}});
    Group.NextPlannedChangeAt = Step.Now + PlannedRetryDelay;
    openRecord(Step, Name, Group, Group.Record->Primary);
  } else if (Step.Now >= Group.Promotion.NextTryAt) {
    probeMembers(Step, Name, Group);
  }
}

/// Whether a change serves only the evacuation of a data centre: the primary
/// there goes on with its log, so that no commit has to be lost.
bool movesForEvacuation(const host &State, const group_state &Group) {
  const target_view *Old = findIn(State.Targets, Group.Record->Primary);
  return Group.Promotion.Planned && Old != nullptr && Old->Listed &&
         !Old->Entry.Draining;
}

/// Begins another round of probes unless the latest has only just begun.
void probeAgain(step_context &Step, const std::string &Name,
                group_state &Group) {
  if (Step.Now >= Group.Promotion.NextTryAt - ProbeTimeout + ProbeInterval)
    probeMembers(Step, Name, Group);
}

void chooseReplica(step_context &Step, const std::string &Name,
                   group_state &Group) {
  promotion_state &Promotion = Group.Promotion;
  const auto &OldPrimary = Group.Record->Primary;
  // An unplanned change does not wait for the answer of the lost primary,
  // unless that was ordered to lead again.
  const auto &Order = Group.Record->LatestOrder;
  const bool OnlyOldMissing = !Promotion.Planned &&
                              !(Order && Order->Target == OldPrimary) &&
                              Promotion.PendingProbes.size() == 1 &&
                              Promotion.PendingProbes.contains(OldPrimary) &&
                              !Promotion.Statuses.empty();
  if (!Promotion.PendingProbes.empty() && !OnlyOldMissing &&
      Step.Now < Promotion.NextTryAt)
    return;
  if (leadsByLatestOrder(Group, Step.Now)) {
    openRecord(Step, Name, Group, Group.Record->LatestOrder->Target);
    return;
  }
  // The term that an order names has to be one that no earlier order changes.
  if (Promotion.ProbesSentAt < Group.OrderUnderWayUntil) {
    if (Step.Now >= Promotion.ProbesSentAt + ProbeInterval)
      probeMembers(Step, Name, Group);
    return;
  }
  // If the primary is not known, a target that is silent may lead.
  if (OldPrimary.empty() && !Promotion.PendingProbes.empty() &&
      Step.Now < Promotion.StageSince + CatchUpTimeout) {
    probeAgain(Step, Name, Group);
    return;
  }
  const auto Old = Promotion.Statuses.find(OldPrimary);
  const bool OldAnswers =
      Old != Promotion.Statuses.end() && Old->second.IsPrimary;
  const bool IsMove = movesForEvacuation(Step.State, Group);
  if (IsMove && !OldAnswers) {
    if (Step.Now < Promotion.StageSince + CatchUpTimeout) {
      probeAgain(Step, Name, Group);
      return;
    }
    // The primary is lost: an evacuated replica may be the only one that has
    // its commits.
    Promotion.Planned = false;
  }
  const auto *Best = bestReplica(Step.State, Group);
  const bool Behind = OldAnswers && Best != nullptr &&
                      Best->second.Received < Old->second.Received;
  if (Best == nullptr) {
    awaitReplica(Step, Name, Group, NoReplicaTimeout);
    return;
  }
  if (Behind && Step.Now < Promotion.StageSince + CatchUpTimeout) {
    probeAgain(Step, Name, Group);
    return;
  }
  if (Behind && IsMove) {
    awaitReplica(Step, Name, Group, CatchUpTimeout);
    return;
  }
  if (!holdsAcknowledgedCommits(Step.State, Name, Group, Best->second,
                                Step.Now)) {
    awaitReplica(Step, Name, Group,
                 OldAnswers ? CatchUpTimeout : NoReplicaTimeout);
    return;
  }
  if (mayOrderNow(Step, Group))
    nameOrder(Step, Name, Group, Best->first);
}

void awaitPromotion(step_context &Step, const std::string &Name,
                    group_state &Group) {
  promotion_state &Promotion = Group.Promotion;
  if (Step.Now >= Group.OrderUnderWayUntil) {
    chooseAgain(Step, Name, Group);
    return;
  }
  if (leadsByLatestOrder(Group, Step.Now)) {
    openRecord(Step, Name, Group, Promotion.Candidate);
    return;
  }
  if (Step.Now < Promotion.NextTryAt)
    return;
  // Any answer since the order counts, as a single probe may be slow or lost.
  Promotion.NextTryAt = Step.Now + ProbeInterval;
  probeTarget(Step, Name, Promotion, Promotion.Candidate);
}

/// Until when hosts may rely on leases that the previous coordinator revoked.
/// Its own ended by itself, and with it the role.
instant revokedLeasesEnd(const host &State) {
  instant End{};
  for (const auto &[Name, Expired] : State.ExpiredHosts)
    if (Name != State.Coordinator.PreviousHolder)
      End = std::max(End, Expired.ExpiredAt + State.Lease.TimeToLive);
  return End;
}

/// Whether hosts may still bring the store's record up to what they know.
bool awaitsRestore(const step_context &Step, const group_state &Group) {
  return Group.Restored.Stored || Group.Restored.IsMissing ||
         Group.Restored.WriteCall != 0 ||
         (!isConfirmed(Step.State, *Group.Record) &&
          Step.Now < earlierErasEnd(Step.State));
}

/// Closes a record that no host has confirmed since the store was restored: an
/// order that is not known may have been sent.
void rebuildGroup(step_context &Step, const std::string &Name,
                  group_state &Group) {
  beginRebuild(Step, Group);
  logLine(Step, "primary.rebuilt",
          {{"group", Name},
           {"generation", std::to_string(Group.Record->Generation)},
           {"primary", Group.Record->Primary}});
  closeRecord(Step, Name, Group, named_order{});
}

/// Starts a change of the record if the group needs one.
void considerGroup(step_context &Step, const std::string &Name,
                   group_state &Group) {
  if (Group.Promotion.ChangeCall != 0 || Step.Now < Group.NextChangeAt)
    return;
  if (!Group.Record) {
    createRecord(Step, Name, Group);
    return;
  }
  if (awaitsRestore(Step, Group))
    return;
  if (!isConfirmed(Step.State, *Group.Record)) {
    rebuildGroup(Step, Name, Group);
    return;
  }
  if (Group.Record->Open) {
    considerChange(Step, Name, Group);
    considerElectors(Step, Name, Group);
    considerMembers(Step, Name, Group);
    return;
  }
  // A previous coordinator left the record closed, or an earlier change of it
  // was not confirmed. The previous one gave its orders while it had the role.
  if (Group.Record->LatestOrder &&
      Group.Revision < Step.State.Coordinator.FencingToken)
    Group.OrderUnderWayUntil =
        std::max(Group.OrderUnderWayUntil,
                 Step.State.Coordinator.HeldSince + MaxPromotionTime);
  Group.Promotion = {};
  Group.Promotion.Planned = isEvacuated(Step.State, Group.Record->Primary);
  Group.Promotion.ReplacesElectors = Group.Record->PrimaryStays;
  Group.Promotion.StartedAt = Step.Now;
  Group.Promotion.OrderNotBefore = revokedLeasesEnd(Step.State);
  closeRecord(Step, Name, Group, Group.Record->LatestOrder);
}

/// Ends a promotion whose closed record was changed by another one.
/// \returns Whether it was ended.
bool abandonIfChanged(step_context &Step, const std::string &Name,
                      group_state &Group) {
  if (Group.Revision == Group.Promotion.ClosedRevision)
    return false;
  logLine(Step, "promotion.abandoned",
          {{"group", Name},
           {"stage", std::string(enumName(Group.Promotion.Stage))},
           {"generation", std::to_string(Group.Record->Generation)}});
  Group.Promotion = {};
  return true;
}

bool isOrderUnderWay(const promotion_state &Promotion) {
  return Promotion.Stage == promotion_stage::Naming ||
         Promotion.Stage == promotion_stage::Ordered ||
         Promotion.Stage == promotion_stage::Opening;
}

void superviseGroup(step_context &Step, const std::string &Name,
                    group_state &Group) {
  noteUnlistedMembers(Step, Name, Group);
  switch (Group.Promotion.Stage) {
  case promotion_stage::None:
    considerGroup(Step, Name, Group);
    return;
  case promotion_stage::Closing:
  case promotion_stage::Naming:
  case promotion_stage::Opening:
    return;
  case promotion_stage::Gathering:
    if (!abandonIfChanged(Step, Name, Group))
      awaitAcknowledgements(Step, Name, Group);
    return;
  case promotion_stage::Choosing:
    if (!abandonIfChanged(Step, Name, Group))
      chooseReplica(Step, Name, Group);
    return;
  case promotion_stage::Ordered:
    awaitPromotion(Step, Name, Group);
    return;
  }
}

} // namespace

void supervisePromotions(step_context &Step) {
  if (!Step.State.Settings || !isCoordinator(Step.State, Step.Now)) {
    for (auto &[Name, Group] : Step.State.Groups)
      if (!Step.State.Coordinator.IsHeld &&
          Group.Promotion.Stage != promotion_stage::None)
        Group.Promotion = {};
    return;
  }
  for (auto &[Name, Group] : Step.State.Groups) {
    // A host that stops only finishes what it has ordered.
    if (Step.State.Stopping && !isOrderUnderWay(Group.Promotion))
      Group.Promotion = {};
    else if (Step.State.Settings->Groups.contains(Name))
      superviseGroup(Step, Name, Group);
  }
}

bool promotionChangeEnded(step_context &Step,
                          const events::change_ended &Event) {
  if (markEnded(Step, Event))
    return true;
  for (auto &[Name, Group] : Step.State.Groups) {
    promotion_state &Promotion = Group.Promotion;
    if (Event.Call == 0 || Promotion.ChangeCall != Event.Call)
      continue;
    Promotion.ChangeCall = 0;
    const bool Done = Event.Outcome == change_outcome::Done;
    if (!Done) {
      logUnconfirmedChange(Step, groupKey(Name), Event);
      // The watch delivers the current record, which decides the next stage.
      Promotion = {};
      Group.NextChangeAt = Step.Now + RecordRetryDelay;
      return true;
    }
    recordChanged(Step,
                  {groupKey(Name), Promotion.ChangeValue, Event.Revision, 0});
    if (Promotion.Stage == promotion_stage::Closing)
      beginGathering(Step, Name, Group, Event.Revision);
    else if (Promotion.Stage == promotion_stage::Naming)
      sendOrder(Step, Name, Group, Event.Revision);
    else if (Promotion.Stage == promotion_stage::Opening)
      enterStage(Step, Name, Group, promotion_stage::None);
    return true;
  }
  return false;
}

bool hasOrderUnderWay(const host &State) {
  return std::any_of(State.Groups.begin(), State.Groups.end(),
                     [](const auto &Entry) {
                       return isOrderUnderWay(Entry.second.Promotion);
                     });
}

bool mayOrder(const host &State, const effects::order_promotion &Order,
              instant Now) {
  const auto Group = State.Groups.find(Order.Group);
  return Now < Order.SendBefore && isCoordinator(State, Now) &&
         Now >= State.Coordinator.OrdersFrom &&
         State.Coordinator.FencingToken == Order.FencingToken &&
         Group != State.Groups.end() &&
         Group->second.Promotion.Stage == promotion_stage::Ordered &&
         Group->second.Promotion.OrderCall == Order.Call &&
         Group->second.Revision == Group->second.Promotion.ClosedRevision;
}

void targetProbed(step_context &Step, const events::target_probed &Event) {
  witnessProbed(Step, Event.Target, Event.Status.has_value());
  if (Event.Call == 0)
    return;
  for (auto &[Name, Group] : Step.State.Groups) {
    promotion_state &Promotion = Group.Promotion;
    if (Promotion.ProbeCall != Event.Call)
      continue;
    Promotion.PendingProbes.erase(Event.Target);
    if (Event.Status)
      Promotion.Statuses[Event.Target] = *Event.Status;
    return;
  }
}

void promotionSent(step_context &Step, const events::promotion_sent &Event) {
  logLine(Step, "promotion.sent",
          {{"group", Event.Group},
           {"target", Event.Target},
           {"generation", generationText(Step.State, Event.Group)},
           {"token", std::to_string(Event.FencingToken)},
           {"waited_ms", elapsedMsText(Event.DecidedAt, Step.Now)},
           {"held", Step.State.Coordinator.IsHeld ? "true" : "false"}});
}

void promotionAnswered(step_context &Step,
                       const events::promotion_answered &Event) {
  group_state *Group = findIn(Step.State.Groups, Event.Group);
  if (Group == nullptr || Group->Promotion.Stage != promotion_stage::Ordered ||
      Group->Promotion.OrderCall != Event.Call)
    return;
  logLine(Step, "promotion.answered",
          {{"group", Event.Group},
           {"candidate", Group->Promotion.Candidate},
           {"outcome", std::string(enumName(Event.Outcome))}});
  Group->Promotion.IsOrderAccepted = Event.Outcome == order_outcome::Accepted;
  if (Event.Outcome == order_outcome::Accepted ||
      Event.Outcome == order_outcome::Unanswered)
    return;
  if (Event.Outcome == order_outcome::NotRunning)
    Group->Promotion.RefusedCandidates.insert(Group->Promotion.Candidate);
  // It was not carried out, so that the order before is the latest one. The
  // store's record goes on naming it, for a successor that can't know.
  Group->Record->LatestOrder = Group->Promotion.OrderBefore;
  Group->Promotion.OrderNotBefore = Step.Now + OrderRetryDelay;
  Group->OrderUnderWayUntil = {};
  chooseAgain(Step, Event.Group, *Group);
}

} // namespace bronzespar::proxy
