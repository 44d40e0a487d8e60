/// Fault matrix of the promotion: injects each fault at each step of the state
/// chart, singly and in pairs, in virtual time.
#include "failover/group_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace bronzespar;
using namespace bronzespar::test;

namespace {

promotion_chart chart() {
  auto Chart =
      loadPromotionChart(std::string(BRONZESPAR_SOURCE_DIR) + "/charts");
  REQUIRE(Chart);
  return *Chart;
}

std::string describe(const simulation_plan &Plan) {
  std::ostringstream Text;
  Text << "seed " << Plan.Seed << ", " << enumName(Plan.FirstFault);
  for (const planned_fault &Fault : Plan.LaterFaults)
    Text << ", " << enumName(Fault.Kind) << " at " << enumName(Fault.AtStep);
  return Text.str();
}

std::vector<planned_fault> allFaults() {
  std::vector<planned_fault> Faults;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<fault_kind>>(
      [&Faults](auto Kind) {
        boost::mp11::mp_for_each<
            boost::describe::describe_enumerators<promotion_step>>(
            [&Faults, Kind](auto Step) {
              Faults.push_back({Kind.value, Step.value});
            });
      });
  return Faults;
}

/// Totals of many runs.
struct matrix_summary {
  std::size_t Runs = 0;
  std::size_t Failed = 0;
  std::size_t Acknowledged = 0;
  std::size_t Faults = 0;
  duration WorstGap{};
  duration WorstFirstGap{};

  void add(const simulation_plan &Plan, const simulation_result &Result) {
    ++Runs;
    Acknowledged += Result.Acknowledged;
    Faults += Result.FaultsBegun;
    WorstGap = std::max(WorstGap, Result.LongestGap);
    WorstFirstGap = std::max(WorstFirstGap, Result.GapAfterFirstFault);
    if (Result.Violations.empty())
      return;
    ++Failed;
    UNSCOPED_INFO(describe(Plan) << ": " << Result.Violations.front());
    if (Failed <= 40)
      std::cout << describe(Plan) << ": " << Result.Violations.front() << '\n';
  }

  void print(const char *Name) const {
    std::cout << Name << ": " << Runs << " runs, " << Faults << " faults, "
              << Acknowledged << " writes acknowledged, longest gap "
              << toMilliseconds(WorstGap) << " ms, " << Failed << " failed\n";
  }
};

const fault_kind FirstFaults[] = {fault_kind::PrimaryCut,
                                  fault_kind::PrimaryFrozen,
                                  fault_kind::PrimaryLeaves};

} // namespace

TEST_CASE("writes resume within 1,000 ms of a primary's failure") {
  const promotion_chart Chart = chart();
  for (const fault_kind First : FirstFaults) {
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      const simulation_plan Plan{Seed, First, {}};
      const simulation_result Result = simulate(Plan, Chart);
      INFO(describe(Plan));
      CHECK(Result.Violations.empty());
      CHECK(Result.GapAfterFirstFault < 1000ms);
      CHECK(Result.Promotions >= 1);
    }
  }
}

TEST_CASE("a new primary that leaves in turn hands over within 300 ms") {
  const promotion_chart Chart = chart();
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    const simulation_plan Plan{
        Seed,
        fault_kind::PrimaryLeaves,
        {{fault_kind::PrimaryLeaves, promotion_step::Following}}};
    const simulation_result Result = simulate(Plan, Chart);
    INFO(describe(Plan));
    CHECK(Result.Violations.empty());
    CHECK(Result.LongestGap < 300ms);
  }
}

TEST_CASE("fault matrix: single faults") {
  const promotion_chart Chart = chart();
  matrix_summary Summary;
  for (const fault_kind First : FirstFaults) {
    for (const planned_fault &Fault : allFaults()) {
      for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
        const simulation_plan Plan{Seed, First, {Fault}};
        Summary.add(Plan, simulate(Plan, Chart));
      }
    }
  }
  Summary.print("single faults");
  CHECK(Summary.Failed == 0);
}

TEST_CASE("fault matrix: pairs of faults") {
  const promotion_chart Chart = chart();
  matrix_summary Summary;
  const std::vector<planned_fault> Faults = allFaults();
  for (std::size_t First = 0; First < Faults.size(); ++First) {
    for (std::size_t Second = First + 1; Second < Faults.size(); ++Second) {
      const simulation_plan Plan{First * Faults.size() + Second,
                                 FirstFaults[(First + Second) % 3],
                                 {Faults[First], Faults[Second]}};
      Summary.add(Plan, simulate(Plan, Chart));
    }
  }
  Summary.print("pairs of faults");
  CHECK(Summary.Failed == 0);
}
