/// Failover of a replication group: promotion of a new primary. One host
/// coordinates each group, and any other host can complete its promotion.
/// Safety does not depend on there being a single coordinator: a member grants
/// each term to one coordinator only, and a majority of grants is needed.
///
/// The state chart is charts/promotion.scxml. The platform's record of a
/// promotion is written after the promotion, so that an outage of the platform
/// does not lengthen the unavailability of the group.
#pragma once

#include <bronzespar/compiled_chart.hpp>
#include <bronzespar/effects.hpp>
#include <bronzespar/group_view.hpp>
#include <bronzespar/host_settings.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bronzespar {

/// \brief States of the promotion state chart (charts/promotion.scxml).
enum class promotion_step {
  Watching,  ///< No attempt is running.
  Fencing,   ///< This host requests grants of the next term.
  Promoting, ///< The chosen member is told to become primary.
  Following, ///< The other members are told to follow the new primary.
  Recording  ///< The group's record is written to the platform.
};
BOOST_DESCRIBE_ENUM(promotion_step, Watching, Fencing, Promoting, Following,
                    Recording)

/// \brief Events of the promotion state chart.
enum class promotion_event { Tick, MemberAnswered, PlatformAnswered };
BOOST_DESCRIBE_ENUM(promotion_event, Tick, MemberAnswered, PlatformAnswered)

/// \brief Guards of the promotion state chart.
enum class promotion_guard {
  PrimaryNeeded,      ///< The delay has passed, and a majority answers.
  Superseded,         ///< A term above the one in progress is known.
  MajorityGranted,    ///< A majority granted the term to this host.
  MajorityImpossible, ///< Too many members refused the term.
  Promoted,           ///< The chosen member is primary in the term.
  PromoteRefused,
  MajorityFollows, ///< Writes can be confirmed in the primary's term.
  FollowDue,       ///< This host coordinates, and a member does not follow.
  RecordDue,       ///< This host coordinates; the record may be outdated.
  Recorded,        ///< The record holds this term or a later one.
  SwapNeeded,      ///< The record has been read and is older.
  ReadDue,         ///< The retry of a failed or overdue call is due.
  Released,        ///< This host no longer coordinates the group.
  ResendDue,       ///< Commands of the step may have been lost.
  StepOverdue
};
BOOST_DESCRIBE_ENUM(promotion_guard, PrimaryNeeded, Superseded, MajorityGranted,
                    MajorityImpossible, Promoted, PromoteRefused,
                    MajorityFollows, FollowDue, RecordDue, Recorded, SwapNeeded,
                    ReadDue, Released, ResendDue, StepOverdue)

/// \brief Actions of the promotion state chart.
enum class promotion_action {
  BeginTerm,    ///< Selects a term above all known terms.
  SendFences,   ///< Sends a fence to members that have not answered.
  ChooseMember, ///< Chooses the granting member with the latest position.
  SendPromote,
  SendFollows, ///< Sends a follow to members that do not follow yet.
  ReadRecord,
  SwapRecord,
  BackOff ///< Delays the next attempt by a base time plus jitter.
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
  PrimarySilent,   ///< Hosts of enough data centres cannot reach the primary.
  PrimaryIsolated, ///< It answers hosts, but not its replicas.
  PrimaryLeaving   ///< Planned handover; a replica has its whole log.
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
/// Invariant: at most one call is in flight, identified by PendingCall.
struct record_progress {
  std::optional<platform_ref> PendingCall;
  instant CalledAt{};
  instant NextRetry{};
  std::uint32_t Failures = 0;
  group_record DesiredRecord;
  bool SwapInFlight = false; ///< The call in flight is a compare-and-swap.
  /// StoredRecord and ModRevision hold the platform's latest known entry.
  bool IsRead = false;
  group_record StoredRecord;
  std::int64_t ModRevision = 0;
  /// Highest term known to be in the platform's record.
  std::uint64_t RecordedTerm = 0;
};

/// \brief State of one group's promotion on this host.
/// Invariant: Term never decreases, and this host chooses at most one member
/// in each term.
struct promotion_state {
  group_id Group;
  promotion_step Step = promotion_step::Watching;
  std::uint64_t Term = 0;      ///< Latest term requested by this host.
  std::uint64_t KnownTerm = 0; ///< Highest term seen in any answer or report.
  instant StepSince{};
  instant LastCommandSent{};
  instant NextAttempt{}; ///< End of the back-off.
  std::uint32_t Attempts = 0;
  promotion_reason Reason = promotion_reason::None;
  instant SuspectSince{};     ///< Start of the delay before an attempt.
  target_id SuspectedPrimary; ///< Primary that Reason refers to, if any.
  /// Reason of the running attempt.
  promotion_reason AttemptReason = promotion_reason::None;
  target_id ExcludedTarget; ///< Isolated primary, which must not be chosen.
  target_id FormerPrimary;  ///< Primary when the attempt began.
  std::vector<fence_answer> Answers; ///< Answers to the fences of Term.
  target_id Chosen;
  bool ChosenAccepted = false; ///< Chosen answered that it is primary.
  bool ChosenRefused = false;
  instant LastFollowSent{};
  /// Earliest time to replace a primary that still answers.
  instant NextOptionalAttempt{};
  record_progress Record;
};

/// \brief One observer's report that it cannot reach a member.
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
  /// Members that this host or a live peer cannot reach on a new connection.
  std::vector<unreachable_report> UnreachableReports;
  std::size_t LiveDataCentres = 1; ///< Those with at least one live host.
  /// Incarnation of this host. It is part of the coordinator's name, so that a
  /// restarted host never uses a term granted to an earlier incarnation.
  std::uint64_t Incarnation = 0;
  /// Counter that supplies the references of platform calls.
  std::uint64_t *NextPlatformRef = nullptr;
};

/// \brief A group's primary according to the members' reports.
struct group_primary {
  target_id Target;
  std::uint64_t Term = 0;
  /// True if Target itself reports as primary; false if only replicas of Term
  /// name it.
  bool Reported = false;
};

/// \brief Highest term in any report.
[[nodiscard]] std::uint64_t highestTerm(const group_view &View);

/// \brief Primary of the highest term, reachable or not.
/// \returns Nothing when no primary of that term is known.
[[nodiscard]] std::optional<group_primary>
currentPrimary(const group_view &View);

/// \brief True while a leaving primary is about to hand over. Writes to it
/// should wait as in a failover, so that a replica can catch up.
[[nodiscard]] bool awaitsHandover(const group_view &View);

/// \brief Advances the promotion by a tick of the state chart.
void tickPromotion(promotion_state &State, const promotion_inputs &Inputs,
                   const host_settings &Self, instant Now,
                   effect_list &Effects);

/// \brief Handles a member's answer to a control command.
/// \remarks The caller must apply Event.Answer.Report to the view first.
void applyControlAnswer(promotion_state &State, const promotion_inputs &Inputs,
                        const host_settings &Self,
                        const events::control_command_finished &Event,
                        instant Now, effect_list &Effects);

/// \brief Handles the platform's answer to this group's call in flight.
/// \returns False when the answer belongs to another call.
bool applyRecordAnswer(promotion_state &State, const promotion_inputs &Inputs,
                       const host_settings &Self,
                       const events::platform_answered &Event, instant Now,
                       effect_list &Effects);

/// \brief Serialises and parses the record as JSON.
[[nodiscard]] std::string toText(const group_record &Record);
[[nodiscard]] std::optional<group_record>
parseGroupRecord(const std::string &Text);

} // namespace bronzespar
