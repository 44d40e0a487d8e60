/// Tokens for operations, and what hosts ask each other for.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Between two requests for tokens of one account.
constexpr duration TokenRequestInterval = std::chrono::milliseconds(50);
/// After a request that brought nothing.
constexpr duration NoTokensDelay = std::chrono::milliseconds(120);
/// Membership changes come in groups, and each division hashes all hosts: the
/// pause between two grows with them.
constexpr duration DivisionIntervalPerHost = std::chrono::milliseconds(4);
constexpr duration MaxDivisionInterval = std::chrono::milliseconds(200);

/// A host earns this long after it was registered: by then the others count
/// it, and it knows those that joined with it.
constexpr duration RefillDelay = std::chrono::milliseconds(120);
/// Until the division that follows JoinPause.
constexpr duration DivisionMargin = std::chrono::milliseconds(60);
/// A caller of an isolated host tries again after this, at another host.
constexpr duration IsolatedRetryDelay = std::chrono::milliseconds(1000);
/// A host that left without a word is counted for this long: the tokens that it
/// handed over lapse meanwhile, and of many that lapsed together while the
/// store was away, those that live are back.
constexpr duration ExpiredHostSharePeriod = std::chrono::milliseconds(700);

/// Others earn in the place of a host that is isolated or not registered.
bool mayRefill(const host &State, instant Now) {
  return !State.Isolated && !State.Lease.RegisteredValue.empty() &&
         Now >= State.Lease.RegisteredAt + RefillDelay &&
         State.Hosts.contains(State.Identity.Name);
}

/// Hosts among which rates are divided; notes when one of them drops out.
std::vector<std::string> countedHosts(host &State, instant Now) {
  std::vector<std::string> Names;
  Names.reserve(State.Hosts.size() + State.ExpiredHosts.size());
  for (const auto &[Name, Peer] : State.Hosts)
    Names.push_back(Name);
  State.ExpiredHostDropsAt = instant::max();
  for (const auto &[Name, Lost] : State.ExpiredHosts) {
    if (Now >= Lost.ExpiredAt + ExpiredHostSharePeriod)
      continue;
    Names.push_back(Name);
    State.ExpiredHostDropsAt = std::min(
        State.ExpiredHostDropsAt, Lost.ExpiredAt + ExpiredHostSharePeriod);
  }
  std::sort(Names.begin(), Names.end());
  return Names;
}

/// The earner to ask next, in turn.
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
  // A host that earns nothing for the account asks others again after a pause.
  return Found->second.Bucket.RatePerSecond > 0
             ? untilToken(Found->second.Bucket, Now)
             : NoTokensDelay;
}

void requestTokens(step_context &Step) {
  for (auto &[Account, Allowance] : Step.State.Allowances.Accounts)
    requestTokensFor(Step, Account, Allowance, false);
}

void tokensRequested(step_context &Step, const events::tokens_requested &What) {
  const double Given = transferTokens(
      Step.State.Allowances, What.Wanted.Account, What.Wanted.Tokens, Step.Now);
  Step.Out.push_back(
      effects::grant_tokens{What.Link, {What.Wanted.Account, Given}});
}

void tokensGranted(step_context &Step, const events::tokens_granted &What) {
  host &State = Step.State;
  account_allowance *Allowance =
      findIn(State.Allowances.Accounts, What.Granted.Account);
  if (Allowance == nullptr)
    return;
  if (What.Granted.Tokens < 1) {
    // Each earner is asked once, then all are left alone for a while.
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
  receiveTokens(State.Allowances, What.Granted.Account, What.Granted.Tokens,
                Step.Now);
}

void redistributeRates(step_context &Step) {
  host &State = Step.State;
  if (!State.Settings)
    return;
  const bool Earns = mayRefill(State, Step.Now);
  if (State.Refilling && !Earns) {
    State.Refilling = false;
    stopRefilling(State.Allowances, Step.Now);
  }
  const std::uint64_t Basis = State.HostsVersion + State.Settings->Version;
  const bool Changed = Basis != State.DividedVersion ||
                       Earns != State.Refilling ||
                       Step.Now >= State.ExpiredHostDropsAt;
  if (!Changed || Step.Now < State.NextDivisionAt)
    return;
  State.DividedVersion = Basis;
  State.NextDivisionAt =
      Step.Now + std::min(MaxDivisionInterval,
                          DivisionIntervalPerHost *
                              static_cast<duration::rep>(State.Hosts.size()));
  const bool IsFirst = Earns && State.RefillingSince == instant{};
  if (Earns && !State.Refilling)
    State.RefillingSince = Step.Now;
  State.Refilling = Earns;
  divideRates(State.Allowances, *State.Settings, countedHosts(State, Step.Now),
              State.Identity.Name, Step.Now);
  if (!Earns)
    stopRefilling(State.Allowances, Step.Now);
  else if (IsFirst)
    grantStartupTokens(State.Allowances);
}

} // namespace bronzespar::proxy
