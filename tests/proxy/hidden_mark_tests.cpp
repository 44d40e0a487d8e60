/// Orders of a new coordinator after a lease was revoked whose mark it did not
/// see. In all of them host-2, which is gone, may still use primaries.
#include "coordinator_driver.hpp"

#include <proxy/parts.hpp>

#include <algorithm>

using namespace session_test;

namespace {

const std::string OtherGroup = "bills";
constexpr duration LeaseLength = 2000ms; ///< As the driver grants it.

/// A host that becomes the coordinator, and the store as its calls show it.
struct successor {
  host_driver Driver;
  bool OtherIsClosed = true;     ///< The record of the other group.
  bool AnswersReads = true;      ///< The store answers reads of records.
  std::string FailedRead;        ///< Prefix of the next read that fails.
  std::uint64_t OtherRevision{}; ///< Of the other group's record.

  successor() {
    Driver.becomeReady();
    proxy_settings Settings = *Driver.Host->Settings;
    Settings.Version += 1;
    Settings.Groups[OtherGroup] = {16};
    Driver.send(events::settings_changed{Settings});
  }

  void listSecondHost() {
    host_record Other;
    Other.PeerEndpoint = {"10.0.0.2", 7560};
    Driver.send(events::record_changed{
        {"hosts/host-2", formatRecord(Other), ++Driver.Revision, 8}});
  }

  /// The previous coordinator writes the other group's record.
  void writeOtherGroup() { OtherRevision = ++Driver.Revision; }

  [[nodiscard]] store_record otherRecord() const {
    return {std::string(GroupsPrefix) + OtherGroup,
            formatRecord(group_record{4, "x", !OtherIsClosed, {"host-1"}}),
            OtherRevision, 0};
  }

  /// The removal of host-2's record hides its mark.
  void removeSecondHost() { Driver.removeRecord("hosts/host-2"); }

  /// The host may claim the role. A primary is to be replaced.
  void freeRole() {
    Driver.removeRecord(std::string(CoordinatorKey));
    reportUnreachable(Driver, "host-1", "a");
  }

  void answerReads() {
    if (!AnswersReads)
      return;
    for (const auto &Read : Driver.takeEffects<effects::read_records>()) {
      events::records_read Answer{Read.Call, Read.Prefix, {}, true, 0};
      if (Read.Prefix == FailedRead) {
        FailedRead.clear();
        Answer.Answered = false;
      } else if (Read.Prefix == HostsPrefix) {
        host_record Own;
        Own.PeerEndpoint = {"10.0.0.1", 7560};
        Own.AcknowledgedClosures = {{Group, 100}, {OtherGroup, 100}};
        Own.UnreachablePrimaries = {{Group, "a"}};
        Answer.Records.push_back(
            {"hosts/host-1", formatRecord(Own), ++Driver.Revision, 7});
      } else {
        Answer.Records.push_back(otherRecord());
      }
      Answer.Revision = ++Driver.Revision;
      Driver.send(Answer);
    }
  }

  void storeChanges() {
    for (const auto &Change : Driver.takeEffects<effects::change_records>()) {
      Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                       ++Driver.Revision});
      for (const auto &Write : Change.Writes)
        if (Write.Key == otherRecord().Key)
          OtherRevision = Driver.Revision;
    }
  }

  /// Lets the coordinator go on for a while. The primary of the group whose
  /// record is open is not reached, so that it is to be replaced.
  /// \returns When an order was given, if one was.
  std::optional<instant> goOn(duration Span) {
    const instant End = Driver.Now + Span;
    while (Driver.Now < End) {
      Driver.grantLease(7);
      Driver.advanceTime(20ms);
      storeChanges();
      answerReads();
      answerProbes(Driver, {{"b", {false, {1, 90}, 1}}});
      if (!Driver.takeEffects<effects::order_promotion>().empty())
        return Driver.Now;
    }
    return std::nullopt;
  }
};

} // namespace

TEST_CASE("A lease whose revocation was hidden delays the orders of a group "
          "whose record is open") {
  successor Successor;
  Successor.listSecondHost();
  Successor.writeOtherGroup();
  Successor.removeSecondHost();
  Successor.freeRole();
  const instant Removed = Successor.Driver.Now;
  const auto Ordered = Successor.goOn(5s);
  REQUIRE(Ordered);
  CHECK(*Ordered >= Removed + LeaseLength);
}

TEST_CASE("A removal that hides a revocation after the role was taken delays "
          "orders") {
  // It comes from a watch that skips the mark but shows later changes.
  successor Successor;
  Successor.listSecondHost();
  Successor.writeOtherGroup();
  Successor.freeRole();
  Successor.AnswersReads = false;
  CHECK_FALSE(Successor.goOn(400ms));
  reportUnreachable(Successor.Driver, "host-1", "a");
  Successor.removeSecondHost();
  const instant Removed = Successor.Driver.Now;
  Successor.AnswersReads = true;
  const auto Ordered = Successor.goOn(5s);
  REQUIRE(Ordered);
  CHECK(*Ordered >= Removed + LeaseLength);
}

TEST_CASE("A coordinator whose process started after a revocation delays its "
          "orders") {
  // It has never known of the host.
  successor Successor;
  Successor.writeOtherGroup();
  Successor.freeRole();
  const instant Taken = Successor.Driver.Now;
  const auto Ordered = Successor.goOn(5s);
  REQUIRE(Ordered);
  CHECK(*Ordered >= Taken + LeaseLength);
}

TEST_CASE("A closed record that the coordinator has written again still tells "
          "of a revocation") {
  // Its watch shows the closed record, which it writes before it is read.
  successor Successor;
  Successor.writeOtherGroup();
  Successor.freeRole();
  Successor.Driver.send(events::record_changed{Successor.otherRecord()});
  Successor.FailedRead = std::string(HostsPrefix);
  const instant Taken = Successor.Driver.Now;
  const auto Ordered = Successor.goOn(5s);
  REQUIRE(Ordered);
  CHECK(*Ordered >= Taken + LeaseLength);
}

TEST_CASE("A coordinator that has not read the records gives no order") {
  successor Successor;
  Successor.writeOtherGroup();
  Successor.freeRole();
  Successor.AnswersReads = false;
  CHECK_FALSE(Successor.goOn(5s));
}

TEST_CASE("A new coordinator that finds every record open gives its orders "
          "without a delay") {
  // A lease that ended by itself, as in a data centre that is cut off.
  successor Successor;
  Successor.OtherIsClosed = false;
  Successor.listSecondHost();
  Successor.writeOtherGroup();
  Successor.removeSecondHost();
  Successor.freeRole();
  const instant Removed = Successor.Driver.Now;
  const auto Ordered = Successor.goOn(5s);
  REQUIRE(Ordered);
  CHECK(*Ordered <= Removed + 1200ms);
}
