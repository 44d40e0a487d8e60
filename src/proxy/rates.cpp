/// Tokens for operations, and what hosts ask each other for.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// Between two requests for tokens of one account.
constexpr duration AskPause = std::chrono::milliseconds(50);
/// After a request that brought nothing.
constexpr duration EmptyPause = std::chrono::milliseconds(120);
/// Rates are divided among the most hosts of this long: one that is cut off
/// goes on earning.
constexpr duration HostMemory = std::chrono::seconds(10);

/// Another host to ask, in turn.
const listed_peer *nextPeer(host &State, account_allowance &Allowance) {
  const std::size_t Others = State.Hosts.size();
  for (std::size_t Try = 0; Try < Others; ++Try) {
    const std::size_t Index = Allowance.NextPeer++ % Others;
    const auto Peer =
        std::next(State.Hosts.begin(), static_cast<std::ptrdiff_t>(Index));
    if (Peer->first != State.Identity.Name)
      return &Peer->second;
  }
  return nullptr;
}

} // namespace

bool admitOperation(step_context &Step, const std::string &Account) {
  return takeToken(Step.State.Allowances, Account, Step.Now);
}

void askForTokens(step_context &Step) {
  host &State = Step.State;
  for (auto &[Account, Allowance] : State.Allowances.Accounts) {
    const double Wanted = tokensToAsk(Allowance, Step.Now);
    if (Wanted < 1)
      continue;
    Allowance.AskAfter = Step.Now + AskPause;
    if (const listed_peer *Peer = nextPeer(State, Allowance))
      Step.Out.push_back(
          effects::ask_tokens{Peer->Record.Peers, {Account, Wanted}});
  }
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
    if (Allowance->NextPeer % std::max<std::size_t>(State.Hosts.size(), 1) == 0)
      Allowance->AskAfter = Step.Now + EmptyPause;
    return;
  }
  receiveTokens(State.Allowances, What.Granted.Account, What.Granted.Tokens,
                Step.Now);
}

void divideAmongHosts(step_context &Step) {
  host &State = Step.State;
  if (!State.Settings)
    return;
  const std::size_t Live = std::max<std::size_t>(State.Hosts.size(), 1);
  if (Live >= State.Allowances.Hosts)
    State.HostsGrewAt = Step.Now;
  const bool Remembers = Step.Now < State.HostsGrewAt + HostMemory;
  const std::size_t Hosts =
      Remembers ? std::max(Live, State.Allowances.Hosts) : Live;
  divideRates(State.Allowances, *State.Settings, Hosts, Step.Now);
}

} // namespace bronzespar::proxy
