/// Maps the monotonic clock onto the project's time line.
#pragma once

#include <bronzespar/instant.hpp>

namespace bronzespar {

/// \brief The present. Only adapters may ask for it.
[[nodiscard]] inline instant presentInstant() noexcept {
  const auto SinceBoot = std::chrono::steady_clock::now().time_since_epoch();
  return instant(std::chrono::duration_cast<duration>(SinceBoot));
}

} // namespace bronzespar
