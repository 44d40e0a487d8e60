/// Refilling a token bucket and taking tokens from it.
#include <bronzespar/token_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace bronzespar {

namespace {

/// Wait that is reported for a bucket that will never hold a whole token.
constexpr duration NeverRefilled = 60s;

/// Largest rounding error of a bucket's tokens. A token that is taken up to
/// this much too early leaves a negative remainder, so errors do not add up.
constexpr double Rounding = 1e-9;

} // namespace

void fillBucket(token_bucket &Bucket, instant Now) {
  if (Now <= Bucket.FilledAt)
    return;
  const double Added = toSeconds(Now - Bucket.FilledAt) * Bucket.RatePerSecond;
  Bucket.Tokens = std::min(Bucket.Burst, Bucket.Tokens + Added);
  Bucket.FilledAt = Now;
}

bool takeToken(token_bucket &Bucket, instant Now) {
  fillBucket(Bucket, Now);
  if (Bucket.Tokens < 1 - Rounding)
    return false;
  Bucket.Tokens -= 1;
  return true;
}

void resizeBucket(token_bucket &Bucket, double RatePerSecond, double Burst,
                  instant Now) {
  fillBucket(Bucket, Now);
  Bucket.RatePerSecond = RatePerSecond;
  Bucket.Burst = Burst;
  Bucket.Tokens = std::min(Bucket.Tokens, Burst);
}

duration untilToken(const token_bucket &Bucket, instant Now) {
  token_bucket Refilled = Bucket;
  fillBucket(Refilled, Now);
  if (Refilled.Tokens >= 1 - Rounding)
    return duration::zero();
  if (Refilled.RatePerSecond <= 0 || Refilled.Burst < 1)
    return NeverRefilled;
  const double Seconds = (1 - Refilled.Tokens) / Refilled.RatePerSecond;
  return duration(
      static_cast<duration::rep>(std::ceil(Seconds * 1e6 - Rounding * 1e6)));
}

} // namespace bronzespar
