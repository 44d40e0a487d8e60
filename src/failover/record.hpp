/// Calls that read and update the platform's record of a group's latest
/// promotion.
#pragma once

#include <bronzespar/failover.hpp>

namespace bronzespar::impl {

/// \brief Starts a read of the group's record.
void readRecord(record_progress &Record, const group_id &Group,
                std::uint64_t &NextRef, instant Now, effect_list &Effects);

/// \brief Starts a compare-and-swap that replaces the record as last read with
/// Record.DesiredRecord.
void swapRecord(record_progress &Record, const group_id &Group,
                std::uint64_t &NextRef, instant Now, effect_list &Effects);

/// \brief Applies the answer to the call in flight.
void handleRecordAnswer(record_progress &Record, const platform_answer &Answer,
                        instant Now);

/// \brief True when the back-off after the latest call is over, or the call in
/// flight is overdue.
[[nodiscard]] bool recordReadDue(const record_progress &Record, instant Now);

} // namespace bronzespar::impl
