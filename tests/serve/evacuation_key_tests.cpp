/// Tests of the operators' requests to evacuate data centres, from the answers
/// of the store to the events of the host.
#include <serve/store_client.hpp>

#include <catch2/catch.hpp>

#include <utility>
#include <variant>
#include <vector>

namespace {

using namespace bronzespar;
using namespace bronzespar::platform;
using namespace bronzespar::serve;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusHistoryLost = 410;

/// A client whose calls for the operators' keys the test answers.
struct operator_fixture {
  boost::asio::io_context Io;
  instant Now = instant(1000s);
  std::vector<http_callback> Calls;
  std::vector<proxy::events::evacuations_changed> Changes;
  store_client Client{
      [](duration, const std::function<void()> &Run) { Run(); },
      channels(),
      [this](proxy::event Event) {
        if (auto *Change =
                std::get_if<proxy::events::evacuations_changed>(&Event))
          Changes.push_back(std::move(*Change));
      },
      [](const std::string &, const std::string &) {},
      [](const proxy::effects::order_promotion &) { return true; },
      [this] { return Now; }};

  operator_fixture() { Client.start(); }

  platform_channels channels() {
    const auto Ignore = [](const http_call &, const http_callback &) {};
    platform_channels Channels;
    Channels.Lease = Channels.Change = Channels.Promotion = Ignore;
    Channels.Targets = Channels.Records = Ignore;
    Channels.Operator = [this](const http_call &, http_callback Done) {
      Calls.push_back(std::move(Done));
    };
    return Channels;
  }

  /// Answers the call that waits.
  void answer(std::string Body, unsigned Status = StatusOk) {
    REQUIRE(Calls.size() == 1);
    const http_callback Done = std::move(Calls.front());
    Calls.clear();
    Done({Status, std::move(Body)});
  }
};

using data_centres = std::set<std::string>;

constexpr const char *NothingListed =
    R"({"items":[],"MorePages":false,"CurrentRev":7})";
constexpr const char *NadiListed =
    R"({"items":[{"Key":"op/evacuate/nadi","Value":"e30=","Revision":5}],
       "MorePages":false,"CurrentRev":7})";
constexpr const char *NadiAdded =
    R"({"events":[{"Key":"op/evacuate/nadi","Value":"e30=","Revision":8}],
       "CurrentRev":8})";
constexpr const char *SuvaAdded =
    R"({"events":[{"Key":"op/evacuate/suva","Value":"e30=","Revision":9}],
       "CurrentRev":9})";
constexpr const char *NadiRemoved =
    R"({"events":[{"Key":"op/evacuate/nadi","Tombstone":true,"Revision":10}],
       "CurrentRev":10})";
constexpr const char *NoChange = R"({"events":[],"CurrentRev":7})";

} // namespace

TEST_CASE("Evacuations are reported as they are requested and taken back") {
  operator_fixture Fixture;
  Fixture.answer(NothingListed);
  CHECK(Fixture.Changes.empty());
  Fixture.answer(NadiAdded);
  Fixture.answer(SuvaAdded);
  Fixture.answer(NadiRemoved);
  REQUIRE(Fixture.Changes.size() == 3);
  CHECK(Fixture.Changes[0].DataCentres == data_centres{"nadi"});
  CHECK(Fixture.Changes[1].DataCentres == data_centres{"nadi", "suva"});
  CHECK(Fixture.Changes[2].DataCentres == data_centres{"suva"});
}

TEST_CASE("The age of an evacuation is counted from the proof before it") {
  operator_fixture Fixture;
  Fixture.answer(NothingListed);
  Fixture.Now += 1500ms;
  Fixture.answer(NoChange); // Proves the time until now.
  Fixture.Now += 400ms;
  Fixture.answer(NadiAdded);
  REQUIRE(Fixture.Changes.size() == 1);
  CHECK(Fixture.Changes[0].MaxAge == 400ms);
}

TEST_CASE("An evacuation that was requested before the first read may be old") {
  operator_fixture Fixture;
  Fixture.answer(NadiListed);
  REQUIRE(Fixture.Changes.size() == 1);
  CHECK(Fixture.Changes[0].MaxAge == duration::max());
}

TEST_CASE("An evacuation that was taken back unseen ends with the next read") {
  operator_fixture Fixture;
  Fixture.answer(NadiListed);
  Fixture.answer({}, StatusHistoryLost);
  Fixture.answer(NothingListed);
  REQUIRE(Fixture.Changes.size() == 2);
  CHECK(Fixture.Changes[1].DataCentres.empty());
}
