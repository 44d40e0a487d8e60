/// Checks that a chart uses known names only, that every state is reachable and
/// that no state is a trap, which a request or connection could never leave.
#include <bronzespar/state_chart.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace bronzespar {

namespace {

using name_set = std::set<std::string, std::less<>>;
using optional_fault = std::optional<chart_fault>;

chart_fault makeFault(chart_fault_kind Kind, std::uint32_t Line,
                      std::string Reason) {
  return {Kind, {}, Line, std::move(Reason)};
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

optional_fault checkName(const std::vector<std::string> &Names,
                         const std::string &Name, const char *Kind,
                         std::uint32_t Line) {
  if (contains(Names, Name))
    return std::nullopt;
  return makeFault(chart_fault_kind::UnknownName, Line,
                   std::string(Kind) + " '" + Name + "' is not known");
}

optional_fault checkTransitionNames(const chart_transition &Transition,
                                    const chart_vocabulary &Vocabulary) {
  const std::uint32_t Line = Transition.Line;
  if (auto Fault =
          checkName(Vocabulary.Events, Transition.Event, "event", Line))
    return Fault;
  if (!Transition.Guard.empty()) {
    if (auto Fault =
            checkName(Vocabulary.Guards, Transition.Guard, "guard", Line))
      return Fault;
  }
  for (const std::string &Action : Transition.Actions) {
    if (auto Fault = checkName(Vocabulary.Actions, Action, "action", Line))
      return Fault;
  }
  return std::nullopt;
}

optional_fault checkNames(const state_chart &Chart,
                          const chart_vocabulary &Vocabulary) {
  for (const chart_state &State : Chart.States) {
    if (auto Fault =
            checkName(Vocabulary.States, State.Name, "state", State.Line))
      return Fault;
    for (const chart_transition &Transition : State.Transitions) {
      if (auto Fault = checkTransitionNames(Transition, Vocabulary))
        return Fault;
    }
  }
  return std::nullopt;
}

optional_fault missingState(const std::string &Name, std::uint32_t Line) {
  return makeFault(chart_fault_kind::MissingState, Line,
                   "there is no state '" + Name + "'");
}

/// Checks that no state is declared twice and that the initial state and every
/// target are declared.
optional_fault checkStates(const state_chart &Chart) {
  name_set Declared;
  for (const chart_state &State : Chart.States) {
    if (!Declared.insert(State.Name).second) {
      return makeFault(chart_fault_kind::Syntax, State.Line,
                       "state '" + State.Name + "' is declared twice");
    }
  }
  if (!Declared.contains(Chart.Initial))
    return missingState(Chart.Initial, 1);
  for (const chart_state &State : Chart.States) {
    for (const chart_transition &Transition : State.Transitions) {
      if (!Transition.Target.empty() && !Declared.contains(Transition.Target))
        return missingState(Transition.Target, Transition.Line);
    }
  }
  return std::nullopt;
}

bool leadsInto(const chart_state &State, const name_set &Targets) {
  return std::any_of(State.Transitions.begin(), State.Transitions.end(),
                     [&Targets](const chart_transition &Transition) {
                       return Targets.contains(Transition.Target);
                     });
}

name_set reachableFromInitial(const state_chart &Chart) {
  name_set Reached{Chart.Initial};
  bool Changed = true;
  while (Changed) {
    Changed = false;
    for (const chart_state &State : Chart.States) {
      if (!Reached.contains(State.Name))
        continue;
      for (const chart_transition &Transition : State.Transitions) {
        if (!Transition.Target.empty())
          Changed |= Reached.insert(Transition.Target).second;
      }
    }
  }
  return Reached;
}

/// Finds the states from which the initial state or a final one can be reached.
name_set statesWithExit(const state_chart &Chart) {
  name_set Found{Chart.Initial};
  for (const chart_state &State : Chart.States) {
    if (State.Final)
      Found.insert(State.Name);
  }
  bool Changed = true;
  while (Changed) {
    Changed = false;
    for (const chart_state &State : Chart.States) {
      if (!Found.contains(State.Name) && leadsInto(State, Found))
        Changed |= Found.insert(State.Name).second;
    }
  }
  return Found;
}

/// Returns whether a chart could stay in a state for ever. Only the initial
/// state may have nothing but transitions to itself, and it needs at least one
/// transition.
bool isTrap(const chart_state &State, const name_set &WithExit) {
  if (State.Final)
    return false;
  return State.Transitions.empty() || !WithExit.contains(State.Name);
}

optional_fault checkPaths(const state_chart &Chart) {
  const name_set Reached = reachableFromInitial(Chart);
  const name_set WithExit = statesWithExit(Chart);
  for (const chart_state &State : Chart.States) {
    if (!Reached.contains(State.Name)) {
      return makeFault(chart_fault_kind::Unreachable, State.Line,
                       "state '" + State.Name + "' cannot be reached");
    }
    if (isTrap(State, WithExit)) {
      return makeFault(chart_fault_kind::Trap, State.Line,
                       "state '" + State.Name + "' has no way out");
    }
  }
  return std::nullopt;
}

} // namespace

boost::leaf::result<void> checkChart(const state_chart &Chart,
                                     const chart_vocabulary &Vocabulary,
                                     const std::string &File) {
  optional_fault Fault = checkStates(Chart);
  if (!Fault)
    Fault = checkNames(Chart, Vocabulary);
  if (!Fault)
    Fault = checkPaths(Chart);
  if (!Fault)
    return {};
  Fault->File = File;
  return boost::leaf::new_error(*Fault);
}

} // namespace bronzespar
