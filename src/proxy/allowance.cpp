/// Token buckets with transfer of tokens between hosts.
#include <bronzespar/proxy/allowance.hpp>

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <cmath>

namespace bronzespar::proxy {

namespace {

/// Part of the burst that a refilling host gets at least: a host can neither
/// spend nor transfer a fraction of a token.
constexpr double MinBurstPerHost = 8;
/// Demand is averaged over windows of this length.
constexpr duration DemandWindow = std::chrono::milliseconds(500);
/// A host keeps the tokens that its own demand uses in this time when another
/// host requests some.
constexpr double ReservedDemandSeconds = 0.3;
/// A host prefetches tokens when it holds less than its demand of this time.
constexpr double PrefetchBelowDemandSeconds = 0.3;
/// A restarted process gets the tokens of this time: it was down for at least
/// as long, and other hosts do not refill its part before its lease has
/// expired.
constexpr double StartupGrantSeconds = 0.3;
/// Lowest demand for which tokens are prefetched.
constexpr double MinPrefetchDemandPerSecond = 2;
/// One request asks for the demand of this time; more tokens would lie unused
/// at one host.
constexpr double RequestedDemandSeconds = 0.4;
/// Transferred tokens expire after this, because rates are checked over short
/// windows.
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

std::vector<host_id> toIds(const std::vector<std::string> &Names) {
  std::vector<host_id> Ids;
  Ids.reserve(Names.size());
  for (const std::string &Name : Names)
    Ids.emplace_back(Name);
  return Ids;
}

std::vector<std::string>
chooseRefillingHosts(const client_account &Account,
                     const std::vector<host_id> &Hosts) {
  const auto HostCount =
      static_cast<std::size_t>(std::max(Account.Burst / MinBurstPerHost, 1.0));
  const std::vector<host_id> Chosen =
      HostCount >= Hosts.size()
          ? Hosts
          : rendezvousTop("rate/" + Account.Name, Hosts, HostCount);
  std::vector<std::string> Names;
  Names.reserve(Chosen.size());
  for (const host_id &Host : Chosen)
    Names.push_back(Host.Value);
  return Names;
}

void dropExpiredTokens(account_allowance &Allowance, instant Now) {
  if (Now > Allowance.ReceivedAt + ReceivedTokenLifetime)
    Allowance.ReceivedTokens = 0;
}

} // namespace

std::vector<std::string>
refillingHostsFor(const client_account &Account,
                  const std::vector<std::string> &Hosts) {
  return chooseRefillingHosts(Account, toIds(Hosts));
}

void divideRates(allowance_table &Table, const proxy_settings &Settings,
                 const std::vector<std::string> &Hosts,
                 const std::string &OwnName, instant Now) {
  const std::vector<host_id> Ids = toIds(Hosts);
  for (const auto &[Name, Account] : Settings.Accounts) {
    const auto [Found, IsNew] = Table.Accounts.try_emplace(Name);
    if (IsNew)
      Found->second.Bucket.RefilledAt = Now;
    Found->second.RefillingHosts = chooseRefillingHosts(Account, Ids);
    const auto &RefillingHosts = Found->second.RefillingHosts;
    const bool Refills =
        Hosts.empty() || std::find(RefillingHosts.begin(), RefillingHosts.end(),
                                   OwnName) != RefillingHosts.end();
    const double Share =
        Refills ? 1.0 / static_cast<double>(
                            std::max<std::size_t>(RefillingHosts.size(), 1))
                : 0.0;
    resizeBucket(Found->second.Bucket, Account.RatePerSecond * Share,
                 std::max(Account.Burst * Share, Refills ? 1.0 : 0.0), Now);
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
  refillBucket(Allowance.Bucket, Now);
  if (Now < Allowance.NextRequestAt)
    return 0;
  const double Demand = Allowance.DemandPerSecond;
  const double Held = Allowance.Bucket.Tokens + Allowance.ReceivedTokens;
  if (IsNeeded && Held < 1)
    return std::max(1.0, std::floor(Demand * RequestedDemandSeconds));
  // A token prefetched for a rare caller would expire unused.
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
  refillBucket(Allowance.Bucket, Now);
  const double Spare = Allowance.Bucket.Tokens -
                       Allowance.DemandPerSecond * ReservedDemandSeconds;
  const double Transferred =
      std::floor(std::clamp(Wanted, 0.0, std::max(Spare, 0.0)));
  Allowance.Bucket.Tokens -= Transferred;
  return Transferred;
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
