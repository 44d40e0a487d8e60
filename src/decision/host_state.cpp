/// A host's life: its state is made, and each event goes to the part that
/// handles it.
#include "control.hpp"
#include "entry.hpp"
#include "leaving.hpp"
#include "peers.hpp"
#include "pools.hpp"
#include "rates.hpp"
#include "runs.hpp"
#include "settings_intake.hpp"
#include "status.hpp"
#include "traces.hpp"
#include "transactions.hpp"

namespace bronzespar {

namespace impl {

namespace {

/// Numbers of one incarnation are all above those of earlier ones: 2^20 ids
/// for each millisecond between starts.
constexpr unsigned IncarnationShift = 20;

void handle(context &Context, const events::request_arrived &Event) {
  requestArrived(Context, Event);
}
void handle(context &Context, const events::caller_disconnected &Event) {
  callerDisconnected(Context, Event);
}
void handle(context &Context, const events::target_connected &Event) {
  targetConnected(Context, Event);
}
void handle(context &Context, const events::target_disconnected &Event) {
  targetDisconnected(Context, Event);
}
void handle(context &Context, const events::target_answered &Event) {
  targetAnswered(Context, Event);
}
void handle(context &Context, const events::member_reported &Event) {
  memberReported(Context, Event);
}
void handle(context &Context, const events::member_unreachable &Event) {
  memberUnreachable(Context, Event);
}
void handle(context &Context, const events::control_command_finished &Event) {
  controlCommandFinished(Context, Event);
}
void handle(context &Context, const events::peer_connected &Event) {
  peerConnected(Context, Event.Host);
}
void handle(context &Context, const events::peer_disconnected &Event) {
  peerDisconnected(Context, Event.Host);
}
void handle(context &Context, const events::peer_message_arrived &Event) {
  peerMessageArrived(Context, Event);
}
void handle(context &Context, const events::settings_read &Event) {
  settingsArrived(Context, Event.Revision, Event.Text);
}
void handle(context &Context, const events::hosts_listed &Event) {
  hostsListed(Context, Event);
}
void handle(context &Context, const events::platform_answered &Event) {
  platformAnswered(Context, Event);
}
void handle(context &Context, const events::leave_requested &) {
  leaveRequested(Context);
}
void handle(context &Context, const events::tick &) {
  tickPeers(Context);
  tickControl(Context);
  tickRates(Context);
  tickPools(Context);
  tickRuns(Context);
  tickTransactions(Context);
  tickRequests(Context);
  tickExplains(Context);
  tickLeaving(Context);
}
void handle(context &Context, const events::explain_requested &Event) {
  explainRequested(Context, Event);
}
void handle(context &Context, const events::status_requested &Event) {
  statusRequested(Context, Event);
}

void initialize(host_state &State, const host_settings &Self,
                std::uint64_t Seed, std::uint64_t Incarnation) {
  State.Self = Self;
  State.Random.seed(Seed ^ Incarnation);
  State.Incarnation = Incarnation;
  State.NextNumber = (Incarnation << IncarnationShift) + 1;
  State.NextForward = State.NextNumber;
  State.Membership.Self = Self.Id;
  State.Membership.DataCentre = Self.DataCentre;
  State.Membership.Incarnation = Incarnation;
  State.Membership.Slot = Self.Slot;
}

} // namespace

} // namespace impl

void host_state_deleter::operator()(host_state *State) const noexcept {
  delete State;
}

boost::leaf::result<host_state_ptr> makeHostState(const host_settings &Self,
                                                  std::uint64_t Seed,
                                                  std::uint64_t Incarnation) {
  BOOST_LEAF_AUTO(Charts, impl::loadCharts(Self.ChartDirectory));
  host_state_ptr State(new host_state());
  impl::initialize(*State, Self, Seed, Incarnation);
  State->Charts = std::move(Charts);
  return State;
}

void step(host_state &State, const event &Event, instant Now,
          effect_list &Effects) {
  impl::context Context{State, Now, Effects};
  std::visit([&](const auto &Item) { impl::handle(Context, Item); }, Event);
  impl::eraseFinishedRuns(Context);
  impl::eraseFinishedRequests(Context);
  impl::eraseClosedConnections(Context);
}

} // namespace bronzespar
