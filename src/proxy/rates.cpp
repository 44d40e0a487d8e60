/// Tokens that admit operations, and their transfer between hosts.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Time between two requests for tokens of one account.
constexpr duration AskPause = std::chrono::milliseconds(50);
/// Delay before tokens are requested again, after every refilling host answered
/// that it has none.
constexpr duration EmptyPause = std::chrono::milliseconds(120);
/// Membership changes come in groups, and each division of the rates hashes all
/// hosts, so the time between two divisions grows with their number.
constexpr duration DividePausePerHost = std::chrono::milliseconds(4);
constexpr duration MostDividePause = std::chrono::milliseconds(200);

/// A host's buckets refill from this long after its registration. By then the
/// other hosts count it, and it knows those that joined at the same time.
constexpr duration JoinPause = std::chrono::milliseconds(120);
/// Extra time until rates are divided after RefillDelay.
constexpr duration DivideSlack = std::chrono::milliseconds(60);
/// A caller that an isolated host refuses should retry after this, at another
/// host.
constexpr duration IsolatedPause = std::chrono::milliseconds(1000);
/// An expired host still gets its share of the rates for this long. Tokens that
/// it granted expire meanwhile. If many leases expired together in a store
/// outage, the hosts that are live have registered again by then.
constexpr duration LostHostPause = std::chrono::milliseconds(700);

/// Whether this host's buckets may refill. While a host is isolated or not
/// registered, the others divide its share.
bool mayEarn(const host &State, instant Now) {
  return !State.Isolated && !State.Lease.Registered.empty() &&
         Now >= State.Lease.RegisteredAt + JoinPause &&
         State.Hosts.contains(State.Identity.Name);
}

/// Hosts among which rates are divided. Also sets when the next expired host is
/// no longer counted.
std::vector<std::string> countedHosts(host &State, instant Now) {
  std::vector<std::string> Names;
  Names.reserve(State.Hosts.size() + State.HostsLost.size());
  for (const auto &[Name, Peer] : State.Hosts)
    Names.push_back(Name);
  State.DivideAgainAt = instant::max();
  for (const auto &[Name, Expired] : State.HostsLost) {
    if (Now >= Expired.At + LostHostPause)
      continue;
    Names.push_back(Name);
    State.DivideAgainAt =
        std::min(State.DivideAgainAt, Expired.At + LostHostPause);
  }
  std::sort(Names.begin(), Names.end());
  return Names;
}

/// The refilling host to request tokens from next, in rotation.
const listed_peer *nextEarner(host &State, account_allowance &Allowance) {
  const std::size_t Count = Allowance.Earners.size();
  for (std::size_t Try = 0; Try < Count; ++Try) {
    const std::string &Name = Allowance.Earners[Allowance.NextEarner++ % Count];
    const auto Peer = State.Hosts.find(Name);
    if (Peer != State.Hosts.end() && Name != State.Identity.Name)
      return &Peer->second;
  }
  return nullptr;
}

/// Requests tokens of an account from another host, if they are needed now.
void askFor(step_context &Step, const std::string &Account,
            account_allowance &Allowance, bool IsNeeded) {
  const double Wanted = tokensToAsk(Allowance, IsNeeded, Step.Now);
  if (Wanted < 1)
    return;
  Allowance.AskAfter = Step.Now + AskPause;
  if (const listed_peer *Peer = nextEarner(Step.State, Allowance))
    Step.Out.push_back(
        effects::ask_tokens{Peer->Record.Peers, {Account, Wanted}});
}

} // namespace

bool admitOperation(step_context &Step, const std::string &Account) {
  if (takeToken(Step.State.Allowances, Account, Step.Now))
    return true;
  if (auto *Allowance = findIn(Step.State.Allowances.Accounts, Account))
    askFor(Step, Account, *Allowance, true);
  return false;
}

bool isJoining(const host &State, instant Now) {
  return !State.Earning && !State.Isolated && !State.Lease.Registered.empty() &&
         Now < State.Lease.RegisteredAt + JoinPause + DivideSlack;
}

duration untilNextToken(const host &State, const std::string &Account,
                        instant Now) {
  if (!State.Earning)
    return State.Isolated ? IsolatedPause : JoinPause;
  const auto Found = State.Allowances.Accounts.find(Account);
  if (Found == State.Allowances.Accounts.end())
    return duration::zero();
  // A host without a share of the account's rate requests tokens again after a
  // delay.
  return Found->second.Bucket.RatePerSecond > 0
             ? untilToken(Found->second.Bucket, Now)
             : EmptyPause;
}

void askForTokens(step_context &Step) {
  for (auto &[Account, Allowance] : Step.State.Allowances.Accounts)
    askFor(Step, Account, Allowance, false);
}

void tokensAsked(step_context &Step, const events::tokens_asked &Event) {
  const double Granted = handOver(Step.State.Allowances, Event.Wanted.Account,
                                  Event.Wanted.Tokens, Step.Now);
  Step.Out.push_back(
      effects::grant_tokens{Event.Host, {Event.Wanted.Account, Granted}});
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
    Allowance->EmptyAnswers += 1;
    const bool AllEmpty = Allowance->EmptyAnswers >= Allowance->Earners.size();
    Allowance->AskAfter = Step.Now + (AllEmpty ? EmptyPause : duration::zero());
    if (AllEmpty)
      Allowance->EmptyAnswers = 0;
    return;
  }
  Allowance->EmptyAnswers = 0;
  receiveTokens(State.Allowances, Event.Granted.Account, Event.Granted.Tokens,
                Step.Now);
}

void divideAmongHosts(step_context &Step) {
  host &State = Step.State;
  if (!State.Settings)
    return;
  const bool MayRefill = mayEarn(State, Step.Now);
  if (State.Earning && !MayRefill) {
    State.Earning = false;
    stopEarning(State.Allowances, Step.Now);
  }
  const std::uint64_t Version = State.HostsVersion + State.Settings->Version;
  const bool Changed = Version != State.DividedBasis ||
                       MayRefill != State.Earning ||
                       Step.Now >= State.DivideAgainAt;
  if (!Changed || Step.Now < State.NextDivision)
    return;
  State.DividedBasis = Version;
  State.NextDivision =
      Step.Now + std::min(MostDividePause,
                          DividePausePerHost *
                              static_cast<duration::rep>(State.Hosts.size()));
  const bool IsFirst = MayRefill && State.EarningSince == instant{};
  if (MayRefill && !State.Earning)
    State.EarningSince = Step.Now;
  State.Earning = MayRefill;
  divideRates(State.Allowances, *State.Settings, countedHosts(State, Step.Now),
              State.Identity.Name, Step.Now);
  if (!MayRefill)
    stopEarning(State.Allowances, Step.Now);
  else if (IsFirst)
    grantFirstTokens(State.Allowances);
}

} // namespace bronzespar::proxy
