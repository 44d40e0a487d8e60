/// The platform's record of a group's latest promotion: its JSON text, and the
/// read and compare-and-swap calls, which are retried until the record holds
/// the term or a later one.
#include "failover/record.hpp"

#include <boost/property_tree/json_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <sstream>

namespace bronzespar {

namespace {

constexpr const char *RecordKeyPrefix = "/bronzespar/groups/";
constexpr duration InitialRetryDelay = 200ms;
constexpr std::uint32_t MaxRetryDoublings = 4;
/// Time without an answer after which a call counts as lost.
constexpr duration CallTimeout = 10s;

std::string recordKey(const group_id &Group) {
  return RecordKeyPrefix + Group.Value;
}

void startCall(record_progress &Record, std::uint64_t &NextRef,
               platform_call Call, instant Now, effect_list &Effects) {
  Record.PendingCall = platform_ref{NextRef++};
  Record.CalledAt = Now;
  Effects.push_back(
      effects::call_platform{*Record.PendingCall, std::move(Call)});
}

void scheduleRetry(record_progress &Record, instant Now) {
  Record.IsRead = false;
  const std::uint32_t Doublings = std::min(Record.Failures, MaxRetryDoublings);
  Record.NextRetry = Now + InitialRetryDelay * (1U << Doublings);
  ++Record.Failures;
}

void applyReadEntry(record_progress &Record, const platform_answer &Answer) {
  Record.StoredRecord = {};
  Record.ModRevision = 0;
  if (!Answer.Entries.empty()) {
    Record.StoredRecord =
        parseGroupRecord(Answer.Entries.front().Value).value_or(group_record{});
    Record.ModRevision = Answer.Entries.front().ModRevision;
  }
  Record.IsRead = true;
  Record.Failures = 0;
  Record.RecordedTerm = std::max(Record.RecordedTerm, Record.StoredRecord.Term);
}

} // namespace

std::string toText(const group_record &Record) {
  boost::property_tree::ptree Tree;
  Tree.put("Term", Record.Term);
  Tree.put("Primary", Record.Primary);
  std::ostringstream Stream;
  constexpr bool Pretty = false;
  boost::property_tree::write_json(Stream, Tree, Pretty);
  std::string Text = Stream.str();
  Text.erase(Text.find_last_not_of('\n') + 1);
  return Text;
}

std::optional<group_record> parseGroupRecord(const std::string &Text) {
  try {
    std::istringstream Stream(Text);
    boost::property_tree::ptree Tree;
    boost::property_tree::read_json(Stream, Tree);
    return group_record{Tree.get<std::uint64_t>("Term"),
                        Tree.get<std::string>("Primary")};
  } catch (const boost::property_tree::ptree_error &) {
    return std::nullopt;
  }
}

namespace impl {

void readRecord(record_progress &Record, const group_id &Group,
                std::uint64_t &NextRef, instant Now, effect_list &Effects) {
  Record.IsRead = false;
  Record.SwapInFlight = false;
  startCall(Record, NextRef, platform_get{recordKey(Group)}, Now, Effects);
}

void swapRecord(record_progress &Record, const group_id &Group,
                std::uint64_t &NextRef, instant Now, effect_list &Effects) {
  platform_compare_and_swap Swap;
  Swap.Key = recordKey(Group);
  Swap.Value = toText(Record.DesiredRecord);
  Swap.ModRevision = Record.ModRevision;
  Record.IsRead = false;
  Record.SwapInFlight = true;
  startCall(Record, NextRef, std::move(Swap), Now, Effects);
}

void handleRecordAnswer(record_progress &Record, const platform_answer &Answer,
                        instant Now) {
  const bool WasSwap = Record.SwapInFlight;
  Record.PendingCall.reset();
  switch (Answer.Status) {
  case platform_status::Done:
    if (!WasSwap) {
      applyReadEntry(Record, Answer);
      return;
    }
    Record.Failures = 0;
    Record.RecordedTerm =
        std::max(Record.RecordedTerm, Record.DesiredRecord.Term);
    return;
  case platform_status::Conflict:
    if (Answer.Entries.empty()) {
      scheduleRetry(Record, Now);
      return;
    }
    applyReadEntry(Record, Answer);
    return;
  case platform_status::Unreachable:
  case platform_status::Unknown:
    scheduleRetry(Record, Now);
    return;
  }
}

bool recordReadDue(const record_progress &Record, instant Now) {
  if (Record.PendingCall)
    return Now - Record.CalledAt >= CallTimeout;
  return Now >= Record.NextRetry;
}

} // namespace impl

} // namespace bronzespar
