/// Points in time of a planned stop.
#include <bronzespar/proxy/stop_plan.hpp>

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Part of the grace period that is left for sending the last answers.
constexpr duration FinalAnswerTime = std::chrono::milliseconds(700);
/// The process ends by itself this long before it would be killed.
constexpr duration KillMargin = std::chrono::milliseconds(200);
/// Both are at most this part of a short grace period.
constexpr int MinPartsOfGrace = 4;
/// Few statements take longer than this many times the usual time, as service
/// times vary by as much as their mean.
constexpr int TailFactor = 8;

} // namespace

stop_plan planStop(instant RequestedAt, duration GracePeriod) noexcept {
  const duration Part = GracePeriod / MinPartsOfGrace;
  stop_plan Plan;
  Plan.TransactionsEnd = RequestedAt + GracePeriod / 2;
  Plan.CloseIdleFrom =
      std::min(RequestedAt + BalancerRemovalTime, Plan.TransactionsEnd);
  Plan.AnswerBy = RequestedAt + GracePeriod - std::min(FinalAnswerTime, Part);
  Plan.EndBy = RequestedAt + GracePeriod - std::min(KillMargin, Part);
  return Plan;
}

bool isAnsweredInTime(const stop_plan &Plan, duration UsualTime,
                      duration MaxTime, instant Now) noexcept {
  return Now < Plan.TransactionsEnd ||
         Now + std::min(UsualTime * TailFactor, MaxTime) <= Plan.AnswerBy;
}

} // namespace bronzespar::proxy
