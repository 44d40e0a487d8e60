/// Revisions that still grow after the store came back from an older copy and
/// gives its own revisions out again: the store's era stands above them.
#pragma once

#include <cstdint>

namespace bronzespar::proxy {

/// The store's own revision stays below 2^EraShift.
inline constexpr unsigned EraShift = 40;
/// Ordered revisions of this era still fit into a signed number; those of eras
/// below 2^13 are exact as JSON numbers, too.
inline constexpr std::uint64_t MaxEra = (std::uint64_t{1} << 23U) - 1;

/// \brief A revision that compares by era first.
/// \param Revision The store's own; 0, which stands for no revision, stays 0.
[[nodiscard]] constexpr std::uint64_t
orderedRevision(std::uint64_t Era, std::uint64_t Revision) noexcept {
  return Revision == 0 ? 0 : (Era << EraShift) | Revision;
}

[[nodiscard]] constexpr std::uint64_t eraOf(std::uint64_t Ordered) noexcept {
  return Ordered >> EraShift;
}

/// \brief The store's own revision.
[[nodiscard]] constexpr std::uint64_t
storeRevision(std::uint64_t Ordered) noexcept {
  return Ordered & ((std::uint64_t{1} << EraShift) - 1);
}

} // namespace bronzespar::proxy
