/// Position in a database group's replicated log.
#pragma once

#include <boost/describe/class.hpp>

#include <compare>
#include <cstdint>
#include <ostream>

namespace bronzespar {

/// \brief Index of a log entry and the term of the primary that wrote it.
/// \remarks Ordered by term first: an entry of a later term supersedes all
/// entries of earlier terms, even those with a higher index.
struct log_position {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;

  auto operator<=>(const log_position &) const = default;

  friend std::ostream &operator<<(std::ostream &Stream, log_position Position) {
    return Stream << Position.Term << ':' << Position.Index;
  }
};
BOOST_DESCRIBE_STRUCT(log_position, (), (Term, Index))

} // namespace bronzespar
