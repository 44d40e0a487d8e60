/// Finds the log position that a bounded-staleness read requires. Replicas lag
/// by an unknown time, so the bound is proved from positions that the primary
/// reported, and a replica refuses a read whose position it lacks.
#pragma once

#include <bronzespar/instant.hpp>
#include <bronzespar/log_position.hpp>

#include <deque>
#include <optional>

namespace bronzespar::proxy {

/// \brief A log position that the primary reported.
/// Invariant: covers every write that was acknowledged before SentAt.
struct position_sample {
  log_position Position;
  instant SentAt{};
  instant ReceivedAt{}; ///< When the answer with it arrived.
};

/// \brief Samples of one group, oldest first.
/// Invariant: SentAt increases; at most MaxSamples are held.
struct freshness_samples {
  static constexpr std::size_t MaxSamples = 64;
  /// A sample closer than this to the last one is not added.
  static constexpr duration MinSpacing = std::chrono::milliseconds(40);
  std::deque<position_sample> Samples;
};

/// \brief Adds the position in a primary's answer.
void addSample(freshness_samples &Samples, const position_sample &Sample);

/// \brief Whether a primary's log is shorter than an earlier answer showed it.
/// \remarks Answers to statements that ran side by side may arrive out of
/// order.
[[nodiscard]] bool isLowerThanBefore(const freshness_samples &Samples,
                                     const position_sample &Sample) noexcept;

/// \brief Finds the lowest position that a read at Now must cover.
/// \remarks Not lower than that of any earlier sample: a primary that restarted
/// behind its log reports less than what was acknowledged.
/// \param MaxAge Only writes younger than this may be missing.
/// \returns Nothing when no sample is recent enough to prove the bound.
[[nodiscard]] std::optional<position_sample>
positionForAge(const freshness_samples &Samples, instant Now, duration MaxAge);

} // namespace bronzespar::proxy
