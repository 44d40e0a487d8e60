/// Main loop and final checks of a run of the simulated group.
#include "failover/simulation.hpp"

namespace bronzespar::test {

/// Checks that the final primary's log has each acknowledged write at its
/// position.
void simulation::checkLogs() {
  const member_log &Log = Members[primaryPlace()].Log;
  for (const acknowledged_write &Write : Acknowledged) {
    if (!holdsPosition(Log, Write.Position) || !Log.Rows.contains(Write.Row))
      violation("acknowledged write " + Write.Row + " is lost");
  }
}

void simulation::checkSettled() {
  const member_log &Primary = Members[primaryPlace()].Log;
  if (Primary.Role != member_role::Primary)
    violation("the group has no primary at the end of the run");
  for (const member_process &Member : Members) {
    if (Member.Log.Term != Primary.Term ||
        lastPosition(Member.Log) != lastPosition(Primary))
      violation(Member.Log.Target +
                " does not have the primary's log at the end of the run");
  }
  const auto Found = Record ? parseGroupRecord(Record->Value) : std::nullopt;
  if (!Found || Found->Term != Primary.Term || Found->Primary != Primary.Target)
    violation("the record does not name the final primary");
}

void simulation::checkGaps() {
  instant Previous{};
  Acknowledged.push_back({{}, {}, WritesEnd});
  for (const acknowledged_write &Write : Acknowledged) {
    instant From = Previous;
    for (const instant Change : Changes) {
      if (Change > Previous && Change < Write.At)
        From = std::max(From, Change);
    }
    if (Previous <= FirstFaultAt && Write.At > FirstFaultAt)
      Result.FirstGap = Write.At - FirstFaultAt;
    Result.LongestGap = std::max(Result.LongestGap, Write.At - From);
    Previous = Write.At;
  }
  Acknowledged.pop_back();
  if (Result.LongestGap > RecoveryBound)
    violation("no acknowledged write for " +
              std::to_string(Result.LongestGap / duration(1ms)) + " ms");
}

simulation_result simulation::run() {
  begin();
  at(FirstFaultAt, [this] {
    beginFault(Plan.First, FirstFaultEnds);
    for (std::size_t Index = 0; Index < Plan.Later.size(); ++Index) {
      if (Plan.Later[Index].AtStep == promotion_step::Watching &&
          Begun.insert(Index).second)
        beginFault(Plan.Later[Index].Kind, Now + LaterFaultLasts);
    }
  });
  at(FirstFaultEnds, [this] { endFirstFault(); });
  while (!Queue.empty() && Queue.top().At <= RunEnds) {
    const scheduled Next = Queue.top();
    Queue.pop();
    Now = Next.At;
    Next.Run();
  }
  Result.Acknowledged = Acknowledged.size();
  std::sort(Changes.begin(), Changes.end());
  checkLogs();
  checkSettled();
  checkGaps();
  return Result;
}

simulation_result simulate(const simulation_plan &Plan,
                           const promotion_chart &Chart) {
  return simulation(Plan, Chart).run();
}

} // namespace bronzespar::test
