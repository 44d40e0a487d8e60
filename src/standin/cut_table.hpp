/// Which directions between zones are cut.
#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bronzespar::standin {

/// \brief One direction between two zones; "*" stands for any.
struct zone_direction {
  std::string From;
  std::string To;

  auto operator<=>(const zone_direction &) const = default;
};

/// \brief Cut directions. Invariant: holds no "*".
struct cut_table {
  std::vector<std::string> Zones; ///< All that "*" means.
  std::set<zone_direction> Cuts;
};

/// \brief True when the name is a zone or "*".
[[nodiscard]] bool knowsZone(const cut_table &Table, const std::string &Name);

/// \brief True when the pattern stands for the direction.
[[nodiscard]] bool matches(const zone_direction &Pattern,
                           const zone_direction &Direction);

/// \brief Cuts or heals all directions that the pattern stands for.
void cutDirections(cut_table &Table, const zone_direction &Pattern);
void healDirections(cut_table &Table, const zone_direction &Pattern);

[[nodiscard]] bool isCut(const cut_table &Table,
                         const zone_direction &Direction);

} // namespace bronzespar::standin
