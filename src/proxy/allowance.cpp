/// Token buckets with transfer of tokens between hosts.
#include <bronzespar/proxy/allowance.hpp>

#include <bronzespar/membership.hpp>

#include <algorithm>
#include <cmath>

namespace bronzespar::proxy {

namespace {

/// Part of the burst that a refilling host gets at least: a host can neither
/// spend nor transfer a fraction of a token.
constexpr double LeastPart = 8;
/// Demand is averaged over windows of this length.
constexpr duration DemandSpan = std::chrono::milliseconds(500);
/// A host keeps the tokens that its own demand uses in this time when another
/// host requests some.
constexpr double KeepSeconds = 0.3;
/// A host prefetches tokens when it holds less than its demand of this time.
constexpr double LowSeconds = 0.3;
/// A restarted process gets the tokens of this time: it was down for at least
/// as long, and other hosts do not refill its part before its lease has
/// expired.
constexpr double FirstSeconds = 0.3;
/// Lowest demand for which tokens are prefetched.
constexpr double FetchAheadDemand = 2;
/// One request asks for the demand of this time; more tokens would lie unused
/// at one host.
constexpr double AskSeconds = 0.4;
/// Transferred tokens expire after this, because rates are checked over short
/// windows.
constexpr duration ReceivedLifetime = std::chrono::milliseconds(700);

void measureDemand(account_allowance &Allowance, instant Now) {
  const duration Span = Now - Allowance.DemandSince;
  if (Span < DemandSpan)
    return;
  const double Rate = Allowance.Asked / toSeconds(Span);
  Allowance.DemandPerSecond = (Allowance.DemandPerSecond + Rate) / 2;
  Allowance.Asked = 0;
  Allowance.DemandSince = Now;
}

void dropStale(account_allowance &Allowance, instant Now) {
  if (Now > Allowance.ReceivedAt + ReceivedLifetime)
    Allowance.Received = 0;
}

} // namespace

std::vector<std::string> earnersOf(const client_account &Account,
                                   const std::vector<std::string> &Hosts) {
  const auto Wanted =
      static_cast<std::size_t>(std::max(Account.Burst / LeastPart, 1.0));
  if (Wanted >= Hosts.size())
    return Hosts;
  std::vector<host_id> Candidates;
  Candidates.reserve(Hosts.size());
  for (const std::string &Host : Hosts)
    Candidates.emplace_back(Host);
  std::vector<std::string> RefillingHosts;
  RefillingHosts.reserve(Wanted);
  for (const host_id &Host :
       rendezvousFew("rate/" + Account.Name, std::move(Candidates), Wanted))
    RefillingHosts.push_back(Host.Value);
  return RefillingHosts;
}

void divideRates(allowance_table &Table, const proxy_settings &Settings,
                 const std::vector<std::string> &Hosts,
                 const std::string &OwnName, instant Now) {
  for (const auto &[Name, Account] : Settings.Accounts) {
    const auto [Found, IsNew] = Table.Accounts.try_emplace(Name);
    if (IsNew)
      Found->second.Bucket.FilledAt = Now;
    Found->second.Earners = earnersOf(Account, Hosts);
    const auto &RefillingHosts = Found->second.Earners;
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

void grantFirstTokens(allowance_table &Table) {
  for (auto &[Name, Allowance] : Table.Accounts) {
    token_bucket &Bucket = Allowance.Bucket;
    Bucket.Tokens = std::min(
        Bucket.Tokens + Bucket.RatePerSecond * FirstSeconds, Bucket.Burst);
  }
}

void stopEarning(allowance_table &Table, instant Now) {
  for (auto &[Name, Allowance] : Table.Accounts)
    resizeBucket(Allowance.Bucket, 0, Allowance.Bucket.Burst, Now);
}

void noteDemand(allowance_table &Table, const std::string &Account) {
  const auto Found = Table.Accounts.find(Account);
  if (Found != Table.Accounts.end())
    Found->second.Asked += 1;
}

bool takeToken(allowance_table &Table, const std::string &Account,
               instant Now) {
  const auto Found = Table.Accounts.find(Account);
  if (Found == Table.Accounts.end())
    return true;
  account_allowance &Allowance = Found->second;
  measureDemand(Allowance, Now);
  dropStale(Allowance, Now);
  if (Allowance.Received >= 1) {
    Allowance.Received -= 1;
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

double tokensToAsk(account_allowance &Allowance, bool IsNeeded, instant Now) {
  measureDemand(Allowance, Now);
  dropStale(Allowance, Now);
  fillBucket(Allowance.Bucket, Now);
  if (Now < Allowance.AskAfter)
    return 0;
  const double Demand = Allowance.DemandPerSecond;
  const double Held = Allowance.Bucket.Tokens + Allowance.Received;
  if (IsNeeded && Held < 1)
    return std::max(1.0, std::floor(Demand * AskSeconds));
  // A token prefetched for a rare caller would expire unused.
  if (Demand < FetchAheadDemand || Held >= Demand * LowSeconds)
    return 0;
  return std::ceil(Demand * AskSeconds);
}

double handOver(allowance_table &Table, const std::string &Account,
                double Wanted, instant Now) {
  const auto Found = Table.Accounts.find(Account);
  if (Found == Table.Accounts.end())
    return 0;
  account_allowance &Allowance = Found->second;
  measureDemand(Allowance, Now);
  fillBucket(Allowance.Bucket, Now);
  const double Spare =
      Allowance.Bucket.Tokens - Allowance.DemandPerSecond * KeepSeconds;
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
  dropStale(Found->second, Now);
  Found->second.Received += Tokens;
  Found->second.ReceivedAt = Now;
}

} // namespace bronzespar::proxy
