/// Evidence that the primary that a group's record names does not lead,
/// although it answers.
///
/// An order to promote that is carried out late may make another target lead
/// after the record was opened. The record's primary then goes on as a replica,
/// or calls itself primary until it reaches its successor. No time-out shows
/// that, only what targets say: a position or a status of a later term than the
/// record names, or a write that the record's primary refuses as a replica.
///
/// That is proof, and not a suspicion: the host that has it uses the primary no
/// more, and its report alone makes the coordinator replace the primary. It
/// disproves one generation of the record, and is void with the next one unless
/// that names an earlier term, too.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

void logDisproof(step_context &Step, const std::string &Name,
                 const group_record &Record, const std::string &Target,
                 std::string Cause) {
  logLine(Step, "primary.disproved",
          {{"group", Name},
           {"primary", Record.Primary},
           {"generation", std::to_string(Record.Generation)},
           {"term", std::to_string(Record.Term)},
           {"target", Target},
           {"cause", std::move(Cause)}});
}

/// \param Target The target that told of the term.
void noteTerm(step_context &Step, const std::string &Name,
              const std::string &Target, std::uint64_t Term) {
  group_state *Group = findIn(Step.State.Groups, Name);
  if (Group == nullptr || Term <= Group->LatestTerm)
    return;
  const bool WasDisproved = isDisproved(*Group);
  Group->LatestTerm = Term;
  if (!WasDisproved && isDisproved(*Group))
    logDisproof(Step, Name, *Group->Record, Target,
                "term " + std::to_string(Term));
}

/// Whether an answer is one of the record's primary itself, to a statement that
/// was sent to it as the primary of the present generation.
bool isFromPrimary(const group_state &Group,
                   const target_connection &Connection) {
  return !Connection.Owner && Group.Record && Group.Record->Open &&
         Group.Record->Primary == Connection.Target &&
         Group.Record->Generation == Connection.PrimaryGeneration;
}

bool reportsDisproof(const host &State, const std::string &Host,
                     const std::string &Name, std::uint64_t Generation) {
  const auto Peer = State.Hosts.find(Host);
  if (Peer == State.Hosts.end())
    return false;
  const auto &Reported = Peer->second.Record.DisprovedGenerations;
  const auto Found = Reported.find(Name);
  return Found != Reported.end() && Found->second == Generation;
}

} // namespace

bool isDisproved(const group_state &Group) {
  if (!Group.Record)
    return false;
  const group_record &Record = *Group.Record;
  return Group.DisprovedGeneration == Record.Generation ||
         (Record.Term != 0 && Group.LatestTerm > Record.Term);
}

bool isReportedDisproved(const host &State, const std::string &Name,
                         const group_state &Group) {
  return isDisproved(Group) ||
         std::any_of(State.ReportingHosts.begin(), State.ReportingHosts.end(),
                     [&](const std::string &Host) {
                       return reportsDisproof(State, Host, Name,
                                              Group.Record->Generation);
                     });
}

void noteAnswer(step_context &Step, const target_connection &Connection,
                const answer &Answer) {
  if (Answer.Position)
    noteTerm(Step, Connection.Group, Connection.Target, Answer.Position->Term);
  group_state *Group = findIn(Step.State.Groups, Connection.Group);
  if (Answer.Code != answer_code::ReadOnly || Group == nullptr ||
      !isFromPrimary(*Group, Connection) || isDisproved(*Group))
    return;
  Group->DisprovedGeneration = Group->Record->Generation;
  logDisproof(Step, Connection.Group, *Group->Record, Connection.Target,
              "refused a write as a replica");
}

void noteStatus(step_context &Step, const events::target_probed &Event) {
  const target_view *Target = findIn(Step.State.Targets, Event.Target);
  if (Target == nullptr || !Event.Status)
    return;
  noteTerm(Step, Target->Entry.Group, Event.Target,
           std::max(Event.Status->Term, Event.Status->Received.Term));
}

} // namespace bronzespar::proxy
