/// What a host does when the store came back from an older copy: changes that
/// it confirmed may be gone, and all leases are.
///
/// Leases and the coordinator's role are lost at once. A group's record holds
/// again once it was written in the present era. A host that was allowed to use
/// the primary as it noticed the restore confirms the record: no order to
/// replace that primary can have been sent. One that knows a later generation
/// than the store writes it back. What nobody confirms, the coordinator closes
/// (docs/design/restored-decisions.md).
#include "parts.hpp"

#include <bronzespar/proxy/store_revision.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// An order of an earlier era has arrived this long after its coordinator's
/// lease has ended.
constexpr duration MaxOrderDelay = std::chrono::milliseconds(700);
/// Hosts register again one after the other, with this delay between them, in
/// at most MaxReturnSpread.
constexpr duration ReturnSpacing = std::chrono::milliseconds(2);
constexpr duration MaxReturnSpread = std::chrono::milliseconds(800);
/// The same for confirmations, which one host makes for all.
constexpr duration WriteSpacing = std::chrono::milliseconds(20);
constexpr duration MaxWriteSpread = std::chrono::milliseconds(800);
/// Delay after a change of a record that was not made.
constexpr duration WriteRetryDelay = std::chrono::milliseconds(200);
/// A host keeps its share of the rates for this long while it registers again.
/// The others count it for longer, as awaited and then as expired.
constexpr duration ShareKeptPeriod = std::chrono::milliseconds(1000);
/// Changes that a host has under way at a time.
constexpr std::size_t MaxPendingWrites = 16;
/// Era of a store that has never come back from a copy. It may tell none.
constexpr std::uint64_t FirstEra = 1;
/// Generations of a rebuilt record begin at the era, shifted by this, so that
/// they are later than all that were written in earlier eras.
constexpr unsigned GenerationBitsOfEra = 32;

/// Place of this host among those that are listed.
duration ownDelay(const host &State, duration Spacing, duration Most) {
  const auto Own = State.Hosts.lower_bound(State.Identity.Name);
  return std::min(Most, Spacing * std::distance(State.Hosts.begin(), Own));
}

void noteRights(step_context &Step) {
  host &State = Step.State;
  for (auto &[Name, Group] : State.Groups) {
    restored_group &Restored = Group.Restored;
    Restored.WriteCall = 0;
    Restored.NextWriteAt =
        Step.Now + ownDelay(State, WriteSpacing, MaxWriteSpread);
    if (!Group.Record || !mayUsePrimary(State, Name, Step.Now)) {
      Restored.VouchedGeneration = 0;
      continue;
    }
    Restored.VouchedGeneration = Group.Record->Generation;
    if (hasValidLease(State, Step.Now) && isConfirmed(State, *Group.Record))
      Restored.UseUntil = std::max(Restored.UseUntil, State.Lease.ValidUntil);
  }
}

/// Gives up the lease, and voids the answer to a call that is pending.
void dropLease(step_context &Step) {
  host &State = Step.State;
  const bool IsPending = State.Lease.CallPending;
  loseLease(Step);
  State.Lease.PendingCallIsObsolete = IsPending;
  State.Lease.NextCallAt = Step.Now;
  State.Restore.ReturnAt =
      Step.Now + ownDelay(State, ReturnSpacing, MaxReturnSpread);
  State.OwnRecord.Revision = 0;
}

void awaitHosts(step_context &Step) {
  host &State = Step.State;
  restore_state &Restore = State.Restore;
  // Those that an earlier restore left behind may still be there.
  Restore.Awaited.merge(std::exchange(Restore.Absent, {}));
  for (const auto &[Name, Peer] : State.Hosts)
    Restore.Awaited.insert(Name);
  Restore.ListedBefore = Restore.Awaited.size();
}

void dropAwaitedHosts(step_context &Step) {
  restore_state &Restore = Step.State.Restore;
  if (Restore.Awaited.empty() || Step.Now < earlierErasEnd(Step.State))
    return;
  Restore.Absent = std::exchange(Restore.Awaited, {});
  for (const std::string &Name : Restore.Absent) {
    logLine(Step, "host.not_back", {{"host", Name}});
    const listed_peer *Peer = findIn(Step.State.Hosts, Name);
    if (Peer != nullptr)
      removeHost(Step, Name, Peer->Revision + 1);
  }
}

/// The record that this host should write over the store's, if any.
std::optional<group_record> recordToWrite(const host &State,
                                          const group_state &Group) {
  if (!Group.Record)
    return std::nullopt;
  const restored_group &Restored = Group.Restored;
  const bool IsBehind = Restored.Stored || Restored.IsMissing;
  const group_record *Stored =
      Restored.Stored ? &*Restored.Stored : &*Group.Record;
  // Another host has confirmed an earlier generation: none was replaced since,
  // but this host does not go back.
  if (Restored.Stored && isConfirmed(State, *Stored))
    return rebuiltRecord(State, *Group.Record);
  if (!IsBehind && isConfirmed(State, *Stored))
    return std::nullopt;
  group_record Record = *Group.Record;
  if (Record.Open && Restored.VouchedGeneration == Record.Generation) {
    Record.Era = State.StoreEra;
    return Record;
  }
  return IsBehind ? std::optional(Record) : std::nullopt;
}

void writeRecord(step_context &Step, const std::string &Name,
                 group_state &Group, const group_record &Record) {
  restored_group &Restored = Group.Restored;
  const std::string Key = std::string(GroupsPrefix) + Name;
  Restored.WriteCall = nextNumber(Step.State);
  Restored.WrittenValue = formatRecord(Record);
  effects::change_records Change;
  Change.Call = Restored.WriteCall;
  Change.Expected.emplace_back(Key, Restored.IsMissing ? 0 : Group.Revision);
  Change.Writes.push_back({Key, Restored.WrittenValue, false});
  Step.Out.push_back(std::move(Change));
  logLine(Step, "primary.restored",
          {{"group", Name},
           {"generation", std::to_string(Record.Generation)},
           {"primary", Record.Primary},
           {"confirmed", isConfirmed(Step.State, Record) ? "true" : "false"},
           {"open", Record.Open ? "true" : "false"}});
}

void writeRecords(step_context &Step) {
  host &State = Step.State;
  std::size_t Pending = static_cast<std::size_t>(std::count_if(
      State.Groups.begin(), State.Groups.end(),
      [](const auto &Entry) { return Entry.second.Restored.WriteCall != 0; }));
  for (auto &[Name, Group] : State.Groups) {
    if (Pending >= MaxPendingWrites)
      return;
    if (Group.Restored.WriteCall != 0 || Step.Now < Group.Restored.NextWriteAt)
      continue;
    const auto Record = recordToWrite(State, Group);
    if (!Record)
      continue;
    writeRecord(Step, Name, Group, *Record);
    Pending += 1;
  }
}

} // namespace

void storeRestored(step_context &Step, const events::store_restored &Event) {
  host &State = Step.State;
  if (Event.Era <= State.StoreEra)
    return;
  logLine(Step, "store.era",
          {{"old", std::to_string(State.StoreEra)},
           {"new", std::to_string(Event.Era)},
           {"lease", std::to_string(State.Lease.Id)},
           {"coordinator", State.Coordinator.IsHeld ? "true" : "false"}});
  const bool IsRestore = State.StoreEra != 0;
  if (IsRestore) {
    noteRights(Step);
    dropLease(Step);
    forgetCoordinator(Step);
    awaitHosts(Step);
  }
  State.StoreEra = Event.Era;
  State.Restore.KnownAt = Step.Now;
  State.Restore.IsSeen = State.Restore.IsSeen || IsRestore;
  // Targets' entries that the copy lacks are written again by their writers.
  State.KeepAbsentUntil =
      std::max(State.KeepAbsentUntil, earlierErasEnd(State));
}

bool wasRestored(const host &State) { return State.StoreEra > FirstEra; }

bool isConfirmed(const host &State, const group_record &Record) {
  // Hosts of earlier versions write no era.
  return Record.Era >= State.StoreEra ||
         (Record.Era == 0 && !State.Restore.IsSeen);
}

bool mayUseSinceBefore(const group_state &Group, instant Now) {
  return Now < Group.Restored.UseUntil &&
         Group.Record->Generation == Group.Restored.VouchedGeneration;
}

group_record rebuiltRecord(const host &State, const group_record &Known) {
  group_record Rebuilt = Known;
  Rebuilt.Generation =
      std::max(Known.Generation + 1, State.StoreEra << GenerationBitsOfEra);
  Rebuilt.Open = false;
  Rebuilt.PrimaryStays = false;
  Rebuilt.LatestOrder = named_order{};
  Rebuilt.Era = State.StoreEra;
  Rebuilt.Rebuilt = true;
  return Rebuilt;
}

instant earlierErasEnd(const host &State) {
  return State.StoreEra == 0
             ? instant{}
             : State.Restore.KnownAt + leaseLength(State) + MaxOrderDelay;
}

bool areMostHostsBack(const host &State) {
  const restore_state &Restore = State.Restore;
  const std::size_t Missing = Restore.Awaited.size() + Restore.Absent.size();
  return Restore.IsSeen && Missing * 2 < Restore.ListedBefore;
}

bool isOfPresentEra(const host &State, std::uint64_t Revision) {
  return eraOf(Revision) >= State.StoreEra;
}

bool keepsRefilling(const host &State, instant Now) {
  return State.Restore.IsSeen && State.Refilling && !State.Isolated &&
         Now < State.Restore.KnownAt + ShareKeptPeriod;
}

void noteReturn(host &State, const std::string &Name) {
  State.Restore.Awaited.erase(Name);
  State.Restore.Absent.erase(Name);
}

bool isAwaited(const host &State, const std::string &Name) {
  return State.Restore.Awaited.contains(Name);
}

void superviseRestore(step_context &Step) {
  dropAwaitedHosts(Step);
  const lease_state &Lease = Step.State.Lease;
  if (Lease.Id != 0 && Lease.GroupsRead)
    writeRecords(Step);
}

bool restoreChangeEnded(step_context &Step, const events::change_ended &Event) {
  for (auto &[Name, Group] : Step.State.Groups) {
    restored_group &Restored = Group.Restored;
    if (Event.Call == 0 || Restored.WriteCall != Event.Call)
      continue;
    Restored.WriteCall = 0;
    Restored.NextWriteAt = Step.Now + WriteRetryDelay;
    const std::string Key = std::string(GroupsPrefix) + Name;
    if (Event.Outcome == change_outcome::Done)
      recordChanged(Step, {Key, Restored.WrittenValue, Event.Revision, 0});
    else
      logUnconfirmedChange(Step, Key, Event);
    return true;
  }
  return false;
}

} // namespace bronzespar::proxy
