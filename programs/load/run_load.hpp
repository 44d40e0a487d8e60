/// One run of the load: arrivals, fault, last reads and state.
#pragma once

#include "faults.hpp"
#include "group_state.hpp"

#include <boost/leaf/result.hpp>

namespace bronzespar::load {

/// \brief What a run leaves for the checker.
struct run_result {
  history History;
  std::optional<fault_span> Fault;
  members_state Members; ///< After the load.
};

/// \brief Waits for the hosts, drives the load and reads the state after it.
/// \returns The result, or an error carrying run_fault when the hosts do not
/// become ready.
[[nodiscard]] boost::leaf::result<run_result> runLoad(const load_run &Run,
                                                      fault_kind Kind);

} // namespace bronzespar::load
