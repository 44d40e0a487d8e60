/// State charts whose names have been converted to enumerators, so that finding
/// a transition takes one table look-up and no text comparison.
#pragma once

#include <bronzespar/state_chart.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace bronzespar {

/// \brief Number of an enumeration's enumerators.
template <described_enum Enum>
inline constexpr std::size_t EnumCount =
    boost::mp11::mp_size<boost::describe::describe_enumerators<Enum>>::value;

/// \brief Index of an enumerator in a dense array.
template <described_enum Enum>
[[nodiscard]] constexpr std::size_t indexOf(Enum Value) noexcept {
  return static_cast<std::size_t>(Value);
}

/// \brief One transition of a compiled chart.
template <class State, class Guard, class Action> struct compiled_transition {
  std::optional<Guard> Condition; ///< If empty, always taken.
  State Target{};                 ///< The source state if the chart gives none.
  std::vector<Action> Actions;    ///< To be run in this order.
};

/// \brief A chart over four enumerations.
/// Invariant: the enumerators of states and of events are numbered from 0
/// without gaps.
///
/// \code
///   const auto *Taken = Chart.find(State, Event, [&](guard Guard) {
///     return holds(Guard, Inputs);
///   });
/// \endcode
template <described_enum State, described_enum Event, described_enum Guard,
          described_enum Action>
struct compiled_chart {
  using transition = compiled_transition<State, Guard, Action>;

  State Initial{};
  std::array<bool, EnumCount<State>> Final{};
  /// Indexed by state, then by event. The first match is taken.
  std::array<std::array<std::vector<transition>, EnumCount<Event>>,
             EnumCount<State>>
      Transitions;

  /// \brief Finds the transition for an event in a state.
  /// \param Holds Called with a guard; returns whether it holds.
  /// \returns nullptr when the state has no transition for the event.
  template <class GuardTest>
  [[nodiscard]] const transition *find(State From, Event On,
                                       GuardTest &&Holds) const {
    for (const transition &Candidate :
         Transitions[indexOf(From)][indexOf(On)]) {
      if (!Candidate.Condition || Holds(*Candidate.Condition))
        return &Candidate;
    }
    return nullptr;
  }

  [[nodiscard]] bool isFinal(State Value) const noexcept {
    return Final[indexOf(Value)];
  }
};

namespace impl {

/// \brief Checks that an enumeration can index a dense array.
template <described_enum Enum> [[nodiscard]] constexpr bool isDense() {
  std::size_t Next = 0;
  bool Dense = true;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<Enum>>(
      [&](auto Item) {
        Dense = Dense && static_cast<std::size_t>(Item.value) == Next;
        ++Next;
      });
  return Dense;
}

} // namespace impl

/// \brief Collects the names that a chart over these enumerations may use.
template <described_enum State, described_enum Event, described_enum Guard,
          described_enum Action>
[[nodiscard]] chart_vocabulary vocabularyOf() {
  return {namesOf<State>(), namesOf<Event>(), namesOf<Guard>(),
          namesOf<Action>()};
}

/// \brief Converts the names of a checked chart to enumerators.
/// \pre checkChart accepted the chart with vocabularyOf() of these
/// enumerations.
template <described_enum State, described_enum Event, described_enum Guard,
          described_enum Action>
[[nodiscard]] compiled_chart<State, Event, Guard, Action>
compileChart(const state_chart &Chart) {
  static_assert(impl::isDense<State>() && impl::isDense<Event>());
  using chart = compiled_chart<State, Event, Guard, Action>;
  chart Result;
  Result.Initial = *enumFromName<State>(Chart.Initial);
  for (const chart_state &Source : Chart.States) {
    const State From = *enumFromName<State>(Source.Name);
    Result.Final[indexOf(From)] = Source.Final;
    for (const chart_transition &Named : Source.Transitions) {
      typename chart::transition Compiled;
      Compiled.Condition = enumFromName<Guard>(Named.Guard);
      Compiled.Target = enumFromName<State>(Named.Target).value_or(From);
      for (const std::string &Name : Named.Actions)
        Compiled.Actions.push_back(*enumFromName<Action>(Name));
      const Event On = *enumFromName<Event>(Named.Event);
      Result.Transitions[indexOf(From)][indexOf(On)].push_back(
          std::move(Compiled));
    }
  }
  return Result;
}

/// \brief Reads, parses, checks and compiles a chart file.
/// \returns The chart, or an error carrying chart_fault.
template <described_enum State, described_enum Event, described_enum Guard,
          described_enum Action>
[[nodiscard]] boost::leaf::result<compiled_chart<State, Event, Guard, Action>>
loadCompiledChart(const std::string &File) {
  const chart_vocabulary Vocabulary =
      vocabularyOf<State, Event, Guard, Action>();
  boost::leaf::result<state_chart> Chart = loadChart(File, Vocabulary);
  if (!Chart)
    return Chart.error();
  return compileChart<State, Event, Guard, Action>(*Chart);
}

} // namespace bronzespar
