/// The platform's record of a group's latest promotion.
#pragma once

#include <bronzespar/failover.hpp>

namespace bronzespar::impl {

/// \brief Reads the group's record.
void readRecord(record_progress &Record, const group_id &Group,
                std::uint64_t &NextRef, instant Now, effect_list &Effects);

/// \brief Replaces the record that was read by Record.Wanted.
void swapRecord(record_progress &Record, const group_id &Group,
                std::uint64_t &NextRef, instant Now, effect_list &Effects);

/// \brief Takes in the answer to the call in flight.
void handleRecordAnswer(record_progress &Record, const platform_answer &Answer,
                        instant Now);

/// \brief True when no call is in flight and a retry is due.
[[nodiscard]] bool recordReadDue(const record_progress &Record, instant Now);

} // namespace bronzespar::impl
