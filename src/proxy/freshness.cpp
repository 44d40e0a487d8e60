/// Samples of the primary's log position.
#include <bronzespar/proxy/freshness.hpp>

#include <algorithm>

namespace bronzespar::proxy {

void addSample(freshness_samples &Samples, const position_sample &Sample) {
  if (!Samples.Samples.empty() &&
      Sample.SentAt <
          Samples.Samples.back().SentAt + freshness_samples::MinSpacing)
    return;
  Samples.Samples.push_back(Sample);
  if (Samples.Samples.size() > freshness_samples::MaxSamples)
    Samples.Samples.pop_front();
}

bool isLowerThanBefore(const freshness_samples &Samples,
                       const position_sample &Sample) noexcept {
  return std::any_of(Samples.Samples.begin(), Samples.Samples.end(),
                     [&](const position_sample &Earlier) {
                       return Earlier.ReceivedAt <= Sample.SentAt &&
                              Sample.Position < Earlier.Position;
                     });
}

std::optional<position_sample> positionForAge(const freshness_samples &Samples,
                                              instant Now, duration MaxAge) {
  const auto Found =
      std::find_if(Samples.Samples.begin(), Samples.Samples.end(),
                   [&](const position_sample &Sample) {
                     return Sample.SentAt >= Now - MaxAge;
                   });
  if (Found == Samples.Samples.end())
    return std::nullopt;
  position_sample Result = *Found;
  for (auto Earlier = Samples.Samples.begin(); Earlier != Found; ++Earlier)
    Result.Position = std::max(Result.Position, Earlier->Position);
  return Result;
}

} // namespace bronzespar::proxy
