/// Refilling a token bucket and taking tokens from it.
#include <bronzespar/token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace bronzespar {

namespace {

/// Wait that is reported for a bucket that will never hold a whole token.
constexpr duration MaxReportedWait = 60s;

/// Largest rounding error of a bucket's tokens. A token that is taken up to
/// this much too early leaves a negative remainder, so errors do not add up.
constexpr double RoundingTolerance = 1e-9;

} // namespace

void refillBucket(token_bucket &Bucket, instant Now) {
  if (Now <= Bucket.RefilledAt)
    return;
  const double Added =
      toSeconds(Now - Bucket.RefilledAt) * Bucket.RatePerSecond;
  Bucket.Tokens = std::min(Bucket.Burst, Bucket.Tokens + Added);
  Bucket.RefilledAt = Now;
}

bool takeToken(token_bucket &Bucket, instant Now) {
  refillBucket(Bucket, Now);
  if (Bucket.Tokens < 1 - RoundingTolerance)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

void resizeBucket(token_bucket &Bucket, double RatePerSecond, double Burst,
                  instant Now) {
  refillBucket(Bucket, Now);
  Bucket.RatePerSecond = RatePerSecond;
  Bucket.Burst = Burst;
  Bucket.Tokens = std::min(Bucket.Tokens, Burst);
}

duration timeUntilToken(const token_bucket &Bucket, instant Now) {
  token_bucket Refilled = Bucket;
  refillBucket(Refilled, Now);
  if (Refilled.Tokens >= 1 - RoundingTolerance)
    return duration::zero();
  if (Refilled.RatePerSecond <= 0 || Refilled.Burst < 1)
    return MaxReportedWait;
  const double Seconds = (1 - Refilled.Tokens) / Refilled.RatePerSecond;
  return duration(static_cast<duration::rep>(
      std::ceil(Seconds * 1e6 - RoundingTolerance * 1e6)));
}

} // namespace bronzespar
