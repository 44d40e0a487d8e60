/// Token buckets whose tokens move between hosts.
#include <bronzespar/proxy/allowance.hpp>

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <cmath>

namespace bronzespar::proxy {

namespace {

/// Least burst of one earner, in tokens: parts of a token are lost to all.
constexpr double MinBurstPerHost = 8;
/// Demand is measured over spans of this length.
constexpr duration DemandWindow = std::chrono::milliseconds(500);
/// Tokens for this much of the own demand are kept when others ask.
constexpr double ReservedDemandSeconds = 0.3;
/// Below this much of the own demand, other hosts are asked.
constexpr double PrefetchBelowDemandSeconds = 0.3;
/// A process is down for this long at least, and its part is not earned by
/// others before its lease has lapsed.
constexpr double StartupGrantSeconds = 0.3;
/// Operations a second from which tokens are fetched ahead.
constexpr double MinPrefetchDemandPerSecond = 2;
/// Asked for at once; more would rest unused at one host.
constexpr double RequestedDemandSeconds = 0.4;
/// Tokens handed over are void after this: rates count over short windows.
constexpr duration ReceivedTokenLifetime = std::chrono::milliseconds(700);

void updateDemandRate(account_allowance &Allowance, instant Now) {
  const duration Span = Now - Allowance.DemandSince;
  if (Span < DemandWindow)
    return;
  const double Rate = Allowance.DemandCount / toSeconds(Span);
  Allowance.DemandPerSecond = (Allowance.DemandPerSecond + Rate) / 2;
  Allowance.DemandCount = 0;
  Allowance.DemandSince = Now;
}

void dropExpiredTokens(account_allowance &Allowance, instant Now) {
  if (Now > Allowance.ReceivedAt + ReceivedTokenLifetime)
    Allowance.ReceivedTokens = 0;
}

} // namespace

std::vector<std::string>
refillingHostsFor(const client_account &Account,
                  const std::vector<std::string> &Hosts) {
  const auto Wanted =
      static_cast<std::size_t>(std::max(Account.Burst / MinBurstPerHost, 1.0));
  if (Wanted >= Hosts.size())
    return Hosts;
  std::vector<host_id> Left;
  Left.reserve(Hosts.size());
  for (const std::string &Host : Hosts)
    Left.emplace_back(Host);
  std::vector<std::string> Earners;
  Earners.reserve(Wanted);
  for (const host_id &Earner :
       rendezvousTop("rate/" + Account.Name, std::move(Left), Wanted))
    Earners.push_back(Earner.Value);
  return Earners;
}

void divideRates(allowance_table &Table, const proxy_settings &Settings,
                 const std::vector<std::string> &Hosts, const std::string &Own,
                 instant Now) {
  for (const auto &[Name, Account] : Settings.Accounts) {
    const auto [Found, IsNew] = Table.Accounts.try_emplace(Name);
    if (IsNew)
      Found->second.Bucket.FilledAt = Now;
    Found->second.RefillingHosts = refillingHostsFor(Account, Hosts);
    const auto &Earners = Found->second.RefillingHosts;
    const bool Earns =
        Hosts.empty() ||
        std::find(Earners.begin(), Earners.end(), Own) != Earners.end();
    const double Part = Earns ? 1.0 / static_cast<double>(std::max<std::size_t>(
                                          Earners.size(), 1))
                              : 0.0;
    resizeBucket(Found->second.Bucket, Account.RatePerSecond * Part,
                 std::max(Account.Burst * Part, Earns ? 1.0 : 0.0), Now);
  }
  std::erase_if(Table.Accounts, [&](const auto &Entry) {
    return !Settings.Accounts.contains(Entry.first);
  });
}

void grantStartupTokens(allowance_table &Table) {
  for (auto &[Name, Allowance] : Table.Accounts) {
    token_bucket &Bucket = Allowance.Bucket;
    Bucket.Tokens =
        std::min(Bucket.Tokens + Bucket.RatePerSecond * StartupGrantSeconds,
                 Bucket.Burst);
  }
}

void stopRefilling(allowance_table &Table, instant Now) {
  for (auto &[Name, Allowance] : Table.Accounts)
    resizeBucket(Allowance.Bucket, 0, Allowance.Bucket.Burst, Now);
}

void recordDemand(allowance_table &Table, const std::string &Account) {
  const auto Found = Table.Accounts.find(Account);
  if (Found != Table.Accounts.end())
    Found->second.DemandCount += 1;
}

bool takeToken(allowance_table &Table, const std::string &Account,
               instant Now) {
  const auto Found = Table.Accounts.find(Account);
  if (Found == Table.Accounts.end())
    return true;
  account_allowance &Allowance = Found->second;
  updateDemandRate(Allowance, Now);
  dropExpiredTokens(Allowance, Now);
  if (Allowance.ReceivedTokens >= 1) {
    Allowance.ReceivedTokens -= 1;
    return true;
  }
  return bronzespar::takeToken(Allowance.Bucket, Now);
}

void returnToken(allowance_table &Table, const std::string &Account) {
  const auto Found = Table.Accounts.find(Account);
  if (Found != Table.Accounts.end())
    Found->second.Bucket.Tokens =
        std::min(Found->second.Bucket.Tokens + 1, Found->second.Bucket.Burst);
}

double tokensToRequest(account_allowance &Allowance, bool IsNeeded,
                       instant Now) {
  updateDemandRate(Allowance, Now);
  dropExpiredTokens(Allowance, Now);
  fillBucket(Allowance.Bucket, Now);
  if (Now < Allowance.NextRequestAt)
    return 0;
  const double Demand = Allowance.DemandPerSecond;
  const double Held = Allowance.Bucket.Tokens + Allowance.ReceivedTokens;
  if (IsNeeded && Held < 1)
    return std::max(1.0, std::floor(Demand * RequestedDemandSeconds));
  // A token that is fetched ahead for a rare caller lapses unused.
  if (Demand < MinPrefetchDemandPerSecond ||
      Held >= Demand * PrefetchBelowDemandSeconds)
    return 0;
  return std::ceil(Demand * RequestedDemandSeconds);
}

double transferTokens(allowance_table &Table, const std::string &Account,
                      double Wanted, instant Now) {
  const auto Found = Table.Accounts.find(Account);
  if (Found == Table.Accounts.end())
    return 0;
  account_allowance &Allowance = Found->second;
  updateDemandRate(Allowance, Now);
  fillBucket(Allowance.Bucket, Now);
  const double Spare = Allowance.Bucket.Tokens -
                       Allowance.DemandPerSecond * ReservedDemandSeconds;
  const double Given =
      std::floor(std::clamp(Wanted, 0.0, std::max(Spare, 0.0)));
  Allowance.Bucket.Tokens -= Given;
  return Given;
}

void receiveTokens(allowance_table &Table, const std::string &Account,
                   double Tokens, instant Now) {
  const auto Found = Table.Accounts.find(Account);
  if (Found == Table.Accounts.end())
    return;
  dropExpiredTokens(Found->second, Now);
  Found->second.ReceivedTokens += Tokens;
  Found->second.ReceivedAt = Now;
}

} // namespace bronzespar::proxy
