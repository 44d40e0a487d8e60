/// Cuts of simulated fleets' paths, and disturbances of their coordinators,
/// which are aimed at orders under way.
#pragma once

#include "simulated_runs.hpp"

namespace session_test {

inline constexpr duration LongestCut = 7s;

/// \brief Aims at each order within the second after it.
void aimAtOrders(simulated_reads &Reads);
/// \brief Cuts hosts off from the store or from targets; to be called each
/// second.
void cutAtRandom(simulated_reads &Reads);

} // namespace session_test
