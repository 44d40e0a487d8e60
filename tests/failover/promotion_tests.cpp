/// Tests of the reasons for a promotion, its single steps and its record.
#include <bronzespar/failover.hpp>

#include <catch2/catch.hpp>

using namespace bronzespar;

namespace {

const instant Start{10s};

member_view member(const std::string &Id, member_role Role, std::uint64_t Term,
                   log_position Position, const std::string &Primary) {
  member_view View;
  View.Target = target_id(Id);
  View.Reachable = true;
  View.Report =
      member_report{Id, Role, Term, Position, Position, 0, Primary, false};
  return View;
}

promotion_chart chart() {
  auto Chart =
      loadPromotionChart(std::string(BRONZESPAR_SOURCE_DIR) + "/charts");
  REQUIRE(Chart);
  return *Chart;
}

/// One host with its view of a group of three members, of which "a" is primary.
struct promotion_fixture {
  group_view View;
  group_settings Settings;
  promotion_chart Chart = chart();
  host_settings Self;
  promotion_state State;
  std::uint64_t NextRef = 1;
  promotion_inputs Inputs{View, Settings, Chart, true, {}, 2, 7, &NextRef};
  effect_list Effects;

  promotion_fixture() {
    Self.Id = host_id("h");
    State.Group = View.Group = Settings.Id = group_id("g");
    for (const char *Id : {"a", "b", "c"}) {
      target_settings Target;
      Target.Id = target_id(Id);
      Target.Maintenance = {"127.0.0.1", 9000};
      Target.Replication = {"127.0.0.1", 9001};
      Settings.Members.push_back(Target);
    }
    View.Members = {member("a", member_role::Primary, 1, {1, 5}, "a"),
                    member("b", member_role::Replica, 1, {1, 5}, "a"),
                    member("c", member_role::Replica, 1, {1, 4}, "a")};
  }

  void addUnreachableReport(const std::string &Observer,
                            const std::string &DataCentre) {
    Inputs.UnreachableReports.push_back(
        {host_id(Observer), data_centre_id(DataCentre), target_id("a")});
  }

  void makePrimaryUnreachable() {
    addUnreachableReport("h", "suva");
    addUnreachableReport("i", "nadi");
    View.Members[0].Reachable = false;
  }

  void tickFor(duration Span, instant From = Start) {
    for (instant Now = From; Now <= From + Span; Now += 10ms)
      tickPromotion(State, Inputs, Self, Now, Effects);
  }

  std::vector<control_request> commands(control_kind Kind) const {
    std::vector<control_request> Found;
    for (const effect &Effect : Effects) {
      const auto *Command = std::get_if<effects::send_control_command>(&Effect);
      if (Command != nullptr && Command->Request.Kind == Kind)
        Found.push_back(Command->Request);
    }
    return Found;
  }

  void answer(const std::string &Target, control_kind Kind, bool Granted,
              const member_report &Report, instant Now) {
    events::control_command_finished Event;
    Event.Target = target_id(Target);
    Event.Request.Kind = Kind;
    Event.Request.Term = State.Term;
    Event.Answered = true;
    Event.Answer = {Granted, Report};
    applyControlAnswer(State, Inputs, Self, Event, Now, Effects);
  }

  void grant(const std::string &Target, log_position Position) {
    answer(Target, control_kind::Fence, true,
           {Target, member_role::Fenced, State.Term, Position, Position, 0, "a",
            false},
           Start + 300ms);
  }
};

} // namespace

TEST_CASE("a healthy group with an up-to-date record needs no action") {
  promotion_fixture Host;
  Host.State.Record.RecordedTerm = 1;
  Host.tickFor(5s);
  CHECK(Host.Effects.empty());
}

TEST_CASE("an unreachable primary is replaced if two data centres report it") {
  promotion_fixture Host;
  Host.addUnreachableReport("h", "suva");
  Host.addUnreachableReport("i", "suva");
  Host.tickFor(5s);
  CHECK(Host.commands(control_kind::Fence).empty());
  Host.addUnreachableReport("j", "nadi");
  Host.tickFor(300ms, Start + 5s);
  REQUIRE(Host.commands(control_kind::Fence).size() >= 3);
  CHECK(Host.commands(control_kind::Fence)[0].Term == 2);
  CHECK(Host.commands(control_kind::Fence)[0].Coordinator == "h#7");
}

TEST_CASE("no fence is sent while only a minority answers") {
  promotion_fixture Host;
  Host.makePrimaryUnreachable();
  Host.View.Members[1].Reachable = false;
  Host.tickFor(10s);
  CHECK(Host.commands(control_kind::Fence).empty());
}

TEST_CASE("a host other than the coordinator takes over after a delay") {
  promotion_fixture Host;
  Host.Inputs.IsCoordinator = false;
  Host.makePrimaryUnreachable();
  Host.tickFor(700ms);
  CHECK(Host.commands(control_kind::Fence).empty());
  Host.tickFor(600ms, Start + 700ms);
  CHECK_FALSE(Host.commands(control_kind::Fence).empty());
}

TEST_CASE("the member with the latest position is chosen") {
  promotion_fixture Host;
  Host.makePrimaryUnreachable();
  Host.tickFor(250ms);
  REQUIRE(Host.State.Step == promotion_step::Fencing);
  Host.grant("c", {1, 4});
  CHECK(Host.State.Step == promotion_step::Fencing);
  Host.grant("b", {1, 5});
  CHECK(Host.State.Step == promotion_step::Promoting);
  CHECK(Host.State.Chosen == target_id("b"));
}

TEST_CASE("a log of a later term is preferred to a longer log") {
  promotion_fixture Host;
  Host.makePrimaryUnreachable();
  Host.tickFor(250ms);
  Host.grant("b", {1, 900});
  Host.grant("c", {2, 5});
  CHECK(Host.State.Chosen == target_id("c"));
}

TEST_CASE("after a refusal, a higher term is requested after a back-off") {
  promotion_fixture Host;
  Host.makePrimaryUnreachable();
  Host.tickFor(250ms);
  Host.answer("b", control_kind::Fence, false,
              {"b", member_role::Fenced, 6, {1, 5}, {}, 0, "a", false},
              Start + 260ms);
  CHECK(Host.State.Step == promotion_step::Watching);
  Host.Effects.clear();
  Host.tickFor(1s, Start + 270ms);
  REQUIRE_FALSE(Host.commands(control_kind::Fence).empty());
  CHECK(Host.commands(control_kind::Fence)[0].Term == 7);
}

TEST_CASE(
    "a promotion that stopped after a fence is repeated in a higher term") {
  promotion_fixture Host;
  Host.View.Members[1] = member("b", member_role::Fenced, 2, {1, 5}, "a");
  Host.tickFor(250ms);
  REQUIRE_FALSE(Host.commands(control_kind::Fence).empty());
  CHECK(Host.commands(control_kind::Fence)[0].Term == 3);
}

TEST_CASE("a returning primary of an earlier term is told to follow") {
  promotion_fixture Host;
  Host.State.Record.RecordedTerm = 2;
  Host.View.Members[0] = member("a", member_role::Primary, 1, {1, 99}, "a");
  Host.View.Members[1] = member("b", member_role::Primary, 2, {2, 6}, "b");
  Host.View.Members[2] = member("c", member_role::Replica, 2, {2, 6}, "b");
  Host.tickFor(100ms);
  const auto Follows = Host.commands(control_kind::Follow);
  REQUIRE(Follows.size() == 1);
  CHECK(Follows[0].Primary == "b");
  CHECK(Follows[0].Term == 2);
}

TEST_CASE("a leaving primary hands over once a replica has its whole log") {
  promotion_fixture Host;
  Host.View.Members[0].Leaving = true;
  Host.View.Members[1].Report->Position = {1, 4};
  CHECK(awaitsHandover(Host.View));
  Host.tickFor(1s);
  CHECK(Host.commands(control_kind::Fence).empty());
  Host.View.Members[1].Report->Position = {1, 5};
  Host.tickFor(10ms, Start + 1s);
  REQUIRE(Host.State.Step == promotion_step::Fencing);
  Host.grant("a", {1, 5});
  Host.grant("b", {1, 5});
  CHECK(Host.State.Chosen == target_id("b"));
}

TEST_CASE("a primary that is isolated from its replicas is replaced") {
  promotion_fixture Host;
  Host.State.Record.RecordedTerm = 1;
  for (member_view &Member : Host.View.Members)
    Member.Report->HeardAgeMs = 60'000;
  SECTION("only if it has an entry without a majority") {
    Host.tickFor(5s);
    CHECK(Host.commands(control_kind::Fence).empty());
  }
  SECTION("by another member, even if it grants as well") {
    Host.View.Members[0].Report->Position = {1, 9};
    Host.tickFor(10ms);
    REQUIRE(Host.State.Step == promotion_step::Fencing);
    Host.grant("a", {1, 9});
    Host.grant("b", {1, 5});
    CHECK(Host.State.Step == promotion_step::Fencing);
    Host.grant("c", {1, 4});
    CHECK(Host.State.Chosen == target_id("b"));
  }
}

namespace {

platform_answer foundRecord(const group_record &Record,
                            std::int64_t ModRevision) {
  return {platform_status::Done, {{"", toText(Record), ModRevision}}, 0, {}};
}

void answerRecord(promotion_fixture &Host, const platform_answer &Answer,
                  instant Now) {
  REQUIRE(Host.State.Record.PendingCall);
  CHECK(applyRecordAnswer(Host.State, Host.Inputs, Host.Self,
                          {*Host.State.Record.PendingCall, Answer}, Now,
                          Host.Effects));
}

} // namespace

TEST_CASE("the record is read, swapped, and read again after a lost answer") {
  promotion_fixture Host;
  Host.tickFor(10ms);
  REQUIRE(Host.State.Step == promotion_step::Recording);
  answerRecord(Host, {platform_status::Unreachable, {}, 0, {}}, Start + 1s);
  CHECK_FALSE(Host.State.Record.PendingCall);
  Host.tickFor(500ms, Start + 1s);
  answerRecord(Host, {platform_status::Done, {}, 0, {}}, Start + 2s);
  answerRecord(Host, {platform_status::Unknown, {}, 0, {}}, Start + 2s);
  Host.tickFor(500ms, Start + 2s);
  CHECK(Host.State.Step == promotion_step::Recording);
  SECTION("the swap had taken effect") {
    answerRecord(Host, foundRecord({1, "a"}, 5), Start + 3s);
  }
  SECTION("another host has recorded a later term") {
    answerRecord(Host, foundRecord({3, "c"}, 5), Start + 3s);
  }
  SECTION("an old record is replaced at its own revision") {
    answerRecord(Host, foundRecord({0, "z"}, 5), Start + 3s);
    const auto &Call = std::get<effects::call_platform>(Host.Effects.back());
    CHECK(std::get<platform_compare_and_swap>(Call.Call).ModRevision == 5);
    answerRecord(Host, {platform_status::Done, {}, 0, {}}, Start + 3s);
  }
  CHECK(Host.State.Step == promotion_step::Watching);
  Host.Effects.clear();
  Host.tickFor(30s, Start + 4s);
  CHECK(Host.Effects.empty());
}

TEST_CASE("a serialised record is parsed, and malformed text is rejected") {
  const auto Record = parseGroupRecord(toText({7, "db-1"}));
  REQUIRE(Record);
  CHECK(Record->Term == 7);
  CHECK(Record->Primary == "db-1");
  CHECK_FALSE(parseGroupRecord("{"));
  CHECK_FALSE(parseGroupRecord("{\"Term\":\"x\"}"));
}
