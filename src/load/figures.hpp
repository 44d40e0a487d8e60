/// Figures of a run, computed from its history.
#pragma once

#include <load/checker.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bronzespar::load {

/// \brief When a fault began and was healed, and whom it hit.
struct fault_span {
  instant From{};
  instant Until{};
  std::vector<std::string> Groups; ///< Empty: no group was hit.
};

struct account_figures {
  std::uint64_t Requests = 0;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  /// Requests inside rate and burst, as the caller sent them.
  std::uint64_t Entitled = 0;
  std::uint64_t ServedInTime = 0;
  std::uint64_t WronglyRefused = 0;

  /// \returns Part served in time of what was asked for, up to the rate.
  [[nodiscard]] double share() const noexcept;
};

struct run_figures {
  std::uint64_t Requests = 0;
  std::uint64_t Served = 0;
  std::uint64_t Refused = 0; ///< With a known outcome.
  std::uint64_t Unknown = 0;
  /// Over served reads outside transactions; nothing without such reads.
  std::optional<double> ReplicaReadShare;
  std::optional<double> FailoverGapMs;
  double WorstAccountShare = 1;
  double WrongfulRefusals = 0; ///< Share of all requests.
  double P50Ms = 0;
  double P99Ms = 0;
  std::vector<account_figures> Accounts;
};

/// \brief Computes all figures.
/// \param Limits By account number.
[[nodiscard]] run_figures
computeFigures(const history &History, const std::vector<rate_limit> &Limits,
               const std::optional<fault_span> &Fault);

/// \brief Value below which a part of the values lies.
/// \param Values Sorted; may be empty (0 is returned).
[[nodiscard]] double percentile(const std::vector<double> &Values, double Part);

} // namespace bronzespar::load
