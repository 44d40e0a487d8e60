/// Hosts of the simulated group: polling, gossip, writes and promotions.
#include "failover/simulation.hpp"

namespace bronzespar::test {

void simulation::begin() {
  Settings.Id = group_id("g");
  for (std::size_t Site = 0; Site < Places; ++Site) {
    target_settings Target;
    Target.Id = target_id(nameOf(Site));
    Target.DataCentre = dataCentreOf(Site);
    Target.Replication = {"127.0.0.1", 9001};
    Settings.Members.push_back(Target);
    Members[Site].Log = makeMemberLog(nameOf(Site), nameOf(FormerPrimary));
  }
  for (std::size_t Host = 0; Host < Places; ++Host) {
    forget(Host);
    every(TickInterval, [this, Host] { tick(Host); });
    every(PollInterval, [this, Host] { poll(Host); });
    every(GossipInterval, [this, Host] { gossip(Host); });
    every(WriteInterval, [this, Host] { write(Host); });
    const bool IsLagging = Host == Plan.Seed % Places;
    every(IsLagging ? SlowPullInterval : PullInterval,
          [this, Host] { pull(Host); });
  }
}

/// Clears all state of a host, as a restart does.
void simulation::forget(std::size_t Site) {
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
  Host.Answered.fill(Now);
  Host.PeerHeard.fill(Now - PeerSuspectAfter);
  Host.Writes.clear();
  Host.Waiting.clear();
  Host.Frozen = false;
}

bool simulation::reaches(const host_process &Host, std::size_t Member) const {
  return Now - Host.Answered[Member] < UnreachableAfter;
}

bool simulation::peerLives(std::size_t Host, std::size_t Peer) const {
  return Host != Peer && Now - Hosts[Host].PeerHeard[Peer] < PeerSuspectAfter;
}

promotion_inputs simulation::inputsOf(std::size_t Site) {
  host_process &Host = Hosts[Site];
  promotion_inputs Inputs{Host.View, Settings,         Chart,        true, {},
                          1,         Host.Incarnation, &Host.NextRef};
  for (std::size_t Peer = 0; Peer < Site; ++Peer)
    Inputs.Coordinates = Inputs.Coordinates && !peerLives(Site, Peer);
  Inputs.Coordinates = Inputs.Coordinates || Host.ForcedCoordinator;
  for (std::size_t Peer = 0; Peer < Places; ++Peer)
    Inputs.LiveDataCentres += peerLives(Site, Peer) ? 1 : 0;
  for (std::size_t Member = 0; Member < Places; ++Member) {
    bool Reachable = reaches(Host, Member);
    for (std::size_t Peer = 0; Peer < Places; ++Peer) {
      const bool IsSelf = Peer == Site;
      if (!IsSelf && !peerLives(Site, Peer))
        continue;
      if (IsSelf ? reaches(Host, Member) : Host.PeerReaches[Peer][Member]) {
        Reachable = true;
        continue;
      }
      Inputs.Silence.push_back({host_id("h" + std::to_string(Peer)),
                                dataCentreOf(Peer), target_id(nameOf(Member))});
    }
    Host.View.Members[Member].Reachable = Reachable;
  }
  return Inputs;
}

void simulation::noteStep(std::size_t Host, promotion_step Before) {
  const promotion_step Step = Hosts[Host].State.Step;
  if (Step == Before || Now < FirstFaultAt)
    return;
  for (std::size_t Index = 0; Index < Plan.Later.size(); ++Index) {
    if (Plan.Later[Index].AtStep == Step && Begun.insert(Index).second)
      beginFault(Plan.Later[Index].Kind, Now + LaterFaultLasts);
  }
}

void simulation::tick(std::size_t Site) {
  host_process &Host = Hosts[Site];
  if (Host.Down || Host.Frozen)
    return;
  const promotion_step Before = Host.State.Step;
  effect_list Effects;
  tickPromotion(Host.State, inputsOf(Site), settingsOf(Site), Now, Effects);
  noteStep(Site, Before);
  perform(Site, Effects);
}

void simulation::poll(std::size_t Host) {
  if (Hosts[Host].Down || Hosts[Host].Frozen)
    return;
  const instant Sent = Now;
  for (std::size_t Member = 0; Member < Places; ++Member) {
    toMember(Host, Member, [this, Host, Member, Sent] {
      const member_report Report = reportOf(Member);
      toHost(Member, Host,
             [this, Host, Report, Sent] { takeReport(Host, Report, Sent); });
    });
  }
}

void simulation::takeReport(std::size_t Host, const member_report &Report,
                            instant Sent) {
  const std::size_t Site = placeOf(Report.Target);
  member_view &Member = Hosts[Host].View.Members[Site];
  Hosts[Host].Answered[Site] = Now;
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
  std::array<bool, Places> Reaches{};
  for (std::size_t Member = 0; Member < Places; ++Member)
    Reaches[Member] = reaches(Hosts[Host], Member);
  for (std::size_t Peer = 0; Peer < Places; ++Peer) {
    if (Peer == Host || !linked(Host, Peer))
      continue;
    at(Now + latency(), [this, Host, Peer, Reaches] {
      if (Hosts[Peer].Down || !linked(Host, Peer))
        return;
      deliver(Hosts[Peer], [this, Host, Peer, Reaches] {
        Hosts[Peer].PeerHeard[Host] = Now;
        Hosts[Peer].PeerReaches[Host] = Reaches;
      });
    });
  }
}

void simulation::write(std::size_t Host) {
  if (Hosts[Host].Down || Hosts[Host].Frozen || Now >= WritesEnd)
    return;
  const auto Primary = currentPrimary(Hosts[Host].View);
  if (!Primary || !Primary->Reported || awaitsHandover(Hosts[Host].View))
    return;
  target_request Request;
  Request.Kind = statement_kind::Put;
  Request.Row = "r" + std::to_string(NextRow++);
  Request.Term = Primary->Term;
  const std::size_t Site = placeOf(Primary->Target.Value);
  toMember(Host, Site, [this, Host, Site, Request] {
    transaction_buffer EmptyBuffer;
    const target_answer Answer =
        runStatement(Members[Site].Log, EmptyBuffer, Request);
    if (Answer.Status != target_status::Done)
      return;
    toHost(Site, Host, [this, Host, Request, Answer] {
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
    if (const auto *Command = std::get_if<effects::control_member>(&Effect))
      sendControl(Host, *Command);
    if (const auto *Call = std::get_if<effects::call_platform>(&Effect))
      callPlatform(Host, *Call);
  }
}

void simulation::sendControl(std::size_t Host,
                             const effects::control_member &Command) {
  const std::size_t Member = placeOf(Command.Target.Value);
  const auto Answered = std::make_shared<bool>(false);
  events::member_controlled Event{Command.Target, Command.Request, false, {}};
  toMember(Host, Member, [this, Host, Member, Answered, Event]() mutable {
    Event.Answered = true;
    Event.Answer = control(Member, Event.Request);
    if (ControlAnswersLost)
      return;
    toHost(Member, Host, [this, Host, Answered, Event] {
      if (!std::exchange(*Answered, true))
        takeControl(Host, Event);
    });
  });
  const std::uint64_t CommandIncarnation = Hosts[Host].Incarnation;
  at(Now + ControlTimeout, [this, Host, CommandIncarnation, Answered, Event] {
    if (Hosts[Host].Down || Hosts[Host].Incarnation != CommandIncarnation)
      return;
    deliver(Hosts[Host], [this, Host, Answered, Event] {
      if (!std::exchange(*Answered, true))
        takeControl(Host, Event);
    });
  });
}

void simulation::takeControl(std::size_t Site,
                             const events::member_controlled &Answer) {
  host_process &Host = Hosts[Site];
  if (Answer.Answered)
    takeReport(Site, Answer.Answer.Report, Now - 2ms);
  const promotion_step Before = Host.State.Step;
  effect_list Effects;
  applyControlAnswer(Host.State, inputsOf(Site), settingsOf(Site), Answer, Now,
                     Effects);
  noteStep(Site, Before);
  perform(Site, Effects);
}

} // namespace bronzespar::test
