/// Hosts of the simulated group: polling, gossip, writes and promotions.
#include "failover/simulation.hpp"

namespace bronzespar::test {

void simulation::setUp() {
  Settings.Id = group_id("g");
  for (std::size_t Site = 0; Site < Sites; ++Site) {
    target_settings Target;
    Target.Id = target_id(memberNameOf(Site));
    Target.DataCentre = dataCentreOf(Site);
    Target.Replication = {"127.0.0.1", 9001};
    Settings.Members.push_back(Target);
    Members[Site].Log =
        makeMemberLog(memberNameOf(Site), memberNameOf(FormerPrimary));
  }
  for (std::size_t Host = 0; Host < Sites; ++Host) {
    resetHost(Host);
    repeatEvery(TickInterval, [this, Host] { tick(Host); });
    repeatEvery(PollInterval, [this, Host] { poll(Host); });
    repeatEvery(GossipInterval, [this, Host] { gossip(Host); });
    repeatEvery(WriteInterval, [this, Host] { write(Host); });
    const bool IsLagging = Host == Plan.Seed % Sites;
    repeatEvery(IsLagging ? SlowPullInterval : PullInterval,
                [this, Host] { pull(Host); });
  }
}

/// Clears all state of a host, as a restart does.
void simulation::resetHost(std::size_t Site) {
  host_process &Host = Hosts[Site];
  Host.State = {};
  Host.State.Group = Settings.Id;
  Host.View = {};
  Host.View.Group = Settings.Id;
  for (const target_settings &Target : Settings.Members) {
    member_view &Member = Host.View.Members.emplace_back();
    Member.Target = Target.Id;
    Member.DataCentre = Target.DataCentre;
  }
  Host.LastAnswered.fill(Now);
  Host.LastGossip.fill(Now - PeerSuspectAfter);
  Host.Writes.clear();
  Host.PendingDeliveries.clear();
  Host.Frozen = false;
}

bool simulation::reaches(const host_process &Host, std::size_t Member) const {
  return Now - Host.LastAnswered[Member] < UnreachableAfter;
}

bool simulation::peerLives(std::size_t Host, std::size_t Peer) const {
  return Host != Peer && Now - Hosts[Host].LastGossip[Peer] < PeerSuspectAfter;
}

promotion_inputs simulation::inputsOf(std::size_t Site) {
  host_process &Host = Hosts[Site];
  promotion_inputs Inputs{Host.View, Settings,         Chart,        true, {},
                          1,         Host.Incarnation, &Host.NextRef};
  for (std::size_t Peer = 0; Peer < Site; ++Peer)
    Inputs.IsCoordinator = Inputs.IsCoordinator && !peerLives(Site, Peer);
  Inputs.IsCoordinator = Inputs.IsCoordinator || Host.ForcedCoordinator;
  for (std::size_t Peer = 0; Peer < Sites; ++Peer)
    Inputs.LiveDataCentres += peerLives(Site, Peer) ? 1 : 0;
  for (std::size_t Member = 0; Member < Sites; ++Member) {
    bool Reachable = reaches(Host, Member);
    for (std::size_t Peer = 0; Peer < Sites; ++Peer) {
      const bool IsSelf = Peer == Site;
      if (!IsSelf && !peerLives(Site, Peer))
        continue;
      if (IsSelf ? reaches(Host, Member) : Host.PeerReaches[Peer][Member]) {
        Reachable = true;
        continue;
      }
      Inputs.UnreachableReports.push_back({host_id("h" + std::to_string(Peer)),
                                           dataCentreOf(Peer),
                                           target_id(memberNameOf(Member))});
    }
    Host.View.Members[Member].Reachable = Reachable;
  }
  return Inputs;
}

void simulation::startFaultsAtStep(std::size_t Host, promotion_step Before) {
  const promotion_step Step = Hosts[Host].State.Step;
  if (Step == Before || Now < FirstFaultAt)
    return;
  for (std::size_t Index = 0; Index < Plan.LaterFaults.size(); ++Index) {
    if (Plan.LaterFaults[Index].AtStep == Step &&
        StartedFaults.insert(Index).second)
      beginFault(Plan.LaterFaults[Index].Kind, Now + LaterFaultDuration);
  }
}

void simulation::tick(std::size_t Site) {
  host_process &Host = Hosts[Site];
  if (Host.Down || Host.Frozen)
    return;
  const promotion_step Before = Host.State.Step;
  effect_list Effects;
  tickPromotion(Host.State, inputsOf(Site), settingsOf(Site), Now, Effects);
  startFaultsAtStep(Site, Before);
  perform(Site, Effects);
}

void simulation::poll(std::size_t Host) {
  if (Hosts[Host].Down || Hosts[Host].Frozen)
    return;
  const instant Sent = Now;
  for (std::size_t Member = 0; Member < Sites; ++Member) {
    sendToMember(Host, Member, [this, Host, Member, Sent] {
      const member_report Report = reportOf(Member);
      sendToHost(Member, Host, [this, Host, Report, Sent] {
        handleReport(Host, Report, Sent);
      });
    });
  }
}

void simulation::handleReport(std::size_t Host, const member_report &Report,
                              instant Sent) {
  const std::size_t Site = siteOf(Report.Target);
  member_view &Member = Hosts[Host].View.Members[Site];
  Hosts[Host].LastAnswered[Site] = Now;
  if (Member.Report && Member.ReportedAt > Sent)
    return;
  Member.Report = Report;
  Member.ReportedAt = Sent;
  Member.Leaving = Report.Leaving;
  confirmWrites(Host);
}

void simulation::gossip(std::size_t Host) {
  if (Hosts[Host].Down || Hosts[Host].Frozen)
    return;
  std::array<bool, Sites> Reaches{};
  for (std::size_t Member = 0; Member < Sites; ++Member)
    Reaches[Member] = reaches(Hosts[Host], Member);
  for (std::size_t Peer = 0; Peer < Sites; ++Peer) {
    if (Peer == Host || !linked(Host, Peer))
      continue;
    scheduleAt(Now + latency(), [this, Host, Peer, Reaches] {
      if (Hosts[Peer].Down || !linked(Host, Peer))
        return;
      deliver(Hosts[Peer], [this, Host, Peer, Reaches] {
        Hosts[Peer].LastGossip[Host] = Now;
        Hosts[Peer].PeerReaches[Host] = Reaches;
      });
    });
  }
}

void simulation::write(std::size_t Host) {
  if (Hosts[Host].Down || Hosts[Host].Frozen || Now >= WritesEndAt)
    return;
  const auto Primary = currentPrimary(Hosts[Host].View);
  if (!Primary || !Primary->Reported || awaitsHandover(Hosts[Host].View))
    return;
  target_request Request;
  Request.Kind = statement_kind::Put;
  Request.Row = "r" + std::to_string(NextRow++);
  Request.Term = Primary->Term;
  const std::size_t Site = siteOf(Primary->Target.Value);
  sendToMember(Host, Site, [this, Host, Site, Request] {
    transaction_buffer EmptyBuffer;
    const target_answer Answer =
        runStatement(Members[Site].Log, EmptyBuffer, Request);
    if (Answer.Status != target_status::Done)
      return;
    sendToHost(Site, Host, [this, Host, Request, Answer] {
      Hosts[Host].Writes.push_back({Request.Row, Answer.Position});
      confirmWrites(Host);
    });
  });
}

void simulation::confirmWrites(std::size_t Host) {
  std::erase_if(Hosts[Host].Writes,
                [this, Host](const outstanding_write &Write) {
                  if (!isConfirmed(Hosts[Host].View, Write.Position))
                    return false;
                  Acknowledged.push_back({Write.Row, Write.Position, Now});
                  return true;
                });
}

void simulation::perform(std::size_t Host, effect_list &Effects) {
  for (const effect &Effect : Effects) {
    if (const auto *Command =
            std::get_if<effects::send_control_command>(&Effect))
      sendControl(Host, *Command);
    if (const auto *Call = std::get_if<effects::call_platform>(&Effect))
      callPlatform(Host, *Call);
  }
}

void simulation::sendControl(std::size_t Host,
                             const effects::send_control_command &Command) {
  const std::size_t Member = siteOf(Command.Target.Value);
  const auto Answered = std::make_shared<bool>(false);
  events::control_command_finished Event{
      Command.Target, Command.Request, false, {}};
  sendToMember(Host, Member, [this, Host, Member, Answered, Event]() mutable {
    Event.Answered = true;
    Event.Answer = control(Member, Event.Request);
    if (ControlAnswersLost)
      return;
    sendToHost(Member, Host, [this, Host, Answered, Event] {
      if (!std::exchange(*Answered, true))
        handleControlAnswer(Host, Event);
    });
  });
  const std::uint64_t CommandIncarnation = Hosts[Host].Incarnation;
  scheduleAt(
      Now + ControlTimeout, [this, Host, CommandIncarnation, Answered, Event] {
        if (Hosts[Host].Down || Hosts[Host].Incarnation != CommandIncarnation)
          return;
        deliver(Hosts[Host], [this, Host, Answered, Event] {
          if (!std::exchange(*Answered, true))
            handleControlAnswer(Host, Event);
        });
      });
}

void simulation::handleControlAnswer(
    std::size_t Site, const events::control_command_finished &Event) {
  host_process &Host = Hosts[Site];
  if (Event.Answered)
    handleReport(Site, Event.Answer.Report, Now - 2ms);
  const promotion_step Before = Host.State.Step;
  effect_list Effects;
  applyControlAnswer(Host.State, inputsOf(Site), settingsOf(Site), Event, Now,
                     Effects);
  startFaultsAtStep(Site, Before);
  perform(Site, Effects);
}

} // namespace bronzespar::test
