/// Disturbances of what an order to promote needs.
#include "simulated_cuts.hpp"

namespace session_test {

namespace {

constexpr duration ShortestCut = 1s;

cut_direction drawDirection(simulated_fleet &Fleet) {
  const double Luck = Fleet.draw();
  if (Luck < 0.7)
    return cut_direction::Both;
  return Luck < 0.85 ? cut_direction::Calls : cut_direction::Answers;
}

void cutFromStore(simulated_reads &Reads, const std::string &Host) {
  simulated_fleet &Fleet = Reads.Fleet;
  const cut_direction Direction = drawDirection(Fleet);
  const duration Span = Fleet.drawSpan(ShortestCut, LongestCut);
  Reads.noteText(Host + " loses the store for " +
                 elapsedMsText(Fleet.Now, Fleet.Now + Span) + " ms, " +
                 std::string(enumName(Direction)));
  Fleet.cutFromStore(Host, Direction, Span);
}

void cutFromTarget(simulated_reads &Reads, const std::string &Host,
                   const std::string &Target, duration Span) {
  const cut_direction Direction = drawDirection(Reads.Fleet);
  const instant Now = Reads.Fleet.Now;
  Reads.noteText(Host + " loses " + Target + " for " +
                 elapsedMsText(Now, Now + Span) + " ms, " +
                 std::string(enumName(Direction)));
  Reads.Fleet.cutFromTarget(Host, Target, Direction, Span);
}

/// Cuts a share of the hosts off from a target.
void cutTarget(simulated_reads &Reads, const std::string &Target,
               double Share) {
  simulated_fleet &Fleet = Reads.Fleet;
  const duration Span = Fleet.drawSpan(ShortestCut, LongestCut);
  for (const auto &[Host, Simulated] : Fleet.Hosts)
    if (Fleet.draw() < Share)
      cutFromTarget(Reads, Host, Target, Span);
}

/// Ends the host that has ordered, stops it, or cuts it off from the store.
void disturbCoordinator(simulated_reads &Reads, const std::string &Host) {
  simulated_fleet &Fleet = Reads.Fleet;
  const double Luck = Fleet.draw();
  if (Luck < 0.4) {
    Reads.noteText(Host + " is started anew");
    Reads.restartHost(Host);
  } else if (Luck < 0.7) {
    const duration Span = Fleet.drawSpan(300ms, 6s);
    Reads.noteText(Host + " stands still for " +
                   elapsedMsText(Fleet.Now, Fleet.Now + Span) + " ms");
    Fleet.suspendHost(Host, Span);
  } else {
    cutFromStore(Reads, Host);
  }
}

/// Disturbs what an order needs: the path between its host and its target, the
/// target's path to the others, and the host itself.
void disturbOrder(simulated_reads &Reads, const std::string &Host,
                  const std::string &Target) {
  simulated_fleet &Fleet = Reads.Fleet;
  if (Fleet.draw() < 0.5)
    cutFromTarget(Reads, Host, Target, Fleet.drawSpan(ShortestCut, LongestCut));
  if (Fleet.draw() < 0.3)
    cutTarget(Reads, Target, Fleet.draw());
  if (Fleet.draw() < 0.3) {
    Reads.noteText(Target + " loses the other targets");
    Reads.Targets.cutOff(Target, Fleet.drawSpan(ShortestCut, LongestCut));
  }
  if (Fleet.draw() < 0.4)
    disturbCoordinator(Reads, Host);
}

/// The host that the store shows as the coordinator, or any other.
std::string drawCoordinator(simulated_fleet &Fleet) {
  const auto Found = Fleet.Records.find(std::string(CoordinatorKey));
  return Found == Fleet.Records.end() || Fleet.draw() < 0.5
             ? drawHost(Fleet)
             : Found->second.Value;
}

} // namespace

void aimAtOrders(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  Fleet.OnlyRunningLead = true;
  Fleet.OrderFaults = {0.1, 0.1, 0.1};
  Fleet.OnOrder = [&Reads, &Fleet, Note = std::move(Fleet.OnOrder)](
                      const std::string &Host,
                      const effects::order_promotion &Order, order_fate Fate) {
    Note(Host, Order, Fate);
    const duration Delay = Fleet.drawSpan(0ms, Fleet.draw() < 0.5 ? 100ms : 1s);
    Fleet.Scheduled.emplace(Fleet.Now + Delay,
                            [&Reads, Host, Target = Order.Target] {
                              disturbOrder(Reads, Host, Target);
                            });
  };
}

void cutAtRandom(simulated_reads &Reads) {
  simulated_fleet &Fleet = Reads.Fleet;
  if (Fleet.draw() < 0.1)
    cutFromStore(Reads, drawCoordinator(Fleet));
  if (Fleet.draw() < 0.15)
    cutTarget(Reads, drawTarget(Fleet), Fleet.draw());
}

} // namespace session_test
