/// Implementation of the simulated group: processes, network and platform.
#pragma once

#include "failover/group_simulation.hpp"

#include <bronzespar/standin/replication.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace bronzespar::test {

using namespace bronzespar::standin;

inline constexpr instant FirstFaultAt{1s};
inline constexpr instant FirstFaultEndsAt{4s};
inline constexpr instant WritesEndAt{7s};
inline constexpr instant RunEndsAt{8s};
inline constexpr duration TickInterval = 10ms;
inline constexpr duration WriteInterval = 20ms;
inline constexpr duration PollInterval = 25ms;
inline constexpr duration PullInterval = 10ms;
/// Pull interval of one member, which lags so that the choice of the new
/// primary matters.
inline constexpr duration SlowPullInterval = 150ms;
inline constexpr duration GossipInterval = 50ms;
inline constexpr duration UnreachableAfter = 400ms;
inline constexpr duration PeerSuspectAfter = 600ms;
inline constexpr duration ControlTimeout = 300ms;
inline constexpr duration LaterFaultDuration = 1200ms;
inline constexpr duration RestartTime = 500ms;
inline constexpr duration MaxRecoveryTime = 2000ms;

struct scheduled_event {
  instant At;
  std::uint64_t Order;
  std::function<void()> Run;
};
struct runs_later {
  bool operator()(const scheduled_event &First,
                  const scheduled_event &Second) const {
    return std::pair(First.At, First.Order) >
           std::pair(Second.At, Second.Order);
  }
};

/// Process whose incoming messages are queued while it is frozen.
struct process {
  bool Frozen = false;
  std::vector<std::function<void()>> PendingDeliveries;
};

struct member_process : process {
  member_log Log;
  bool Cut = false;
  bool Leaving = false;
  instant LastPullApplied{};
  log_position PrimaryPosition;
};

struct outstanding_write {
  std::string Row;
  log_position Position;
};

struct host_process : process {
  bool Down = false;
  std::uint64_t Incarnation = 1;
  std::uint64_t NextRef = 1;
  promotion_state State;
  group_view View;
  std::array<instant, Sites> LastAnswered{};
  std::array<instant, Sites> LastGossip{};
  std::array<std::array<bool, Sites>, Sites> PeerReaches{};
  bool ForcedCoordinator = false;
  std::vector<outstanding_write> Writes;
};

struct acknowledged_write {
  std::string Row;
  log_position Position;
  instant At;
};

enum class platform_mode { Healthy, Down, Slow, AnswersLost };

class simulation {
public:
  simulation(const simulation_plan &PlanToRun,
             const promotion_chart &PromotionChart)
      : Plan(PlanToRun), Chart(PromotionChart), Random(PlanToRun.Seed) {}

  simulation_result run();

private:
  // Time and network
  void scheduleAt(instant When, std::function<void()> Run) {
    Queue.push({When, NextOrder++, std::move(Run)});
  }
  void repeatEvery(duration Interval, const std::function<void()> &Run);
  duration latency() { return 1ms + duration(Random() % 1000); }
  void deliver(process &To, std::function<void()> Run);
  bool linked(std::size_t From, std::size_t To) const {
    return From == To || (!IsolatedSites[From] && !IsolatedSites[To]);
  }
  /// Messages between hosts and members. The path must be up when a message is
  /// sent; towards members also when it arrives.
  void sendToMember(std::size_t Host, std::size_t Member,
                    std::function<void()> Run);
  void sendToHost(std::size_t Member, std::size_t Host,
                  std::function<void()> Run);
  void sendBetweenMembers(std::size_t From, std::size_t To,
                          std::function<void()> Run);

  // Members
  void pull(std::size_t Replica);
  member_report reportOf(std::size_t Site) const;
  control_answer control(std::size_t Site, const control_request &Request);

  // Hosts
  void setUp();
  void tick(std::size_t Site);
  void poll(std::size_t Host);
  void gossip(std::size_t Host);
  void write(std::size_t Host);
  void handleReport(std::size_t Host, const member_report &Report,
                    instant Sent);
  void confirmWrites(std::size_t Host);
  bool reaches(const host_process &Host, std::size_t Member) const;
  bool peerLives(std::size_t Host, std::size_t Peer) const;
  promotion_inputs inputsOf(std::size_t Site);
  void perform(std::size_t Host, effect_list &Effects);
  void sendControl(std::size_t Host,
                   const effects::send_control_command &Command);
  void handleControlAnswer(std::size_t Site,
                           const events::control_command_finished &Event);
  void startFaultsAtStep(std::size_t Host, promotion_step Before);
  void resetHost(std::size_t Site);

  // Platform
  void callPlatform(std::size_t Host, const effects::call_platform &Call);
  platform_answer answerPlatform(const platform_call &Call);
  void answerHost(std::size_t Site, platform_ref Ref,
                  const platform_answer &Answer);

  // Faults
  void beginFault(fault_kind Kind, instant Ends);
  void freeze(process &Process, instant Ends);
  void cutMember(std::size_t Member, instant Ends);
  void killHost(std::size_t Host);
  void isolateSite(std::size_t Site, instant Ends);
  void endFirstFault();
  std::size_t primarySite() const;
  std::size_t coordinatorSite() const;
  void noteChange() { ChangeTimes.push_back(Now); }

  // Checks
  void addViolation(const std::string &Text) {
    Result.Violations.push_back(Text);
  }
  void checkLogs();
  void checkFinalState();
  void checkGaps();

  const simulation_plan &Plan;
  const promotion_chart &Chart;
  std::mt19937_64 Random;
  instant Now{};
  std::uint64_t NextOrder = 0;
  std::priority_queue<scheduled_event, std::vector<scheduled_event>, runs_later>
      Queue;
  std::array<member_process, Sites> Members;
  std::array<host_process, Sites> Hosts;
  std::array<bool, Sites> IsolatedSites{};
  bool ReplicationDown = false;
  bool ControlAnswersLost = false;
  platform_mode Platform = platform_mode::Healthy;
  std::optional<platform_entry> Record;
  group_settings Settings;
  std::size_t FormerPrimary = 1;
  std::set<std::size_t> StartedFaults;
  std::uint64_t NextRow = 0;
  std::vector<acknowledged_write> Acknowledged;
  std::map<std::uint64_t, std::string> PrimaryOfTerm;
  std::vector<instant> ChangeTimes;
  simulation_result Result;
};

inline std::string memberNameOf(std::size_t Site) {
  return "m" + std::to_string(Site);
}

inline std::size_t siteOf(const std::string &Target) {
  return static_cast<std::size_t>(Target.at(1) - '0');
}

inline data_centre_id dataCentreOf(std::size_t Site) {
  return data_centre_id("dc" + std::to_string(Site));
}

inline host_settings settingsOf(std::size_t Site) {
  host_settings Settings;
  Settings.Id = host_id("h" + std::to_string(Site));
  return Settings;
}

} // namespace bronzespar::test
