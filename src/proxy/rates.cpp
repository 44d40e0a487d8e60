/// Tokens for operations, and what hosts ask each other for.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Between two requests for tokens of one account.
constexpr duration AskPause = std::chrono::milliseconds(50);
/// After a request that brought nothing.
constexpr duration EmptyPause = std::chrono::milliseconds(120);
/// Membership changes come in groups; each division hashes all hosts.
constexpr duration DividePause = std::chrono::milliseconds(200);

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
  const std::uint64_t Basis = State.HostsVersion + State.Settings->Version;
  if (State.Isolated) {
    // Others earn in this host's place once its lease has lapsed.
    if (State.DividedBasis != 0)
      stopEarning(State.Allowances, Step.Now);
    State.DividedBasis = 0;
    return;
  }
  if (Basis == State.DividedBasis || Step.Now < State.NextDivision)
    return;
  State.DividedBasis = Basis;
  State.NextDivision = Step.Now + DividePause;
  std::vector<std::string> Hosts;
  for (const auto &[Name, Peer] : State.Hosts)
    Hosts.push_back(Name);
  divideRates(State.Allowances, *State.Settings, Hosts, State.Identity.Name,
              Step.Now);
}

} // namespace bronzespar::proxy
