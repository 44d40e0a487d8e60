/// Runs the fault matrix and prints how many cases it had.
#include "fault_matrix.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace bronzespar;
using namespace bronzespar::test;

namespace {

struct matrix_totals {
  std::size_t Cases = 0;
  std::size_t FaultsInjected = 0;
  std::size_t Calls = 0;
  std::size_t Served = 0;
  std::map<injection_point, std::size_t>
      NotInjected; ///< Cases whose moment never came.
};

template <class Enum> std::vector<Enum> all() {
  std::vector<Enum> Items;
  for (const std::string &Name : namesOf<Enum>())
    Items.push_back(*enumFromName<Enum>(Name));
  return Items;
}

void check(matrix_totals &Totals, std::uint64_t Seed, injection_point Moment,
           fault First, std::optional<fault> Second) {
  const case_result Result = runCase(Seed, Moment, First, Second);
  ++Totals.Cases;
  Totals.FaultsInjected += Result.FaultInjected ? 1 : 0;
  if (!Result.FaultInjected)
    ++Totals.NotInjected[Moment];
  Totals.Calls += Result.Calls;
  Totals.Served += Result.Served;
  if (Result.Violations.empty())
    return;
  INFO("seed " << Seed << ", " << enumName(Moment) << ", " << enumName(First)
               << ", " << (Second ? enumName(*Second) : "alone"));
  for (const std::string &Violation : Result.Violations)
    FAIL_CHECK(Violation);
}

void print(const char *Name, const matrix_totals &Totals) {
  std::cout << "fault matrix, " << Name << ": " << Totals.Cases << " cases, "
            << Totals.FaultsInjected << " with their fault put in, "
            << Totals.Calls << " requests, " << Totals.Served << " served\n";
  for (const auto &[Moment, Cases] : Totals.NotInjected)
    std::cout << "  " << enumName(Moment) << " never came in " << Cases
              << " cases\n";
}

} // namespace

TEST_CASE("promises hold under each fault at each injection point") {
  matrix_totals Totals;
  for (const injection_point Moment : all<injection_point>())
    for (const fault First : all<fault>())
      for (std::uint64_t Seed = 1; Seed <= 2; ++Seed)
        check(Totals, Seed, Moment, First, std::nullopt);
  print("single faults", Totals);
}

TEST_CASE("promises hold under pairs of faults") {
  matrix_totals Totals;
  const std::vector<injection_point> Moments = all<injection_point>();
  for (const fault First : all<fault>())
    for (const fault Second : all<fault>()) {
      const injection_point Moment = Moments[Totals.Cases % Moments.size()];
      check(Totals, Totals.Cases + 1, Moment, First, Second);
    }
  print("pairs of faults", Totals);
}
