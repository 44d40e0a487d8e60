/// Tokens for operations, and what hosts ask each other for.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Between two requests for tokens of one account.
constexpr duration AskPause = std::chrono::milliseconds(50);
/// After a request that brought nothing.
constexpr duration EmptyPause = std::chrono::milliseconds(120);
/// Membership changes come in groups, and each division hashes all hosts: the
/// pause between two grows with them.
constexpr duration DividePausePerHost = std::chrono::milliseconds(4);
constexpr duration MostDividePause = std::chrono::milliseconds(200);

/// A host earns this long after it was registered: by then the others count
/// it, and it knows those that joined with it.
constexpr duration JoinPause = std::chrono::milliseconds(120);
/// Until the division that follows JoinPause.
constexpr duration DivideSlack = std::chrono::milliseconds(60);
/// A caller of an isolated host tries again after this, at another host.
constexpr duration IsolatedPause = std::chrono::milliseconds(1000);
/// A host that left without a word is counted for this long: the tokens that it
/// handed over lapse meanwhile, and of many that lapsed together while the
/// store was away, those that live are back.
constexpr duration LostHostPause = std::chrono::milliseconds(700);

/// Others earn in the place of a host that is isolated or not registered.
bool mayEarn(const host &State, instant Now) {
  return !State.Isolated && !State.Lease.Registered.empty() &&
         Now >= State.Lease.RegisteredAt + JoinPause &&
         State.Hosts.contains(State.Identity.Name);
}

/// Hosts among which rates are divided; notes when one of them drops out.
std::vector<std::string> countedHosts(host &State, instant Now) {
  std::vector<std::string> Names;
  Names.reserve(State.Hosts.size() + State.HostsLost.size());
  for (const auto &[Name, Peer] : State.Hosts)
    Names.push_back(Name);
  State.DivideAgainAt = instant::max();
  for (const auto &[Name, Lost] : State.HostsLost) {
    if (Now >= Lost.At + LostHostPause)
      continue;
    Names.push_back(Name);
    State.DivideAgainAt =
        std::min(State.DivideAgainAt, Lost.At + LostHostPause);
  }
  std::sort(Names.begin(), Names.end());
  return Names;
}

/// The earner to ask next, in turn.
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
  // A host that earns nothing for the account asks others again after a pause.
  return Found->second.Bucket.RatePerSecond > 0
             ? untilToken(Found->second.Bucket, Now)
             : EmptyPause;
}

void askForTokens(step_context &Step) {
  for (auto &[Account, Allowance] : Step.State.Allowances.Accounts)
    askFor(Step, Account, Allowance, false);
}

void tokensAsked(step_context &Step, const events::tokens_asked &What) {
  const double Given = handOver(Step.State.Allowances, What.Wanted.Account,
                                What.Wanted.Tokens, Step.Now);
  Step.Out.push_back(
      effects::grant_tokens{What.Host, {What.Wanted.Account, Given}});
}

void tokensGranted(step_context &Step, const events::tokens_granted &What) {
  host &State = Step.State;
  account_allowance *Allowance =
      findIn(State.Allowances.Accounts, What.Granted.Account);
  if (Allowance == nullptr)
    return;
  if (What.Granted.Tokens < 1) {
    // Each earner is asked once, then all are left alone for a while.
    Allowance->EmptyAnswers += 1;
    const bool AllEmpty = Allowance->EmptyAnswers >= Allowance->Earners.size();
    Allowance->AskAfter = Step.Now + (AllEmpty ? EmptyPause : duration::zero());
    if (AllEmpty)
      Allowance->EmptyAnswers = 0;
    return;
  }
  Allowance->EmptyAnswers = 0;
  receiveTokens(State.Allowances, What.Granted.Account, What.Granted.Tokens,
                Step.Now);
}

void divideAmongHosts(step_context &Step) {
  host &State = Step.State;
  if (!State.Settings)
    return;
  const bool Earns = mayEarn(State, Step.Now);
  if (State.Earning && !Earns) {
    State.Earning = false;
    stopEarning(State.Allowances, Step.Now);
  }
  const std::uint64_t Basis = State.HostsVersion + State.Settings->Version;
  const bool Changed = Basis != State.DividedBasis || Earns != State.Earning ||
                       Step.Now >= State.DivideAgainAt;
  if (!Changed || Step.Now < State.NextDivision)
    return;
  State.DividedBasis = Basis;
  State.NextDivision =
      Step.Now + std::min(MostDividePause,
                          DividePausePerHost *
                              static_cast<duration::rep>(State.Hosts.size()));
  const bool IsFirst = Earns && State.EarningSince == instant{};
  if (Earns && !State.Earning)
    State.EarningSince = Step.Now;
  State.Earning = Earns;
  divideRates(State.Allowances, *State.Settings, countedHosts(State, Step.Now),
              State.Identity.Name, Step.Now);
  if (!Earns)
    stopEarning(State.Allowances, Step.Now);
  else if (IsFirst)
    grantFirstTokens(State.Allowances);
}

} // namespace bronzespar::proxy
