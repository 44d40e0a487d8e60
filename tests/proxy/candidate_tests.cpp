/// Which replica is promoted when replicas drain, are silent or are behind.
#include "coordinator_driver.hpp"

#include <proxy/state.hpp>

using namespace session_test;

namespace {

using statuses = std::map<std::string, target_status>;

void listTargets(host_driver &Driver, const std::set<std::string> &Ids,
                 const std::set<std::string> &Draining = {}) {
  events::targets_listed Listed;
  for (const std::string &Id : Ids) {
    Listed.Targets.push_back(host_driver::makeEntry(Id, Id == "a"));
    Listed.Targets.back().Draining = Draining.contains(Id);
  }
  Driver.send(Listed);
}

void answerProbes(host_driver &Driver, const statuses &Statuses) {
  for (const auto &Probe : Driver.takeEffects<effects::probe_target>()) {
    const auto Found = Statuses.find(Probe.Target);
    if (Found != Statuses.end())
      Driver.send(events::target_probed{Probe.Target, Found->second});
  }
}

/// Lets the coordinator go on; this host is the only one, and targets answer
/// with Statuses.
/// \returns The target of the first order to promote, if there is one.
std::optional<std::string> promote(host_driver &Driver, duration Span,
                                   const statuses &Statuses) {
  const instant End = Driver.Now + Span;
  while (Driver.Now < End) {
    Driver.grantLease(7);
    Driver.advanceTime(20ms);
    storeGroupRecords(Driver);
    host_record Own;
    Own.PeerEndpoint = {"10.0.0.1", 7560};
    Own.AcknowledgedClosures[Group] = 100;
    for (const auto &Read : Driver.takeEffects<effects::read_records>())
      Driver.send(events::records_read{
          Read.Call,
          Read.Prefix,
          {{"hosts/host-1", formatRecord(Own), ++Driver.Revision, 7}},
          true,
          ++Driver.Revision});
    answerProbes(Driver, Statuses);
    const auto Orders = Driver.takeEffects<effects::order_promotion>();
    if (!Orders.empty())
      return Orders.front().Target;
  }
  return std::nullopt;
}

target_status replicaAt(std::uint64_t Index) { return {false, {1, Index}, 1}; }

} // namespace

TEST_CASE("A draining replica that alone has the newest commits is promoted") {
  // Guards against the loss of acknowledged commits: the replica that confirmed
  // them was passed over because it drained.
  host_driver Driver;
  becomeCoordinator(Driver);
  listTargets(Driver, {"a", "b", "c"}, {"b"});
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 1s, {{"b", replicaAt(90)}, {"c", replicaAt(40)}}) ==
        "b");
}

TEST_CASE("A replica that stays is preferred to a draining one at the same "
          "position") {
  host_driver Driver;
  becomeCoordinator(Driver);
  listTargets(Driver, {"a", "b", "c"}, {"b"});
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 1s, {{"b", replicaAt(90)}, {"c", replicaAt(90)}}) ==
        "c");
}

TEST_CASE("A replica that alone answers is promoted") {
  host_driver Driver;
  becomeCoordinator(Driver);
  reportUnreachable(Driver, "host-2", "a");
  CHECK(promote(Driver, 1s, {{"c", replicaAt(40)}}) == "c");
}
