/// Tests of the fleet-wide rate limit: all hosts together must not exceed it,
/// even if messages are lost, late or duplicated and hosts are paused,
/// restarted or partitioned.
#include "limits/share_fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>

using namespace bronzespar;
using share_test::fleet;

namespace {

const account_id Kava("kava");

fleet_settings settingsOf(double Rate, double Burst, std::size_t DataCentres,
                          std::uint32_t Hosts) {
  fleet_settings Settings;
  for (std::size_t Index = 0; Index < DataCentres; ++Index)
    Settings.DataCentres.push_back(
        {data_centre_id("dc" + std::to_string(Index)), "r", Hosts});
  Settings.Accounts.push_back({Kava, Rate, Burst, 1});
  return Settings;
}

} // namespace

TEST_CASE("a refill plan stays within the rate and burst") {
  for (const double Burst : {2.0, 3.0, 10.0, 50.0, 400.0}) {
    for (const double Rate : {0.5, 10.0, 100.0, 5000.0}) {
      const auto Settings = settingsOf(Rate, Burst, 3, 2);
      const refill_plan Plan = planRefillSlots(Settings.Accounts[0], Settings);
      INFO("rate " << Rate << " burst " << Burst);
      const double SlotCount = static_cast<double>(Plan.RefillSlots.size());
      CHECK(SlotCount * Plan.BurstPerSlot +
                Rate * toSeconds(Plan.TokenValidity) <=
            Burst + 1e-6);
      CHECK(SlotCount * Plan.RatePerSlot <= Rate);
      CHECK(SlotCount * Plan.BurstPerSlot >= 1);
      CHECK(Plan.RefillSlots.size() >= 3);
    }
  }
}

TEST_CASE("requests at one host can use the whole fleet's rate") {
  fleet Fleet(settingsOf(120, 60, 3, 2), 1);
  Fleet.run(2s, [](std::size_t) { return 0.0; });
  const auto Skewed = [](std::size_t Host) { return Host == 0 ? 84.0 : 0.0; };
  Fleet.run(20s, Skewed);
  std::cout << "skewed requests at 0.7 of the rate: " << Fleet.AdmittedAt.size()
            << " admitted, " << Fleet.Refused << " refused\n";
  // The bound for evenly spread requests, 0.1 % refused, must hold here too.
  CHECK(Fleet.Refused * 1000 <= Fleet.AdmittedAt.size());
  CHECK(Fleet.maxExcessOverRate(120, 60) <= 0);
}

TEST_CASE("requests above the rate are limited to the rate") {
  fleet Fleet(settingsOf(60, 30, 3, 2), 2);
  Fleet.run(20s, [](std::size_t) { return 50.0; });
  CHECK(Fleet.maxExcessOverRate(60, 30) <= 0);
  // Reserves for clock drift, token validity and message delay cost a few per
  // cent of the rate.
  CHECK(Fleet.AdmittedAt.size() >= 20 * 60 * 0.9);
}

TEST_CASE("requests far above a small rate can use all of it") {
  fleet Fleet(settingsOf(40, 20, 3, 2), 6);
  Fleet.MaxWait = 250ms; // The maximum wait on a host.
  Fleet.run(2s, [](std::size_t) { return 0.0; });
  Fleet.run(15s, [](std::size_t) { return 33.0; });
  const double Allowed = 15 * 40 + 20;
  std::cout << "five times a rate of 40: " << Fleet.AdmittedAt.size() << " of "
            << Allowed << " admitted\n";
  CHECK(static_cast<double>(Fleet.AdmittedAt.size()) >= Allowed * 0.99);
  CHECK(Fleet.maxExcessOverRate(40, 20) <= 0);
}

TEST_CASE("a data centre that is partitioned off keeps its part of the rate") {
  fleet Fleet(settingsOf(120, 60, 3, 2), 3);
  Fleet.isolate(data_centre_id("dc0"));
  Fleet.run(10s, [](std::size_t Host) { return Host < 2 ? 15.0 : 0.0; });
  CHECK(Fleet.AdmittedAt.size() >= 10 * 30 * 0.9);
  CHECK(Fleet.maxExcessOverRate(120, 60) <= 0);
}

TEST_CASE(
    "unresponsive refill slots do not delay requests that others can serve") {
  fleet Fleet(settingsOf(120, 60, 3, 2), 5);
  const auto Skewed = [](std::size_t Host) { return Host == 0 ? 56.0 : 0.0; };
  Fleet.run(2s, Skewed);
  Fleet.pause(2, 60s);
  Fleet.pause(3, 60s);
  Fleet.run(20s, Skewed);
  std::cout << "two refill slots of six unresponsive: "
            << Fleet.AdmittedAt.size() << " admitted, " << Fleet.Refused
            << " refused\n";
  CHECK(Fleet.Refused * 1000 <= Fleet.AdmittedAt.size());
}

TEST_CASE(
    "with a moderate burst every host of a small fleet is a refill slot") {
  const auto Settings = settingsOf(40, 20, 3, 2);
  CHECK(planRefillSlots(Settings.Accounts[0], Settings).RefillSlots.size() ==
        6);
}

TEST_CASE("a host that resumes after a pause uses no expired token") {
  fleet Fleet(settingsOf(100, 50, 3, 2), 4);
  const auto Even = [](std::size_t) { return 30.0; };
  Fleet.run(2s, Even);
  Fleet.pause(0, 3s);
  Fleet.run(6s, Even);
  CHECK(Fleet.maxExcessOverRate(100, 50) <= 0);
}

TEST_CASE("a grant without a pending request, or that comes late, is ignored") {
  const auto Settings = settingsOf(100, 50, 1, 2);
  host_settings Self;
  Self.DataCentre = data_centre_id("dc0");
  rate_share_state State;
  configureShares(State, Settings, Self, instant(0s));
  const host_slot Other{Self.DataCentre, 1};
  applyGrant(State, Other, {7, {{Kava, 5, 0}}}, instant(1ms));
  CHECK(State.Shares[0].Granted.empty());
  CHECK(admitRequest(State, Kava, 1, 50ms, instant(1ms)).Kind ==
        admission_kind::Waiting);
  const auto Requests = planTokenRequests(State, instant(1ms));
  REQUIRE(Requests.size() == 1);
  const std::uint64_t Sequence = Requests[0].Request.Sequence;
  applyGrant(State, Other, {Sequence, {{Kava, 5, 0}}}, instant(2s));
  CHECK(State.Shares[0].Granted.empty());
}

TEST_CASE("a duplicated grant is applied once") {
  const auto Settings = settingsOf(100, 50, 1, 2);
  host_settings Self;
  Self.DataCentre = data_centre_id("dc0");
  rate_share_state State;
  configureShares(State, Settings, Self, instant(0s));
  CHECK(admitRequest(State, Kava, 1, 50ms, instant(1ms)).Kind ==
        admission_kind::Waiting);
  const auto Requests = planTokenRequests(State, instant(1ms));
  REQUIRE(Requests.size() == 1);
  const share_grant Grant{Requests[0].Request.Sequence, {{Kava, 1, 0}}};
  applyGrant(State, Requests[0].RefillSlot, Grant, instant(2ms));
  applyGrant(State, Requests[0].RefillSlot, Grant, instant(2ms));
  CHECK(State.Shares[0].Granted.size() == 1);
}

TEST_CASE("a new refill slot adds no tokens before the refill start delay") {
  auto Settings = settingsOf(100, 50, 1, 1);
  host_settings Self;
  Self.DataCentre = data_centre_id("dc1");
  rate_share_state State;
  configureShares(State, Settings, Self, instant(0s));
  CHECK_FALSE(State.Shares[0].IsRefillSlot);
  Settings.DataCentres.push_back({Self.DataCentre, "r", 1});
  configureShares(State, Settings, Self, instant(1s));
  CHECK(admitRequest(State, Kava, 1, 0s, instant(10s)).Kind ==
        admission_kind::Refused);
  CHECK(admitRequest(State, Kava, 2, 0s, instant(12s)).Kind ==
        admission_kind::Refused);
  CHECK(admitRequest(State, Kava, 3, 0s, instant(13s)).Kind ==
        admission_kind::Admitted);
}

TEST_CASE("the fleet keeps the rate limit on random schedules") {
  rc::check("admissions of all hosts stay within rate and burst", [] {
    const double Rate = *rc::gen::inRange(1, 300);
    const double Burst = *rc::gen::inRange(2, 100);
    const auto DataCentres = *rc::gen::inRange<std::size_t>(1, 4);
    const auto Hosts = *rc::gen::inRange<std::uint32_t>(1, 4);
    const auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
    fleet Fleet(settingsOf(Rate, Burst, DataCentres, Hosts), Seed);
    Fleet.LossProbability = *rc::gen::element(0.0, 0.1, 0.5);
    Fleet.MaxDelay =
        *rc::gen::element(duration(1ms), duration(40ms), duration(2s));
    Fleet.DuplicateProbability = *rc::gen::element(0.0, 0.3);
    const double TotalRate = *rc::gen::element(0.2, 1.0, 5.0) * Rate;
    const bool Skewed = *rc::gen::arbitrary<bool>();
    const double HostCount = static_cast<double>(DataCentres * Hosts);
    const auto RequestRate = [=](std::size_t Host) {
      if (Skewed)
        return Host == 0 ? TotalRate : 0.0;
      return TotalRate / HostCount;
    };
    for (int Phase = 0; Phase < 4; ++Phase) {
      Fleet.pauseOrRestartRandomHost();
      Fleet.run(700ms, RequestRate);
    }
    RC_ASSERT(Fleet.maxExcessOverRate(Rate, Burst) <= 0);
  });
}
