/// Test of a fleet of hosts without faults.
#include "callers.hpp"

#include <catch2/catch.hpp>

#include <iostream>

using namespace bronzespar;
using namespace bronzespar::test;

namespace {

void requireNoViolations(callers &Callers) {
  for (const std::string &Violation : Callers.violations())
    FAIL_CHECK(Violation);
}

/// Fraction of the reads outside transactions that replicas ran.
double replicaShare(const callers &Callers) {
  double Reads = 0;
  double OnReplicas = 0;
  for (const call &Call : Callers.Calls) {
    if (Call.Kind != statement_kind::Read || Call.TransactionNumber != 0)
      continue;
    ++Reads;
    OnReplicas += Call.Answer.Role == "Replica" ? 1 : 0;
  }
  return OnReplicas / Reads;
}

} // namespace

TEST_CASE("all requests of sessions that change hosts succeed without faults") {
  fake_fleet Fleet(1);
  Fleet.run(300ms);
  callers Callers(Fleet, 6, 100);
  Fleet.runUntil([&] { return Callers.isDone(); }, 60s);
  Fleet.run(100ms);
  CHECK(Callers.isDone());
  for (const call &Call : Callers.Calls) {
    INFO(Call.Kind << " of transaction " << Call.TransactionNumber);
    INFO(Call.Answer.Detail);
    CHECK(Call.Answer.Cause == refusal_cause::None);
  }
  requireNoViolations(Callers);
  const double Share = replicaShare(Callers);
  std::cout << "reads served by replicas: " << Share << '\n';
  CHECK(Share >= 0.8);
}
