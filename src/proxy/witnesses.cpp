/// Evidence that a primary is lost, in a fleet with owned connections.
///
/// Load pattern: hundreds of hosts forward their statements for a primary to
/// one owner. When the primary or its data centre is lost, each of them only
/// sees that the owner is silent, and no host would find out soon whether the
/// primary itself is. If all connected to it, their connections would fill the
/// target in a false alarm. So any host reports a suspicion, and a few
/// witnesses in every data centre ask the primary for its status and report the
/// result, on which the coordinator decides.
#include "parts.hpp"

#include <bronzespar/membership.hpp>

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// In a fleet of up to this many hosts, each is a witness and finds out by the
/// connections that it needs itself.
constexpr std::size_t MaxWitnesses = 12;
/// A suspicion lasts for this long after its last cause, so that a primary that
/// was asked in vain is asked again.
constexpr duration SuspicionPeriod = std::chrono::milliseconds(1500);
/// Time between two requests of a witness for a primary's status.
constexpr duration WitnessProbeInterval = std::chrono::milliseconds(150);
/// A primary that does not answer for this long counts as unreachable.
constexpr duration SilentProbePeriod = std::chrono::milliseconds(400);

bool isSmallFleet(const host &State) {
  return State.Hosts.size() <= MaxWitnesses;
}

/// As many hosts of each data centre, about MaxWitnesses in all.
std::vector<std::string> chooseWitnesses(const host &State,
                                         const std::string &Group) {
  const auto DataCentres = servingHosts(State);
  std::vector<std::string> Names;
  if (DataCentres.empty())
    return Names;
  const std::size_t PerDataCentre =
      (MaxWitnesses + DataCentres.size() - 1) / DataCentres.size();
  for (const auto &[DataCentre, Hosts] : DataCentres)
    for (const host_id &Host :
         rendezvousTop("witness/" + Group, Hosts, PerDataCentre))
      Names.push_back(Host.Value);
  return Names;
}

const std::vector<std::string> &witnessesOf(const host &State,
                                            const std::string &Name,
                                            witness_state &Witness) {
  if (Witness.HostsVersion != State.HostsVersion) {
    Witness.HostsVersion = State.HostsVersion;
    Witness.Names = chooseWitnesses(State, Name);
  }
  return Witness.Names;
}

bool isWitness(const host &State, const std::string &Name,
               witness_state &Witness) {
  const auto &Names = witnessesOf(State, Name, Witness);
  return std::find(Names.begin(), Names.end(), State.Identity.Name) !=
         Names.end();
}

/// The group whose primary a target is, or null.
group_state *groupOfPrimary(host &State, const std::string &Target) {
  const target_view *View = findIn(State.Targets, Target);
  group_state *Group =
      View == nullptr ? nullptr : findIn(State.Groups, View->Entry.Group);
  const bool IsPrimary =
      Group != nullptr && Group->Record && Group->Record->Primary == Target;
  return IsPrimary ? Group : nullptr;
}

bool reports(const host_record &Record, const std::string &Name,
             const std::string &Primary) {
  for (const auto *Reported :
       {&Record.UnreachablePrimaries, &Record.SuspectedPrimaries}) {
    const auto Found = Reported->find(Name);
    if (Found != Reported->end() && Found->second == Primary)
      return true;
  }
  return false;
}

/// Whether another host has reported the group's primary.
bool isReported(const host &State, const std::string &Name,
                const std::string &Primary) {
  return std::any_of(State.ReportingHosts.begin(), State.ReportingHosts.end(),
                     [&](const std::string &Host) {
                       const auto Peer = State.Hosts.find(Host);
                       return Peer != State.Hosts.end() &&
                              Host != State.Identity.Name &&
                              reports(Peer->second.Record, Name, Primary);
                     });
}

void probePrimary(step_context &Step, const std::string &Name,
                  const std::string &Primary, witness_state &Witness) {
  const target_view *Target = findIn(Step.State.Targets, Primary);
  if (Target == nullptr || Step.Now < Witness.NextProbeAt)
    return;
  Witness.NextProbeAt = Step.Now + WitnessProbeInterval;
  Step.Out.push_back(
      effects::probe_target{Primary, Name, Target->Entry.Endpoint});
}

void superviseGroupWitness(step_context &Step, const std::string &Name,
                           group_state &Group) {
  witness_state &Witness = Group.Witness;
  if (!Group.Record || !Group.Record->Open) {
    Witness.IsReporting = false;
    return;
  }
  const std::string &Primary = Group.Record->Primary;
  const bool Suspects = Step.Now < Witness.SuspectedUntil;
  const bool IsReported = isReported(Step.State, Name, Primary);
  Witness.IsReporting = Suspects && (Witness.IsReporting || !IsReported);
  const bool MustProbe = Suspects || Group.PrimaryUnreachable || IsReported;
  if (MustProbe && isWitness(Step.State, Name, Witness))
    probePrimary(Step, Name, Primary, Witness);
}

} // namespace

void suspectPrimary(step_context &Step, const std::string &Target) {
  group_state *Group = groupOfPrimary(Step.State, Target);
  if (Group == nullptr)
    return;
  if (Step.Now >= Group->Witness.SuspectedUntil)
    logLine(Step, "primary.suspected",
            {{"group", Step.State.Targets.at(Target).Entry.Group},
             {"target", Target}});
  Group->Witness.SuspectedUntil = Step.Now + SuspicionPeriod;
}

void superviseWitnesses(step_context &Step) {
  if (isSmallFleet(Step.State))
    return;
  for (auto &[Name, Group] : Step.State.Groups)
    superviseGroupWitness(Step, Name, Group);
}

void witnessProbed(step_context &Step, const std::string &Target,
                   bool Answered) {
  group_state *Group = groupOfPrimary(Step.State, Target);
  if (Group == nullptr || !Group->Record->Open || isSmallFleet(Step.State))
    return;
  witness_state &Witness = Group->Witness;
  if (Answered) {
    Witness.SilentSince.reset();
    Witness.SuspectedUntil = Step.Now;
  } else if (!Witness.SilentSince) {
    Witness.SilentSince = Step.Now;
  }
  const bool Unreachable = Witness.SilentSince &&
                           Step.Now >= *Witness.SilentSince + SilentProbePeriod;
  if (Unreachable == Group->PrimaryUnreachable || (!Unreachable && !Answered))
    return;
  Group->PrimaryUnreachable = Unreachable;
  logLine(Step, Unreachable ? "primary.unreached" : "primary.regained",
          {{"group", Step.State.Targets.at(Target).Entry.Group},
           {"target", Target}});
}

unreachable_reports countReports(const host &State, const std::string &Name,
                                 group_state &Group) {
  const auto &Witnesses = witnessesOf(State, Name, Group.Witness);
  const bool AllHosts = isSmallFleet(State);
  unreachable_reports Count;
  Count.Witnesses = AllHosts ? State.Hosts.size() : Witnesses.size();
  for (const std::string &Host : State.ReportingHosts) {
    const auto Peer = State.Hosts.find(Host);
    if (Peer == State.Hosts.end() ||
        (!AllHosts && std::find(Witnesses.begin(), Witnesses.end(), Host) ==
                          Witnesses.end()))
      continue;
    const auto &Reported = Peer->second.Record.UnreachablePrimaries;
    const auto Found = Reported.find(Name);
    if (Found != Reported.end() && Found->second == Group.Record->Primary)
      Count.Reports += 1;
  }
  return Count;
}

} // namespace bronzespar::proxy
