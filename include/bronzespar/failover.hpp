/// Promotion of a new primary, ordered by one host for each group and finished
/// by any. Safety does not rest on there being one coordinator: members grant
/// each term to a single coordinator, and a majority of grants is needed.
///
/// The steps and what joins them stand in charts/promotion.scxml. The
/// platform's record of a promotion is written after it, so that an outage of
/// the platform cannot lengthen the gap.
#pragma once

#include <bronzespar/compiled_chart.hpp>
#include <bronzespar/effects.hpp>
#include <bronzespar/group_view.hpp>
#include <bronzespar/host_settings.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bronzespar {

/// \brief Steps of a promotion; charts/promotion.scxml joins them.
enum class promotion_step {
  Watching,  ///< The group has a primary, or suspicion is not yet enough.
  Fencing,   ///< Asking members to grant the next term.
  Promoting, ///< Telling the chosen member to become primary.
  Following, ///< Telling the others whom to follow.
  Recording  ///< Writing the group's record to the platform.
};
BOOST_DESCRIBE_ENUM(promotion_step, Watching, Fencing, Promoting, Following,
                    Recording)

/// \brief What can happen to a promotion.
enum class promotion_event { Tick, MemberAnswered, PlatformAnswered };
BOOST_DESCRIBE_ENUM(promotion_event, Tick, MemberAnswered, PlatformAnswered)

/// \brief Conditions that the chart asks about.
enum class promotion_guard {
  PrimaryNeeded,      ///< Suspected for long enough, and a majority answers.
  Superseded,         ///< A term above this host's is known.
  MajorityGranted,    ///< The term is this host's.
  MajorityImpossible, ///< Too many members refused the term.
  Promoted,           ///< The chosen member is primary in the term.
  PromoteRefused,
  MajorityFollows, ///< Writes can be confirmed in the term.
  FollowDue,       ///< This host coordinates, and a member lags behind.
  RecordDue,       ///< This host coordinates, and the record may be old.
  Recorded,        ///< The record holds this term or a later one.
  SwapNeeded,      ///< The record was read and is older.
  ReadDue,         ///< The latest call failed and its retry is due.
  Released,        ///< This host coordinates the group no more.
  ResendDue,       ///< Commands of the step may have been lost.
  StepOverdue
};
BOOST_DESCRIBE_ENUM(promotion_guard, PrimaryNeeded, Superseded, MajorityGranted,
                    MajorityImpossible, Promoted, PromoteRefused,
                    MajorityFollows, FollowDue, RecordDue, Recorded, SwapNeeded,
                    ReadDue, Released, ResendDue, StepOverdue)

/// \brief What the chart orders.
enum class promotion_action {
  BeginTerm,    ///< Takes a term above all that are known.
  SendFences,   ///< To members that have not answered.
  ChooseMember, ///< The granting member with the latest position.
  SendPromote,
  SendFollows, ///< To members that do not follow yet.
  ReadRecord,
  SwapRecord,
  BackOff ///< Delays the next attempt by a random time.
};
BOOST_DESCRIBE_ENUM(promotion_action, BeginTerm, SendFences, ChooseMember,
                    SendPromote, SendFollows, ReadRecord, SwapRecord, BackOff)

using promotion_chart = compiled_chart<promotion_step, promotion_event,
                                       promotion_guard, promotion_action>;

/// \brief Reads and checks DIRECTORY/promotion.scxml.
[[nodiscard]] boost::leaf::result<promotion_chart>
loadPromotionChart(const std::string &Directory);

/// \brief Why a group needs a promotion.
enum class promotion_reason {
  None,
  NoPrimary,       ///< No member is primary in the highest term granted.
  PrimarySilent,   ///< Hosts of enough data centres cannot reach it.
  PrimaryIsolated, ///< It answers hosts, but its replicas do not hear it.
  PrimaryLeaving   ///< Planned; a replica holds all that it holds.
};
BOOST_DESCRIBE_ENUM(promotion_reason, None, NoPrimary, PrimarySilent,
                    PrimaryIsolated, PrimaryLeaving)

/// \brief A member's answer to a fence.
struct fence_answer {
  target_id Target;
  bool Granted = false;
  member_report Report;
};

/// \brief The platform's record of a group's latest promotion.
struct group_record {
  std::uint64_t Term = 0;
  std::string Primary;
};

/// \brief Progress of writing the record.
/// Invariant: at most one call is in flight, named by Pending.
struct record_progress {
  std::optional<platform_ref> PendingCall;
  instant CalledAt{};
  instant NextRetry{};
  std::uint32_t Failures = 0;
  group_record DesiredRecord;
  bool SwapInFlight = false; ///< The call in flight is a compare-and-swap.
  bool IsRead = false; ///< Found and ModRevision hold what the platform has.
  group_record StoredRecord;
  std::int64_t ModRevision = 0;
  std::uint64_t RecordedTerm = 0; ///< The platform holds it or a later one.
};

/// \brief One group's promotion, as this host drives it.
/// Invariant: Term never falls, and this host chooses at most one member in
/// each term.
struct promotion_state {
  group_id Group;
  promotion_step Step = promotion_step::Watching;
  std::uint64_t Term = 0;      ///< Latest term this host asked for.
  std::uint64_t KnownTerm = 0; ///< Highest term seen in any answer or report.
  instant StepSince{};
  instant LastCommandSent{}; ///< Of the step's commands.
  instant NextAttempt{};     ///< No attempt before this.
  std::uint32_t Attempts = 0;
  promotion_reason Reason = promotion_reason::None;
  instant SuspectSince{};     ///< When Reason became what it is.
  target_id SuspectedPrimary; ///< Primary that Reason is about, if any.
  /// Reason of the attempt that is running; Avoided must not be chosen.
  promotion_reason AttemptReason = promotion_reason::None;
  target_id ExcludedTarget;
  target_id FormerPrimary;           ///< Primary when the attempt began.
  std::vector<fence_answer> Answers; ///< To fences of Term.
  target_id Chosen;
  bool ChosenAccepted = false; ///< Chosen answered that it is primary.
  bool ChosenRefused = false;
  instant LastFollowSent{};
  /// No promotion of a primary that still answers before this.
  instant NextOptionalAttempt{};
  record_progress Record;
};

/// \brief Evidence of one member's silence from one observer.
struct unreachable_report {
  host_id Observer;
  data_centre_id DataCentre;
  target_id Target;
};

/// \brief Inputs of one decision about one group.
struct promotion_inputs {
  const group_view &View;
  const group_settings &Settings;
  const promotion_chart &Chart;
  bool IsCoordinator = false; ///< This host is the group's coordinator.
  /// Members that an observer cannot reach on a fresh connection, this host
  /// and live peers alike.
  std::vector<unreachable_report> UnreachableReports;
  std::size_t LiveDataCentres = 1; ///< With at least one live host.
  /// This start of the host. It is part of the coordinator's name, so that a
  /// restarted host never takes a term of its earlier life for its own.
  std::uint64_t Incarnation = 0;
  /// Source of numbers for platform calls.
  std::uint64_t *NextPlatformRef = nullptr;
};

/// \brief A group's primary as the reports have it.
struct group_primary {
  target_id Target;
  std::uint64_t Term = 0;
  /// It says so itself; else replicas of Term name it.
  bool Reported = false;
};

/// \brief Highest term in any report.
[[nodiscard]] std::uint64_t highestTerm(const group_view &View);

/// \brief Primary of the highest term, reachable or not.
/// \returns Nothing when nobody is known to be primary in that term.
[[nodiscard]] std::optional<group_primary>
currentPrimary(const group_view &View);

/// \brief True while a leaving primary is about to hand over: writes to it
/// should wait as in a failover, so that a replica can catch up with it.
[[nodiscard]] bool awaitsHandover(const group_view &View);

/// \brief Drives a promotion as time passes.
void tickPromotion(promotion_state &State, const promotion_inputs &Inputs,
                   const host_settings &Self, instant Now,
                   effect_list &Effects);

/// \brief Takes in a member's answer to a control command.
/// \remarks The caller applies Answer.Answer.Report to the view first.
void applyControlAnswer(promotion_state &State, const promotion_inputs &Inputs,
                        const host_settings &Self,
                        const events::control_command_finished &Answer,
                        instant Now, effect_list &Effects);

/// \brief Takes in the platform's answer if it is to this group's call.
/// \returns False when the call was not this group's.
bool applyRecordAnswer(promotion_state &State, const promotion_inputs &Inputs,
                       const host_settings &Self,
                       const events::platform_answered &Answer, instant Now,
                       effect_list &Effects);

/// \brief Writes and reads the record's JSON.
[[nodiscard]] std::string toText(const group_record &Record);
[[nodiscard]] std::optional<group_record>
parseGroupRecord(const std::string &Text);

} // namespace bronzespar
