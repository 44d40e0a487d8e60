/// Orders to promote in the simulated fleet, the platform that carries them
/// out, and the rules on who orders.
#include "simulated_fleet.hpp"

#include <algorithm>

namespace session_test {

namespace {

/// A call to the platform that is not answered ends then.
constexpr duration OrderTimeout = 800ms;

order_outcome outcomeOf(order_fate Fate) {
  switch (Fate) {
  case order_fate::CarriedOut:
    return order_outcome::Accepted;
  case order_fate::Lost:
  case order_fate::Unheard:
    return order_outcome::Unanswered;
  case order_fate::Rejected:
    return order_outcome::Rejected;
  case order_fate::NotRunning:
    return order_outcome::NotRunning;
  }
  return order_outcome::Rejected;
}

} // namespace

void simulated_fleet::carryOut(const std::string &Name,
                               const effects::order_promotion &Order) {
  const bool Waits = draw() < SlowOrders;
  const auto Wait =
      std::chrono::milliseconds(Waits ? static_cast<int>(2000 * draw()) : 0);
  Scheduled.emplace(Now + Wait, [this, Name, Process = Hosts.at(Name).Process,
                                 Order] { sendOrder(Name, Process, Order); });
}

void simulated_fleet::answerOrder(const std::string &Name,
                                  const effects::order_promotion &Order,
                                  order_outcome Outcome) {
  const bool IsAnswered = Outcome != order_outcome::Unanswered;
  UnansweredOrders += IsAnswered ? 0 : 1;
  answer(Name, IsAnswered ? FleetTick : OrderTimeout, [Order, Outcome] {
    return events::promotion_answered{Order.Group, Order.Call, Outcome};
  });
}

void simulated_fleet::sendOrder(const std::string &Name, unsigned Process,
                                const effects::order_promotion &Order) {
  const simulated_host &Simulated = Hosts.at(Name);
  if (Simulated.Process != Process)
    return;
  if (Now < Simulated.SuspendedUntil) {
    Scheduled.emplace(Simulated.SuspendedUntil, [this, Name, Process, Order] {
      sendOrder(Name, Process, Order);
    });
    return;
  }
  if (!mayOrder(*Simulated.Host, Order, Now)) {
    answerOrder(Name, Order, order_outcome::NotSent);
    UnsentOrders += 1;
    return;
  }
  checkOrder(Name, Order);
  const order_fate Fate = drawFate(Name, Order.Target);
  answerOrder(Name, Order, outcomeOf(Fate));
  if (Fate == order_fate::CarriedOut || Fate == order_fate::Unheard)
    schedulePromotion(Order.Target);
  if (OnOrder)
    OnOrder(Name, Order, Fate);
}

void simulated_fleet::checkOrder(const std::string &Name,
                                 const effects::order_promotion &Order) {
  Orders += 1;
  if (Order.FencingToken < HighestToken)
    report(Name + " orders with an earlier token");
  HighestToken = std::max(HighestToken, Order.FencingToken);
  const std::string &Holder =
      TokenHolders.try_emplace(Order.FencingToken, Name).first->second;
  if (Holder != Name)
    report(Name + " orders with the token of " + Holder);
  if (UnderWay)
    report(Name + " orders " + Order.Target + " while the order of " +
           *UnderWay + " is under way");
}

order_fate simulated_fleet::drawFate(const std::string &Name,
                                     const std::string &Target) {
  const double Sum =
      OrderFaults.Lost + OrderFaults.Rejected + OrderFaults.Unheard;
  const double Luck = Sum > 0 ? draw() : 1;
  const simulated_path Path = Network.toStore(Name);
  if (Path.losesCalls(Now) || Luck < OrderFaults.Lost)
    return order_fate::Lost;
  const bool Refuses = OnlyRunningLead && Absent.contains(Target);
  const bool IsRejected = Luck < OrderFaults.Lost + OrderFaults.Rejected;
  if (Path.losesAnswers(Now) || (!IsRejected && Luck < Sum))
    return Refuses ? order_fate::Lost : order_fate::Unheard;
  if (IsRejected)
    return order_fate::Rejected;
  return Refuses ? order_fate::NotRunning : order_fate::CarriedOut;
}

void simulated_fleet::schedulePromotion(const std::string &Target) {
  if (Target == Leader)
    return;
  UnderWay = Target;
  Scheduled.emplace(
      Now + PromotionTime, [this, Target, Birth = birthOf(Target)] {
        UnderWay.reset();
        if (!OnlyRunningLead ||
            (!Absent.contains(Target) && Birth == birthOf(Target)))
          promote(Target);
      });
}

std::int64_t simulated_fleet::birthOf(const std::string &Target) const {
  const auto Found = Births.find(Target);
  return Found == Births.end() ? 0 : Found->second;
}

void simulated_fleet::promote(const std::string &Target) {
  if (Target == Leader)
    return;
  Leader = Target;
  Term += 1;
  Promotions += 1;
  if (OnPromotion)
    OnPromotion(Target);
  announceTargets();
}

} // namespace session_test
