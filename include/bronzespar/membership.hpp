/// Which hosts live, and which of them holds which duty.
#pragma once

#include <bronzespar/effects.hpp>
#include <bronzespar/host_settings.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace bronzespar {

/// \brief State of a host in one host's view.
enum class host_state_kind { Alive, Suspect, Leaving, Gone };
BOOST_DESCRIBE_ENUM(host_state_kind, Alive, Suspect, Leaving, Gone)

/// \brief A peer as this host sees it.
struct peer_view {
  host_id Id;
  data_centre_id DataCentre;
  endpoint Peers;
  std::uint32_t Slot = 0; ///< Its host slot, by its latest heartbeat.
  host_state_kind State = host_state_kind::Gone;
  std::uint64_t Incarnation = 0;
  settings_revision Revision = 0; ///< In force there, by its heartbeat.
  instant LastHeard{};
  bool Connected = false;
  host_phase Phase = host_phase::Starting; ///< By its latest heartbeat.
  std::uint64_t Sequence = 0;              ///< Of its latest heartbeat.
  /// The sender's promise of when its next heartbeat is due.
  duration AnnouncedInterval{};
  instant LastSent{};              ///< When this host last sent it a heartbeat.
  bool Listed = false;             ///< In the platform's latest list.
  bool ListedLeaving = false;      ///< Marked as leaving there.
  bool LeavingMarkApplies = false; ///< The list's mark holds for Incarnation.
  /// Heartbeats heard since it was last suspected.
  std::uint32_t ConsecutiveHeartbeats = 0;
  /// Times it was suspected lately; each doubles the heartbeats that it needs
  /// to become alive again.
  std::uint32_t Suspicions = 0;
};

/// \brief This host's view of the fleet.
struct membership_state {
  host_id Self;
  data_centre_id DataCentre;
  std::uint32_t Slot = 0;
  host_phase Phase = host_phase::Starting;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  instant LastTick{};
  std::vector<peer_view> Peers; ///< Sorted by id; never holds Self.
};

/// \brief Time between heartbeats to a peer that watches this host.
inline constexpr duration HeartbeatInterval = 200ms;
/// \brief Heartbeat intervals of silence after which a peer is suspect.
inline constexpr int SuspectAfterIntervals = 3;
/// \brief Heartbeat intervals of silence after which a peer is gone.
inline constexpr int GoneAfterIntervals = 10;
/// \brief Heartbeats in a row that make a suspect peer alive again.
inline constexpr std::uint32_t HeartbeatsToRecover = 3;
/// \brief Limit of the doubling of BeatsToRecover.
inline constexpr std::uint32_t MaxSuspicions = 4;
/// \brief Heartbeats in a row after which earlier suspicions are forgotten.
inline constexpr std::uint32_t HeartbeatsToClearSuspicions = 150;
/// \brief Gap between ticks that shows that this host itself was paused.
inline constexpr duration LocalPauseThreshold = 300ms;

/// \brief Takes in the platform's list: learns new hosts, marks leaving ones.
/// A listed host becomes alive only by its own heartbeat.
void applyHostList(membership_state &State, const host_settings &Self,
                   const std::vector<listed_host> &Hosts, instant Now,
                   effect_list &Effects);

/// \brief Takes in a heartbeat, or a link coming up or going down.
void applyHeartbeat(membership_state &State, const host_id &From,
                    const heartbeat &Beat, instant Now);
void applyLink(membership_state &State, const host_id &Peer, bool Connected,
               instant Now);

/// \brief Sends heartbeats when due and ages silent peers.
void tickMembership(membership_state &State, settings_revision Revision,
                    instant Now, effect_list &Effects);

/// \brief Largest fleet in which every host sends heartbeats to all others.
inline constexpr std::size_t FullMeshMaxHosts = 16;
/// \brief Time between heartbeats in a larger fleet.
inline constexpr duration LargeFleetHeartbeatInterval = 500ms;
/// \brief Neighbours to each side, in the ring of the whole fleet and in that
/// of the own data centre.
inline constexpr std::size_t RingNeighboursPerSide = 2;

/// \brief Peers to watch each other by frequent heartbeats: all in a small
/// fleet, else the neighbours in two rings ordered by hash, so that the cost
/// does not grow with the fleet.
/// \remarks Depends only on which hosts are known, not on their states, and is
/// symmetric between hosts that know the same ones. Sorted by id.
[[nodiscard]] std::vector<host_id>
heartbeatPeers(const membership_state &State);

/// \brief Time between heartbeats to heartbeatPeers.
[[nodiscard]] duration heartbeatInterval(const membership_state &State);

/// \brief Finds a peer. \returns nullptr when it is not known.
[[nodiscard]] const peer_view *findPeer(const membership_state &State,
                                        const host_id &Host);

/// \brief Data centres in which at least one host is alive, this one's first.
[[nodiscard]] std::vector<data_centre_id>
liveDataCentres(const membership_state &State);

/// \brief Hosts that may hold duties: alive and serving ones, and self while
/// serving.
/// \remarks A suspect host loses its duties at once. No promise rests on a
/// duty having one holder, and waiting for Gone would add to every gap.
[[nodiscard]] std::vector<host_id>
dutyCandidates(const membership_state &State,
               const std::optional<data_centre_id> &Within);

/// \brief Rendezvous hashing: the host with the highest hash of (Duty, host).
/// \returns Nothing when there are no candidates.
[[nodiscard]] std::optional<host_id>
rendezvous(std::string_view Duty, const std::vector<host_id> &Candidates);

/// \brief Chooses the first Count hosts for a duty, best first; fewer when
/// there are not as many candidates.
[[nodiscard]] std::vector<host_id>
rendezvousTop(std::string_view Duty, std::vector<host_id> Candidates,
              std::size_t Count);

/// \brief Host that holds the pool of connections to a target: one of the
/// target's data centre, or of any when none of them lives.
[[nodiscard]] std::optional<host_id> poolOwner(const membership_state &State,
                                               const target_settings &Target);

/// \brief Host that coordinates failover of a group.
[[nodiscard]] std::optional<host_id>
failoverCoordinator(const membership_state &State, const group_id &Group);

/// \brief The same for hosts that are known already, see dutyHosts.
[[nodiscard]] std::optional<host_id>
failoverCoordinator(const group_id &Group,
                    const std::vector<host_id> &DutyHosts);

} // namespace bronzespar
