/// In-memory fake of a whole fleet on virtual time: hosts, group members,
/// platform and network. It performs the effects that the hosts' decision
/// library emits and delivers the resulting events to it.
#pragma once

#include "fake_member.hpp"

#include <decision/state.hpp>

#include <functional>
#include <queue>
#include <set>

namespace bronzespar::test {

struct fake_host {
  host_settings Settings;
  host_state_ptr State;
  bool Dead = false;
  bool Paused = false;
  bool Stopped = false;
  bool Ready = false;
  std::vector<event> DeferredEvents; ///< Arrived while the host was paused.
  std::map<connection_ref, target_id> OpenConnections;
  std::map<connection_ref, target_id> OutstandingStatements;
  std::vector<effects::answer_explain> ExplainAnswers;
  std::string Status;
};

/// Fault that affects the next answer of a member.
enum class answer_fault {
  None,
  Late,
  WrongId,
  Twice,
  LostAfterRun,
  LostBeforeRun
};

struct fake_fleet {
  explicit fake_fleet(std::uint64_t Seed);

  void run(duration Span);
  void runUntil(const std::function<bool()> &Done, duration Limit);
  void schedule(duration Delay, std::function<void()> Action);
  void scheduleEvent(const host_id &Host, const event &Event, duration Delay);

  fake_host &host(const std::string &Id) { return Hosts.at(host_id(Id)); }
  fake_member &member(const std::string &Id) {
    return Members.at(target_id(Id));
  }
  /// Primary in the highest term; nullptr while there is none.
  fake_member *primary();

  void kill(const host_id &Host);
  void pause(const host_id &Host);
  void resume(const host_id &Host);
  void setPeersPartitioned(const host_id &Left, const host_id &Right, bool Cut);
  void unfreeze(const target_id &Target);
  void makeConnectionsUnresponsive(const target_id &Target);
  void dropConnections(const target_id &Target);
  void applySettings(settings_revision Revision, const std::string &Text);

  instant Now{std::chrono::seconds(1)};
  std::mt19937_64 Random;
  std::map<host_id, fake_host> Hosts;
  std::map<target_id, fake_member> Members;
  std::set<std::pair<host_id, host_id>> PartitionedLinks;
  std::map<std::string, platform_entry> Store;
  bool PlatformDown = false;
  bool PlatformLosesAnswers = false;
  duration PlatformDelay{2000};
  answer_fault NextAnswerFault = answer_fault::None;
  std::vector<std::string> Violations;
  std::function<void(const host_id &, const caller_answer &, caller_ref)>
      OnAnswer;
  std::function<void()> AfterStep; ///< Called after each step of any host.

private:
  struct timed_action {
    instant When;
    std::uint64_t Sequence;
    std::function<void()> Action;
    bool operator<(const timed_action &Other) const {
      return std::tie(When, Sequence) > std::tie(Other.When, Other.Sequence);
    }
  };
  struct effect_performer;

  void stepHost(fake_host &Host, const event &Event);
  void perform(fake_host &Host, const effect &Effect);
  void runOnMember(const host_id &Host, connection_ref Connection,
                   const target_id &Target, const target_request &Request);
  void answer(const host_id &Host, connection_ref Connection,
              target_answer Answer, answer_fault Fault);
  void connect(const host_id &Host, connection_ref Connection,
               const target_id &Target);
  void disconnect(const host_id &Host, connection_ref Connection,
                  const target_id &Target);
  void controlMember(const host_id &Host,
                     const effects::send_control_command &Effect);
  void callPlatform(const host_id &Host, const effects::call_platform &Effect);
  void pollMembers();
  void tick();
  bool canReach(const host_id &Host, const host_id &Other) const;
  void checkLimits(const fake_host &Host, const target_id &Target);

  std::priority_queue<timed_action> Actions;
  std::uint64_t NextSequence = 0;
  std::map<target_id, std::vector<std::function<void()>>> DeferredRequests;
  std::int64_t StoreRevision = 0;
  std::map<std::pair<host_id, target_id>, instant> ReportedAt;
  std::set<std::pair<host_id, target_id>> Watches;
};

/// Fleet settings of one group with three members, one in each of three data
/// centres.
[[nodiscard]] std::string fleetText();

} // namespace bronzespar::test
