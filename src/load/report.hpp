/// The result of a run as text.
#pragma once

#include <load/figures.hpp>

#include <string>
#include <vector>

namespace bronzespar::load {

/// \brief Which run the figures belong to.
struct run_identity {
  std::string Place;
  std::uint64_t Seed = 0;
  std::string Fault;
};

/// \brief One JSON object on one line, without a line end.
[[nodiscard]] std::string toJson(const run_identity &Run,
                                 const run_figures &Figures,
                                 const violation_list &Violations);

/// \brief Table of the accounts and of the causes of refusals.
[[nodiscard]] std::string toTable(const std::vector<std::string> &Accounts,
                                  const run_figures &Figures,
                                  const history &History);

} // namespace bronzespar::load
