/// Shares of descriptors.
#include <bronzespar/proxy/connection_limits.hpp>

#include <algorithm>
#include <tuple>

namespace bronzespar::proxy {

namespace {

/// Not available to sockets: files, and sockets of which the process knows
/// nothing yet.
constexpr std::size_t MaxFileDescriptors = 200;
/// Kept for targets, peers, the store and monitoring.
constexpr std::size_t MinReserve = 32;
constexpr std::size_t MaxReserve = 512;
constexpr std::size_t ReservePart = 8;  ///< Divides the sockets.
constexpr std::size_t UnprovenPart = 2; ///< Divides the reserve.
constexpr std::size_t MaxMonitors = 16;

} // namespace

connection_limits makeConnectionLimits(std::size_t MaxDescriptors) {
  const std::size_t Sockets =
      MaxDescriptors - std::min(MaxFileDescriptors, MaxDescriptors / 2);
  const std::size_t Reserve = std::min(
      std::clamp(Sockets / ReservePart, MinReserve, MaxReserve), Sockets / 2);
  connection_limits Limits;
  Limits.Callers = Sockets - Reserve;
  Limits.UnprovenPeers = std::max<std::size_t>(Reserve / UnprovenPart, 1);
  Limits.Monitors = std::clamp<std::size_t>(Reserve / 8, 1, MaxMonitors);
  return Limits;
}

std::vector<std::uint64_t>
chooseEvicted(std::vector<connection_candidate> Candidates, std::size_t Count) {
  std::erase_if(Candidates, [](const connection_candidate &Each) {
    return Each.Use == connection_use::Busy;
  });
  const std::size_t Chosen = std::min(Count, Candidates.size());
  const auto End = Candidates.begin() + static_cast<std::ptrdiff_t>(Chosen);
  std::partial_sort(
      Candidates.begin(), End, Candidates.end(),
      [](const connection_candidate &Left, const connection_candidate &Right) {
        return std::tie(Left.Use, Left.LastActivity, Left.Number) <
               std::tie(Right.Use, Right.LastActivity, Right.Number);
      });
  std::vector<std::uint64_t> Numbers;
  std::for_each(Candidates.begin(), End, [&](const connection_candidate &Each) {
    Numbers.push_back(Each.Number);
  });
  return Numbers;
}

} // namespace bronzespar::proxy
