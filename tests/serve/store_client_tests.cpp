/// Tests of the calls to the store.
#include <serve/store_client.hpp>

#include <bronzespar/proxy/store_revision.hpp>

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

namespace {

using namespace bronzespar;
using namespace bronzespar::platform;
using namespace bronzespar::serve;

constexpr unsigned StatusOk = 200;

/// A client whose changes and reads of records the test answers.
struct client_fixture {
  struct pending_call {
    http_call Call;
    http_callback Done;
  };
  boost::asio::io_context Io;
  std::vector<pending_call> Calls;
  std::vector<proxy::events::records_read> Reads;
  std::vector<proxy::order_outcome> Orders;
  std::vector<proxy::events::change_ended> Changes;
  std::vector<proxy::events::lease_answered> Leases;
  std::vector<std::uint64_t> Eras;
  bool MayOrder = true;
  store_client Client{
      makeScheduler(Io),
      channels(),
      [this](proxy::event Event) {
        if (auto *Read = std::get_if<proxy::events::records_read>(&Event))
          Reads.push_back(std::move(*Read));
        if (auto *Ended =
                std::get_if<proxy::events::promotion_answered>(&Event))
          Orders.push_back(Ended->Outcome);
        if (auto *Change = std::get_if<proxy::events::change_ended>(&Event))
          Changes.push_back(std::move(*Change));
        if (auto *Lease = std::get_if<proxy::events::lease_answered>(&Event))
          Leases.push_back(*Lease);
        if (auto *Restored = std::get_if<proxy::events::store_restored>(&Event))
          Eras.push_back(Restored->Era);
      },
      [](const std::string &, const std::string &) {},
      [this](const proxy::effects::order_promotion &) { return MayOrder; },
      [] { return instant(1000s); }};

  platform_channels channels() {
    const auto Ignore = [](const http_call &, const http_callback &) {};
    platform_channels Channels;
    Channels.Operator = Ignore;
    Channels.Targets = Ignore;
    Channels.Records = Ignore;
    Channels.Change = [this](http_call Call, http_callback Done) {
      Calls.push_back({std::move(Call), std::move(Done)});
    };
    Channels.Promotion = Channels.Change;
    Channels.Lease = Channels.Change;
    return Channels;
  }

  void answer(http_answer Answer) {
    REQUIRE_FALSE(Calls.empty());
    const pending_call First = std::move(Calls.front());
    Calls.erase(Calls.begin());
    First.Done(std::move(Answer));
  }
};

constexpr const char *FirstPage =
    R"({"items":[{"Key":"bronzespar/hosts/a","Value":"Mg==","Revision":3,"Lease":1}],
       "MorePages":true,"CurrentRev":7})";
constexpr const char *LastPage =
    R"({"items":[{"Key":"bronzespar/hosts/b","Value":"Mg==","Revision":9,"Lease":2}],
       "MorePages":false,"CurrentRev":11})";

} // namespace

TEST_CASE("A read of records that has several pages is complete") {
  // The store returns about 500 items at a time. With more hosts than that, no
  // read ended, and no primary could be replaced.
  client_fixture Fixture;
  Fixture.Client.carryOut(proxy::effects::read_records{5, "hosts/"});
  Fixture.answer({StatusOk, FirstPage});
  CHECK(Fixture.Reads.empty());
  REQUIRE(Fixture.Calls.size() == 1);
  CHECK(Fixture.Calls.front().Call.Path.find("after=bronzespar/hosts/a") !=
        std::string::npos);
  Fixture.answer({StatusOk, LastPage});
  REQUIRE(Fixture.Reads.size() == 1);
  const auto &Read = Fixture.Reads.front();
  CHECK(Read.Answered);
  CHECK(Read.Call == 5);
  CHECK(Read.Revision == 7);
  REQUIRE(Read.Records.size() == 2);
  CHECK(Read.Records.back().Key == "hosts/b");
}

TEST_CASE("A read of records whose second page fails is not answered") {
  client_fixture Fixture;
  Fixture.Client.carryOut(proxy::effects::read_records{5, "hosts/"});
  Fixture.answer({StatusOk, FirstPage});
  Fixture.answer({});
  REQUIRE(Fixture.Reads.size() == 1);
  CHECK_FALSE(Fixture.Reads.front().Answered);
  CHECK(Fixture.Reads.front().Records.empty());
}

TEST_CASE("A read of records ends at a page that ends where it should begin") {
  client_fixture Fixture;
  Fixture.Client.carryOut(proxy::effects::read_records{5, "hosts/"});
  Fixture.answer({StatusOk, FirstPage});
  Fixture.answer({StatusOk, FirstPage});
  CHECK(Fixture.Calls.empty());
  REQUIRE(Fixture.Reads.size() == 1);
  CHECK_FALSE(Fixture.Reads.front().Answered);
}

TEST_CASE("An order is checked when it is sent, not when it is queued") {
  // Guards against an order that a host sends after it has lost the
  // coordinator role: the order had waited for the answers to earlier ones.
  client_fixture Fixture;
  Fixture.Client.carryOut(proxy::effects::order_promotion{});
  REQUIRE(Fixture.Calls.size() == 1);
  REQUIRE(Fixture.Calls.front().Call.MaySend);
  CHECK(Fixture.Calls.front().Call.MaySend());
  Fixture.MayOrder = false;
  CHECK_FALSE(Fixture.Calls.front().Call.MaySend());
}

TEST_CASE("An order that was not sent is told apart from an unanswered one") {
  client_fixture Fixture;
  for (const bool Sent : {false, true}) {
    Fixture.Client.carryOut(proxy::effects::order_promotion{});
    Fixture.answer({0, {}, Sent});
  }
  CHECK(Fixture.Orders == std::vector{proxy::order_outcome::NotSent,
                                      proxy::order_outcome::Unanswered});
}

TEST_CASE("An order counts as not carried out only if the platform says so") {
  // Another error may come after the order was taken up.
  client_fixture Fixture;
  for (const unsigned Status : {409U, 429U, 503U, 500U, 504U}) {
    Fixture.Client.carryOut(proxy::effects::order_promotion{});
    Fixture.answer({Status, {}});
  }
  CHECK(Fixture.Orders == std::vector{proxy::order_outcome::NotRunning,
                                      proxy::order_outcome::Rejected,
                                      proxy::order_outcome::Rejected,
                                      proxy::order_outcome::Unanswered,
                                      proxy::order_outcome::Unanswered});
}

TEST_CASE("An order that was accepted is told apart from an unanswered one") {
  client_fixture Fixture;
  Fixture.Client.carryOut(proxy::effects::order_promotion{});
  Fixture.answer({StatusOk, {}});
  CHECK(Fixture.Orders == std::vector{proxy::order_outcome::Accepted});
}

namespace {

http_answer inEra(std::uint64_t Era, std::string Body) {
  http_answer Answer{StatusOk, std::move(Body)};
  Answer.Era = Era;
  return Answer;
}

/// A change that expects a record to have a revision of an era.
proxy::effects::change_records changeOf(std::uint64_t Era) {
  proxy::effects::change_records Change;
  Change.Call = 9;
  Change.Expected.emplace_back("group", proxy::orderedRevision(Era, 500));
  return Change;
}

} // namespace

TEST_CASE("Revisions of a later era are higher, and are sent as the store's") {
  client_fixture Fixture;
  Fixture.Client.carryOut(proxy::effects::read_records{5, "hosts/"});
  Fixture.answer(inEra(1, LastPage));
  Fixture.Client.enterEra(2);
  Fixture.Client.carryOut(proxy::effects::read_records{6, "hosts/"});
  Fixture.answer(inEra(
      2, R"({"items":[{"Key":"bronzespar/hosts/b","Value":"Mg==","Revision":4}],
            "MorePages":false,"CurrentRev":5})"));
  REQUIRE(Fixture.Reads.size() == 2);
  CHECK(Fixture.Reads[1].Revision > Fixture.Reads[0].Revision);
  const std::uint64_t Later = Fixture.Reads[1].Records.front().Revision;
  CHECK(Later > Fixture.Reads[0].Records.front().Revision);
  CHECK(Later < (std::uint64_t{1} << 53U));
  proxy::effects::change_records Change;
  Change.Expected.emplace_back("hosts/b", Later);
  Fixture.Client.carryOut(Change);
  REQUIRE(Fixture.Calls.size() == 1);
  CHECK(Fixture.Calls.front().Call.Body.find("\"Revision\":4}") !=
        std::string::npos);
  Fixture.answer(inEra(2, R"({"Revision":6})"));
  REQUIRE(Fixture.Changes.size() == 1);
  CHECK(Fixture.Changes.front().Revision > Later);
}

TEST_CASE("A change that expects a revision of before a restore is a conflict "
          "and is not sent") {
  // The store gives the number out again, so that it could match another
  // host's record.
  client_fixture Fixture;
  Fixture.Client.enterEra(1);
  Fixture.Client.enterEra(2);
  Fixture.Client.enterEra(2);
  CHECK(Fixture.Eras == std::vector<std::uint64_t>{1, 2});
  Fixture.Client.carryOut(changeOf(1));
  CHECK(Fixture.Calls.empty());
  REQUIRE(Fixture.Changes.size() == 1);
  CHECK(Fixture.Changes.front().Call == 9);
  CHECK(Fixture.Changes.front().Outcome == proxy::change_outcome::Conflict);
  CHECK_FALSE(Fixture.Changes.front().Current);
}

TEST_CASE("A change that a restore overtakes is not reported as done") {
  client_fixture Fixture;
  Fixture.Client.enterEra(1);
  Fixture.Client.carryOut(changeOf(1));
  REQUIRE(Fixture.Calls.size() == 1);
  Fixture.Client.enterEra(2);
  SECTION("it waits for its connection and is dropped") {
    CHECK_FALSE(Fixture.Calls.front().Call.MaySend());
    Fixture.answer({0, {}, false});
    CHECK(Fixture.Changes.front().Outcome == proxy::change_outcome::Conflict);
  }
  SECTION("its condition may have held for another record") {
    Fixture.answer(inEra(2, R"({"Revision":6})"));
    CHECK(Fixture.Changes.front().Outcome == proxy::change_outcome::Unknown);
  }
  SECTION("its answer was lost") {
    Fixture.answer({});
    CHECK(Fixture.Changes.front().Outcome == proxy::change_outcome::Unknown);
  }
  SECTION("the store refused it") {
    http_answer Refused = inEra(2, R"({"items":[]})");
    Refused.Status = 412;
    Fixture.answer(std::move(Refused));
    CHECK(Fixture.Changes.front().Outcome == proxy::change_outcome::Conflict);
  }
  CHECK(Fixture.Changes.size() == 1);
}

TEST_CASE("A renewal that a restore overtakes renews nothing of this host") {
  // The store gives ids of leases out again: the renewed one may be another's.
  client_fixture Fixture;
  Fixture.Client.enterEra(1);
  Fixture.Client.carryOut(proxy::effects::renew_lease{7});
  Fixture.Client.enterEra(2);
  Fixture.answer(inEra(2, R"({"Lease":7,"TtlMs":2000})"));
  REQUIRE(Fixture.Leases.size() == 1);
  CHECK(Fixture.Leases.front().Answered);
  CHECK(Fixture.Leases.front().Lease == 0);
}

TEST_CASE("A read of records whose pages are of two eras is not answered") {
  client_fixture Fixture;
  Fixture.Client.enterEra(1);
  Fixture.Client.carryOut(proxy::effects::read_records{5, "hosts/"});
  Fixture.answer(inEra(1, FirstPage));
  Fixture.Client.enterEra(2);
  Fixture.answer(inEra(2, LastPage));
  REQUIRE(Fixture.Reads.size() == 1);
  CHECK_FALSE(Fixture.Reads.front().Answered);
}
