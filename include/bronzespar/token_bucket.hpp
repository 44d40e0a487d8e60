/// Token bucket that limits the rate and burst of one account on one host.
#pragma once

#include <bronzespar/instant.hpp>

namespace bronzespar {

/// \brief A token bucket.
/// Invariant: 0 <= Tokens <= Burst, except for floating-point rounding.
struct token_bucket {
  double RatePerSecond = 0;
  double Burst = 0;
  double Tokens = 0;
  instant RefilledAt{};
};

/// \brief Adds the tokens for the time since the last refill.
void refillBucket(token_bucket &Bucket, instant Now);

/// \brief Takes one token.
/// \returns False when the bucket holds less than a whole token.
[[nodiscard]] bool takeToken(token_bucket &Bucket, instant Now);

/// \brief Changes rate and burst; keeps present tokens up to the new burst.
void resizeBucket(token_bucket &Bucket, double RatePerSecond, double Burst,
                  instant Now);

/// \brief Time until the bucket holds a whole token.
[[nodiscard]] duration timeUntilToken(const token_bucket &Bucket, instant Now);

} // namespace bronzespar
