/// Intake of settings: parse, refuse whole or adopt, watch the members.
#include "settings_intake.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace bronzespar::impl {

namespace {

using effects::log_severity;

void refuseSettings(context &Context, settings_revision Revision,
                    const settings_fault &Fault) {
  Context.State.RefusedRevision = Revision;
  writeLog(Context, log_severity::Error, "settings refused",
           {{"revision", std::to_string(Revision)}, {"reason", toText(Fault)}});
}

const member_view *findMember(const group_view &View, const target_id &Target) {
  for (const member_view &Member : View.Members)
    if (Member.Target == Target)
      return &Member;
  return nullptr;
}

group_view rebuildView(const group_settings &Group, const group_view &Known) {
  group_view View;
  View.Group = Group.Id;
  for (const target_settings &Target : Group.Members) {
    member_view Member;
    if (const member_view *Before = findMember(Known, Target.Id))
      Member = *Before;
    Member.Target = Target.Id;
    Member.DataCentre = Target.DataCentre;
    Member.Leaving =
        Target.Leaving || (Member.Report && Member.Report->Leaving);
    View.Members.push_back(std::move(Member));
  }
  return View;
}

void rebuildViews(context &Context) {
  host_state &State = Context.State;
  std::map<group_id, group_view> Views;
  std::map<group_id, promotion_state> Promotions;
  State.GroupOfTarget.clear();
  for (const group_settings &Group : State.Fleet.Groups) {
    Views[Group.Id] = rebuildView(Group, State.Groups[Group.Id]);
    Promotions[Group.Id] = State.Promotions[Group.Id];
    Promotions[Group.Id].Group = Group.Id;
    for (const target_settings &Target : Group.Members)
      State.GroupOfTarget[Target.Id] = Group.Id;
  }
  State.Groups = std::move(Views);
  State.Promotions = std::move(Promotions);
}

/// Every host watches every member today; narrowing it is a change here.
bool watchesMember(const host_state &, const target_settings &) { return true; }

void updateWatches(context &Context) {
  host_state &State = Context.State;
  std::map<target_id, endpoint> Wanted;
  for (const group_settings &Group : State.Fleet.Groups)
    for (const target_settings &Target : Group.Members)
      if (watchesMember(State, Target))
        Wanted[Target.Id] =
            mapAddress(State.Self, Target.DataCentre, Target.Maintenance);
  for (const auto &[Target, Where] : State.WatchedMembers) {
    const auto Found = Wanted.find(Target);
    if (Found == Wanted.end() || Found->second != Where)
      emit(Context, effects::unwatch_member{Target});
  }
  for (const auto &[Target, Where] : Wanted) {
    const auto Found = State.WatchedMembers.find(Target);
    if (Found == State.WatchedMembers.end() || Found->second != Where)
      emit(Context, effects::watch_member{Target, Where});
  }
  State.WatchedMembers = std::move(Wanted);
}

void updatePools(context &Context) {
  for (auto &[Id, Pool] : Context.State.Pools)
    if (const target_settings *Target = findTarget(Context.State.Fleet, Id))
      Pool.Target = *Target;
}

/// Withdrawals travel ahead of the settings that hold them.
void broadcastWithdrawals(context &Context, const fleet_settings &Before) {
  for (const key_settings &Key : Context.State.Fleet.Keys) {
    const auto Old = std::find_if(
        Before.Keys.begin(), Before.Keys.end(),
        [&Key](const key_settings &Other) { return Other.Id == Key.Id; });
    if (Key.Withdrawn && Old != Before.Keys.end() && !Old->Withdrawn)
      sendToAllPeers(Context, key_withdrawal{Key.Id});
  }
}

void beginServing(context &Context) {
  host_state &State = Context.State;
  if (State.Phase != host_phase::Starting)
    return;
  State.Phase = host_phase::Serving;
  State.Membership.Phase = host_phase::Serving;
  State.Ready = true;
  emit(Context, effects::set_ready{true});
}

void adoptSettings(context &Context, fleet_settings Fleet,
                   const std::string &Text) {
  host_state &State = Context.State;
  const fleet_settings Before = std::move(State.Fleet);
  State.Fleet = std::move(Fleet);
  State.FleetText = Text;
  configureKeys(State.Keys, State.Fleet);
  configureShares(State.Shares, State.Fleet, State.Self, Context.Now);
  rebuildViews(Context);
  updateWatches(Context);
  updatePools(Context);
  broadcastWithdrawals(Context, Before);
  writeLog(Context, log_severity::Info, "settings in force",
           {{"revision", std::to_string(State.Fleet.Revision)}});
  sendToAllPeers(Context, settings_offer{State.Fleet.Revision});
  beginServing(Context);
}

} // namespace

void writeLog(context &Context, effects::log_severity Severity,
              std::string Event, std::vector<effects::log_field> Fields) {
  emit(Context,
       effects::write_log{Severity, std::move(Event), std::move(Fields)});
}

void sendToAllPeers(context &Context, const peer_message &Message) {
  for (const peer_view &Peer : Context.State.Membership.Peers)
    if (Peer.Connected)
      emit(Context, effects::send_peer_message{Peer.Id, Message});
}

void settingsArrived(context &Context, settings_revision Revision,
                     const std::string &Text) {
  if (Revision <= Context.State.Fleet.Revision ||
      Revision == Context.State.RefusedRevision)
    return;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(
            Fleet, parseFleetSettings(Text, Context.State.Self.SettingsKey));
        Fleet.Revision = Revision;
        adoptSettings(Context, std::move(Fleet), Text);
        return {};
      },
      [&](const settings_fault &Fault) {
        refuseSettings(Context, Revision, Fault);
      },
      [&]() { refuseSettings(Context, Revision, settings_fault{}); });
}

void offerSettings(context &Context, const host_id &Peer) {
  if (Context.State.Fleet.Revision != 0)
    emit(Context, effects::send_peer_message{
                      Peer, settings_offer{Context.State.Fleet.Revision}});
}

void settingsOffered(context &Context, const host_id &From,
                     settings_revision Revision) {
  const settings_revision Own = Context.State.Fleet.Revision;
  if (Revision > Own && Revision != Context.State.RefusedRevision)
    emit(Context, effects::send_peer_message{From, settings_fetch{Own}});
}

void settingsRequested(context &Context, const host_id &From,
                       const settings_fetch &Fetch) {
  const host_state &State = Context.State;
  if (State.Fleet.Revision > Fetch.AboveRevision)
    emit(Context,
         effects::send_peer_message{
             From, settings_body{State.Fleet.Revision, State.FleetText}});
}

void keyWithdrawn(context &Context, const key_id &Key) {
  const auto &Early = Context.State.Keys.WithdrawnEarly;
  if (std::find(Early.begin(), Early.end(), Key) != Early.end())
    return;
  withdrawKey(Context.State.Keys, Key);
  sendToAllPeers(Context, key_withdrawal{Key});
}

} // namespace bronzespar::impl
