/// State of the groups' members, read from the stand-ins' control ports.
#pragma once

#include "answers.hpp"
#include "driver.hpp"

#include <functional>
#include <map>
#include <string>

namespace bronzespar::load {

/// \brief The member that is primary in the highest term.
struct primary_state {
  load_target Target;
  member_state State;
};

/// \brief State of all members that answered.
struct members_state {
  std::map<std::string, primary_state> Primaries; ///< By group that has one.
  std::uint64_t NestedBegins = 0;                 ///< Over all members.
};

using members_handler = std::function<void(const members_state &)>;

/// \brief Reads all members' states.
void readMembers(driver &Driver, members_handler Handler);

} // namespace bronzespar::load
