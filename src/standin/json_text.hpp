/// JSON texts that several stand-ins write; keeps Boost.JSON out of headers.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace bronzespar::standin {

/// \brief Writes {"error": REASON}.
[[nodiscard]] std::string errorText(const std::string &Reason);

/// \brief Writes {"NAME": COUNT, ...}.
[[nodiscard]] std::string
countsText(const std::map<std::string, std::uint64_t> &Counts);

} // namespace bronzespar::standin
