/// Evacuation of data centres: while it is in force, no statement is sent to
/// the targets there. Answers the failure in which a whole data centre has to
/// be emptied while the other ones can take its work.
///
/// A host that learns of an evacuation stops reading there at once. It uses a
/// primary there until the record closes for its replacement, but no longer
/// than until UseEndsAt, whatever becomes of the replacement
/// (docs/design/evacuation.md).
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Use ends this long before the end of the period, as a statement takes time
/// to reach the target.
constexpr duration EvacuationMargin = std::chrono::milliseconds(1000);

/// What an evacuation has still to move.
struct evacuation_rest {
  std::size_t Primaries = 0;   ///< Groups whose primary stands there.
  std::size_t Connections = 0; ///< Connections of this host, forwards too.
};

evacuation_rest restIn(const host &State, const std::string &DataCentre) {
  const auto IsThere = [&](const std::string &Id) {
    const target_view *Target = findIn(State.Targets, Id);
    return Target != nullptr && Target->Entry.DataCentre == DataCentre;
  };
  evacuation_rest Rest;
  for (const auto &[Name, Group] : State.Groups)
    Rest.Primaries += Group.Record && IsThere(Group.Record->Primary) ? 1 : 0;
  for (const auto &[Number, Connection] : State.Connections)
    Rest.Connections += IsThere(Connection.Target) ? 1 : 0;
  return Rest;
}

void logEvacuation(step_context &Step, std::string_view Event,
                   const std::string &DataCentre,
                   const evacuation_state &Evacuation) {
  const evacuation_rest Rest = restIn(Step.State, DataCentre);
  logLine(Step, Event,
          {{"data_centre", DataCentre},
           {"primaries", std::to_string(Rest.Primaries)},
           {"connections", std::to_string(Rest.Connections)},
           {"ms", elapsedMsText(Evacuation.BegunAt, Step.Now)},
           {"use_ends_ms", elapsedMsText(Step.Now, Evacuation.UseEndsAt)}});
}

/// The change may have been confirmed MaxAge ago.
instant endOfUse(const step_context &Step, duration MaxAge) {
  const duration Period =
      Step.State.Identity.EvacuationPeriod - EvacuationMargin;
  return MaxAge < Period ? Step.Now + (Period - MaxAge) : Step.Now;
}

const evacuation_state *evacuationOf(const host &State,
                                     const target_entry &Entry) {
  return findIn(State.Evacuations, Entry.DataCentre);
}

} // namespace

void evacuationsChanged(step_context &Step,
                        events::evacuations_changed &&Event) {
  auto &Evacuations = Step.State.Evacuations;
  for (const auto &[DataCentre, Evacuation] : Evacuations)
    if (!Event.DataCentres.contains(DataCentre))
      logEvacuation(Step, "evacuation.ended", DataCentre, Evacuation);
  std::erase_if(Evacuations, [&](const auto &Entry) {
    return !Event.DataCentres.contains(Entry.first);
  });
  for (const std::string &DataCentre : Event.DataCentres) {
    const auto [Found, IsNew] = Evacuations.try_emplace(
        DataCentre,
        evacuation_state{Step.Now, endOfUse(Step, Event.MaxAge), false});
    if (IsNew)
      logEvacuation(Step, "evacuation.begun", DataCentre, Found->second);
  }
}

bool isEvacuated(const host &State, const target_entry &Entry) {
  return evacuationOf(State, Entry) != nullptr;
}

bool isEvacuated(const host &State, const std::string &Target) {
  const target_view *Found = findIn(State.Targets, Target);
  return Found != nullptr && isEvacuated(State, Found->Entry);
}

bool isUseOver(const host &State, const target_entry &Entry, instant Now) {
  const evacuation_state *Evacuation = evacuationOf(State, Entry);
  return Evacuation != nullptr && Now >= Evacuation->UseEndsAt;
}

bool isUseOver(const host &State, const std::string &Target, instant Now) {
  const target_view *Found = findIn(State.Targets, Target);
  return Found != nullptr && isUseOver(State, Found->Entry, Now);
}

bool mayBecomePrimary(const host &State, const target_view &Target) {
  return Target.Listed && !Target.Entry.Draining &&
         !isEvacuated(State, Target.Entry);
}

std::optional<instant> expectedEndOfMove(const host &State,
                                         const std::string &Name,
                                         const group_state &Group,
                                         duration UsualChange, instant Now) {
  const target_view *Primary = findIn(State.Targets, Group.Record->Primary);
  if (Primary == nullptr || !isUseOver(State, Primary->Entry, Now))
    return std::nullopt;
  const instant End =
      evacuationOf(State, Primary->Entry)->UseEndsAt + UsualChange;
  const bool HasReplacement = std::any_of(
      State.Targets.begin(), State.Targets.end(), [&](const auto &Entry) {
        return Entry.second.Entry.Group == Name &&
               mayBecomePrimary(State, Entry.second);
      });
  return HasReplacement && Now < End ? End : instant::max();
}

void superviseEvacuations(step_context &Step) {
  host &State = Step.State;
  if (State.Evacuations.empty())
    return;
  std::vector<session_number> Resting;
  std::vector<connection_number> Dialling;
  for (const auto &[Number, Connection] : State.Connections) {
    if (!isUseOver(State, Connection.Target, Step.Now))
      continue;
    if (Connection.Phase == connection_phase::Resting)
      Resting.push_back(Connection.Session);
    if (Connection.Phase == connection_phase::Dialling)
      Dialling.push_back(Number);
  }
  for (const session_number Number : Resting)
    if (caller_session *Session = findIn(State.Sessions, Number);
        Session != nullptr && Session->Transaction && Session->Request == 0)
      failTransaction(Step, *Session);
  for (const connection_number Number : Dialling)
    closeConnection(Step, Number);
  for (auto &[DataCentre, Evacuation] : State.Evacuations) {
    if (Evacuation.IsOver)
      continue;
    const evacuation_rest Rest = restIn(State, DataCentre);
    Evacuation.IsOver = Rest.Primaries == 0 && Rest.Connections == 0;
    if (Evacuation.IsOver)
      logEvacuation(Step, "evacuation.done", DataCentre, Evacuation);
  }
}

} // namespace bronzespar::proxy
