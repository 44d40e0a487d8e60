/// The simulated fleet's store: leases, and changes that it makes late or does
/// not answer.
#include "simulated_fleet.hpp"

namespace session_test {

namespace {

constexpr duration MaxAnswerTime = 1200ms;
constexpr duration LeaseLength = 1600ms;

} // namespace

duration simulated_fleet::drawDelay() {
  const auto Range = std::chrono::duration_cast<std::chrono::milliseconds>(
      Faults.MaxDelay - Faults.MinDelay);
  return Faults.MinDelay + std::chrono::milliseconds(static_cast<int>(
                               static_cast<double>(Range.count()) * draw()));
}

void simulated_fleet::revoke(const std::string &Name, std::uint64_t Lease) {
  if (Network.toStore(Name).losesCalls(Now))
    return;
  const duration Delay = draw() < Faults.Late ? drawDelay() : duration(0);
  Scheduled.emplace(Now + Delay, [this, Lease, CallEra = Era] {
    if (Era == CallEra)
      Leases.erase(Lease);
  });
}

void simulated_fleet::renew(const std::string &Name, std::uint64_t Lease,
                            bool IsNew) {
  const simulated_path Path = Network.toStore(Name);
  const bool IsLost = isStoreDown() || Path.losesCalls(Now);
  const auto EndUnanswered = [&](duration Delay) {
    answer(Name, Delay, [SentAt = Now] {
      return events::lease_answered{0, {}, SentAt, false};
    });
  };
  if (IsLost || draw() < Faults.Rejected) {
    EndUnanswered(IsLost ? StoreCallTimeout : FleetTick);
    return;
  }
  const bool Lasts = IsNew || Leases.contains(Lease);
  if (Lasts)
    Leases[Lease] = Now + LeaseLength;
  if (Path.losesAnswers(Now)) {
    EndUnanswered(StoreCallTimeout);
    return;
  }
  const bool IsSlow = SlowAnswers > 0 && draw() < SlowAnswers;
  const duration Delay =
      IsSlow ? drawSpan(FleetTick, MaxAnswerTime) : FleetTick;
  answer(Name, Delay, [this, Name, Lease, Lasts, SentAt = Now, Shown = Era] {
    if (Shown != 0)
      send(Name, events::store_restored{Shown});
    return events::lease_answered{Lasts ? Lease : 0, LeaseLength, SentAt, true};
  });
}

void simulated_fleet::carryOut(const std::string &Name,
                               const effects::change_records &Change) {
  const double Luck = draw();
  const auto Answer = [&](duration Delay, change_outcome Outcome,
                          std::uint64_t At) {
    events::change_ended Event{Change.Call, Outcome, At};
    if (Outcome == change_outcome::Conflict)
      Event.Current = expectedRecords(Change);
    answer(Name, Delay, [Event] { return Event; });
  };
  const simulated_path Path = Network.toStore(Name);
  if (isStoreDown() || Path.losesCalls(Now)) {
    Answer(StoreCallTimeout, change_outcome::Unknown, 0);
  } else if (Luck < Faults.Rejected) {
    Answer(FleetTick, change_outcome::Rejected, 0);
  } else if (Luck < Faults.Rejected + Faults.Late) {
    Scheduled.emplace(Now + drawDelay(), [this, Change, CallEra = Era] {
      // Calls under way are lost with the store.
      if (Era == CallEra)
        (void)apply(Change);
    });
    Answer(StoreCallTimeout, change_outcome::Unknown, 0);
  } else {
    const change_outcome Outcome = apply(Change);
    const bool IsLost = Path.losesAnswers(Now) ||
                        Luck < Faults.Rejected + Faults.Late + Faults.Lost;
    Answer(IsLost ? StoreCallTimeout : FleetTick,
           IsLost ? change_outcome::Unknown : Outcome, Revision);
  }
}

change_outcome simulated_fleet::apply(const effects::change_records &Change) {
  for (const auto &[Key, Expected] : Change.Expected) {
    const auto Found = Records.find(Key);
    if ((Found == Records.end() ? 0 : Found->second.Revision) != Expected)
      return change_outcome::Conflict;
  }
  for (const store_write &Write : Change.Writes)
    if (Write.BoundToLease && !Leases.contains(Change.Lease))
      return change_outcome::LeaseGone;
  Revision += 1;
  for (const store_write &Write : Change.Writes)
    write(Write, Change.Lease);
  for (const std::string &Key : Change.Deletes)
    erase(Key);
  return change_outcome::Done;
}

std::vector<store_record>
simulated_fleet::expectedRecords(const effects::change_records &Change) const {
  std::vector<store_record> Existing;
  for (const auto &[Key, Expected] : Change.Expected)
    if (const auto Found = Records.find(Key); Found != Records.end())
      Existing.push_back(Found->second);
  return Existing;
}

void simulated_fleet::write(const store_write &Write, std::uint64_t Lease) {
  const store_record Record{Write.Key, Write.Value, Revision,
                            Write.BoundToLease ? Lease : 0};
  Records[Write.Key] = Record;
  broadcast(events::record_changed{Record});
}

void simulated_fleet::erase(const std::string &Key) {
  Records.erase(Key);
  broadcast(events::record_removed{Key, Revision});
}

void simulated_fleet::endLeases() {
  if (isStoreDown())
    return;
  std::erase_if(Leases, [&](const auto &Lease) { return Lease.second <= Now; });
  std::vector<std::string> Ended;
  for (const auto &[Key, Record] : Records)
    if (Record.Lease != 0 && !Leases.contains(Record.Lease))
      Ended.push_back(Key);
  for (const std::string &Key : Ended) {
    Revision += 1;
    erase(Key);
  }
}

void simulated_fleet::keepCopy() {
  if (Era == 0 || isStoreDown())
    return;
  if (Copies.empty() || Copies.rbegin()->second.Revision != Revision)
    Copies[Now] = {Records, Revision};
  // The last one before the oldest that may be asked for is still needed.
  while (Copies.size() > 1 &&
         std::next(Copies.begin())->first < Now - MaxCopyAge)
    Copies.erase(Copies.begin());
}

void simulated_fleet::restoreStore(duration Age, duration Away) {
  interruptStore(Away, false);
  Scheduled.emplace(Now + Away, [this, Time = Now - Age] { loadCopy(Time); });
}

void simulated_fleet::loadCopy(instant Time) {
  constexpr std::uint64_t OwnBits = (std::uint64_t(1) << RevisionBits) - 1;
  auto After = Copies.upper_bound(Time);
  if (After != Copies.begin())
    --After;
  const store_copy Copy = After->second;
  std::map<std::string, store_record> Lost;
  Lost.swap(Records);
  Restores += 1;
  Era += 1;
  Leases.clear();
  LastLease = FirstLease;
  Revision = (Era << RevisionBits) + (Copy.Revision & OwnBits);
  // Records that are bound to a lease are lost with it.
  for (const auto &[Key, Record] : Copy.Records) {
    if (Record.Lease != 0)
      continue;
    store_record &Restored = Records[Key] = Record;
    Restored.Revision = (Era << RevisionBits) + (Record.Revision & OwnBits);
    Lost.erase(Key);
    broadcast(events::record_changed{Restored});
  }
  for (const auto &[Key, Record] : Lost)
    broadcast(events::record_removed{Key, Revision});
  Copies[Now] = {Records, Revision};
}

std::uint64_t simulated_fleet::eraOf(const event &Event) {
  std::uint64_t Shown = 0;
  if (const auto *Changed = std::get_if<events::record_changed>(&Event))
    Shown = Changed->Record.Revision;
  else if (const auto *Removed = std::get_if<events::record_removed>(&Event))
    Shown = Removed->Revision;
  else if (const auto *Read = std::get_if<events::records_read>(&Event))
    Shown = Read->Answered ? Read->Revision : 0;
  else if (const auto *Ended = std::get_if<events::change_ended>(&Event))
    Shown = Ended->Outcome == change_outcome::Unknown ? 0 : Ended->Revision;
  return Shown >> RevisionBits;
}

void simulated_fleet::carryOut(const std::string &Name,
                               const effects::read_records &Read) {
  events::records_read Event{Read.Call, Read.Prefix, {}, true, Revision};
  if (isStoreDown() || Network.toStore(Name).isCut(Now)) {
    Event.Answered = false;
    answer(Name, StoreCallTimeout, [Event] { return Event; });
    return;
  }
  for (const auto &[Key, Record] : Records)
    if (Key.starts_with(Read.Prefix))
      Event.Records.push_back(Record);
  answer(Name, FleetTick, [Event] { return Event; });
}

} // namespace session_test
