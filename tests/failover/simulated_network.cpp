/// Time, network, members and platform of the simulated group.
#include "failover/simulation.hpp"

namespace bronzespar::test {

void simulation::repeatEvery(duration Interval,
                             const std::function<void()> &Run) {
  scheduleAt(Now + Interval, [this, Interval, Run] {
    Run();
    repeatEvery(Interval, Run);
  });
}

void simulation::deliver(process &To, std::function<void()> Run) {
  if (To.Frozen)
    To.PendingDeliveries.push_back(std::move(Run));
  else
    Run();
}

void simulation::sendToMember(std::size_t Host, std::size_t Member,
                              std::function<void()> Run) {
  if (!linked(Host, Member) || Members[Member].Cut)
    return;
  scheduleAt(Now + latency(), [this, Host, Member, Run = std::move(Run)] {
    if (linked(Host, Member) && !Members[Member].Cut)
      deliver(Members[Member], Run);
  });
}

void simulation::sendToHost(std::size_t Member, std::size_t Host,
                            std::function<void()> Run) {
  if (!linked(Host, Member) || Members[Member].Cut)
    return;
  const std::uint64_t SentIncarnation = Hosts[Host].Incarnation;
  scheduleAt(
      Now + latency(), [this, Host, SentIncarnation, Run = std::move(Run)] {
        if (!Hosts[Host].Down && Hosts[Host].Incarnation == SentIncarnation)
          deliver(Hosts[Host], Run);
      });
}

void simulation::sendBetweenMembers(std::size_t From, std::size_t To,
                                    std::function<void()> Run) {
  const auto IsConnected = [this, From, To] {
    return linked(From, To) && !Members[From].Cut && !Members[To].Cut &&
           !ReplicationDown;
  };
  if (!IsConnected())
    return;
  scheduleAt(Now + latency(), [this, To, IsConnected, Run = std::move(Run)] {
    if (IsConnected())
      deliver(Members[To], Run);
  });
}

void simulation::pull(std::size_t Replica) {
  member_process &Member = Members[Replica];
  if (Member.Frozen || Member.Log.Role != member_role::Replica)
    return;
  const std::size_t Primary = siteOf(Member.Log.Primary);
  const pull_request Request{memberNameOf(Replica), Member.Log.Term,
                             termEnds(Member.Log), 0};
  sendBetweenMembers(Replica, Primary, [this, Replica, Primary, Request] {
    const pull_answer Answer = answerPull(Members[Primary].Log, Request);
    sendBetweenMembers(Primary, Replica, [this, Replica, Answer] {
      if (!applyPull(Members[Replica].Log, Answer))
        return;
      Members[Replica].LastPullApplied = Now;
      Members[Replica].PrimaryPosition = Answer.Position;
    });
  });
}

member_report simulation::reportOf(std::size_t Site) const {
  const member_process &Member = Members[Site];
  member_report Report;
  Report.Target = memberNameOf(Site);
  Report.Role = Member.Log.Role;
  Report.Term = Member.Log.Term;
  Report.Position = lastPosition(Member.Log);
  Report.PrimaryPosition = Member.PrimaryPosition;
  Report.Primary = Member.Log.Primary;
  Report.Leaving = Member.Leaving;
  if (Member.Log.Role != member_role::Primary)
    Report.HeardAgeMs = static_cast<std::uint32_t>(
        (Now - Member.LastPullApplied) / duration(1ms));
  return Report;
}

control_answer simulation::control(std::size_t Site,
                                   const control_request &Request) {
  member_log &Log = Members[Site].Log;
  const bool Granted = applyControl(Log, Request);
  if (Granted && Request.Kind == control_kind::Promote) {
    const auto [Entry, IsNew] = PrimaryOfTerm.emplace(Request.Term, Log.Target);
    if (Entry->second != Log.Target)
      addViolation("two primaries in term " + std::to_string(Request.Term));
    Result.Promotions += IsNew ? 1 : 0;
  }
  return {Granted, reportOf(Site)};
}

platform_answer simulation::answerPlatform(const platform_call &Call) {
  platform_answer Answer{platform_status::Done, {}, 0, {}};
  const auto *Swap = std::get_if<platform_compare_and_swap>(&Call);
  const std::int64_t CurrentRevision = Record ? Record->ModRevision : 0;
  if (Swap != nullptr && Swap->ModRevision == CurrentRevision) {
    Record = platform_entry{Swap->Key, Swap->Value, CurrentRevision + 1};
    return Answer;
  }
  if (Swap != nullptr)
    Answer.Status = platform_status::Conflict;
  if (Record)
    Answer.Entries.push_back(*Record);
  return Answer;
}

void simulation::answerHost(std::size_t Site, platform_ref Ref,
                            const platform_answer &Answer) {
  const std::uint64_t SentIncarnation = Hosts[Site].Incarnation;
  scheduleAt(Now + latency(), [this, Site, Ref, Answer, SentIncarnation] {
    host_process &Host = Hosts[Site];
    if (Host.Down || Host.Incarnation != SentIncarnation)
      return;
    deliver(Host, [this, Site, Ref, Answer] {
      host_process &Receiver = Hosts[Site];
      const promotion_step Before = Receiver.State.Step;
      effect_list Effects;
      (void)applyRecordAnswer(Receiver.State, inputsOf(Site), settingsOf(Site),
                              {Ref, Answer}, Now, Effects);
      startFaultsAtStep(Site, Before);
      perform(Site, Effects);
    });
  });
}

void simulation::callPlatform(std::size_t Host,
                              const effects::call_platform &Call) {
  if (Platform == platform_mode::Down || IsolatedSites[Host]) {
    answerHost(Host, Call.Ref, {platform_status::Unreachable, {}, 0, {}});
    return;
  }
  const bool Slow = Platform == platform_mode::Slow;
  const bool Lost = Platform == platform_mode::AnswersLost;
  scheduleAt(Now + (Slow ? duration(800ms) : latency()),
             [this, Host, Call, Lost] {
               platform_answer Answer = answerPlatform(Call.Call);
               if (Lost)
                 Answer = {platform_status::Unknown, {}, 0, {}};
               answerHost(Host, Call.Ref, Answer);
             });
}

} // namespace bronzespar::test
