/// Measures what the proxy adds to a read, against reads sent straight to the
/// targets in the same run.
#pragma once

#include "run_settings.hpp"

#include <boost/leaf/result.hpp>

#include <string>

namespace bronzespar::load {

/// \brief Sends reads by turns through a host and straight to a target.
/// \returns One JSON object on one line, or an error carrying run_fault when a
/// read failed or the host did not become ready.
[[nodiscard]] boost::leaf::result<std::string>
compareDirect(const load_run &Run);

} // namespace bronzespar::load
