/// State charts, which are read from files in a subset of SCXML, checked on
/// loading and interpreted at run time.
#pragma once

#include <bronzespar/enum_table.hpp>

#include <boost/leaf/result.hpp>
#include <boost/mp11/algorithm.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar {

/// \brief One transition. The texts are names of enumerators.
struct chart_transition {
  std::string Event;
  std::string Guard;  ///< If empty, always taken.
  std::string Target; ///< If empty, stays in the state.
  std::vector<std::string> Actions;
  std::uint32_t Line = 0;
};

struct chart_state {
  std::string Name;
  bool Final = false;
  std::vector<chart_transition> Transitions; ///< The first match is taken.
  std::uint32_t Line = 0;
};

/// \brief A chart as parsed.
/// Invariant after checkChart: all states are reachable, each name is an
/// enumerator of its type, and from every state the initial state or a final
/// one is reachable.
struct state_chart {
  std::string Name;
  std::string Initial;
  std::vector<chart_state> States;
};

enum class chart_fault_kind {
  Unreadable,
  Syntax,
  UnknownName,
  Unreachable,
  Trap,
  MissingState
};
BOOST_DESCRIBE_ENUM(chart_fault_kind, Unreadable, Syntax, UnknownName,
                    Unreachable, Trap, MissingState)

/// \brief Error of reading or checking a chart.
struct chart_fault {
  chart_fault_kind Kind = chart_fault_kind::Syntax;
  std::string File;
  std::uint32_t Line = 0;
  std::string Reason;
};

/// \brief Formats "FILE:LINE: KIND: REASON".
[[nodiscard]] std::string toText(const chart_fault &Fault);

/// \brief The names that a chart may use.
struct chart_vocabulary {
  std::vector<std::string> States;
  std::vector<std::string> Events;
  std::vector<std::string> Guards;
  std::vector<std::string> Actions;
};

/// \brief Collects the names of an enumeration's enumerators.
template <described_enum Enum>
[[nodiscard]] std::vector<std::string> namesOf() {
  std::vector<std::string> Names;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<Enum>>(
      [&Names](auto Item) { Names.emplace_back(Item.name); });
  return Names;
}

/// \brief Parses a chart from SCXML text.
[[nodiscard]] boost::leaf::result<state_chart>
parseChart(std::string_view Text, const std::string &File);

/// \brief Checks a chart against a vocabulary.
[[nodiscard]] boost::leaf::result<void>
checkChart(const state_chart &Chart, const chart_vocabulary &Vocabulary,
           const std::string &File);

/// \brief Reads, parses and checks a chart file.
[[nodiscard]] boost::leaf::result<state_chart>
loadChart(const std::string &File, const chart_vocabulary &Vocabulary);

/// \brief Finds the transition for an event in a state.
/// \param Holds Called with a guard's name; returns whether the guard holds.
/// \returns nullptr when the state has no transition for the event.
template <class GuardTest>
[[nodiscard]] const chart_transition *
findTransition(const state_chart &Chart, std::string_view State,
               std::string_view Event, GuardTest &&Holds) {
  for (const chart_state &Candidate : Chart.States) {
    if (Candidate.Name != State)
      continue;
    for (const chart_transition &Transition : Candidate.Transitions) {
      if (Transition.Event != Event)
        continue;
      if (Transition.Guard.empty() || Holds(Transition.Guard))
        return &Transition;
    }
  }
  return nullptr;
}

} // namespace bronzespar
