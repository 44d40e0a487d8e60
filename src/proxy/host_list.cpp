/// The list of hosts, as the store holds it.
///
/// Its changes reach a host from its own watch, from a peer's watch that lags,
/// and from reads of the whole list, in any order. Each carries the store's
/// revision, and an older one never replaces a newer one: a coordinator that
/// lost a live host from its list would promote another primary while that host
/// still uses the old one.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// In a fleet of up to this many hosts, each watches the store itself.
constexpr std::size_t MaxDirectWatchers = 12;
/// The others of a data centre share the watches of these. There are two, so
/// that one failure does not leave the data centre without any.
constexpr std::size_t WatchersPerDataCentre = 2;
/// Longer than any period in which a host that is no longer listed matters, and
/// than a change may be under way from the store.
constexpr duration RemovedHostRetention = std::chrono::seconds(60);

/// The hosts of this data centre that watch the store for the others. Those
/// with a fast link go first: the operators' document is large, and each of its
/// versions goes to all hosts of the data centre over that link.
std::vector<host_id> watchersOf(const host &State) {
  double FastestMbps = 0;
  for (const auto &[Name, Peer] : State.Hosts)
    if (Peer.Record.DataCentre == State.Identity.DataCentre)
      FastestMbps = std::max(FastestMbps, Peer.Record.LinkMbps);
  std::vector<host_id> Fast;
  std::vector<host_id> Slow;
  for (const auto &[Name, Peer] : State.Hosts)
    if (Peer.Record.DataCentre == State.Identity.DataCentre &&
        !Peer.Record.Leaving)
      (Peer.Record.LinkMbps * 2 >= FastestMbps ? Fast : Slow)
          .emplace_back(Name);
  std::vector<host_id> Watchers =
      rendezvousTop("reader", Fast, WatchersPerDataCentre);
  for (const host_id &Host :
       rendezvousTop("reader", Slow, WatchersPerDataCentre - Watchers.size()))
    Watchers.push_back(Host);
  return Watchers;
}

/// In a large fleet, few hosts of each data centre watch the store and the
/// others share their watches, so that the load on the store does not grow with
/// the fleet.
std::vector<endpoint> watchSourcesFor(const host &State) {
  if (State.Hosts.size() <= MaxDirectWatchers)
    return {};
  const std::vector<host_id> Watchers = watchersOf(State);
  const host_id Own(State.Identity.Name);
  if (std::find(Watchers.begin(), Watchers.end(), Own) != Watchers.end())
    return {};
  std::vector<endpoint> Sources;
  for (const host_id &Host :
       rendezvousTop("reader of " + Own.Value, Watchers, Watchers.size()))
    Sources.push_back(State.Hosts.at(Host.Value).Record.PeerEndpoint);
  return Sources;
}

/// Tells the adapters which hosts may relay calls: those of other data centres,
/// as they are not partitioned together with this one, or else those of its
/// own.
void publishPeers(step_context &Step) {
  const host_identity &Own = Step.State.Identity;
  effects::set_store_relays OtherDataCentres;
  effects::set_store_relays SameDataCentre;
  for (const auto &[Name, Peer] : Step.State.Hosts) {
    if (Peer.Record.DataCentre != Own.DataCentre)
      OtherDataCentres.Relays.push_back(Peer.Record.PeerEndpoint);
    else if (Name != Own.Name)
      SameDataCentre.Relays.push_back(Peer.Record.PeerEndpoint);
  }
  Step.Out.push_back(OtherDataCentres.Relays.empty()
                         ? std::move(SameDataCentre)
                         : std::move(OtherDataCentres));
  Step.Out.push_back(effects::set_watch_sources{watchSourcesFor(Step.State)});
}

/// Highest revision up to which this host knows what became of a host's record.
std::uint64_t knownRevision(const host &State, const std::string &Name) {
  if (const auto Peer = State.Hosts.find(Name); Peer != State.Hosts.end())
    return Peer->second.Revision;
  const auto Removal = State.HostRemovals.find(Name);
  return std::max(State.HostsReadRevision, Removal == State.HostRemovals.end()
                                               ? 0
                                               : Removal->second.Revision);
}

/// Registers the host again when its own record is not the one that it wrote: a
/// change whose answer was lost may have overwritten a later one. One of an
/// earlier process, bound to another lease, voids the registration, and so does
/// a coordinator's mark.
void compareOwnRecord(step_context &Step, const store_record &Record,
                      bool Revoked) {
  lease_state &Lease = Step.State.Lease;
  if (Revoked && Lease.Id != 0 && Record.Lease == Lease.Id) {
    loseLease(Step);
    return;
  }
  if (Lease.RegisteredValue.empty() ||
      Record.Revision <= Lease.RegisteredRevision)
    return;
  if (Record.Lease != Lease.Id)
    loseLease(Step);
  else if (Lease.RegisterCall == 0)
    Lease.RegisteredValue = Record.Value;
}

/// Whether owners, rates or watch sources depend on the difference between two
/// records of a host. Acknowledgements and reports change often and do not
/// matter for them.
bool isMoved(const host_record &Old, const host_record &New) {
  return Old.PeerEndpoint != New.PeerEndpoint ||
         Old.DataCentre != New.DataCentre || Old.Leaving != New.Leaving ||
         Old.LinkMbps != New.LinkMbps ||
         Old.GrantsByDataCentre != New.GrantsByDataCentre;
}

/// Takes over a host's record from the store, unless a newer change is known.
void storeHost(step_context &Step, const std::string &Name,
               const store_record &Record) {
  host &State = Step.State;
  if (!isOfPresentEra(State, Record.Revision))
    return;
  auto Parsed = parseHostRecord(Record.Value);
  if (!Parsed) {
    logLine(Step, "host.unusable", {{"host", Name}, {"value", Record.Value}});
    return;
  }
  if (Record.Revision <= knownRevision(State, Name))
    return;
  if (Name == State.Identity.Name)
    compareOwnRecord(Step, Record, Parsed->Revoked);
  const auto Known = State.Hosts.find(Name);
  if (Known == State.Hosts.end() || isMoved(Known->second.Record, *Parsed))
    State.HostsVersion += 1;
  State.ExpiredHosts.erase(Name);
  State.HostRemovals.erase(Name);
  if (Parsed->UnreachablePrimaries.empty() &&
      Parsed->SuspectedPrimaries.empty() &&
      Parsed->DisprovedGenerations.empty())
    State.ReportingHosts.erase(Name);
  else
    State.ReportingHosts.insert(Name);
  noteReturn(State, Name);
  State.Hosts[Name] = {std::move(*Parsed), Record.Lease, Record.Revision};
}

void forgetOldRemovals(step_context &Step) {
  std::erase_if(Step.State.ExpiredHosts, [&](const auto &Expired) {
    return Step.Now > Expired.second.ExpiredAt + RemovedHostRetention;
  });
  std::erase_if(Step.State.HostRemovals, [&](const auto &Removal) {
    return Step.Now > Removal.second.SeenAt + RemovedHostRetention;
  });
}

void eraseHost(step_context &Step, const std::string &Name,
               std::uint64_t Revision) {
  host &State = Step.State;
  if (Revision <= knownRevision(State, Name) || isAwaited(State, Name))
    return;
  forgetOldRemovals(Step);
  State.HostRemovals[Name] = {Revision, Step.Now};
  const auto Removed = State.Hosts.find(Name);
  if (Removed == State.Hosts.end())
    return;
  hostLeaseEnded(Step, Removed->second);
  if (!Removed->second.Record.Leaving)
    State.ExpiredHosts[Name] = {Step.Now, Removed->second.Record.DataCentre};
  State.Hosts.erase(Removed);
  State.ReportingHosts.erase(Name);
  State.HostsVersion += 1;
}

} // namespace

std::map<std::string, std::vector<host_id>> servingHosts(const host &State) {
  std::map<std::string, std::vector<host_id>> DataCentres;
  for (const auto &[Name, Peer] : State.Hosts)
    if (!Peer.Record.Leaving)
      DataCentres[Peer.Record.DataCentre].emplace_back(Name);
  return DataCentres;
}

void hostChanged(step_context &Step, const std::string &Name,
                 const store_record &Record) {
  const std::uint64_t OldVersion = Step.State.HostsVersion;
  storeHost(Step, Name, Record);
  if (Step.State.HostsVersion != OldVersion)
    publishPeers(Step);
}

void removeHost(step_context &Step, const std::string &Name,
                std::uint64_t Revision) {
  const std::uint64_t OldVersion = Step.State.HostsVersion;
  eraseHost(Step, Name, Revision);
  if (Step.State.HostsVersion != OldVersion)
    publishPeers(Step);
}

void replaceHosts(step_context &Step, const std::vector<store_record> &Records,
                  std::uint64_t Revision) {
  host &State = Step.State;
  std::set<std::string> Gone;
  for (const auto &[Name, Peer] : State.Hosts)
    Gone.insert(Name);
  for (const store_record &Record : Records) {
    const std::string Name = Record.Key.substr(HostsPrefix.size());
    Gone.erase(Name);
    storeHost(Step, Name, Record);
  }
  for (const std::string &Name : Gone)
    eraseHost(Step, Name, Revision);
  State.HostsReadRevision = std::max(State.HostsReadRevision, Revision);
  std::erase_if(State.HostRemovals, [&](const auto &Removal) {
    return Removal.second.Revision <= State.HostsReadRevision;
  });
  publishPeers(Step);
}

} // namespace bronzespar::proxy
