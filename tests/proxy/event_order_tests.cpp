/// Events of the store that arrive late, twice or out of order.
#include "coordinator_driver.hpp"

#include <proxy/parts.hpp>

using namespace session_test;

namespace {

store_record hostRecord(const std::string &Name, std::uint64_t Revision,
                        std::uint64_t Lease) {
  host_record Record;
  Record.PeerEndpoint = {"10.0.0.2", 7560};
  Record.DataCentre = "suva";
  return {std::string(HostsPrefix) + Name, formatRecord(Record), Revision,
          Lease};
}

bool isListed(const host_driver &Driver, const std::string &Name) {
  return Driver.Host->Hosts.contains(Name);
}

/// A coordinator that has closed the group's record and asked for the hosts.
/// \returns The call that reads the hosts.
call_number closeGroupRecord(host_driver &Driver) {
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  Driver.advanceTime(40ms);
  storeGroupRecords(Driver);
  const auto Reads = Driver.takeEffects<effects::read_records>();
  REQUIRE(Reads.size() == 1);
  return Reads.front().Call;
}

/// This host's record, with its acknowledgement of the closed generation 2.
store_record acknowledgedOwnRecord(host_driver &Driver) {
  host_record Own;
  Own.PeerEndpoint = {"10.0.0.1", 7560};
  Own.AcknowledgedClosures[Group] = 2;
  return {"hosts/host-1", formatRecord(Own), ++Driver.Revision, 7};
}

/// Whether the coordinator asks the targets for their positions, as it does
/// when no host may use the old primary any more.
bool asksTargets(host_driver &Driver, duration Span) {
  Driver.Effects.clear();
  Driver.grantLease(7);
  Driver.advanceTime(Span);
  return !Driver.takeEffects<effects::probe_target>().empty();
}

} // namespace

TEST_CASE("The removal of an expired record does not unlist a host that is "
          "registered again") {
  // In a fleet that shares watches, a coordinator's watch may lag behind its
  // own read of the hosts. It then promoted while the host held a valid lease.
  host_driver Driver;
  const call_number Read = closeGroupRecord(Driver);
  const std::uint64_t RemovedAt = ++Driver.Revision;
  const store_record Returned = hostRecord("host-2", ++Driver.Revision, 12);
  Driver.send(events::records_read{Read,
                                   std::string(HostsPrefix),
                                   {acknowledgedOwnRecord(Driver), Returned},
                                   true,
                                   ++Driver.Revision});
  Driver.send(events::record_removed{"hosts/host-2", RemovedAt});
  CHECK(isListed(Driver, "host-2"));
  CHECK_FALSE(asksTargets(Driver, 1000ms));
}

TEST_CASE("A coordinator proceeds when all listed hosts have acknowledged") {
  // Counterpart of the case above: there, only the missing acknowledgement
  // keeps the coordinator waiting.
  host_driver Driver;
  const call_number Read = closeGroupRecord(Driver);
  Driver.send(events::records_read{Read,
                                   std::string(HostsPrefix),
                                   {acknowledgedOwnRecord(Driver)},
                                   true,
                                   ++Driver.Revision});
  CHECK_FALSE(isListed(Driver, "host-2"));
  CHECK(asksTargets(Driver, 1000ms));
}

TEST_CASE("An older read of the hosts does not unlist a newer host") {
  // Two groups were changed at once, and each change reads the hosts. The
  // answer to the first read arrived last.
  host_driver Driver;
  Driver.becomeReady();
  Driver.Host->Groups["stock"].Promotion.HostsCall = 901;
  Driver.Host->Groups.at(Group).Promotion.HostsCall = 902;
  const std::uint64_t OlderRead = ++Driver.Revision;
  const store_record Joined = hostRecord("host-2", ++Driver.Revision, 12);
  Driver.send(events::records_read{
      902, std::string(HostsPrefix), {Joined}, true, ++Driver.Revision});
  Driver.send(
      events::records_read{901, std::string(HostsPrefix), {}, true, OlderRead});
  CHECK(isListed(Driver, "host-2"));
}

TEST_CASE("A repeated older record does not list a removed host again") {
  // A watch source that lags repeats changes after a switch to it.
  host_driver Driver;
  Driver.becomeReady();
  const store_record Older = hostRecord("host-2", ++Driver.Revision, 8);
  Driver.send(events::record_changed{Older});
  CHECK(isListed(Driver, "host-2"));
  Driver.removeRecord("hosts/host-2");
  Driver.send(events::record_changed{Older});
  CHECK_FALSE(isListed(Driver, "host-2"));
  Driver.send(
      events::record_changed{hostRecord("host-2", ++Driver.Revision, 9)});
  CHECK(isListed(Driver, "host-2"));
}

TEST_CASE("A host that a read of the list lacked is not listed by an older "
          "record") {
  host_driver Driver;
  Driver.becomeReady();
  const store_record Older = hostRecord("host-2", ++Driver.Revision, 8);
  Driver.Host->Groups.at(Group).Promotion.HostsCall = 901;
  Driver.send(events::records_read{
      901, std::string(HostsPrefix), {}, true, ++Driver.Revision});
  Driver.send(events::record_changed{Older});
  CHECK_FALSE(isListed(Driver, "host-2"));
}

TEST_CASE("An older record does not replace a host's newer one") {
  host_driver Driver;
  Driver.becomeReady();
  const store_record Older = hostRecord("host-2", ++Driver.Revision, 8);
  Driver.send(
      events::record_changed{hostRecord("host-2", ++Driver.Revision, 9)});
  Driver.send(events::record_changed{Older});
  CHECK(Driver.Host->Hosts.at("host-2").Lease == 9);
}

TEST_CASE("The removal of an earlier coordinator's key does not end the role") {
  host_driver Driver;
  becomeCoordinator(Driver);
  const std::uint64_t Token = Driver.Host->Coordinator.FencingToken;
  Driver.send(events::record_removed{std::string(CoordinatorKey), Token - 1});
  Driver.send(events::record_changed{
      {std::string(CoordinatorKey), "host-9", Token - 2, 9}});
  Driver.advanceTime(2s);
  CHECK(Driver.Host->Coordinator.IsHeld);
  CHECK(Driver.Host->Coordinator.Holder == "host-1");
}

TEST_CASE("A lease is granted once although its end is learnt twice") {
  // The end of a lease was reported by the registration while a renewal was
  // pending, and then by the renewal. Each led to a grant. The record was bound
  // to the first lease and disappeared with it, while the host used primaries
  // under the second one: no coordinator waited for this host.
  host_driver Driver;
  Driver.becomeReady();
  Driver.writeGroupRecord("a", 2, false);
  Driver.advanceTime(800ms);
  REQUIRE_FALSE(Driver.takeEffects<effects::renew_lease>().empty());
  REQUIRE(Driver.answerRegistration(change_outcome::LeaseGone));
  Driver.advanceTime(40ms);
  std::size_t Grants = Driver.takeEffects<effects::grant_lease>().size();
  Driver.send(events::lease_answered{0, {}, Driver.Now, true});
  Driver.advanceTime(40ms);
  Grants += Driver.takeEffects<effects::grant_lease>().size();
  CHECK(Grants == 1);
}

TEST_CASE("A renewal that was under way does not revive a lease") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.writeGroupRecord("a", 2, false);
  Driver.advanceTime(800ms);
  REQUIRE(Driver.answerRegistration(change_outcome::LeaseGone));
  Driver.send(events::lease_answered{7, 2000ms, Driver.Now, true});
  Driver.writeGroupRecord("a", 3, true);
  CHECK_FALSE(mayUsePrimary(*Driver.Host, Group, Driver.Now));
}

TEST_CASE("Another lease needs its own registration and read of records") {
  host_driver Driver;
  Driver.becomeReady();
  REQUIRE(mayUsePrimary(*Driver.Host, Group, Driver.Now));
  Driver.grantLease(8);
  CHECK_FALSE(mayUsePrimary(*Driver.Host, Group, Driver.Now));
  Driver.send(events::tick{});
  CHECK(Driver.answerRegistration());
  Driver.send(events::tick{});
  CHECK(Driver.answerGroupsRead("a", 1, true));
  CHECK(mayUsePrimary(*Driver.Host, Group, Driver.Now));
}

TEST_CASE("A host whose record was removed does not use primaries until it is "
          "registered again") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.removeRecord("hosts/host-1");
  CHECK_FALSE(mayUsePrimary(*Driver.Host, Group, Driver.Now));
  Driver.send(events::lease_answered{0, {}, Driver.Now, true});
  Driver.send(events::tick{});
  CHECK(Driver.takeEffects<effects::grant_lease>().size() == 1);
}
