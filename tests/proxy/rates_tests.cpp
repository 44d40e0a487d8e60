/// Rates while hosts start, expire and return. The test plays the store.
#include "host_driver.hpp"

#include <proxy/parts.hpp>

#include <deque>
#include <map>
#include <memory>

using namespace session_test;

namespace {

constexpr double Rate = 200;
constexpr double Burst = 200;
constexpr duration TickInterval = 5ms;
/// Time until the hosts learn of a change in the store.
constexpr duration WatchDelay = 60ms;
constexpr duration AnswerDelay = 5ms;
/// Most operations admitted in 5 s, with the stated tolerance.
constexpr double MaxAdmitted = (Rate * 5 + Burst) * 1.1 + 20;

/// Hosts that see each other's records through one simulated store.
struct simulated_fleet {
  struct delayed_event {
    instant At{};
    std::size_t Host = 0;
    event Event;
  };
  std::vector<std::unique_ptr<host_driver>> Hosts;
  std::vector<instant> StartTimes;
  std::deque<delayed_event> Delayed;
  std::map<std::string, store_record> Records;
  std::uint64_t Revision = 100;
  instant Now = instant(1000s);

  static std::string nameOf(std::size_t Host) {
    return "host-" + std::to_string(Host);
  }

  explicit simulated_fleet(std::size_t Count, duration BetweenStarts) {
    for (std::size_t Host = 0; Host < Count; ++Host) {
      Hosts.push_back(std::make_unique<host_driver>(nameOf(Host)));
      StartTimes.push_back(Now + static_cast<int>(Host) * BetweenStarts);
    }
  }

  void startHost(std::size_t Host) {
    proxy_settings Settings;
    Settings.Version = 1;
    Settings.Accounts["rago"] = {"rago", Rate, Burst};
    deliver(Host, events::store_reachability_changed{true});
    deliver(Host, events::settings_changed{Settings});
    for (const auto &[Key, Record] : Records)
      Delayed.push_back(
          {Now + WatchDelay, Host, events::record_changed{Record}});
  }

  void deliver(std::size_t Host, event Event) {
    Hosts[Host]->Now = Now;
    Hosts[Host]->send(std::move(Event));
  }

  void notifyAll(const event &Event) {
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
      Delayed.push_back({Now + WatchDelay, Host, Event});
  }

  /// Answers one host's calls to the store.
  void answerCalls(std::size_t Host) {
    host_driver &Driver = *Hosts[Host];
    for (const auto &Grant : Driver.takeEffects<effects::grant_lease>())
      Delayed.push_back(
          {Now + AnswerDelay, Host,
           events::lease_answered{Host + 1, Grant.TimeToLive, Now, true}});
    for (const auto &Renew : Driver.takeEffects<effects::renew_lease>())
      Delayed.push_back(
          {Now + AnswerDelay, Host,
           events::lease_answered{Renew.Lease, 1600ms, Now, true}});
    for (const auto &Change : Driver.takeEffects<effects::change_records>()) {
      for (const store_write &Write : Change.Writes) {
        Records[Write.Key] = {Write.Key, Write.Value, ++Revision, Host + 1};
        notifyAll(events::record_changed{Records[Write.Key]});
      }
      Delayed.push_back(
          {Now + AnswerDelay, Host,
           events::change_ended{Change.Call, change_outcome::Done, Revision}});
    }
  }

  void advanceTime(duration Span) {
    for (const instant End = Now + Span; Now < End; Now += TickInterval) {
      std::deque<delayed_event> Due;
      Due.swap(Delayed);
      for (delayed_event &Delivery : Due)
        if (Delivery.At <= Now && StartTimes[Delivery.Host] <= Now)
          deliver(Delivery.Host, std::move(Delivery.Event));
        else if (StartTimes[Delivery.Host] <= Now)
          Delayed.push_back(std::move(Delivery));
      for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
        if (StartTimes[Host] > Now)
          continue;
        if (StartTimes[Host] > Now - TickInterval)
          startHost(Host);
        deliver(Host, events::tick{});
        answerCalls(Host);
      }
    }
  }

  /// Simulates leases that expired in a store outage: afterwards all records
  /// are gone, and each host learns this with its next renewal.
  void expireAllLeases() {
    Records.clear();
    for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
      notifyAll(events::record_removed{std::string(HostsPrefix) + nameOf(Host),
                                       ++Revision});
      Delayed.push_back({Now + static_cast<int>(Host) * 50ms, Host,
                         events::lease_answered{0, {}, Now, true}});
    }
  }

  /// Every host requests as many operations as it can get.
  /// \returns The number of admitted operations.
  unsigned sendMaxLoad(duration Span) {
    unsigned Admitted = 0;
    for (const instant End = Now + Span; Now < End;) {
      advanceTime(TickInterval);
      for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
        if (StartTimes[Host] > Now)
          continue;
        effect_list Out;
        step_context Step{*Hosts[Host]->Host, Now, Out};
        for (int Try = 0; Try < 4; ++Try)
          Admitted += admitOperation(Step, "rago") ? 1 : 0;
      }
    }
    return Admitted;
  }
};

} // namespace

TEST_CASE("Hosts that start together do not each get the whole rate") {
  // All hosts are killed under load. Each new process first knows of no other
  // host, and the old ones may have spent the window's burst.
  simulated_fleet Fleet(8, 30ms);
  const unsigned Before = static_cast<unsigned>(Burst + Rate);
  CHECK(Before + Fleet.sendMaxLoad(4s) <= MaxAdmitted);
}

TEST_CASE("A starting host serves callers as soon as its buckets may refill") {
  // In the run canoclaro-sul trouble-1, all hosts had lost power. Within 400
  // ms, two hundred operations were refused for their accounts' rate.
  simulated_fleet Fleet(8, 5ms);
  Fleet.advanceTime(400ms);
  CHECK(Fleet.sendMaxLoad(100ms) >= Rate * 0.25);
}

TEST_CASE("Hosts whose leases expired together keep their parts of the rate") {
  // Leases expired in a store outage. Afterwards the records of all hosts are
  // removed before the first host has registered again.
  simulated_fleet Fleet(12, 30ms);
  Fleet.sendMaxLoad(5s);
  Fleet.expireAllLeases();
  CHECK(Fleet.sendMaxLoad(5s) <= MaxAdmitted);
}

// Others refill in place of a host whose lease has ended while it was
// suspended. Its first step afterwards handled a statement before any tick.
TEST_CASE("A host that was suspended has no tokens from before or meanwhile") {
  host_driver Driver;
  Driver.becomeReady();
  Driver.advanceTime(500ms);
  auto &Accounts = Driver.Host->Allowances.Accounts;
  REQUIRE_FALSE(Accounts.empty());
  account_allowance &Allowance = Accounts.begin()->second;
  REQUIRE(Allowance.Bucket.Tokens >= 1);
  Driver.Now += 4s;
  Driver.send(events::forward_pending{"#1"});
  refillBucket(Allowance.Bucket, Driver.Now);
  CHECK(Allowance.Bucket.Tokens < 1);
}
