/// Hosts that share positions of primaries, for tests of a single host.
#pragma once

#include "host_driver.hpp"

#include <proxy/parts.hpp>

namespace session_test {

inline const endpoint OwnerEndpoint{"10.0.0.2", 7560};

/// A fleet of two hosts whose accounts exceed the targets' connections, so that
/// each target has an owner.
inline void listPeer(host_driver &Driver) {
  proxy_settings Settings = *Driver.Host->Settings;
  Settings.Version += 1;
  Settings.Groups[Group] = {1};
  Driver.send(events::settings_changed{Settings});
  host_record Peer;
  Peer.PeerEndpoint = OwnerEndpoint;
  Peer.DataCentre = "suva";
  Driver.send(events::record_changed{
      {"hosts/host-2", formatRecord(Peer), ++Driver.Revision, 8}});
}

/// Lets another host own the primary, and this host the replicas.
inline void assignOwners(host_driver &Driver) {
  listPeer(Driver);
  (void)ownerRank(*Driver.Host, "a");
  auto &Owners = Driver.Host->OwnerTable.Owners;
  Owners["a"] = {"host-2"};
  Owners["b"] = {"host-1"};
  Owners["c"] = {"host-1"};
}

inline forwarded_statement replicaRead(const std::string &Target) {
  forwarded_statement Forwarded;
  Forwarded.Id = "r1";
  Forwarded.Group = Group;
  Forwarded.Account = "rago";
  Forwarded.Target = Target;
  Forwarded.Statement.Kind = statement_kind::Read;
  Forwarded.Statement.Text = "READ 1";
  Forwarded.MaxStaleness = 1500ms;
  Forwarded.RemainingTime = 500ms;
  return Forwarded;
}

inline answer takeOnlyAnswer(host_driver &Driver) {
  auto Answers = Driver.takeEffects<effects::answer_forward>();
  REQUIRE(Answers.size() == 1);
  return Answers.front().Answer;
}

/// Answers the request for the primary's position.
inline void sharePosition(host_driver &Driver, log_position Position,
                          duration Age) {
  const auto Requests = Driver.takeEffects<effects::request_position>();
  REQUIRE(Requests.size() == 1);
  CHECK(Requests.front().Owner == OwnerEndpoint);
  Driver.send(events::position_received{
      {Group, "a", Position, Age, Requests.front().Request.AskedAt}});
}

/// Sends a read that needs the primary. \returns The connection that it uses.
inline connection_number readFromPrimary(host_driver &Driver) {
  const session_number Session = Driver.openSession("live");
  Driver.sendStatement(Session, "r1", statement_kind::Read, "READ 1");
  Driver.acceptDials();
  const auto Sent = Driver.takeEffects<effects::send_target>();
  REQUIRE(Sent.size() == 1);
  return Sent.front().Connection;
}

} // namespace session_test
