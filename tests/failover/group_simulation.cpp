/// Main loop and final checks of a run of the simulated group.
#include "failover/simulation.hpp"

namespace bronzespar::test {

/// Checks that the final primary's log has each acknowledged write at its
/// position.
void simulation::checkLogs() {
  const member_log &Log = Members[primarySite()].Log;
  for (const acknowledged_write &Write : Acknowledged) {
    if (!holdsPosition(Log, Write.Position) || !Log.Rows.contains(Write.Row))
      addViolation("acknowledged write " + Write.Row + " is lost");
  }
}

void simulation::checkFinalState() {
  const member_log &Primary = Members[primarySite()].Log;
  if (Primary.Role != member_role::Primary)
    addViolation("the group has no primary at the end of the run");
  for (const member_process &Member : Members) {
    if (Member.Log.Term != Primary.Term ||
        lastPosition(Member.Log) != lastPosition(Primary))
      addViolation(Member.Log.Target +
                   " does not have the primary's log at the end of the run");
  }
  const auto Found = Record ? parseGroupRecord(Record->Value) : std::nullopt;
  if (!Found || Found->Term != Primary.Term || Found->Primary != Primary.Target)
    addViolation("the record does not name the final primary");
}

void simulation::checkGaps() {
  instant Previous{};
  Acknowledged.push_back({{}, {}, WritesEndAt});
  for (const acknowledged_write &Write : Acknowledged) {
    instant From = Previous;
    for (const instant Change : ChangeTimes) {
      if (Change > Previous && Change < Write.At)
        From = std::max(From, Change);
    }
    if (Previous <= FirstFaultAt && Write.At > FirstFaultAt)
      Result.GapAfterFirstFault = Write.At - FirstFaultAt;
    Result.LongestGap = std::max(Result.LongestGap, Write.At - From);
    Previous = Write.At;
  }
  Acknowledged.pop_back();
  if (Result.LongestGap > MaxRecoveryTime)
    addViolation("no acknowledged write for " +
                 std::to_string(Result.LongestGap / duration(1ms)) + " ms");
}

simulation_result simulation::run() {
  setUp();
  scheduleAt(FirstFaultAt, [this] {
    beginFault(Plan.FirstFault, FirstFaultEndsAt);
    for (std::size_t Index = 0; Index < Plan.LaterFaults.size(); ++Index) {
      if (Plan.LaterFaults[Index].AtStep == promotion_step::Watching &&
          StartedFaults.insert(Index).second)
        beginFault(Plan.LaterFaults[Index].Kind, Now + LaterFaultDuration);
    }
  });
  scheduleAt(FirstFaultEndsAt, [this] { endFirstFault(); });
  while (!Queue.empty() && Queue.top().At <= RunEndsAt) {
    const scheduled_event Next = Queue.top();
    Queue.pop();
    Now = Next.At;
    Next.Run();
  }
  Result.Acknowledged = Acknowledged.size();
  std::sort(ChangeTimes.begin(), ChangeTimes.end());
  checkLogs();
  checkFinalState();
  checkGaps();
  return Result;
}

simulation_result simulate(const simulation_plan &Plan,
                           const promotion_chart &Chart) {
  return simulation(Plan, Chart).run();
}

} // namespace bronzespar::test
