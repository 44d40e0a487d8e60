/// Tokens that admit operations, and their transfer between hosts.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Time between two requests for tokens of one account.
constexpr duration TokenRequestInterval = std::chrono::milliseconds(50);
/// Delay before tokens are requested again, after every refilling host answered
/// that it has none.
constexpr duration NoTokensDelay = std::chrono::milliseconds(120);
/// Membership changes come in groups, and each division of the rates hashes all
/// hosts, so the time between two divisions grows with their number.
constexpr duration DivisionIntervalPerHost = std::chrono::milliseconds(4);
constexpr duration MaxDivisionInterval = std::chrono::milliseconds(200);

/// A host's buckets refill from this long after its registration. By then the
/// other hosts count it, and it knows those that joined at the same time.
constexpr duration RefillDelay = std::chrono::milliseconds(120);
/// Extra time until rates are divided after RefillDelay.
constexpr duration DivisionMargin = std::chrono::milliseconds(60);
/// A caller that an isolated host refuses should retry after this, at another
/// host.
constexpr duration IsolatedRetryDelay = std::chrono::milliseconds(1000);
/// An expired host still gets its share of the rates for this long. Tokens that
/// it granted expire meanwhile. If many leases expired together in a store
/// outage, the hosts that are live have registered again by then.
constexpr duration ExpiredHostSharePeriod = std::chrono::milliseconds(700);

/// Whether this host's buckets may refill. While a host is isolated or not
/// registered, the others divide its share.
bool mayRefill(const host &State, instant Now) {
  if (keepsRefilling(State, Now))
    return true;
  return !State.Isolated && !State.Lease.RegisteredValue.empty() &&
         Now >= State.Lease.RegisteredAt + RefillDelay &&
         State.Hosts.contains(State.Identity.Name);
}

/// Hosts among which rates are divided. Also sets when the next expired host is
/// no longer counted.
std::vector<std::string> countedHosts(host &State, instant Now) {
  std::vector<std::string> Names;
  Names.reserve(State.Hosts.size() + State.ExpiredHosts.size());
  for (const auto &[Name, Peer] : State.Hosts)
    Names.push_back(Name);
  State.ExpiredHostDropsAt = instant::max();
  for (const auto &[Name, Expired] : State.ExpiredHosts) {
    if (Now >= Expired.ExpiredAt + ExpiredHostSharePeriod)
      continue;
    Names.push_back(Name);
    State.ExpiredHostDropsAt = std::min(
        State.ExpiredHostDropsAt, Expired.ExpiredAt + ExpiredHostSharePeriod);
  }
  std::sort(Names.begin(), Names.end());
  return Names;
}

/// The refilling host to request tokens from next, in rotation.
const listed_peer *nextRefillingHost(host &State,
                                     account_allowance &Allowance) {
  const std::size_t Count = Allowance.RefillingHosts.size();
  for (std::size_t Try = 0; Try < Count; ++Try) {
    const std::string &Name =
        Allowance.RefillingHosts[Allowance.NextRefillingHost++ % Count];
    const auto Peer = State.Hosts.find(Name);
    if (Peer != State.Hosts.end() && Name != State.Identity.Name)
      return &Peer->second;
  }
  return nullptr;
}

/// Requests tokens of an account from another host, if they are needed now.
void requestTokensFor(step_context &Step, const std::string &Account,
                      account_allowance &Allowance, bool IsNeeded) {
  const double Wanted = tokensToRequest(Allowance, IsNeeded, Step.Now);
  if (Wanted < 1)
    return;
  Allowance.NextRequestAt = Step.Now + TokenRequestInterval;
  if (const listed_peer *Peer = nextRefillingHost(Step.State, Allowance))
    Step.Out.push_back(
        effects::request_tokens{Peer->Record.PeerEndpoint, {Account, Wanted}});
}

} // namespace

bool admitOperation(step_context &Step, const std::string &Account) {
  if (takeToken(Step.State.Allowances, Account, Step.Now))
    return true;
  if (auto *Allowance = findIn(Step.State.Allowances.Accounts, Account))
    requestTokensFor(Step, Account, *Allowance, true);
  return false;
}

bool isAboutToRefill(const host &State, instant Now) {
  return !State.Refilling && !State.Isolated &&
         !State.Lease.RegisteredValue.empty() &&
         Now < State.Lease.RegisteredAt + RefillDelay + DivisionMargin;
}

duration untilNextToken(const host &State, const std::string &Account,
                        instant Now) {
  if (!State.Refilling)
    return State.Isolated ? IsolatedRetryDelay : RefillDelay;
  const auto Found = State.Allowances.Accounts.find(Account);
  if (Found == State.Allowances.Accounts.end())
    return duration::zero();
  // A host without a share of the account's rate requests tokens again after a
  // delay.
  return Found->second.Bucket.RatePerSecond > 0
             ? timeUntilToken(Found->second.Bucket, Now)
             : NoTokensDelay;
}

void requestTokens(step_context &Step) {
  for (auto &[Account, Allowance] : Step.State.Allowances.Accounts)
    requestTokensFor(Step, Account, Allowance, false);
}

void tokensRequested(step_context &Step,
                     const events::tokens_requested &Event) {
  const double Granted =
      transferTokens(Step.State.Allowances, Event.Wanted.Account,
                     Event.Wanted.Tokens, Step.Now);
  Step.Out.push_back(
      effects::grant_tokens{Event.Link, {Event.Wanted.Account, Granted}});
}

void tokensGranted(step_context &Step, const events::tokens_granted &Event) {
  host &State = Step.State;
  account_allowance *Allowance =
      findIn(State.Allowances.Accounts, Event.Granted.Account);
  if (Allowance == nullptr)
    return;
  if (Event.Granted.Tokens < 1) {
    // Tokens are requested once from each refilling host. If none has any, the
    // next request is delayed.
    Allowance->ConsecutiveEmptyGrants += 1;
    const bool AllEmpty =
        Allowance->ConsecutiveEmptyGrants >= Allowance->RefillingHosts.size();
    Allowance->NextRequestAt =
        Step.Now + (AllEmpty ? NoTokensDelay : duration::zero());
    if (AllEmpty)
      Allowance->ConsecutiveEmptyGrants = 0;
    return;
  }
  Allowance->ConsecutiveEmptyGrants = 0;
  receiveTokens(State.Allowances, Event.Granted.Account, Event.Granted.Tokens,
                Step.Now);
}

void redistributeRates(step_context &Step) {
  host &State = Step.State;
  if (!State.Settings)
    return;
  const bool MayRefill = mayRefill(State, Step.Now);
  if (State.Refilling && !MayRefill) {
    State.Refilling = false;
    stopRefilling(State.Allowances, Step.Now);
  }
  const std::uint64_t Version = State.HostsVersion + State.Settings->Version;
  const bool Changed = Version != State.DividedVersion ||
                       MayRefill != State.Refilling ||
                       Step.Now >= State.ExpiredHostDropsAt;
  if (!Changed || Step.Now < State.NextDivisionAt)
    return;
  State.DividedVersion = Version;
  State.NextDivisionAt =
      Step.Now + std::min(MaxDivisionInterval,
                          DivisionIntervalPerHost *
                              static_cast<duration::rep>(State.Hosts.size()));
  const bool IsFirst = MayRefill && State.RefillingSince == instant{};
  if (MayRefill && !State.Refilling)
    State.RefillingSince = Step.Now;
  State.Refilling = MayRefill;
  divideRates(State.Allowances, *State.Settings, countedHosts(State, Step.Now),
              State.Identity.Name, Step.Now);
  if (!MayRefill)
    stopRefilling(State.Allowances, Step.Now);
  else if (IsFirst)
    grantStartupTokens(State.Allowances);
}

} // namespace bronzespar::proxy
