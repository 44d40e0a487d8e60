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
/// Part of the burst that a data centre's refilling host gets at least. A
/// bucket for a single token is full most of the time, and a full bucket loses
/// tokens.
constexpr double MinBurstPerDataCentre = 4;
/// Demand is averaged over windows of this length.
constexpr duration DemandWindow = std::chrono::milliseconds(500);
/// Shortest time over which demand that has just begun is averaged.
constexpr duration MinDemandSpan = std::chrono::milliseconds(200);
/// A host keeps the tokens that its own demand uses in this time when another
/// host requests some.
constexpr double ReservedDemandSeconds = 0.3;
/// A host prefetches tokens when it holds less than its demand of this time.
constexpr double PrefetchBelowDemandSeconds = 0.03;
/// A restarted process gets the tokens of this time: it was down for at least
/// as long, and other hosts do not refill its part before its lease has
/// expired.
constexpr double StartupGrantSeconds = 0.3;
/// Lowest demand for which tokens are prefetched: of a smaller one, prefetched
/// tokens would often expire.
constexpr double MinPrefetchDemandPerSecond = 40;
/// One request asks for the demand of this time; more tokens would lie unused
/// at one host.
constexpr double RequestedDemandSeconds = 0.06;

void updateDemandRate(account_allowance &Allowance, instant Now) {
  const duration Span = Now - Allowance.DemandSince;
  if (Span < DemandWindow)
    return;
  const double Rate = Allowance.DemandCount / toSeconds(Span);
  Allowance.DemandPerSecond = (Allowance.DemandPerSecond + Rate) / 2;
  Allowance.DemandCount = 0;
  Allowance.DemandSince = Now;
}

/// Demand as averaged, or that of the present window if it is higher.
double presentDemand(const account_allowance &Allowance, instant Now) {
  const duration Span = std::max(Now - Allowance.DemandSince, MinDemandSpan);
  return std::max(Allowance.DemandPerSecond,
                  Allowance.DemandCount / toSeconds(Span));
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
  while (!Allowance.Received.empty() &&
         Now > Allowance.Received.front().RequestedAt + ReceivedTokenLifetime) {
    Allowance.Counts.Expired +=
        static_cast<std::uint64_t>(Allowance.Received.front().Tokens);
    Allowance.Received.pop_front();
  }
}

double receivedTokens(const account_allowance &Allowance) {
  double Sum = 0;
  for (const token_lot &Lot : Allowance.Received)
    Sum += Lot.Tokens;
  return Sum;
}

bool takeReceivedToken(account_allowance &Allowance) {
  if (Allowance.Received.empty())
    return false;
  token_lot &Oldest = Allowance.Received.front();
  Oldest.Tokens -= 1;
  Allowance.LastTakenRequestedAt = Oldest.RequestedAt;
  if (Oldest.Tokens < 1)
    Allowance.Received.pop_front();
  return true;
}

/// Keeps lots in the order of their request times.
void storeLot(account_allowance &Allowance, token_lot Lot) {
  const auto Position =
      std::find_if(Allowance.Received.begin(), Allowance.Received.end(),
                   [&](const token_lot &Other) {
                     return Other.RequestedAt > Lot.RequestedAt;
                   });
  Allowance.Received.insert(Position, Lot);
}

/// Sets a bucket's part of its account's rate; 0 for a host that does not
/// refill.
void setShare(account_allowance &Allowance, const client_account &Account,
              double Share, instant Now) {
  resizeBucket(Allowance.Bucket, Account.RatePerSecond * Share,
               Share > 0 ? std::max(Account.Burst * Share, 1.0) : 0.0, Now);
}

account_allowance &findOrAdd(allowance_table &Table, const std::string &Account,
                             instant Now) {
  const auto [Found, IsNew] = Table.Accounts.try_emplace(Account);
  if (IsNew)
    Found->second.Bucket.RefilledAt = Now;
  return Found->second;
}

void eraseRemovedAccounts(allowance_table &Table,
                          const proxy_settings &Settings) {
  std::erase_if(Table.Accounts, [&](const auto &Entry) {
    return !Settings.Accounts.contains(Entry.first);
  });
}

/// The hosts in the order in which a host of OwnDataCentre asks them.
std::vector<std::string>
inRequestOrder(const std::map<std::string, std::string> &Refilling,
               const std::string &OwnName, const std::string &OwnDataCentre) {
  std::vector<std::string> Names;
  std::vector<host_id> Others;
  for (const auto &[DataCentre, Name] : Refilling)
    if (DataCentre == OwnDataCentre)
      Names.push_back(Name);
    else
      Others.emplace_back(Name);
  // Hosts of one data centre ask the others' hosts in different orders.
  for (const host_id &Other :
       rendezvousTop("ask/" + OwnName, Others, Others.size()))
    Names.push_back(Other.Value);
  return Names;
}

} // namespace

std::vector<std::string>
refillingHostsFor(const client_account &Account,
                  const std::vector<std::string> &Hosts) {
  return chooseRefillingHosts(Account, toIds(Hosts));
}

std::map<std::string, std::string>
refillingHostsByDataCentre(const client_account &Account,
                           const hosts_by_data_centre &Hosts) {
  std::vector<host_id> DataCentres;
  for (const auto &[DataCentre, Names] : Hosts)
    if (!Names.empty())
      DataCentres.emplace_back(DataCentre);
  const auto Wanted = static_cast<std::size_t>(
      std::max(Account.Burst / MinBurstPerDataCentre, 1.0));
  const std::string Key = "rate/" + Account.Name;
  if (Wanted < DataCentres.size())
    DataCentres = rendezvousTop(Key, DataCentres, Wanted);
  std::map<std::string, std::string> Chosen;
  for (const host_id &DataCentre : DataCentres)
    Chosen[DataCentre.Value] =
        rendezvousTop(Key, toIds(Hosts.at(DataCentre.Value)), 1).front().Value;
  return Chosen;
}

void divideRates(allowance_table &Table, const proxy_settings &Settings,
                 const std::vector<std::string> &Hosts,
                 const std::string &OwnName, instant Now) {
  const std::vector<host_id> Ids = toIds(Hosts);
  for (const auto &[Name, Account] : Settings.Accounts) {
    account_allowance &Allowance = findOrAdd(Table, Name, Now);
    Allowance.RefillingHosts = chooseRefillingHosts(Account, Ids);
    Allowance.PrefersFirst = false;
    const auto &Chosen = Allowance.RefillingHosts;
    const bool Refills =
        Hosts.empty() ||
        std::find(Chosen.begin(), Chosen.end(), OwnName) != Chosen.end();
    const auto Count =
        static_cast<double>(std::max<std::size_t>(Chosen.size(), 1));
    setShare(Allowance, Account, Refills ? 1.0 / Count : 0.0, Now);
  }
  eraseRemovedAccounts(Table, Settings);
}

void divideRatesByDataCentre(allowance_table &Table,
                             const proxy_settings &Settings,
                             const hosts_by_data_centre &Hosts,
                             const std::string &OwnName,
                             const std::string &OwnDataCentre, instant Now) {
  for (const auto &[Name, Account] : Settings.Accounts) {
    account_allowance &Allowance = findOrAdd(Table, Name, Now);
    const auto Chosen = refillingHostsByDataCentre(Account, Hosts);
    const auto Own = Chosen.find(OwnDataCentre);
    const bool Refills = Own != Chosen.end() && Own->second == OwnName;
    setShare(Allowance, Account,
             Refills ? 1.0 / static_cast<double>(Chosen.size()) : 0.0, Now);
    Allowance.RefillingHosts = inRequestOrder(Chosen, OwnName, OwnDataCentre);
    Allowance.PrefersFirst = true;
    Allowance.NextRefillingHost = 0;
  }
  eraseRemovedAccounts(Table, Settings);
}

void grantStartupTokens(allowance_table &Table) {
  for (auto &[Name, Allowance] : Table.Accounts) {
    token_bucket &Bucket = Allowance.Bucket;
    Bucket.Tokens =
        std::min(Bucket.Tokens + Bucket.RatePerSecond * StartupGrantSeconds,
                 Bucket.Burst);
  }
}

void dropTokens(allowance_table &Table, instant Now) {
  for (auto &[Name, Allowance] : Table.Accounts) {
    Allowance.Received.clear();
    Allowance.Bucket.Tokens = 0;
    Allowance.Bucket.RefilledAt = Now;
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
  if (!takeReceivedToken(Allowance)) {
    if (!bronzespar::takeToken(Allowance.Bucket, Now))
      return false;
    Allowance.LastTakenRequestedAt = Now;
  }
  Allowance.Counts.Taken += 1;
  return true;
}

void returnToken(allowance_table &Table, const std::string &Account,
                 std::optional<instant> RequestedAt) {
  const auto Found = Table.Accounts.find(Account);
  if (Found == Table.Accounts.end())
    return;
  account_allowance &Allowance = Found->second;
  Allowance.Counts.Taken -= std::min<std::uint64_t>(Allowance.Counts.Taken, 1);
  if (Allowance.Bucket.Burst >= 1)
    Allowance.Bucket.Tokens =
        std::min(Allowance.Bucket.Tokens + 1, Allowance.Bucket.Burst);
  else
    storeLot(Allowance,
             {1, RequestedAt.value_or(Allowance.LastTakenRequestedAt)});
}

double tokensToRequest(account_allowance &Allowance, bool IsNeeded,
                       instant Now) {
  updateDemandRate(Allowance, Now);
  dropExpiredTokens(Allowance, Now);
  refillBucket(Allowance.Bucket, Now);
  if (Now < Allowance.NextRequestAt)
    return 0;
  const double Demand = presentDemand(Allowance, Now);
  const double Held = Allowance.Bucket.Tokens + receivedTokens(Allowance);
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
  // A bucket that is full always has a token for another host.
  const double Reserved =
      std::min(std::floor(Allowance.DemandPerSecond * ReservedDemandSeconds),
               std::max(Allowance.Bucket.Burst - 1, 0.0));
  const double Spare = Allowance.Bucket.Tokens - Reserved;
  const double Transferred =
      std::floor(std::clamp(Wanted, 0.0, std::max(Spare, 0.0)));
  Allowance.Bucket.Tokens -= Transferred;
  Allowance.Counts.Lent += static_cast<std::uint64_t>(Transferred);
  return Transferred;
}

void receiveTokens(allowance_table &Table, const std::string &Account,
                   double Tokens, instant RequestedAt) {
  const auto Found = Table.Accounts.find(Account);
  if (Found != Table.Accounts.end() && Tokens >= 1)
    storeLot(Found->second, {std::floor(Tokens), RequestedAt});
}

void forgetTokenRequests(allowance_table &Table, const std::string &Link) {
  for (auto &[Name, Allowance] : Table.Accounts) {
    Allowance.Requests.erase(Link);
    if (Allowance.AwaitedLink != Link)
      continue;
    Allowance.AwaitedLink.clear();
    Allowance.NextRequestAt = {};
  }
}

} // namespace bronzespar::proxy
