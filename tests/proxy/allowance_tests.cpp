/// Rate limits over several hosts, on virtual time.
#include <bronzespar/proxy/allowance.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace {

using namespace bronzespar;
using namespace bronzespar::proxy;

constexpr std::size_t Hosts = 6;
const std::string Account = "rago";
const instant Start = instant(1000s);

proxy_settings settingsWith(double Rate, double Burst) {
  proxy_settings Settings;
  Settings.Accounts[Account] = {Account, Rate, Burst};
  return Settings;
}

/// Hosts that request tokens from each other in each step, as the daemon does.
struct fleet {
  std::array<allowance_table, Hosts> Tables;
  std::mt19937 Random{20261204};

  static std::string nameOf(std::size_t Host) {
    return "host-" + std::to_string(Host);
  }

  static std::vector<std::string> names() {
    std::vector<std::string> Names;
    Names.reserve(Hosts);
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      Names.push_back(nameOf(Host));
    return Names;
  }

  void divide(double Rate, double Burst, instant Now) {
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      divideRates(Tables[Host], settingsWith(Rate, Burst), names(),
                  nameOf(Host), Now);
  }

  void exchange(std::size_t Host, bool IsNeeded, instant Now) {
    account_allowance &Requester = Tables[Host].Accounts[Account];
    const double Wanted = tokensToRequest(Requester, IsNeeded, Now);
    if (Wanted < 1)
      return;
    Requester.NextRequestAt = Now + 50ms;
    const std::string &Name =
        Requester.RefillingHosts[Requester.NextRefillingHost++ %
                                 Requester.RefillingHosts.size()];
    const auto Peer = static_cast<std::size_t>(std::stoul(Name.substr(5)));
    if (Peer == Host)
      return;
    const double Transferred =
        transferTokens(Tables[Peer], Account, Wanted, Now);
    if (Transferred >= 1)
      receiveTokens(Tables[Host], Account, Transferred, Now);
  }

  /// Sends operations at a rate, divided among the hosts by Parts.
  /// \returns The number of operations admitted.
  unsigned run(instant From, duration Span, double PerSecond,
               const std::array<double, Hosts> &Parts) {
    unsigned Admitted = 0;
    std::uniform_real_distribution<double> Chance(0, 1);
    for (instant Now = From; Now < From + Span; Now += 5ms)
      for (std::size_t Host = 0; Host < Hosts; ++Host) {
        exchange(Host, false, Now);
        if (Chance(Random) >= PerSecond * Parts[Host] * 0.005)
          continue;
        recordDemand(Tables[Host], Account);
        bool Taken = takeToken(Tables[Host], Account, Now);
        if (!Taken) {
          exchange(Host, true, Now);
          Taken = takeToken(Tables[Host], Account, Now);
        }
        Admitted += Taken ? 1 : 0;
      }
    return Admitted;
  }
};

/// Three data centres with three, one and two hosts; each data centre gets a
/// third of the callers.
constexpr std::array<double, Hosts> UnevenLoad{1. / 9, 1. / 9, 1. / 9,
                                               1. / 3, 1. / 6, 1. / 6};

} // namespace

TEST_CASE("An account gets its full rate when callers arrive at few hosts") {
  fleet Fleet;
  Fleet.divide(25, 25, Start);
  Fleet.run(Start, 5s, 10, UnevenLoad);
  const unsigned Admitted = Fleet.run(Start + 5s, 30s, 60, UnevenLoad);
  // Rate and burst are 25; a twentieth of the tokens may lie unused on hosts.
  CHECK(Admitted >= 0.95 * 25 * 30);
  CHECK(Admitted <= 25 * 30 + 25);
}

TEST_CASE("No window admits more operations than rate and burst allow") {
  fleet Fleet;
  Fleet.divide(25, 25, Start);
  Fleet.run(Start, 20s, 5, UnevenLoad);
  std::vector<unsigned> Parts;
  Parts.reserve(60);
  for (int Slice = 0; Slice < 60; ++Slice)
    Parts.push_back(
        Fleet.run(Start + 20s + Slice * 250ms, 250ms, 90, UnevenLoad));
  for (std::size_t First = 0; First + 20 <= Parts.size(); ++First) {
    unsigned Sum = 0;
    for (std::size_t Slice = First; Slice < First + 20; ++Slice)
      Sum += Parts[Slice];
    // Transferred tokens may be used in the next window; the documented
    // tolerance is a tenth plus 20.
    CHECK(Sum <= 25 * 5 + 25 + 10);
  }
}

TEST_CASE("Demand below the rate is admitted on every host") {
  fleet Fleet;
  Fleet.divide(50, 50, Start);
  Fleet.run(Start, 5s, 10, UnevenLoad);
  const unsigned Admitted = Fleet.run(Start + 5s, 30s, 32, UnevenLoad);
  // The number of arrivals is random; 60 allows for its spread.
  CHECK(Admitted >= 0.99 * 32 * 30 - 60);
}

TEST_CASE("Transferred tokens expire after their lifetime") {
  allowance_table Table;
  divideRates(Table, settingsWith(1, 1), {}, "host-0", Start);
  receiveTokens(Table, Account, 5, Start);
  CHECK(takeToken(Table, Account, Start + 1s));
  CHECK_FALSE((takeToken(Table, Account, Start + 10s) &&
               takeToken(Table, Account, Start + 10s)));
}

TEST_CASE("A small burst has few refilling hosts, the same for every host") {
  std::vector<std::string> Names;
  Names.reserve(78);
  for (int Host = 0; Host < 77; ++Host)
    Names.push_back("host-" + std::to_string(Host));
  const auto RefillingHosts = refillingHostsFor({Account, 25, 25}, Names);
  CHECK(RefillingHosts.size() == 3);
  CHECK(refillingHostsFor({Account, 25, 25}, Names) == RefillingHosts);
  CHECK(refillingHostsFor({Account, 2000, 2000}, Names).size() == 77);
  // A host that joins replaces at most one refilling host.
  Names.emplace_back("host-new");
  const auto After = refillingHostsFor({Account, 25, 25}, Names);
  std::size_t Kept = 0;
  for (const std::string &Name : After)
    Kept += static_cast<std::size_t>(
        std::count(RefillingHosts.begin(), RefillingHosts.end(), Name));
  CHECK(Kept >= 2);
}

TEST_CASE(
    "A host that stopped refilling spends only the tokens that it holds") {
  allowance_table Table;
  divideRates(Table, settingsWith(10, 4), {}, "host-0", Start);
  stopRefilling(Table, Start + 10s);
  unsigned Admitted = 0;
  for (int Try = 0; Try < 20; ++Try)
    Admitted += takeToken(Table, Account, Start + 60s) ? 1 : 0;
  CHECK(Admitted == 4);
}

TEST_CASE("A small rate is served in full to callers spread over many hosts") {
  // With 77 hosts and 81 accounts, each host requested two tokens for a single
  // caller, and the second one expired unused.
  constexpr std::size_t HostCount = 77;
  std::vector<std::string> Names;
  Names.reserve(HostCount);
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    Names.push_back("host-" + std::to_string(Host));
  std::vector<allowance_table> Tables(HostCount);
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    divideRates(Tables[Host], settingsWith(16, 16), Names, Names[Host], Start);
  std::mt19937 Random{20261204};
  unsigned Requested = 0;
  unsigned Admitted = 0;
  for (instant Now = Start + 3s; Now < Start + 33s; Now += 100ms) {
    const std::size_t Host = Random() % HostCount;
    Requested += 1;
    recordDemand(Tables[Host], Account);
    if (takeToken(Tables[Host], Account, Now)) {
      Admitted += 1;
      continue;
    }
    account_allowance &Requester = Tables[Host].Accounts[Account];
    const double Wanted = tokensToRequest(Requester, true, Now);
    for (const std::string &RefillingHost : Requester.RefillingHosts) {
      const auto Peer =
          static_cast<std::size_t>(std::stoul(RefillingHost.substr(5)));
      const double Transferred =
          transferTokens(Tables[Peer], Account, Wanted, Now);
      if (Transferred < 1)
        continue;
      receiveTokens(Tables[Host], Account, Transferred, Now);
      break;
    }
    Admitted += takeToken(Tables[Host], Account, Now) ? 1 : 0;
  }
  CHECK(Admitted == Requested);
}

TEST_CASE("Retries of an operation are not counted as demand") {
  // Each retry of a waiting statement was counted, and hosts requested dozens
  // of tokens for one caller.
  allowance_table Table;
  divideRates(Table, settingsWith(1, 1), {"host-1"}, "host-0", Start);
  recordDemand(Table, Account);
  for (int Try = 0; Try < 50; ++Try)
    CHECK_FALSE(takeToken(Table, Account, Start + Try * 1ms));
  account_allowance &Allowance = Table.Accounts[Account];
  CHECK(tokensToRequest(Allowance, true, Start + 600ms) <= 1);
}

// Statements that a target refused return their token. Most hosts of a large
// fleet have no bucket that refills for the account.
TEST_CASE("A token that is returned can be spent again on a host whose bucket "
          "does not refill") {
  constexpr std::size_t FleetSize = 84;
  const proxy_settings Settings = settingsWith(20, 20);
  std::vector<std::string> Names;
  for (std::size_t Host = 0; Host < FleetSize; ++Host)
    Names.push_back(fleet::nameOf(100 + Host));
  const auto Refilling =
      refillingHostsFor(Settings.Accounts.at(Account), Names);
  const auto Own = std::find_if(Names.begin(), Names.end(), [&](const auto &N) {
    return std::find(Refilling.begin(), Refilling.end(), N) == Refilling.end();
  });
  REQUIRE(Own != Names.end());
  allowance_table Table;
  divideRates(Table, Settings, Names, *Own, Start);
  receiveTokens(Table, Account, 1, Start);
  REQUIRE(takeToken(Table, Account, Start + 1ms));
  returnToken(Table, Account);
  CHECK(takeToken(Table, Account, Start + 5ms));
}
