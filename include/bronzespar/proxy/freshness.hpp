/// Which log position a read of bounded age needs. Answers the load in which
/// replicas lag by an unknown time: the bound is proved from what the primary
/// showed, and the target itself refuses what it lacks.
#pragma once

#include <bronzespar/instant.hpp>
#include <bronzespar/log_position.hpp>

#include <deque>
#include <optional>

namespace bronzespar::proxy {

/// \brief A position that the primary showed.
/// Invariant: contains all that was acknowledged before AskedAt.
struct position_sample {
  log_position Position;
  instant SentAt{};
};

/// \brief Samples of one group, oldest first.
/// Invariant: AskedAt grows; at most MaxSamples are held.
struct freshness_samples {
  static constexpr std::size_t MaxSamples = 64;
  /// Samples closer to each other than this are not worth keeping.
  static constexpr duration MinSpacing = std::chrono::milliseconds(40);
  std::deque<position_sample> Samples;
};

/// \brief Adds what a primary answered to a statement sent at AskedAt.
void addSample(freshness_samples &Samples, log_position Position,
               instant AskedAt);

/// \brief Finds the least position that a read at Now must cover.
/// \param MaxAge What may be missing is younger than this.
/// \returns Nothing when no sample proves the age.
[[nodiscard]] std::optional<position_sample>
positionForAge(const freshness_samples &Samples, instant Now, duration MaxAge);

} // namespace bronzespar::proxy
