/// Tests of parsing, checking and compiling state charts.
#include <bronzespar/compiled_chart.hpp>

#include <catch2/catch.hpp>

#include <boost/leaf/handle_errors.hpp>

using namespace bronzespar;

namespace {

enum class door_state { Closed, Open, Broken };
BOOST_DESCRIBE_ENUM(door_state, Closed, Open, Broken)
enum class door_event { Push, Hit };
BOOST_DESCRIBE_ENUM(door_event, Push, Hit)
enum class door_guard { Unlocked };
BOOST_DESCRIBE_ENUM(door_guard, Unlocked)
enum class door_action { Creak, Ring };
BOOST_DESCRIBE_ENUM(door_action, Creak, Ring)

const chart_vocabulary DoorVocabulary =
    vocabularyOf<door_state, door_event, door_guard, door_action>();

const std::string ValidDoorChart = R"(<?xml version="1.0"?>
<!-- <state id="NotOne"/> -->
<scxml name="door" initial="Closed">
  <state id="Closed">
    <transition event="Push" cond="Unlocked" target="Open">
      <send event="Creak"/>
      <send event="Ring"/>
    </transition>
    <transition event="Push">
      <send event="Ring"/>
    </transition>
  </state>
  <state id="Open">
    <transition event="Push" target="Closed"/>
    <transition event="Hit" target="Broken"/>
  </state>
  <final id="Broken"/>
</scxml>
)";

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  const std::size_t Position = Text.find(Old);
  REQUIRE(Position != std::string::npos);
  return Text.replace(Position, Old.size(), New);
}

boost::leaf::result<state_chart> readDoorChart(const std::string &Text) {
  auto Chart = parseChart(Text, "door.scxml");
  if (!Chart)
    return Chart.error();
  auto Checked = checkChart(*Chart, DoorVocabulary, "door.scxml");
  if (!Checked)
    return Checked.error();
  return Chart;
}

/// Returns the fault of reading a chart; fails the test if there is none.
template <class Reader> chart_fault faultOf(Reader &&Read) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<chart_fault> {
        boost::leaf::result<state_chart> Chart = Read();
        if (!Chart)
          return Chart.error();
        FAIL("no fault was found");
        return chart_fault{};
      },
      [](const chart_fault &Fault) { return Fault; },
      [] { return chart_fault{}; });
}

struct faulty_chart {
  const char *Replaced;
  const char *Replacement;
  chart_fault_kind Kind;
  std::uint32_t Line;
};

} // namespace

TEST_CASE("a chart is parsed, checked and interpreted") {
  const auto Chart = readDoorChart(ValidDoorChart);
  REQUIRE(Chart);
  const auto Unlocked = [](std::string_view) { return true; };
  const auto Locked = [](std::string_view) { return false; };
  const auto *Opening = findTransition(*Chart, "Closed", "Push", Unlocked);
  REQUIRE(Opening != nullptr);
  CHECK(Opening->Target == "Open");
  CHECK(Opening->Line == 5);
  CHECK(findTransition(*Chart, "Closed", "Push", Locked)->Target.empty());
  CHECK(findTransition(*Chart, "Closed", "Hit", Unlocked) == nullptr);
}

TEST_CASE("a compiled chart takes the same transitions") {
  const auto Read = readDoorChart(ValidDoorChart);
  const auto Chart =
      compileChart<door_state, door_event, door_guard, door_action>(*Read);
  CHECK(Chart.Initial == door_state::Closed);
  CHECK(Chart.isFinal(door_state::Broken));
  for (const bool Holds : {true, false}) {
    for (const std::string &State : DoorVocabulary.States) {
      for (const std::string &Event : DoorVocabulary.Events) {
        INFO(State << ' ' << Event << ' ' << Holds);
        const auto *Named = findTransition(
            *Read, State, Event, [Holds](std::string_view) { return Holds; });
        const auto *Compiled = Chart.find(
            *enumFromName<door_state>(State), *enumFromName<door_event>(Event),
            [Holds](door_guard) { return Holds; });
        REQUIRE((Named == nullptr) == (Compiled == nullptr));
        if (Named == nullptr)
          continue;
        CHECK(enumName(Compiled->Target) ==
              (Named->Target.empty() ? State : Named->Target));
        CHECK(Compiled->Actions.size() == Named->Actions.size());
      }
    }
  }
}

TEST_CASE("each fault is reported with its line") {
  using kind = chart_fault_kind;
  const auto Case = GENERATE(
      faulty_chart{"</scxml>", "", kind::Syntax, 19},
      faulty_chart{"name=\"door\"", "nom=\"door\"", kind::Syntax, 3},
      faulty_chart{" initial=\"Closed\"", "", kind::Syntax, 3},
      faulty_chart{"<send event=\"Creak\"/>", "<log/>", kind::Syntax, 6},
      faulty_chart{"<transition event=\"Hit\"", "<transition", kind::Syntax,
                   15},
      faulty_chart{"initial=\"Closed\"", "initial=\"Shut\"", kind::MissingState,
                   1},
      faulty_chart{"target=\"Closed\"", "target=\"Shut\"", kind::MissingState,
                   14},
      faulty_chart{"id=\"Open\"", "id=\"Closed\"", kind::Syntax, 13},
      faulty_chart{"event=\"Hit\"", "event=\"Kick\"", kind::UnknownName, 15},
      faulty_chart{"cond=\"Unlocked\"", "cond=\"Oiled\"", kind::UnknownName, 5},
      faulty_chart{"event=\"Ring\"", "event=\"Sing\"", kind::UnknownName, 5},
      faulty_chart{"    <transition event=\"Hit\" target=\"Broken\"/>\n", "",
                   kind::Unreachable, 16},
      faulty_chart{"<final id=\"Broken\"/>",
                   "<state id=\"Broken\"><transition event=\"Hit\"/></state>",
                   kind::Trap, 17});
  const chart_fault Fault = faultOf([&] {
    return readDoorChart(
        replaced(ValidDoorChart, Case.Replaced, Case.Replacement));
  });
  INFO(Case.Replacement << ": " << toText(Fault));
  CHECK(Fault.Kind == Case.Kind);
  CHECK(Fault.File == "door.scxml");
  CHECK(Fault.Line == Case.Line);
}

TEST_CASE("a missing file is reported as unreadable") {
  const chart_fault Fault =
      faultOf([] { return loadChart("no-such.scxml", DoorVocabulary); });
  CHECK(Fault.Kind == chart_fault_kind::Unreadable);
}
