/// Membership of the fleet: failure detection by heartbeats, and assignment of
/// duties to hosts.
#pragma once

#include <bronzespar/effects.hpp>
#include <bronzespar/host_settings.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace bronzespar {

/// \brief State of a peer according to this host's failure detector.
enum class host_state_kind { Alive, Suspect, Leaving, Gone };
BOOST_DESCRIBE_ENUM(host_state_kind, Alive, Suspect, Leaving, Gone)

/// \brief Local knowledge of one peer.
struct peer_view {
  host_id Id;
  data_centre_id DataCentre;
  endpoint Peers;
  std::uint32_t Slot = 0; ///< Host slot from its latest heartbeat.
  host_state_kind State = host_state_kind::Gone;
  std::uint64_t Incarnation = 0;
  settings_revision Revision = 0; ///< Its highest reported active revision.
  instant LastHeard{};
  bool Connected = false;
  host_phase Phase = host_phase::Starting; ///< From its latest heartbeat.
  std::uint64_t Sequence = 0; ///< Sequence number of its latest heartbeat.
  /// Heartbeat interval announced by the peer.
  duration AnnouncedInterval{};
  instant LastSent{};         ///< When this host last sent it a heartbeat.
  bool Listed = false;        ///< Present in the platform's latest host list.
  bool ListedLeaving = false; ///< Marked as leaving in that list.
  /// The leaving mark of the list applies to the present incarnation.
  bool LeavingMarkApplies = false;
  /// Heartbeats received since the peer was last suspected.
  std::uint32_t ConsecutiveHeartbeats = 0;
  /// Recent suspicions. Each one after the first doubles the number of
  /// heartbeats that the peer needs to become alive again.
  std::uint32_t Suspicions = 0;
};

/// \brief This host's local view of the fleet.
struct membership_state {
  host_id Self;
  data_centre_id DataCentre;
  std::uint32_t Slot = 0;
  host_phase Phase = host_phase::Starting;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  instant LastTick{};
  std::vector<peer_view> Peers; ///< Sorted by id; never contains Self.
};

/// \brief Time between heartbeats to a connected peer.
inline constexpr duration HeartbeatInterval = 200ms;
/// \brief Heartbeat intervals without a heartbeat until a peer is suspect.
inline constexpr int SuspectAfterIntervals = 3;
/// \brief Heartbeat intervals without a heartbeat until a peer is gone.
inline constexpr int GoneAfterIntervals = 10;
/// \brief Consecutive heartbeats that make a suspect peer alive again.
inline constexpr std::uint32_t HeartbeatsToRecover = 3;
/// \brief Upper bound of peer_view::Suspicions, which limits the doubling of
/// HeartbeatsToRecover.
inline constexpr std::uint32_t MaxSuspicions = 4;
/// \brief Consecutive heartbeats that reset peer_view::Suspicions.
inline constexpr std::uint32_t HeartbeatsToClearSuspicions = 150;
/// \brief Gap between ticks from which this process counts as paused.
inline constexpr duration LocalPauseThreshold = 300ms;

/// \brief Applies the platform's host list: adds new hosts and marks leaving
/// ones. A listed host becomes alive only by its own heartbeat.
void applyHostList(membership_state &State, const host_settings &Self,
                   const std::vector<listed_host> &Hosts, instant Now,
                   effect_list &Effects);

/// \brief Applies a heartbeat. Those of an older incarnation or with an old
/// sequence number are ignored.
void applyHeartbeat(membership_state &State, const host_id &From,
                    const heartbeat &Heartbeat, instant Now);
/// \brief Records that the connection to a peer is up or down.
void applyLink(membership_state &State, const host_id &Peer, bool Connected,
               instant Now);

/// \brief Detects failed peers and sends heartbeats that are due.
void tickMembership(membership_state &State, settings_revision Revision,
                    instant Now, effect_list &Effects);

/// \brief Largest number of hosts for which heartbeatPeers is a full mesh.
inline constexpr std::size_t FullMeshMaxHosts = 16;
/// \brief Time between heartbeats in a larger fleet.
inline constexpr duration LargeFleetHeartbeatInterval = 500ms;
/// \brief Neighbours on each side of a host, both in the ring of the whole
/// fleet and in the ring of its data centre.
inline constexpr std::size_t RingNeighboursPerSide = 2;

/// \brief Peers with which this host exchanges heartbeats: all peers in a small
/// fleet, otherwise the neighbours in two rings ordered by hash, so that the
/// cost for each host does not grow with the fleet.
/// \returns The peers sorted by id. They depend only on which hosts are known,
/// not on their states, and the relation is symmetric between hosts that know
/// the same hosts.
[[nodiscard]] std::vector<host_id>
heartbeatPeers(const membership_state &State);

/// \brief Time between heartbeats to each of heartbeatPeers.
[[nodiscard]] duration heartbeatInterval(const membership_state &State);

/// \returns nullptr when the peer is not known.
[[nodiscard]] const peer_view *findPeer(const membership_state &State,
                                        const host_id &Host);

/// \brief Data centres with at least one live host, beginning with this host's.
[[nodiscard]] std::vector<data_centre_id>
liveDataCentres(const membership_state &State);

/// \brief Hosts that may hold duties: live peers that serve, and this host
/// while it serves.
/// \param Within Restricts the result to one data centre.
/// \remarks A suspect host loses its duties at once. No guarantee depends on a
/// duty having a single holder, and waiting until the host is Gone would
/// lengthen every interruption.
[[nodiscard]] std::vector<host_id>
dutyCandidates(const membership_state &State,
               const std::optional<data_centre_id> &Within);

/// \brief Rendezvous hashing: chooses the host with the highest hash of the
/// duty and the host id.
/// \returns Nothing when there are no candidates.
[[nodiscard]] std::optional<host_id>
rendezvous(std::string_view Duty, const std::vector<host_id> &Candidates);

/// \brief Chooses the Count hosts with the highest hashes, highest first, or
/// all candidates if there are fewer.
[[nodiscard]] std::vector<host_id>
rendezvousTop(std::string_view Duty, const std::vector<host_id> &Candidates,
              std::size_t Count);

/// \brief Host that holds the connection pool of a target: one in the target's
/// data centre, or in any other when none there can hold duties.
[[nodiscard]] std::optional<host_id> poolOwner(const membership_state &State,
                                               const target_settings &Target);

/// \brief Host that coordinates the failover of a group.
[[nodiscard]] std::optional<host_id>
failoverCoordinator(const membership_state &State, const group_id &Group);

/// \param Candidates The result of dutyCandidates.
[[nodiscard]] std::optional<host_id>
failoverCoordinator(const group_id &Group,
                    const std::vector<host_id> &Candidates);

} // namespace bronzespar
