/// Tests of the conclusions from reports and of the choice of a member for
/// reads.
#include <bronzespar/group_view.hpp>

#include <catch2/catch.hpp>

using namespace bronzespar;

namespace {

constexpr instant Now{10s};

member_report makeReport(const std::string &Target, member_role Role,
                         std::uint64_t Term, log_position Position) {
  member_report Report;
  Report.Target = Target;
  Report.Role = Role;
  Report.Term = Term;
  Report.Position = Position;
  Report.PrimaryPosition = Position;
  Report.Primary = std::string(1, 'a');
  return Report;
}

group_view makeView() {
  group_view View;
  for (const char *Id : {"a", "b", "c"}) {
    member_view Member;
    Member.Target = target_id(Id);
    Member.DataCentre = data_centre_id(Id);
    View.Members.push_back(Member);
  }
  applyReport(View, makeReport("a", member_role::Primary, 2, {2, 9}), Now);
  applyReport(View, makeReport("b", member_role::Replica, 2, {2, 8}), Now);
  applyReport(View, makeReport("c", member_role::Replica, 2, {2, 5}), Now);
  return View;
}

} // namespace

TEST_CASE("a position is confirmed by a majority of its own term") {
  group_view View = makeView();
  CHECK(isConfirmed(View, {2, 8}));
  CHECK_FALSE(isConfirmed(View, {2, 9}));
  CHECK_FALSE(isConfirmed(View, {1, 3}));
  CHECK(isHeldByMajority(View, {1, 3}, 2));
}

TEST_CASE("a member that granted a later term no longer confirms writes") {
  group_view View = makeView();
  applyReport(View, makeReport("b", member_role::Fenced, 3, {2, 9}), Now);
  CHECK_FALSE(isConfirmed(View, {2, 9}));
  applyReport(View, makeReport("c", member_role::Fenced, 3, {2, 9}), Now);
  CHECK(findPrimary(View) == nullptr);
  CHECK(majorityTerm(View) == 3);
}

TEST_CASE("a replica's report proves that its primary has the entry") {
  group_view View = makeView();
  View.Members[0].Report.reset();
  CHECK(isConfirmed(View, {2, 8}));
}

TEST_CASE("an older report is ignored") {
  group_view View = makeView();
  applyReport(View, makeReport("b", member_role::Replica, 1, {1, 99}), Now);
  applyReport(View, makeReport("c", member_role::Replica, 2, {2, 9}), Now - 1s);
  CHECK(View.Members[1].Report->Position == log_position{2, 8});
  CHECK(View.Members[2].Report->Position == log_position{2, 5});
}

TEST_CASE("a read goes to a replica that has reached the session's position") {
  const group_view View = makeView();
  const read_requirement Requirement{{2, 7}, std::nullopt, data_centre_id("c")};
  const read_choice Choice =
      chooseReadTarget(View, Requirement, Now, {0, 0, 0});
  CHECK(Choice.Kind == read_choice_kind::Now);
  CHECK(Choice.Target == target_id("b"));
}

TEST_CASE(
    "a replica in the preferred data centre is chosen until it is loaded") {
  const group_view View = makeView();
  const read_requirement Requirement{{2, 1}, std::nullopt, data_centre_id("c")};
  CHECK(chooseReadTarget(View, Requirement, Now, {0, 0, 0}).Target ==
        target_id("c"));
  CHECK(chooseReadTarget(View, Requirement, Now, {0, 0, 3}).Target ==
        target_id("b"));
}

TEST_CASE("a read waits when no replica has reached the session's position") {
  const group_view View = makeView();
  const read_requirement Requirement{{2, 9}, std::nullopt, data_centre_id("b")};
  CHECK(chooseReadTarget(View, Requirement, Now, {0, 0, 0}).Kind ==
        read_choice_kind::Wait);
}

TEST_CASE("the age of data counts from the request of the report") {
  const group_view View = makeView();
  read_requirement Requirement{{2, 1}, 200ms, data_centre_id("b")};
  CHECK(chooseReadTarget(View, Requirement, Now + 100ms, {0, 0, 0}).Kind ==
        read_choice_kind::Now);
  CHECK(chooseReadTarget(View, Requirement, Now + 300ms, {0, 0, 0}).Kind ==
        read_choice_kind::Wait);
}

TEST_CASE("a primary that may have been superseded proves no freshness") {
  group_view View = makeView();
  applyReport(View, makeReport("b", member_role::Fenced, 3, {2, 8}), Now);
  applyReport(View, makeReport("c", member_role::Fenced, 3, {2, 5}), Now);
  CHECK_FALSE(freshAsOf(View, {2, 9}));
}
