/// Tests of the store's era in the answers that a host gets directly and from
/// its peers.
#include <serve/store_gateway.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace {

using namespace bronzespar;

const endpoint Source{"10.0.0.1", 7560};

/// A gateway whose calls the test answers.
struct gateway_fixture {
  std::vector<platform::http_callback> Direct;
  std::vector<serve::relay_callback> Relayed;
  std::vector<std::string> Order; ///< Of eras and answers.
  std::size_t PollsEnded = 0;
  instant Now = instant(1000s);
  serve::store_gateway Gateway{
      links(), [](const proxy::event &) {},
      [](std::string_view, const std::vector<proxy::effects::log_field> &) {}};
  serve::platform_channels Channels = Gateway.makeChannels();

  gateway_fixture() {
    Gateway.setEraSink([this](std::uint64_t Era) {
      Order.push_back("era " + std::to_string(Era));
    });
  }

  serve::gateway_links links() {
    serve::gateway_links Links;
    const auto AskStore = [this](const platform::http_call &,
                                 platform::http_callback Done) {
      Direct.push_back(std::move(Done));
    };
    Links.OpenStoreLink = [this, AskStore] {
      return serve::store_link{AskStore, [this] { PollsEnded += 1; }};
    };
    Links.CallStoreOnce = AskStore;
    Links.Promote = AskStore;
    Links.Relay = [this](const endpoint &, const platform::http_call &,
                         serve::relay_callback Done) {
      Relayed.push_back(std::move(Done));
    };
    Links.AbandonWatches = [] {};
    Links.Now = [this] { return Now; };
    return Links;
  }

  platform::http_callback recordStatus() {
    return [this](const platform::http_answer &Answer) {
      Order.push_back(std::to_string(Answer.Status));
    };
  }

  void change() { Channels.Change({}, recordStatus()); }

  void watch() {
    platform::http_call Call;
    Call.IsLongPoll = true;
    Channels.Operator(std::move(Call), recordStatus());
  }

  void answerDirectly(unsigned Status, std::uint64_t Era) {
    REQUIRE_FALSE(Direct.empty());
    const platform::http_callback Done = std::move(Direct.front());
    Direct.erase(Direct.begin());
    Done(answerOf(Status, Era));
  }

  void answerAsPeer(unsigned Status, std::uint64_t Era) {
    REQUIRE_FALSE(Relayed.empty());
    const serve::relay_callback Done = std::move(Relayed.front());
    Relayed.erase(Relayed.begin());
    Done({answerOf(Status, Era), true, false});
  }

  static platform::http_answer answerOf(unsigned Status, std::uint64_t Era) {
    platform::http_answer Answer{Status, "{}"};
    Answer.Era = Era;
    return Answer;
  }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("A higher era is told once, before the answer that carried it") {
  gateway_fixture Host;
  for (int Call = 0; Call < 3; ++Call)
    Host.change();
  Host.answerDirectly(200, 1);
  CHECK(Host.Order == names{"era 1", "200"});
  Host.answerDirectly(429, 2);
  CHECK(Host.PollsEnded == 10); // Of five channels, for each era.
  Host.answerDirectly(200, 2);
  CHECK(Host.Order == names{"era 1", "200", "era 2", "429", "200"});
}

TEST_CASE("A store that tells no era is served as before") {
  gateway_fixture Host;
  Host.change();
  Host.answerDirectly(200, 0);
  CHECK(Host.Order == names{"200"});
}

TEST_CASE("An answer of an earlier era counts as none") {
  gateway_fixture Host;
  Host.change();
  Host.change();
  Host.answerDirectly(200, 2);
  Host.answerDirectly(200, 1);
  CHECK(Host.Order == names{"era 2", "200", "0"});
}

TEST_CASE("A watch source that has not noticed a restore does not serve") {
  // It would tell the hosts behind it that nothing had changed, with a proof.
  gateway_fixture Host;
  Host.Gateway.setWatchSources({Source});
  Host.change();
  Host.answerDirectly(200, 2);
  Host.watch();
  SECTION("its era is an earlier one") { Host.answerAsPeer(200, 1); }
  SECTION("it is of an earlier version") { Host.answerAsPeer(200, 0); }
  CHECK(Host.Order == names{"era 2", "200", "0"});
  Host.watch();
  CHECK(Host.Relayed.empty());
  CHECK(Host.Direct.size() == 1);
}

TEST_CASE("A watch source that has noticed a restore tells of it") {
  gateway_fixture Host;
  Host.Gateway.setWatchSources({Source});
  Host.change();
  Host.answerDirectly(200, 1);
  Host.watch();
  Host.answerAsPeer(410, 2);
  CHECK(Host.Order == names{"era 1", "200", "era 2", "410"});
  Host.watch();
  CHECK(Host.Relayed.size() == 1);
}

TEST_CASE("A call that is made for a peer may tell of a restore") {
  gateway_fixture Host;
  platform::http_answer Passed;
  Host.Gateway.relayFor({}, [&Passed](serve::relay_answer Answer) {
    Passed = std::move(Answer.Answer);
  });
  Host.answerDirectly(200, 3);
  CHECK(Host.Order == names{"era 3"});
  CHECK(Passed.Era == 3);
}
