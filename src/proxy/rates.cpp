/// Tokens that admit operations, and their transfer between hosts. Answers
/// demand that moves between hosts and data centres, and refilling hosts that
/// are silent or cut off; see docs/design/demand-limits.md.
#include "parts.hpp"

#include <algorithm>

namespace bronzespar::proxy {

namespace {

/// A refilling host that has not answered after this is silent: a few times an
/// exchange between data centres.
constexpr duration TokenAnswerTimeout = std::chrono::milliseconds(40);
/// In a round the host's own data centre is asked and one other: an operation
/// does not have the time for more exchanges between data centres.
constexpr std::size_t MaxHostsInRound = 2;
/// Others are asked in place of a silent host for this long.
constexpr duration SilentHostBackOff = std::chrono::milliseconds(2000);
/// Delay before tokens are requested again, after every refilling host answered
/// that it has none. It doubles with each such round, up to the maximum, so
/// that an account in heavy demand does not flood its refilling hosts.
constexpr duration NoTokensDelay = std::chrono::milliseconds(60);
constexpr duration MaxNoTokensDelay = std::chrono::milliseconds(120);
/// The same delay if some had fewer tokens than requested.
constexpr duration RoundInterval = std::chrono::milliseconds(20);
/// An operation waits for a token for this part of its route's latency goal,
/// and for at least MinTokenWait; for the larger part while a request for
/// tokens is under way.
constexpr int TokenWaitPartOfGoal = 8;
constexpr int AnswerWaitPartOfGoal = 4;
constexpr duration MinTokenWait = std::chrono::milliseconds(20);
/// Accounts that lacked tokens are logged once in this period, the most refused
/// first.
constexpr duration ReportPeriod = std::chrono::seconds(5);
constexpr std::size_t MaxReportedAccounts = 8;
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

/// A host steps with every tick. Longer gaps show that it was suspended; its
/// lease may have ended meanwhile, and others have refilled in its place.
constexpr duration MaxStepGap = std::chrono::milliseconds(1000);

/// Whether this host's buckets may refill. While a host is isolated or not
/// registered, the others divide its share.
bool mayRefill(const host &State, instant Now) {
  if (keepsRefilling(State, Now))
    return true;
  return !State.Isolated && !State.Lease.RegisteredValue.empty() &&
         Now >= State.Lease.RegisteredAt + RefillDelay &&
         State.Hosts.contains(State.Identity.Name);
}

/// Whether all hosts divide rates by data centre. Otherwise a host of an
/// earlier version is present, and all divide them as it does: two divisions at
/// a time would refill up to twice the rate.
bool allDivideByDataCentre(const host &State) {
  const auto Divides = [](const auto &Peer) {
    return Peer.second.Record.GrantsByDataCentre;
  };
  return !State.Hosts.empty() &&
         std::all_of(State.Hosts.begin(), State.Hosts.end(), Divides);
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

/// Data centres of the hosts among which rates are divided.
hosts_by_data_centre placeHosts(const host &State,
                                const std::vector<std::string> &Names) {
  hosts_by_data_centre Places;
  for (const std::string &Name : Names) {
    const auto Peer = State.Hosts.find(Name);
    const std::string &DataCentre =
        Peer != State.Hosts.end() ? Peer->second.Record.DataCentre
                                  : State.ExpiredHosts.at(Name).DataCentre;
    Places[DataCentre].push_back(Name);
  }
  return Places;
}

/// Stops waiting for a host that has not answered the latest request in time.
void noteSilentHost(host &State, account_allowance &Allowance, instant Now) {
  if (Allowance.AwaitedLink.empty() ||
      Now < Allowance.AwaitedSince + TokenAnswerTimeout)
    return;
  for (const std::string &Name : Allowance.RefillingHosts) {
    const auto Peer = State.Hosts.find(Name);
    if (Peer != State.Hosts.end() &&
        toText(Peer->second.Record.PeerEndpoint) == Allowance.AwaitedLink)
      State.Allowances.SilentHosts[Name] = Now + SilentHostBackOff;
  }
  Allowance.AwaitedLink.clear();
}

bool isSilent(const host &State, const std::string &Name, instant Now) {
  const auto Found = State.Allowances.SilentHosts.find(Name);
  return Found != State.Allowances.SilentHosts.end() && Now < Found->second;
}

bool mayBeAsked(const host &State, const std::string &Name, instant Now) {
  return Name != State.Identity.Name && State.Hosts.contains(Name) &&
         !isSilent(State, Name, Now);
}

/// The refilling host to request tokens from next: in a round that of this
/// host's data centre first, then others in rotation.
const listed_peer *nextRefillingHost(const host &State,
                                     account_allowance &Allowance,
                                     instant Now) {
  const std::vector<std::string> &Names = Allowance.RefillingHosts;
  const bool IsFirst = Allowance.PrefersFirst && Allowance.AskedInRound == 0;
  if (IsFirst && !Names.empty() && mayBeAsked(State, Names.front(), Now))
    return &State.Hosts.at(Names.front());
  for (std::size_t Try = 0; Try < Names.size(); ++Try) {
    const std::size_t Index = Allowance.NextRefillingHost++ % Names.size();
    const bool WasFirst = Allowance.PrefersFirst && Index == 0;
    if (!WasFirst && mayBeAsked(State, Names[Index], Now))
      return &State.Hosts.at(Names[Index]);
  }
  return nullptr;
}

/// Hosts to ask in a round before the next request is delayed.
std::size_t hostsInRound(const host &State, const account_allowance &Allowance,
                         instant Now) {
  const auto Askable = static_cast<std::size_t>(std::count_if(
      Allowance.RefillingHosts.begin(), Allowance.RefillingHosts.end(),
      [&](const std::string &Name) { return mayBeAsked(State, Name, Now); }));
  return Allowance.PrefersFirst ? std::min(Askable, MaxHostsInRound) : Askable;
}

/// Delays the next request after each refilling host was asked, by more if none
/// had a token.
void endRound(account_allowance &Allowance, instant Now) {
  duration Delay = RoundInterval;
  if (Allowance.RoundGranted) {
    Allowance.EmptyRounds = 0;
  } else {
    Delay = std::min(NoTokensDelay * (1 << std::min(Allowance.EmptyRounds, 4U)),
                     MaxNoTokensDelay);
    Allowance.EmptyRounds += 1;
  }
  Allowance.AskedInRound = 0;
  Allowance.RoundGranted = false;
  Allowance.NextRequestAt = Now + Delay;
}

/// The latest request was granted in full.
void startRound(account_allowance &Allowance) {
  Allowance.EmptyRounds = 0;
  Allowance.AskedInRound = 0;
  Allowance.RoundGranted = false;
}

/// Requests tokens of an account from another host, if they are needed now.
void requestTokensFor(step_context &Step, const std::string &Account,
                      account_allowance &Allowance, bool IsNeeded) {
  noteSilentHost(Step.State, Allowance, Step.Now);
  if (!Allowance.AwaitedLink.empty())
    return;
  const double Wanted = tokensToRequest(Allowance, IsNeeded, Step.Now);
  if (Wanted < 1)
    return;
  const listed_peer *Peer = nextRefillingHost(Step.State, Allowance, Step.Now);
  if (Peer == nullptr) {
    endRound(Allowance, Step.Now);
    return;
  }
  Allowance.AwaitedTokens = Wanted;
  Allowance.AwaitedLink = toText(Peer->Record.PeerEndpoint);
  Allowance.AwaitedSince = Step.Now;
  Allowance.Requests[Allowance.AwaitedLink].push_back(Step.Now);
  Step.Out.push_back(
      effects::request_tokens{Peer->Record.PeerEndpoint, {Account, Wanted}});
}

/// Removes the oldest request on a link, which an answer belongs to.
/// \returns When it was sent.
std::optional<instant> takeRequestTime(account_allowance &Allowance,
                                       const std::string &Link) {
  const auto Found = Allowance.Requests.find(Link);
  if (Found == Allowance.Requests.end())
    return std::nullopt;
  const instant SentAt = Found->second.front();
  Found->second.pop_front();
  if (Found->second.empty())
    Allowance.Requests.erase(Found);
  return SentAt;
}

/// Logs the accounts that lacked tokens since the last report.
void reportAllowances(step_context &Step) {
  allowance_table &Table = Step.State.Allowances;
  if (Step.Now < Table.NextReportAt)
    return;
  Table.NextReportAt = Step.Now + ReportPeriod;
  std::vector<std::pair<std::uint64_t, const std::string *>> Lacking;
  for (auto &[Name, Allowance] : Table.Accounts) {
    const std::uint64_t Refused =
        Allowance.Counts.Refused - Allowance.ReportedRefused;
    Allowance.ReportedRefused = Allowance.Counts.Refused;
    if (Refused > 0)
      Lacking.emplace_back(Refused, &Name);
  }
  std::sort(Lacking.rbegin(), Lacking.rend());
  Lacking.resize(std::min(Lacking.size(), MaxReportedAccounts));
  for (const auto &[Refused, Name] : Lacking) {
    const allowance_counts &Counts = Table.Accounts.at(*Name).Counts;
    logLine(Step, "account.tokens",
            {{"account", *Name},
             {"taken", std::to_string(Counts.Taken)},
             {"refused", std::to_string(Counts.Refused)},
             {"lent", std::to_string(Counts.Lent)},
             {"expired", std::to_string(Counts.Expired)}});
  }
}

} // namespace

void noteStepGap(step_context &Step) {
  host &State = Step.State;
  const bool WasSuspended =
      State.SteppedAt != instant{} && Step.Now - State.SteppedAt > MaxStepGap;
  State.SteppedAt = Step.Now;
  if (WasSuspended)
    dropTokens(State.Allowances, Step.Now);
}

bool admitOperation(step_context &Step, const std::string &Account) {
  if (takeToken(Step.State.Allowances, Account, Step.Now))
    return true;
  if (auto *Allowance = findIn(Step.State.Allowances.Accounts, Account))
    requestTokensFor(Step, Account, *Allowance, true);
  return false;
}

bool mayAwaitToken(const host &State, const std::string &Account,
                   instant ArrivedAt, duration LatencyGoal, instant Now) {
  if (isAboutToRefill(State, Now))
    return true;
  const instant Since = std::max(ArrivedAt, State.RefillingSince);
  const instant WaitsUntil =
      Since +
      std::max<duration>(LatencyGoal / TokenWaitPartOfGoal, MinTokenWait);
  const auto Found = State.Allowances.Accounts.find(Account);
  if (Found == State.Allowances.Accounts.end())
    return Now < WaitsUntil;
  if (!Found->second.AwaitedLink.empty())
    return Now <
           std::max(WaitsUntil, Since + LatencyGoal / AnswerWaitPartOfGoal);
  if (Now >= WaitsUntil)
    return false;
  return Now + untilNextToken(State, Account, Now) < WaitsUntil;
}

void keepTransactionToken(step_context &Step, caller_session &Session) {
  const auto *Allowance =
      findIn(Step.State.Allowances.Accounts, Session.Account);
  Session.Transaction->TokenRequestedAt =
      Allowance == nullptr ? Step.Now : Allowance->LastTakenRequestedAt;
}

bool takeTransactionToken(step_context &Step, caller_session &Session) {
  const instant RequestedAt = *Session.Transaction->TokenRequestedAt;
  Session.Transaction->TokenRequestedAt.reset();
  return Step.Now <= RequestedAt + ReceivedTokenLifetime;
}

void returnTransactionToken(step_context &Step, caller_session &Session) {
  if (Session.Transaction && Session.Transaction->TokenRequestedAt)
    returnToken(Step.State.Allowances, Session.Account,
                Session.Transaction->TokenRequestedAt);
}

void countRefusal(host &State, const std::string &Account) {
  if (auto *Allowance = findIn(State.Allowances.Accounts, Account))
    Allowance->Counts.Refused += 1;
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
  const account_allowance &Allowance = Found->second;
  const duration UntilRequest =
      std::max(Allowance.NextRequestAt - Now, duration::zero());
  return Allowance.Bucket.RatePerSecond > 0
             ? std::min(timeUntilToken(Allowance.Bucket, Now), UntilRequest)
             : UntilRequest;
}

void requestTokens(step_context &Step) {
  for (auto &[Account, Allowance] : Step.State.Allowances.Accounts)
    requestTokensFor(Step, Account, Allowance, false);
  reportAllowances(Step);
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
  const auto RequestedAt = takeRequestTime(*Allowance, Event.Link);
  // Whoever asked for the tokens has given up the link since.
  if (!RequestedAt)
    return;
  const bool IsAwaited = Allowance->AwaitedLink == Event.Link;
  if (IsAwaited)
    Allowance->AwaitedLink.clear();
  receiveTokens(State.Allowances, Event.Granted.Account, Event.Granted.Tokens,
                *RequestedAt);
  if (!IsAwaited)
    return;
  if (Event.Granted.Tokens >= Allowance->AwaitedTokens) {
    startRound(*Allowance);
    return;
  }
  // The next host is asked at once, until all were.
  Allowance->RoundGranted =
      Allowance->RoundGranted || Event.Granted.Tokens >= 1;
  Allowance->AskedInRound += 1;
  if (Allowance->AskedInRound >= hostsInRound(State, *Allowance, Step.Now))
    endRound(*Allowance, Step.Now);
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
  const std::vector<std::string> Counted = countedHosts(State, Step.Now);
  if (allDivideByDataCentre(State))
    divideRatesByDataCentre(State.Allowances, *State.Settings,
                            placeHosts(State, Counted), State.Identity.Name,
                            State.Identity.DataCentre, Step.Now);
  else
    divideRates(State.Allowances, *State.Settings, Counted, State.Identity.Name,
                Step.Now);
  if (!MayRefill)
    stopRefilling(State.Allowances, Step.Now);
  else if (IsFirst)
    grantStartupTokens(State.Allowances);
}

} // namespace bronzespar::proxy
