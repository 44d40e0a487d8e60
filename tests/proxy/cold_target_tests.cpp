/// Load of targets that have started and are still slow.
#include "host_driver.hpp"

#include <proxy/parts.hpp>

#include <numeric>

using namespace session_test;

namespace {

/// Lists primary "a" and replica "b"; "a" is cold for a time.
void listCold(host_driver &Driver, duration ColdFor,
              std::int64_t StartedAt = 0) {
  events::targets_listed Listed{
      {host_driver::makeEntry("a", true), host_driver::makeEntry("b", false)}};
  Listed.Targets.front().ColdFor = ColdFor;
  Listed.Targets.front().StartedAt = StartedAt;
  Driver.send(Listed);
}

host_driver readyHost(double ColdPerSecond) {
  host_driver Driver;
  Driver.becomeReady();
  proxy_settings Settings = *Driver.Host->Settings;
  Settings.Version += 1;
  Settings.Groups[Group].ColdPerSecond = ColdPerSecond;
  Settings.Routes["live"].StatementTimeout = 30s;
  Driver.send(events::settings_changed{Settings});
  return Driver;
}

/// Times at which statements reach targets while many wait for the primary.
std::vector<instant> replayReturn(host_driver &Driver, duration Span) {
  for (int Caller = 0; Caller < 200; ++Caller)
    Driver.sendStatement(Driver.openSession("live"),
                         "r" + std::to_string(Caller), statement_kind::Read,
                         "READ 1");
  std::vector<instant> Sent;
  const instant End = Driver.Now + Span;
  while (Driver.Now < End) {
    Driver.grantLease(7);
    Driver.advanceTime(10ms);
    Driver.acceptDials();
    for (const auto &Each : Driver.takeEffects<effects::send_target>()) {
      Sent.push_back(Driver.Now);
      Driver.send(events::target_answered{
          Each.Connection, host_driver::completedAnswer({1, 0})});
    }
  }
  return Sent;
}

/// The most statements within any second.
std::ptrdiff_t mostInSecond(const std::vector<instant> &Sent) {
  std::ptrdiff_t Most = 0;
  for (auto From = Sent.begin(); From != Sent.end(); ++From)
    Most = std::max(
        Most,
        std::distance(From, std::find_if(From, Sent.end(), [&](instant At) {
                        return At - *From > 1s;
                      })));
  return Most;
}

} // namespace

TEST_CASE("A target that returns cold gets no more than its limit in any "
          "second, and all once it is warm") {
  host_driver Driver = readyHost(10);
  listCold(Driver, 5s, 2);
  const auto Sent = replayReturn(Driver, 4s);
  CHECK(mostInSecond(Sent) == 10);
  CHECK(Sent.size() >= 35);
  CHECK(replayReturn(Driver, 2s).size() > 150);
}

TEST_CASE("Entries that repeat do not keep a target cold") {
  host_driver Driver = readyHost(10);
  listCold(Driver, 1s);
  Driver.Now += 900ms;
  listCold(Driver, 1s);
  Driver.Now += 200ms;
  CHECK(mostInSecond(replayReturn(Driver, 500ms)) > 100);
}

TEST_CASE("A cold target is not limited where the settings name no limit") {
  host_driver Driver = readyHost(0);
  listCold(Driver, 10s);
  CHECK(mostInSecond(replayReturn(Driver, 500ms)) > 100);
}

TEST_CASE("The hosts' parts of a cold target's limit add up to it") {
  for (const unsigned MaxConnections : {1U, 1000U}) {
    const bool Owned = MaxConnections == 1;
    for (const unsigned Limit : {1U, 5U, 10U, 40U}) {
      std::size_t Total = 0;
      for (int Self = 1; Self <= 7; ++Self) {
        host_driver Driver("host-" + std::to_string(Self));
        Driver.applySettings();
        proxy_settings Settings = *Driver.Host->Settings;
        Settings.Version += 1;
        Settings.Groups[Group] = {MaxConnections, 0,
                                  static_cast<double>(Limit)};
        Driver.send(events::settings_changed{Settings});
        for (int Name = 1; Name <= 7; ++Name) {
          host_record Record;
          Record.PeerEndpoint = {"10.0.0." + std::to_string(Name), 7560};
          Record.DataCentre = "suva";
          Driver.send(events::record_changed{
              {"hosts/host-" + std::to_string(Name), formatRecord(Record),
               ++Driver.Revision, 7}});
        }
        listCold(Driver, 10s);
        REQUIRE(areConnectionsOwned(*Driver.Host, Group) == Owned);
        target_view &Target = Driver.Host->Targets.at("a");
        while (hasColdRoom(*Driver.Host, Target, Driver.Now)) {
          noteColdSend(*Driver.Host, Target, Driver.Now);
          Total += 1;
        }
      }
      CHECK(Total == Limit);
    }
  }
}
