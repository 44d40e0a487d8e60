/// Rates over several hosts, on virtual time.
#include <bronzespar/proxy/allowance.hpp>

#include <catch2/catch.hpp>

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

/// Hosts that ask one another for tokens at each step, as the daemon does.
struct fleet {
  std::array<allowance_table, Hosts> Tables;
  std::mt19937 Random{20261204};

  void divide(double Rate, double Burst, instant Now) {
    for (allowance_table &Table : Tables)
      divideRates(Table, settingsWith(Rate, Burst), Hosts, Now);
  }

  void exchange(std::size_t Host, instant Now) {
    account_allowance &Own = Tables[Host].Accounts[Account];
    const double Wanted = tokensToAsk(Own, Now);
    if (Wanted < 1)
      return;
    Own.AskAfter = Now + 50ms;
    std::size_t Peer = Own.NextPeer++ % Hosts;
    if (Peer == Host)
      Peer = Own.NextPeer++ % Hosts;
    const double Given = handOver(Tables[Peer], Account, Wanted, Now);
    if (Given >= 1)
      receiveTokens(Tables[Host], Account, Given, Now);
  }

  /// \returns Operations admitted over the span.
  unsigned run(instant From, duration Span, double PerSecond,
               const std::array<double, Hosts> &Parts) {
    unsigned Admitted = 0;
    std::uniform_real_distribution<double> Chance(0, 1);
    for (instant Now = From; Now < From + Span; Now += 5ms)
      for (std::size_t Host = 0; Host < Hosts; ++Host) {
        exchange(Host, Now);
        if (Chance(Random) < PerSecond * Parts[Host] * 0.005 &&
            takeToken(Tables[Host], Account, Now))
          Admitted += 1;
      }
    return Admitted;
  }
};

/// One data centre has one host, another three; each gets a third of the
/// callers.
constexpr std::array<double, Hosts> Uneven{1. / 9, 1. / 9, 1. / 9,
                                           1. / 3, 1. / 6, 1. / 6};

} // namespace

TEST_CASE("An account is served its rate when callers arrive at few hosts") {
  fleet Fleet;
  Fleet.divide(25, 25, Start);
  Fleet.run(Start, 5s, 10, Uneven);
  const unsigned Admitted = Fleet.run(Start + 5s, 30s, 60, Uneven);
  // Entitled to 25 a second and a burst of 25; a twentieth may lie about.
  CHECK(Admitted >= 0.95 * 25 * 30);
  CHECK(Admitted <= 25 * 30 + 25);
}

TEST_CASE("No window has more operations than rate and burst allow") {
  fleet Fleet;
  Fleet.divide(25, 25, Start);
  Fleet.run(Start, 20s, 5, Uneven);
  std::vector<unsigned> Parts;
  Parts.reserve(60);
  for (int Slice = 0; Slice < 60; ++Slice)
    Parts.push_back(Fleet.run(Start + 20s + Slice * 250ms, 250ms, 90, Uneven));
  for (std::size_t First = 0; First + 20 <= Parts.size(); ++First) {
    unsigned Sum = 0;
    for (std::size_t Slice = First; Slice < First + 20; ++Slice)
      Sum += Parts[Slice];
    // Tokens that moved between hosts may be used in the next window; the
    // stated tolerance is a tenth and 20.
    CHECK(Sum <= 25 * 5 + 25 + 10);
  }
}

TEST_CASE("A demand below the rate is not refused, wherever it arrives") {
  fleet Fleet;
  Fleet.divide(50, 50, Start);
  Fleet.run(Start, 5s, 10, Uneven);
  const unsigned Admitted = Fleet.run(Start + 5s, 30s, 32, Uneven);
  CHECK(Admitted >= 0.99 * 32 * 30 - 60); // Less the spread of arrivals.
}

TEST_CASE("Tokens that arrive are not kept beyond their lifetime") {
  allowance_table Table;
  divideRates(Table, settingsWith(1, 1), 1, Start);
  receiveTokens(Table, Account, 5, Start);
  CHECK(takeToken(Table, Account, Start + 1s));
  CHECK_FALSE((takeToken(Table, Account, Start + 10s) &&
               takeToken(Table, Account, Start + 10s)));
}
