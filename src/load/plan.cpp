/// Planning of the load.
#include <load/plan.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace bronzespar::load {

namespace {

using generator = std::mt19937_64;

/// Uniform in [0, 1).
double uniform(generator &Random) {
  constexpr double Range = 9007199254740992.0; // 2^53
  return static_cast<double>(Random() >> 11) / Range;
}

double exponential(generator &Random, double RatePerSecond) {
  return -std::log1p(-uniform(Random)) / RatePerSecond;
}

double weightOf(const load_settings &Settings, work_kind Kind) {
  return Settings.Mix[static_cast<std::size_t>(Kind)];
}

double totalWeight(const load_settings &Settings) {
  return std::accumulate(Settings.Mix.begin(), Settings.Mix.end(), 0.0);
}

double requestsPerWork(const load_settings &Settings) {
  const double Transactions = weightOf(Settings, work_kind::Transaction);
  return 1 + Transactions * (TransactionRequests - 1) / totalWeight(Settings);
}

work_kind chooseKind(generator &Random, const load_settings &Settings) {
  double Left = uniform(Random) * totalWeight(Settings);
  for (std::size_t Kind = 0; Kind < WorkKinds; ++Kind) {
    Left -= Settings.Mix[Kind];
    if (Left < 0)
      return static_cast<work_kind>(Kind);
  }
  return work_kind::SessionRead;
}

planned_work planOne(generator &Random, const load_settings &Settings,
                     std::uint32_t Account, duration At) {
  planned_work Work;
  Work.At = At;
  Work.Account = Account;
  Work.Session =
      static_cast<std::uint32_t>(Random() % Settings.SessionsPerAccount);
  Work.Kind = chooseKind(Random, Settings);
  Work.RandomRoute = static_cast<std::uint32_t>(Random());
  Work.RandomRow = static_cast<std::uint32_t>(Random());
  return Work;
}

struct arrivals {
  std::uint32_t Account = NoAccount;
  double PerSecond = 0;
  duration From{};
  duration Until{};
};

void planArrivals(std::vector<planned_work> &Plan, const arrivals &Arrivals,
                  const load_settings &Settings, std::uint64_t Seed) {
  if (Arrivals.PerSecond <= 0)
    return;
  std::seed_seq Mixed{Seed, std::uint64_t{Arrivals.Account},
                      static_cast<std::uint64_t>(Arrivals.From.count())};
  generator Random(Mixed);
  double Seconds = toSeconds(Arrivals.From);
  while (true) {
    Seconds += exponential(Random, Arrivals.PerSecond);
    const duration At(std::llround(Seconds * 1e6));
    if (At >= Arrivals.Until)
      return;
    Plan.push_back(planOne(Random, Settings, Arrivals.Account, At));
  }
}

void planAccount(std::vector<planned_work> &Plan, std::uint32_t Account,
                 double RatePerSecond, const load_settings &Settings,
                 duration Length, std::uint64_t Seed,
                 const std::optional<surge> &Surge) {
  const double Usual =
      RatePerSecond * Settings.PartOfRate / requestsPerWork(Settings);
  if (!Surge || Surge->Account != Account) {
    planArrivals(Plan, {Account, Usual, duration{}, Length}, Settings, Seed);
    return;
  }
  const double Surging =
      RatePerSecond * Settings.SurgeFactor / requestsPerWork(Settings);
  planArrivals(Plan, {Account, Usual, duration{}, Surge->From}, Settings, Seed);
  planArrivals(Plan, {Account, Surging, Surge->From, Surge->Until}, Settings,
               Seed);
  planArrivals(Plan, {Account, Usual, Surge->Until, Length}, Settings, Seed);
}

} // namespace

std::vector<planned_work> planWork(const std::vector<rate_limit> &Limits,
                                   const load_settings &Settings,
                                   duration Length, std::uint64_t Seed,
                                   const std::optional<surge> &Surge) {
  std::vector<planned_work> Plan;
  for (std::uint32_t Account = 0; Account < Limits.size(); ++Account) {
    planAccount(Plan, Account, Limits[Account].RatePerSecond, Settings, Length,
                Seed, Surge);
  }
  planArrivals(Plan, {NoAccount, Settings.OpenRate, duration{}, Length},
               Settings, Seed);
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const planned_work &Left, const planned_work &Right) {
                     return Left.At < Right.At;
                   });
  return Plan;
}

} // namespace bronzespar::load
