/// Cut directions between zones.
#include "cut_table.hpp"

#include <algorithm>

namespace bronzespar::standin {

namespace {

const std::string AnyZone = "*";

bool matchesName(const std::string &Pattern, const std::string &Name) {
  return Pattern == AnyZone || Pattern == Name;
}

} // namespace

bool knowsZone(const cut_table &Table, const std::string &Name) {
  return Name == AnyZone || std::find(Table.Zones.begin(), Table.Zones.end(),
                                      Name) != Table.Zones.end();
}

bool matches(const zone_direction &Pattern, const zone_direction &Direction) {
  return matchesName(Pattern.From, Direction.From) &&
         matchesName(Pattern.To, Direction.To);
}

void cutDirections(cut_table &Table, const zone_direction &Pattern) {
  for (const std::string &From : Table.Zones) {
    for (const std::string &To : Table.Zones) {
      if (From != To && matches(Pattern, {From, To}))
        Table.Cuts.insert({From, To});
    }
  }
}

void healDirections(cut_table &Table, const zone_direction &Pattern) {
  std::erase_if(Table.Cuts, [&Pattern](const zone_direction &Direction) {
    return matches(Pattern, Direction);
  });
}

bool isCut(const cut_table &Table, const zone_direction &Direction) {
  return Table.Cuts.count(Direction) != 0;
}

} // namespace bronzespar::standin
