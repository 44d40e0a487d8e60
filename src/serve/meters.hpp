/// Counters and latency histograms of a session host.
#pragma once

#include <bronzespar/proxy/interface.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace bronzespar::serve {

namespace bh = boost::histogram;
/// Latency in milliseconds on a logarithmic axis.
using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram =
    bh::histogram<std::tuple<latency_axis>,
                  bh::storage_adaptor<std::vector<std::uint32_t>>>;

/// \brief Latency histogram with its sum and count.
struct latency_meter {
  latency_histogram Histogram;
  double SumMs = 0;
  std::uint64_t Count = 0;
};

/// \brief All counters and histograms that the host exposes.
struct meters {
  /// By route class and answer code.
  std::map<std::pair<std::string, std::string>, std::uint64_t> Outcomes;
  /// By client account and answer code.
  std::map<std::pair<std::string, std::string>, std::uint64_t> Accounts;
  std::map<std::string, latency_meter> Latencies;        ///< By route class.
  std::map<std::string, latency_meter> AccountLatencies; ///< By account.
  std::map<std::string_view, std::uint64_t> Events; ///< Log events by name.
  /// Age of the proof behind each answer to the watch of the settings.
  std::map<std::string, latency_meter> ProofAges;
  /// Direct calls to the store, by kind.
  std::map<std::string, std::uint64_t> StoreCalls;
};

void countOutcome(meters &Meters,
                  const proxy::effects::record_outcome &Outcome);

/// \brief Counts the age of the proof that no newer settings are missing.
void countProofAge(meters &Meters, duration Age);

/// \brief Formats all meters, one line each: name, labels, value.
[[nodiscard]] std::string formatMeters(const meters &Meters);

} // namespace bronzespar::serve
