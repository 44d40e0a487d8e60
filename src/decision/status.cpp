/// Status of the host as JSON text.
#include "status.hpp"
#include "json_text.hpp"

namespace bronzespar::impl {

namespace {

json_object_writer toJson(const log_position &Position) {
  json_object_writer Text;
  Text.member("term", Position.Term).member("index", Position.Index);
  return Text;
}

json_object_writer describe(const member_view &Member,
                            const host_state &State) {
  json_object_writer Text;
  Text.member("target", Member.Target.Value)
      .member("data_centre", Member.DataCentre.Value)
      .member("reachable", Member.Reachable)
      .member("leaving", Member.Leaving);
  if (Member.Report)
    Text.member("role", enumName(Member.Report->Role))
        .member("term", Member.Report->Term)
        .member("position", toJson(Member.Report->Position))
        .member("primary", Member.Report->Primary);
  const auto Pool = State.Pools.find(Member.Target);
  if (Pool == State.Pools.end())
    return Text;
  Text.member("connections", std::uint64_t{Pool->second.Connections.size()})
      .member("slots_used", std::uint64_t{Pool->second.SlotsUsed})
      .member("queued", std::uint64_t{Pool->second.Queue.Size})
      .member("transactions", std::uint64_t{Pool->second.OpenTransactions});
  return Text;
}

json_object_writer describe(const group_view &View, const host_state &State) {
  std::vector<json_object_writer> Members;
  for (const member_view &Member : View.Members)
    Members.push_back(describe(Member, State));
  json_object_writer Text;
  Text.member("group", View.Group.Value)
      .member("term", majorityTerm(View))
      .member("members", Members);
  if (const member_view *Primary = findPrimary(View))
    Text.member("primary", Primary->Target.Value);
  const auto Promotion = State.Promotions.find(View.Group);
  if (Promotion != State.Promotions.end())
    Text.member("promotion", enumName(Promotion->second.Step));
  return Text;
}

json_object_writer describe(const peer_view &Peer) {
  json_object_writer Text;
  Text.member("host", Peer.Id.Value)
      .member("data_centre", Peer.DataCentre.Value)
      .member("state", enumName(Peer.State))
      .member("connected", Peer.Connected)
      .member("revision", std::uint64_t{Peer.Revision});
  return Text;
}

} // namespace

void statusRequested(context &Context, const events::status_requested &Event) {
  const host_state &State = Context.State;
  std::vector<json_object_writer> Peers;
  for (const peer_view &Peer : State.Membership.Peers)
    Peers.push_back(describe(Peer));
  std::vector<json_object_writer> Groups;
  for (const auto &[Group, View] : State.Groups)
    Groups.push_back(describe(View, State));
  json_object_writer Text;
  Text.member("host", State.Self.Id.Value)
      .member("data_centre", State.Self.DataCentre.Value)
      .member("phase", enumName(State.Phase))
      .member("revision", std::uint64_t{State.Fleet.Revision})
      .member("refused_revision", std::uint64_t{State.RefusedRevision})
      .member("requests", std::uint64_t{State.Requests.size()})
      .member("runs", std::uint64_t{State.Runs.size()})
      .member("transactions", std::uint64_t{State.Transactions.size()})
      .member("peers", Peers)
      .member("groups", Groups);
  emit(Context, effects::answer_status{Event.Caller, Text.text()});
}

} // namespace bronzespar::impl
