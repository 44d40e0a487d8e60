/// Drives the decision library by hand: a host without settings refuses a
/// request truthfully.
#include <bronzespar/bronzespar.hpp>

#include <iostream>

using namespace bronzespar;

int main() {
  host_settings Self;
  Self.Id = host_id("host-1");
  Self.DataCentre = data_centre_id("suva");
  auto State = makeHostState(Self, 1, 1);
  if (!State) {
    std::cerr << "the charts cannot be read\n";
    return 1;
  }
  events::request_arrived Arrived;
  Arrived.Caller.Value = 1;
  Arrived.Request.Id = request_id("request-1");
  Arrived.Request.Route = route_id("orders");
  effect_list Effects;
  step(**State, Arrived, instant{1s}, Effects);
  for (const effect &Effect : Effects)
    if (const auto *Answer = std::get_if<effects::answer_caller>(&Effect))
      std::cout << Answer->Answer.Id << ": " << Answer->Answer.Outcome << ", "
                << Answer->Answer.Cause << '\n';
  return 0;
}
