/// Admission of requests by tokens of this host's bucket or tokens granted by
/// refill slots.
#include <bronzespar/rate_shares.hpp>

#include "limits/share_lookup.hpp"

#include <algorithm>

namespace bronzespar {

namespace {

/// Time in which every reachable host has applied new settings.
constexpr duration RefillStartDelay = 10s;
constexpr duration NoWait = duration::zero();

/// Largest rounding error of a sum of token parts that make a whole token.
constexpr double RoundingTolerance = 1e-9;

bool isRefillSlot(const refill_plan &Plan, const host_slot &Self) {
  return std::find(Plan.RefillSlots.begin(), Plan.RefillSlots.end(), Self) !=
         Plan.RefillSlots.end();
}

std::vector<known_refill_slot>
otherRefillSlots(const refill_plan &Plan, const host_slot &Self, instant Now) {
  std::vector<known_refill_slot> OtherSlots;
  for (const host_slot &Slot : Plan.RefillSlots) {
    if (Slot != Self)
      OtherSlots.push_back({Slot, Plan.BurstPerSlot, Now, {}, false});
  }
  return OtherSlots;
}

account_share makeShare(const account_settings &Account, instant Now) {
  account_share Share;
  Share.Account = Account.Id;
  Share.RefillsFrom = Now;
  Share.Bucket.RefilledAt = Now;
  return Share;
}

/// Applies the plan of new settings to an account.
void applyPlan(account_share &Share, refill_plan Plan, const host_slot &Self,
               bool LayoutChanged, instant Now) {
  const bool IsRefillSlot = isRefillSlot(Plan, Self);
  const bool IsNewSlot = IsRefillSlot && !Share.IsRefillSlot;
  if (IsNewSlot && LayoutChanged)
    Share.RefillsFrom = Now + RefillStartDelay;
  Share.IsRefillSlot = IsRefillSlot;
  const bool Refills = IsRefillSlot && Now >= Share.RefillsFrom;
  resizeBucket(Share.Bucket, Refills ? Plan.RatePerSlot : 0, Plan.BurstPerSlot,
               Now);
  if (!IsRefillSlot)
    Share.Bucket.Tokens = 0;
  Share.OtherRefillSlots = otherRefillSlots(Plan, Self, Now);
  Share.PendingRequests.clear();
  Share.Granted.clear();
  Share.Plan = std::move(Plan);
}

/// Starts the refill of the bucket once the start delay has passed.
void startRefilling(account_share &Share, instant Now) {
  if (!Share.IsRefillSlot || Share.Bucket.RatePerSecond > 0 ||
      Now < Share.RefillsFrom)
    return;
  resizeBucket(Share.Bucket, Share.Plan.RatePerSlot, Share.Plan.BurstPerSlot,
               Now);
}

void dropExpiredTokens(account_share &Share, instant Now) {
  std::erase_if(Share.Granted, [Now](const granted_tokens &Grant) {
    return Grant.ExpiresAt <= Now;
  });
}

double sumGrantedTokens(const account_share &Share) {
  double Sum = 0;
  for (const granted_tokens &Grant : Share.Granted)
    Sum += Grant.Tokens;
  return Sum;
}

void spendGrantedTokens(account_share &Share, double Amount) {
  while (Amount > 0 && !Share.Granted.empty()) {
    granted_tokens &Oldest = Share.Granted.front();
    const double Used = std::min(Amount, Oldest.Tokens);
    Oldest.Tokens -= Used;
    Amount -= Used;
    if (Oldest.Tokens <= 0)
      Share.Granted.pop_front();
  }
}

/// Takes a whole token, granted parts first, since they expire soon.
bool takeWholeToken(account_share &Share, instant Now) {
  startRefilling(Share, Now);
  dropExpiredTokens(Share, Now);
  refillBucket(Share.Bucket, Now);
  const double GrantedPart = std::min(sumGrantedTokens(Share), 1.0);
  const double OwnPart = 1 - GrantedPart;
  if (Share.Bucket.Tokens < OwnPart - RoundingTolerance)
    return false;
  spendGrantedTokens(Share, GrantedPart);
  Share.Bucket.Tokens -= OwnPart;
  return true;
}

/// Time in which the whole account's rate adds a token for each waiting request
/// and one more.
duration retryAfter(const account_share &Share) {
  const double Rate = Share.Plan.RatePerSlot *
                      static_cast<double>(Share.Plan.RefillSlots.size());
  const double TokensNeeded = static_cast<double>(Share.Waiting.size() + 1);
  return duration(static_cast<duration::rep>(TokensNeeded / Rate * 1e6) + 1);
}

} // namespace

void configureShares(rate_share_state &State, const fleet_settings &Fleet,
                     const host_settings &Self, instant Now) {
  State.Self = {Self.DataCentre, Self.Slot};
  const bool IsFirst = State.Layout.empty();
  const bool LayoutChanged = !IsFirst && State.Layout != Fleet.DataCentres;
  std::vector<account_share> Shares;
  for (const account_settings &Account : Fleet.Accounts) {
    account_share *Existing = impl::findShare(State, Account.Id);
    account_share Share =
        Existing != nullptr ? std::move(*Existing) : makeShare(Account, Now);
    applyPlan(Share, planRefillSlots(Account, Fleet), State.Self, LayoutChanged,
              Now);
    Shares.push_back(std::move(Share));
  }
  std::sort(Shares.begin(), Shares.end(),
            [](const account_share &Left, const account_share &Right) {
              return Left.Account < Right.Account;
            });
  State.Shares = std::move(Shares);
  State.Layout = Fleet.DataCentres;
}

admission admitRequest(rate_share_state &State, const account_id &Account,
                       std::uint64_t Ticket, duration MaxWait, instant Now) {
  account_share *Share = impl::findShare(State, Account);
  if (Share == nullptr)
    return {};
  ++Share->RequestsSinceMeasured;
  if (Share->Waiting.empty() && takeWholeToken(*Share, Now))
    return {admission_kind::Admitted, {}};
  if (MaxWait <= NoWait)
    return {admission_kind::Refused, retryAfter(*Share)};
  Share->Waiting.push_back({Ticket, Now + MaxWait});
  return {admission_kind::Waiting, {}};
}

std::vector<resolved_admission> takeResolvedAdmissions(rate_share_state &State,
                                                       instant Now) {
  std::vector<resolved_admission> Resolved;
  for (account_share &Share : State.Shares) {
    while (!Share.Waiting.empty() && takeWholeToken(Share, Now)) {
      Resolved.push_back(
          {Share.Waiting.front().Ticket, {admission_kind::Admitted, {}}});
      Share.Waiting.pop_front();
    }
    while (!Share.Waiting.empty() && Share.Waiting.front().Deadline <= Now) {
      const std::uint64_t Ticket = Share.Waiting.front().Ticket;
      Share.Waiting.pop_front();
      Resolved.push_back(
          {Ticket, {admission_kind::Refused, retryAfter(Share)}});
    }
  }
  return Resolved;
}

void cancelAdmission(rate_share_state &State, const account_id &Account,
                     std::uint64_t Ticket) {
  account_share *Share = impl::findShare(State, Account);
  if (Share == nullptr)
    return;
  std::erase_if(Share->Waiting, [Ticket](const waiting_admission &Waiting) {
    return Waiting.Ticket == Ticket;
  });
}

} // namespace bronzespar
