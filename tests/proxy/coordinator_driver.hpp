/// A host that is the coordinator, for tests of promotions.
#pragma once

#include "host_driver.hpp"

#include <proxy/parts.hpp>

namespace session_test {

/// What targets answer, by id.
using statuses = std::map<std::string, target_status>;

inline target_status replicaAt(std::uint64_t Index) {
  return {false, {1, Index}, 1};
}
inline target_status primaryAt(std::uint64_t Index) {
  return {true, {1, Index}, 1};
}

/// Answers the reads of a host that has just become the coordinator: the store
/// holds the hosts that it knows, and no closed record of a group.
inline void answerRoleReads(host_driver &Driver) {
  for (const auto &Read : Driver.takeEffects<effects::read_records>()) {
    events::records_read Answer{Read.Call, Read.Prefix, {}, true, 0};
    if (Read.Prefix == HostsPrefix)
      for (const auto &[Name, Peer] : Driver.Host->Hosts)
        Answer.Records.push_back({"hosts/" + Name, formatRecord(Peer.Record),
                                  Peer.Revision, Peer.Lease});
    Answer.Revision = ++Driver.Revision;
    Driver.send(Answer);
  }
}

/// Makes the host the coordinator and lets it give orders.
inline void becomeCoordinator(host_driver &Driver) {
  Driver.becomeReady();
  host_record Own;
  Own.PeerEndpoint = {"10.0.0.1", 7560};
  Driver.send(events::record_changed{
      {"hosts/host-1", formatRecord(Own), ++Driver.Revision, 7}});
  Driver.removeRecord(std::string(CoordinatorKey));
  Driver.advanceTime(700ms);
  Driver.grantLease(7);
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    if (Change.Writes.front().Key == CoordinatorKey)
      Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                       ++Driver.Revision});
  answerRoleReads(Driver);
  Driver.advanceTime(800ms);
  Driver.grantLease(7);
  Driver.Effects.clear();
}

inline void reportUnreachable(host_driver &Driver, const std::string &Host,
                              const std::string &Primary) {
  host_record Record;
  Record.PeerEndpoint = {"10.0.0.2", 7560};
  Record.UnreachablePrimaries[Group] = Primary;
  const std::uint64_t Lease = Host == "host-1" ? 7 : 8;
  Driver.send(events::record_changed{
      {"hosts/" + Host, formatRecord(Record), ++Driver.Revision, Lease}});
}

/// Answers the changes of groups' records that the coordinator has requested.
inline void storeGroupRecords(host_driver &Driver) {
  for (const auto &Change : Driver.takeEffects<effects::change_records>())
    if (!Change.Writes.empty() &&
        Change.Writes.front().Key.starts_with(GroupsPrefix))
      Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                       ++Driver.Revision});
}

/// Lets the store confirm the closed record that names an order, if the
/// coordinator has just requested that. Other changes are left.
inline void confirmNamedOrder(host_driver &Driver) {
  const auto &Promotion = Driver.Host->Groups.at(Group).Promotion;
  if (Promotion.Stage != promotion_stage::Naming)
    return;
  for (auto &Change : Driver.takeEffects<effects::change_records>())
    if (Change.Call == Promotion.ChangeCall)
      Driver.send(events::change_ended{Change.Call, change_outcome::Done,
                                       ++Driver.Revision});
    else
      Driver.Effects.emplace_back(std::move(Change));
}

/// Answers the reads of the hosts: this host is the only one, and it has
/// acknowledged the closed generation.
inline void acknowledgeClosure(host_driver &Driver, std::uint64_t Generation) {
  host_record Own;
  Own.PeerEndpoint = {"10.0.0.1", 7560};
  Own.AcknowledgedClosures[Group] = Generation;
  for (const auto &Read : Driver.takeEffects<effects::read_records>())
    Driver.send(events::records_read{
        Read.Call,
        Read.Prefix,
        {{"hosts/host-1", formatRecord(Own), ++Driver.Revision, 7}},
        true,
        ++Driver.Revision});
}

/// Number of the order to promote that the coordinator gave last.
inline call_number lastOrder(const host_driver &Driver) {
  return Driver.Host->Groups.at(Group).Promotion.OrderCall;
}

/// Answers the probes of the targets that Statuses names.
inline void answerProbes(host_driver &Driver,
                         const std::map<std::string, target_status> &Statuses) {
  for (const auto &Probe : Driver.takeEffects<effects::probe_target>())
    if (const auto Found = Statuses.find(Probe.Target); Found != Statuses.end())
      Driver.send(
          events::target_probed{Probe.Target, Found->second, Probe.Call});
}

/// Lets the coordinator go on for a while. This host is the only one, it has
/// acknowledged every closure, the targets that Statuses names answer, and the
/// store confirms orders that are named.
inline void
runCoordinator(host_driver &Driver, duration Span,
               const std::map<std::string, target_status> &Statuses) {
  const instant End = Driver.Now + Span;
  while (Driver.Now < End) {
    Driver.grantLease(7);
    Driver.advanceTime(20ms);
    acknowledgeClosure(Driver, 100);
    answerProbes(Driver, Statuses);
    confirmNamedOrder(Driver);
  }
}

/// Version 2 of the settings: commits are confirmed by a number of replicas.
inline void requireConfirmation(host_driver &Driver, unsigned Replicas) {
  proxy_settings Settings = *Driver.Host->Settings;
  Settings.Version += 1;
  Settings.Groups[Group].ConfirmingReplicas = Replicas;
  Driver.send(events::settings_changed{Settings});
}

/// Lets the coordinator go on; this host is the only one, and targets answer
/// with Statuses, or not at all if there are none.
/// \returns The target of the first order to promote, if there is one.
inline std::optional<std::string> promote(host_driver &Driver, duration Span,
                                          const statuses &Statuses) {
  const instant End = Driver.Now + Span;
  while (Driver.Now < End) {
    Driver.grantLease(7);
    Driver.advanceTime(20ms);
    storeGroupRecords(Driver);
    acknowledgeClosure(Driver, 100);
    if (!Statuses.empty())
      answerProbes(Driver, Statuses);
    const auto Orders = Driver.takeEffects<effects::order_promotion>();
    if (!Orders.empty())
      return Orders.front().Target;
  }
  return std::nullopt;
}

} // namespace session_test
