/// Drives one session host on virtual time; tests send the events of the store
/// and the targets.
#pragma once

#include <bronzespar/proxy/host.hpp>

#include <proxy/records.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace session_test {

using namespace bronzespar;
using namespace bronzespar::proxy;

inline const std::string Group = "orders";

/// A host whose effects are collected until a test takes them.
struct host_driver {
  host_pointer Host;
  instant Now = instant(1000s);
  effect_list Effects;
  std::uint64_t Revision = 10;
  session_number LastSession = 0;
  /// Ids of the targets that are listed at the start; "a" is the primary.
  std::vector<std::string> TargetIds = {"a", "b", "c"};
  /// Written into the group's record.
  std::vector<std::string> Electors = {"host-1"};

  explicit host_driver(const std::string &Name = "host-1") {
    host_identity Identity;
    Identity.Name = Name;
    Identity.DataCentre = "suva";
    Identity.PeerEndpoint = {"10.0.0.1", 7560};
    Host = makeHost(Identity);
  }

  void send(event Event) { step(*Host, std::move(Event), Now, Effects); }

  /// Advances virtual time in ticks of 20 ms.
  void advanceTime(duration Span) {
    const instant End = Now + Span;
    while (Now < End) {
      Now += std::min<duration>(20ms, End - Now);
      send(events::tick{});
    }
  }

  /// Removes and returns all effects of one type; others stay.
  template <class Effect> std::vector<Effect> takeEffects() {
    std::vector<Effect> Taken;
    effect_list Rest;
    for (effect &Candidate : Effects) {
      if (auto *Match = std::get_if<Effect>(&Candidate))
        Taken.push_back(std::move(*Match));
      else
        Rest.push_back(std::move(Candidate));
    }
    Effects = std::move(Rest);
    return Taken;
  }

  void applySettings() {
    proxy_settings Settings;
    Settings.Version = 1;
    Settings.Accounts["rago"] = {"rago", 1000, 1000};
    Settings.Keys["key-1"] = "rago";
    Settings.Groups[Group] = {16};
    Settings.Routes["live"] = {
        "live", Group, read_consistency::Primary, 800ms, 100ms, {}, 1, false};
    Settings.Routes["own"] = {"own", Group, read_consistency::ReadYourWrites,
                              800ms, 200ms, 2500ms,
                              2,     false};
    send(events::settings_changed{Settings});
  }

  static target_entry makeEntry(const std::string &Id, bool Primary) {
    target_entry Entry;
    Entry.Id = Id;
    Entry.Group = Group;
    Entry.Endpoint = {"10.0.1.1", static_cast<std::uint16_t>(
                                      8000 + static_cast<int>(Id.back()))};
    Entry.DataCentre = "suva";
    Entry.Slots = 2;
    Entry.ClaimsPrimary = Primary;
    return Entry;
  }

  void listTargets() {
    events::targets_listed Listed;
    for (const std::string &Id : TargetIds)
      Listed.Targets.push_back(makeEntry(Id, Id == "a"));
    send(Listed);
  }

  void writeGroupRecord(const std::string &Primary, std::uint64_t Generation,
                        bool Open) {
    send(events::record_changed{
        {std::string(GroupsPrefix) + Group,
         formatRecord(group_record{Generation, Primary, Open, Electors}),
         ++Revision, 0}});
  }

  void removeRecord(std::string Key) {
    send(events::record_removed{std::move(Key), ++Revision});
  }

  void grantLease(std::uint64_t Lease) {
    send(events::lease_answered{Lease, 2000ms, Now, true});
  }

  /// Answers the change that registers the host.
  /// \returns False when the host has requested none.
  bool answerRegistration(change_outcome Outcome = change_outcome::Done) {
    for (const auto &Change : takeEffects<effects::change_records>())
      if (!Change.Writes.empty() &&
          Change.Writes.front().Key.starts_with(HostsPrefix)) {
        send(events::change_ended{Change.Call, Outcome, ++Revision});
        return true;
      }
    return false;
  }

  /// Removes the change that registers the host and returns its record.
  std::optional<host_record> takeRegistration() {
    for (const auto &Change : takeEffects<effects::change_records>())
      if (!Change.Writes.empty() &&
          Change.Writes.front().Key.starts_with(HostsPrefix))
        return parseHostRecord(Change.Writes.front().Value);
    return std::nullopt;
  }

  /// Answers the read of the groups' records.
  /// \returns False when the host has requested none.
  bool answerGroupsRead(const std::string &Primary, std::uint64_t Generation,
                        bool Open) {
    for (const auto &Read : takeEffects<effects::read_records>())
      if (Read.Prefix == GroupsPrefix) {
        send(events::records_read{
            Read.Call,
            Read.Prefix,
            {{std::string(GroupsPrefix) + Group,
              formatRecord(group_record{Generation, Primary, Open, Electors}),
              ++Revision, 0}},
            true});
        return true;
      }
    return false;
  }

  /// Takes the host through its start until it uses primary "a" under lease 7.
  void becomeReady() {
    send(events::store_reachability_changed{true});
    send(events::record_changed{{std::string(CoordinatorKey), "host-9", 5, 9}});
    applySettings();
    listTargets();
    send(events::tick{});
    grantLease(7);
    send(events::tick{});
    REQUIRE(answerRegistration());
    send(events::tick{});
    REQUIRE(answerGroupsRead("a", 1, true));
    host_record Own;
    Own.PeerEndpoint = {"10.0.0.1", 7560};
    Own.DataCentre = "suva";
    send(events::record_changed{
        {"hosts/host-1", formatRecord(Own), ++Revision, 7}});
    // Afterwards the host's buckets refill, and the votes of an earlier
    // incarnation have expired.
    advanceTime(1100ms);
    grantLease(7);
    Effects.clear();
  }

  session_number openSession(const std::string &Database) {
    send(events::session_opened{++LastSession, Database, "key-1"});
    return LastSession;
  }

  void sendStatement(session_number Session, const std::string &Id,
                     statement_kind Kind, std::string Text) {
    statement Statement;
    Statement.Kind = Kind;
    Statement.Text = std::move(Text);
    Statement.Writes = Kind == statement_kind::Write;
    send(events::statement_arrived{Session, Id, Statement});
  }

  /// Lets every dial succeed.
  /// \returns The connections that are ready now.
  std::vector<effects::open_target> acceptDials() {
    auto Dials = takeEffects<effects::open_target>();
    for (const auto &Dial : Dials)
      send(events::target_ready{Dial.Connection, log_position{1, 0}});
    return Dials;
  }

  static answer completedAnswer(log_position Position,
                                session_phase Phase = session_phase::Idle) {
    answer Answer;
    Answer.Text = "signature";
    Answer.Rows = {"row"};
    Answer.Position = Position;
    Answer.Phase = Phase;
    return Answer;
  }

  static answer refusedAnswer(answer_code Code) {
    answer Answer;
    Answer.Code = Code;
    return Answer;
  }
};

/// Advances time under a lease that is renewed.
inline void advanceUnderLease(host_driver &Driver, duration Span) {
  const instant End = Driver.Now + Span;
  while (Driver.Now < End) {
    Driver.grantLease(7);
    Driver.advanceTime(std::min<duration>(100ms, End - Driver.Now));
  }
}

} // namespace session_test
