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
constexpr duration TokenRequestTimeout = 60ms;
/// Time without token requests to a refill slot after a request timed out.
constexpr duration UnresponsiveSlotBackOff = 500ms;
/// Interval over which the request rates of accounts are measured.
constexpr duration MeasureInterval = 100ms;
/// Weight of a new measurement in the smoothed request rate.
constexpr double RequestRateSmoothing = 0.3;
/// Part of the token validity for which tokens are requested in advance.
constexpr double PrefetchFraction = 0.5;
/// Maximum concurrent token requests of an account with waiting requests.
constexpr std::size_t MaxConcurrentRequests = 2;
/// Fewer tokens than this are not worth a message.
constexpr double MinRequestedTokens = 0.05;

void measureRequestRates(rate_share_state &State, instant Now) {
  const duration Elapsed = Now - State.MeasuredAt;
  if (Elapsed < MeasureInterval)
    return;
  for (account_share &Share : State.Shares) {
    const double RequestsPerSecond =
        Share.RequestsSinceMeasured / toSeconds(Elapsed);
    Share.RequestsPerSecond +=
        RequestRateSmoothing * (RequestsPerSecond - Share.RequestsPerSecond);
    Share.RequestsSinceMeasured = 0;
  }
  State.MeasuredAt = Now;
}

known_refill_slot *findRefillSlot(account_share &Share, const host_slot &Slot) {
  const auto Found = std::find_if(
      Share.OtherRefillSlots.begin(), Share.OtherRefillSlots.end(),
      [&Slot](const known_refill_slot &Known) { return Known.Slot == Slot; });
  return Found == Share.OtherRefillSlots.end() ? nullptr : &*Found;
}

/// Drops token requests without an answer and backs off from their refill
/// slots.
void timeOutTokenRequests(account_share &Share, instant Now) {
  for (const pending_token_request &Request : Share.PendingRequests) {
    if (Now - Request.SentAt < TokenRequestTimeout)
      continue;
    if (known_refill_slot *Slot = findRefillSlot(Share, Request.RefillSlot)) {
      Slot->BackOffUntil = Now + UnresponsiveSlotBackOff;
      Slot->IsUnresponsive = true;
    }
  }
  std::erase_if(Share.PendingRequests,
                [Now](const pending_token_request &Request) {
                  return Now - Request.SentAt >= TokenRequestTimeout;
                });
}

double availableTokens(account_share &Share, instant Now) {
  refillBucket(Share.Bucket, Now);
  double Sum = Share.Bucket.Tokens;
  for (const granted_tokens &Grant : Share.Granted) {
    if (Grant.ExpiresAt > Now)
      Sum += Grant.Tokens;
  }
  return Sum;
}

/// Tokens that this host lacks for waiting and expected requests.
double missingTokens(account_share &Share, instant Now) {
  const double Available = availableTokens(Share, Now);
  const double Prefetched = Share.RequestsPerSecond *
                            toSeconds(Share.Plan.TokenValidity) *
                            PrefetchFraction;
  const double ExpectedRequests = Prefetched >= 1 ? Prefetched : 0;
  return static_cast<double>(Share.Waiting.size()) + ExpectedRequests -
         Available;
}

double expectedTokens(const known_refill_slot &Slot, const refill_plan &Plan,
                      instant Now) {
  const double Added = toSeconds(Now - Slot.LastKnownAt) * Plan.RatePerSlot;
  return std::min(Plan.BurstPerSlot, Slot.LastKnownTokens + Added);
}

bool hasPendingRequest(const account_share &Share, const host_slot &Slot) {
  return std::any_of(Share.PendingRequests.begin(), Share.PendingRequests.end(),
                     [&Slot](const pending_token_request &Request) {
                       return Request.RefillSlot == Slot;
                     });
}

/// The smallest grant that is of use: it completes the next whole token.
double minUsefulTokens(double Missing, const refill_plan &Plan) {
  if (Plan.BurstPerSlot < 1)
    return MinRequestedTokens;
  return Missing - std::ceil(Missing) + 1;
}

/// Returns whether Left is preferred for a token request: responsive slots come
/// first, then those with more tokens.
bool isPreferredSlot(const known_refill_slot &Left, double LeftTokens,
                     const known_refill_slot *Right, double RightTokens) {
  if (Right == nullptr)
    return true;
  if (Left.IsUnresponsive != Right->IsUnresponsive)
    return !Left.IsUnresponsive;
  return LeftTokens > RightTokens;
}

/// Finds the refill slot to request tokens from: one in this data centre that
/// probably has enough, else the one that isPreferredSlot ranks first. Returns
/// nullptr if no slot without a pending request has a useful number of tokens.
known_refill_slot *bestRefillSlot(account_share &Share, const host_slot &Self,
                                  double Missing, instant Now) {
  known_refill_slot *Best = nullptr;
  double BestTokens = 0;
  for (known_refill_slot &Candidate : Share.OtherRefillSlots) {
    if (Now < Candidate.BackOffUntil ||
        hasPendingRequest(Share, Candidate.Slot))
      continue;
    const double Tokens = expectedTokens(Candidate, Share.Plan, Now);
    if (Tokens < minUsefulTokens(Missing, Share.Plan))
      continue;
    const bool IsLocal = Candidate.Slot.DataCentre == Self.DataCentre;
    if (IsLocal && !Candidate.IsUnresponsive && Tokens >= Missing)
      return &Candidate;
    if (isPreferredSlot(Candidate, Tokens, Best, BestTokens)) {
      Best = &Candidate;
      BestTokens = Tokens;
    }
  }
  return Best;
}

/// The message to a refill slot, shared by all accounts that request tokens
/// from it now.
outgoing_token_request &
requestFor(std::vector<outgoing_token_request> &Requests,
           rate_share_state &State, const host_slot &Slot) {
  for (outgoing_token_request &Request : Requests) {
    if (Request.RefillSlot == Slot)
      return Request;
  }
  return Requests.emplace_back(
      outgoing_token_request{Slot, share_demand{State.NextSequence++, {}}});
}

void planAccountRequests(std::vector<outgoing_token_request> &Requests,
                         rate_share_state &State, account_share &Share,
                         instant Now) {
  timeOutTokenRequests(Share, Now);
  double Missing = missingTokens(Share, Now);
  const std::size_t MaxPending =
      Share.Waiting.empty() ? 1 : MaxConcurrentRequests;
  while (Missing >= MinRequestedTokens &&
         Share.PendingRequests.size() < MaxPending) {
    known_refill_slot *Best = bestRefillSlot(Share, State.Self, Missing, Now);
    if (Best == nullptr)
      return;
    outgoing_token_request &Request = requestFor(Requests, State, Best->Slot);
    Request.Request.Accounts.push_back({Share.Account, Missing, 0});
    Share.PendingRequests.push_back(
        {Request.Request.Sequence, Best->Slot, Now});
    Missing -= expectedTokens(*Best, Share.Plan, Now);
  }
}

/// Tokens that a refill slot grants of those requested. A part of a token would
/// expire while its holder requests the rest, so a partial grant leaves a whole
/// number of tokens missing. Slots that can never hold a whole token grant what
/// they have.
double grantableTokens(double Requested, double Spare, double BurstPerMint) {
  if (Spare >= Requested)
    return Requested;
  if (BurstPerMint < 1)
    return Spare;
  return std::max(Requested - std::ceil(Requested - Spare), 0.0);
}

/// Closes the token request that a grant answers. \returns When it was sent, or
/// nothing if it is not pending.
std::optional<instant> closeTokenRequest(account_share &Share,
                                         const host_slot &Slot,
                                         std::uint64_t Sequence) {
  const auto Found = std::find_if(
      Share.PendingRequests.begin(), Share.PendingRequests.end(),
      [&](const pending_token_request &Request) {
        return Request.Sequence == Sequence && Request.RefillSlot == Slot;
      });
  if (Found == Share.PendingRequests.end())
    return std::nullopt;
  const instant SentAt = Found->SentAt;
  Share.PendingRequests.erase(Found);
  return SentAt;
}

void updateKnownTokens(account_share &Share, const host_slot &Slot,
                       double Tokens, instant Now) {
  known_refill_slot *Known = findRefillSlot(Share, Slot);
  if (Known == nullptr)
    return;
  Known->LastKnownTokens = Tokens;
  Known->LastKnownAt = Now;
  Known->IsUnresponsive = false;
}

} // namespace

std::vector<outgoing_token_request> planTokenRequests(rate_share_state &State,
                                                      instant Now) {
  measureRequestRates(State, Now);
  std::vector<outgoing_token_request> Requests;
  for (account_share &Share : State.Shares)
    planAccountRequests(Requests, State, Share, Now);
  return Requests;
}

share_grant answerTokenRequest(rate_share_state &State,
                               const share_demand &Request, instant Now) {
  share_grant Grant;
  Grant.DemandSequence = Request.Sequence;
  for (const account_tokens &Requested : Request.Accounts) {
    account_share *Share = impl::findShare(State, Requested.Account);
    if (Share == nullptr || !(Requested.Tokens > 0))
      continue;
    refillBucket(Share->Bucket, Now);
    const double Reserved = static_cast<double>(Share->Waiting.size());
    const double Spare = std::max(Share->Bucket.Tokens - Reserved, 0.0);
    const double Granted =
        grantableTokens(Requested.Tokens, Spare, Share->Plan.BurstPerSlot);
    Share->Bucket.Tokens -= Granted;
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
    const auto SentAt = closeTokenRequest(*Share, Slot, Grant.DemandSequence);
    if (!SentAt)
      continue;
    updateKnownTokens(*Share, Slot, Granted.Level, Now);
    const instant ExpiresAt = *SentAt + Share->Plan.TokenValidity;
    if (Granted.Tokens > 0 && Now < ExpiresAt)
      Share->Granted.push_back({Granted.Tokens, ExpiresAt});
  }
}

} // namespace bronzespar
