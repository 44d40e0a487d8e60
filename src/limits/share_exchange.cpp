/// Requesting tokens from refill slots, and granting them as a refill slot. A
/// token request travels as a share_demand.
#include <bronzespar/rate_shares.hpp>

#include "limits/share_lookup.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace bronzespar {

namespace {

/// A token request without an answer times out after this time.
constexpr duration DemandTimeout = 60ms;
/// Time without token requests to a refill slot after a request timed out.
constexpr duration SilenceBackOff = 500ms;
/// Interval over which the request rates of accounts are measured.
constexpr duration MeasureInterval = 100ms;
/// Weight of a new measurement in the smoothed request rate.
constexpr double NewMeasureWeight = 0.3;
/// Part of the token validity for which tokens are requested in advance.
constexpr double AheadPart = 0.5;
/// Maximum concurrent token requests of an account with waiting requests.
constexpr std::size_t MintsAskedAtOnce = 2;
/// Fewer tokens than this are not worth a message.
constexpr double LeastDemand = 0.05;

void measureDemand(rate_share_state &State, instant Now) {
  const duration Elapsed = Now - State.MeasuredAt;
  if (Elapsed < MeasureInterval)
    return;
  for (account_share &Share : State.Shares) {
    const double RequestsPerSecond =
        Share.SeenSinceMeasure / toSeconds(Elapsed);
    Share.DemandPerSecond +=
        NewMeasureWeight * (RequestsPerSecond - Share.DemandPerSecond);
    Share.SeenSinceMeasure = 0;
  }
  State.MeasuredAt = Now;
}

known_mint *findMint(account_share &Share, const host_slot &Slot) {
  const auto Found = std::find_if(
      Share.Others.begin(), Share.Others.end(),
      [&Slot](const known_mint &Known) { return Known.Slot == Slot; });
  return Found == Share.Others.end() ? nullptr : &*Found;
}

/// Drops token requests without an answer and backs off from their refill
/// slots.
void forgetLostDemands(account_share &Share, instant Now) {
  for (const open_demand &Request : Share.Open) {
    if (Now - Request.SentAt < DemandTimeout)
      continue;
    if (known_mint *Slot = findMint(Share, Request.Mint)) {
      Slot->SilentUntil = Now + SilenceBackOff;
      Slot->Silent = true;
    }
  }
  std::erase_if(Share.Open, [Now](const open_demand &Request) {
    return Now - Request.SentAt >= DemandTimeout;
  });
}

double tokensHere(account_share &Share, instant Now) {
  fillBucket(Share.Minted, Now);
  double Sum = Share.Minted.Tokens;
  for (const drawn_tokens &Grant : Share.Drawn) {
    if (Grant.UsableUntil > Now)
      Sum += Grant.Tokens;
  }
  return Sum;
}

/// Tokens that this host lacks for waiting and expected requests.
double missingTokens(account_share &Share, instant Now) {
  const double Available = tokensHere(Share, Now);
  const double Prefetched =
      Share.DemandPerSecond * toSeconds(Share.Plan.Validity) * AheadPart;
  const double ExpectedRequests = Prefetched >= 1 ? Prefetched : 0;
  return static_cast<double>(Share.Waiting.size()) + ExpectedRequests -
         Available;
}

double expectedLevel(const known_mint &Slot, const mint_plan &Plan,
                     instant Now) {
  const double Added = toSeconds(Now - Slot.LevelAt) * Plan.RatePerMint;
  return std::min(Plan.BurstPerMint, Slot.Level + Added);
}

bool isAsked(const account_share &Share, const host_slot &Slot) {
  return std::any_of(
      Share.Open.begin(), Share.Open.end(),
      [&Slot](const open_demand &Request) { return Request.Mint == Slot; });
}

/// The smallest grant that is of use: it completes the next whole token.
double leastUseful(double Missing, const mint_plan &Plan) {
  if (Plan.BurstPerMint < 1)
    return LeastDemand;
  return Missing - std::ceil(Missing) + 1;
}

/// Returns whether Left is preferred for a token request: responsive slots come
/// first, then those with more tokens.
bool isBetter(const known_mint &Left, double LeftTokens,
              const known_mint *Right, double RightTokens) {
  if (Right == nullptr)
    return true;
  if (Left.Silent != Right->Silent)
    return !Left.Silent;
  return LeftTokens > RightTokens;
}

/// Finds the refill slot to request tokens from: one in this data centre that
/// probably has enough, else the one that isPreferredSlot ranks first. Returns
/// nullptr if no slot without a pending request has a useful number of tokens.
known_mint *bestMint(account_share &Share, const host_slot &Self,
                     double Missing, instant Now) {
  known_mint *Best = nullptr;
  double BestTokens = 0;
  for (known_mint &Candidate : Share.Others) {
    if (Now < Candidate.SilentUntil || isAsked(Share, Candidate.Slot))
      continue;
    const double Tokens = expectedLevel(Candidate, Share.Plan, Now);
    if (Tokens < leastUseful(Missing, Share.Plan))
      continue;
    const bool IsLocal = Candidate.Slot.DataCentre == Self.DataCentre;
    if (IsLocal && !Candidate.Silent && Tokens >= Missing)
      return &Candidate;
    if (isBetter(Candidate, Tokens, Best, BestTokens)) {
      Best = &Candidate;
      BestTokens = Tokens;
    }
  }
  return Best;
}

/// The message to a refill slot, shared by all accounts that request tokens
/// from it now.
demand_order &orderFor(std::vector<demand_order> &Requests,
                       rate_share_state &State, const host_slot &Slot) {
  for (demand_order &Request : Requests) {
    if (Request.Mint == Slot)
      return Request;
  }
  return Requests.emplace_back(
      demand_order{Slot, share_demand{State.NextSequence++, {}}});
}

void planAccount(std::vector<demand_order> &Requests, rate_share_state &State,
                 account_share &Share, instant Now) {
  forgetLostDemands(Share, Now);
  double Missing = missingTokens(Share, Now);
  const std::size_t MaxPending = Share.Waiting.empty() ? 1 : MintsAskedAtOnce;
  while (Missing >= LeastDemand && Share.Open.size() < MaxPending) {
    known_mint *Best = bestMint(Share, State.Self, Missing, Now);
    if (Best == nullptr)
      return;
    demand_order &Request = orderFor(Requests, State, Best->Slot);
    Request.Demand.Accounts.push_back({Share.Account, Missing, 0});
    Share.Open.push_back({Request.Demand.Sequence, Best->Slot, Now});
    Missing -= expectedLevel(*Best, Share.Plan, Now);
  }
}

/// Tokens that a refill slot grants of those requested. A part of a token would
/// expire while its holder requests the rest, so a partial grant leaves a whole
/// number of tokens missing. Slots that can never hold a whole token grant what
/// they have.
double givenOf(double Requested, double Spare, double BurstPerMint) {
  if (Spare >= Requested)
    return Requested;
  if (BurstPerMint < 1)
    return Spare;
  return std::max(Requested - std::ceil(Requested - Spare), 0.0);
}

/// Closes the token request that a grant answers. \returns When it was sent, or
/// nothing if it is not pending.
std::optional<instant> closeDemand(account_share &Share, const host_slot &Slot,
                                   std::uint64_t Sequence) {
  const auto Found = std::find_if(
      Share.Open.begin(), Share.Open.end(), [&](const open_demand &Request) {
        return Request.Sequence == Sequence && Request.Mint == Slot;
      });
  if (Found == Share.Open.end())
    return std::nullopt;
  const instant SentAt = Found->SentAt;
  Share.Open.erase(Found);
  return SentAt;
}

void noteLevel(account_share &Share, const host_slot &Slot, double Tokens,
               instant Now) {
  known_mint *Known = findMint(Share, Slot);
  if (Known == nullptr)
    return;
  Known->Level = Tokens;
  Known->LevelAt = Now;
  Known->Silent = false;
}

} // namespace

std::vector<demand_order> planDemands(rate_share_state &State, instant Now) {
  measureDemand(State, Now);
  std::vector<demand_order> Requests;
  for (account_share &Share : State.Shares)
    planAccount(Requests, State, Share, Now);
  return Requests;
}

share_grant answerDemand(rate_share_state &State, const share_demand &Request,
                         instant Now) {
  share_grant Grant;
  Grant.DemandSequence = Request.Sequence;
  for (const account_tokens &Requested : Request.Accounts) {
    account_share *Share = impl::findShare(State, Requested.Account);
    if (Share == nullptr || !(Requested.Tokens > 0))
      continue;
    fillBucket(Share->Minted, Now);
    const double Reserved = static_cast<double>(Share->Waiting.size());
    const double Spare = std::max(Share->Minted.Tokens - Reserved, 0.0);
    const double Granted =
        givenOf(Requested.Tokens, Spare, Share->Plan.BurstPerMint);
    Share->Minted.Tokens -= Granted;
    Grant.Accounts.push_back({Requested.Account, Granted, Spare - Granted});
  }
  return Grant;
}

void applyGrant(rate_share_state &State, const host_slot &Slot,
                const share_grant &Grant, instant Now) {
  for (const account_tokens &Granted : Grant.Accounts) {
    account_share *Share = impl::findShare(State, Granted.Account);
    if (Share == nullptr)
      continue;
    const auto SentAt = closeDemand(*Share, Slot, Grant.DemandSequence);
    if (!SentAt)
      continue;
    noteLevel(*Share, Slot, Granted.Level, Now);
    const instant ExpiresAt = *SentAt + Share->Plan.Validity;
    if (Granted.Tokens > 0 && Now < ExpiresAt)
      Share->Drawn.push_back({Granted.Tokens, ExpiresAt});
  }
}

} // namespace bronzespar
