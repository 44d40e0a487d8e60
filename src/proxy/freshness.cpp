/// Samples of the primary's position.
#include <bronzespar/proxy/freshness.hpp>

#include <algorithm>

namespace bronzespar::proxy {

void addSample(freshness_samples &Samples, log_position Position,
               instant AskedAt) {
  if (!Samples.Samples.empty() &&
      AskedAt < Samples.Samples.back().SentAt + freshness_samples::MinSpacing)
    return;
  Samples.Samples.push_back({Position, AskedAt});
  if (Samples.Samples.size() > freshness_samples::MaxSamples)
    Samples.Samples.pop_front();
}

std::optional<position_sample> positionForAge(const freshness_samples &Samples,
                                              instant Now, duration MaxAge) {
  const auto Found = std::find_if(
      Samples.Samples.begin(), Samples.Samples.end(),
      [&](const position_sample &S) { return S.SentAt >= Now - MaxAge; });
  if (Found == Samples.Samples.end())
    return std::nullopt;
  return *Found;
}

} // namespace bronzespar::proxy
