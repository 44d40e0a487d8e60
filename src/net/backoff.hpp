/// Pauses between tries: they double up to a bound, with jitter.
#pragma once

#include <bronzespar/instant.hpp>

#include <algorithm>
#include <random>

namespace bronzespar {

/// \brief Exponential backoff. Jitter keeps hosts that failed together from
/// trying again together.
class backoff {
public:
  backoff(duration Shortest, duration Longest, std::uint64_t Seed)
      : First(Shortest), Bound(Longest), Current(Shortest), Random(Seed) {}

  /// \returns Half to all of the current pause.
  [[nodiscard]] duration next() {
    std::uniform_int_distribution<duration::rep> Choice(Current.count() / 2,
                                                        Current.count());
    Current = std::min(Current * 2, Bound);
    return duration(Choice(Random));
  }

  void succeed() noexcept { Current = First; }

private:
  duration First;
  duration Bound;
  duration Current;
  std::minstd_rand Random;
};

} // namespace bronzespar
