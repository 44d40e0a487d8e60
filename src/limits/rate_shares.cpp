/// Admission of requests by tokens of this host's bucket or tokens granted by
/// refill slots.
#include <bronzespar/rate_shares.hpp>

#include "limits/share_lookup.hpp"

#include <algorithm>

namespace bronzespar {

namespace {

/// Time in which every reachable host has applied new settings.
constexpr duration SettleTime = 10s;
constexpr duration DroppedAtOnce = duration::zero();

/// Largest rounding error of a sum of token parts that make a whole token.
constexpr double Rounding = 1e-9;

bool mintsHere(const mint_plan &Plan, const host_slot &Self) {
  return std::find(Plan.Mints.begin(), Plan.Mints.end(), Self) !=
         Plan.Mints.end();
}

std::vector<known_mint> otherMints(const mint_plan &Plan, const host_slot &Self,
                                   instant Now) {
  std::vector<known_mint> OtherSlots;
  for (const host_slot &Slot : Plan.Mints) {
    if (Slot != Self)
      OtherSlots.push_back({Slot, Plan.BurstPerMint, Now, {}, false});
  }
  return OtherSlots;
}

account_share makeShare(const account_settings &Account, instant Now) {
  account_share Share;
  Share.Account = Account.Id;
  Share.MintsFrom = Now;
  Share.Minted.FilledAt = Now;
  return Share;
}

/// Applies the plan of new settings to an account.
void replan(account_share &Share, mint_plan Plan, const host_slot &Self,
            bool LayoutChanged, instant Now) {
  const bool IsRefillSlot = mintsHere(Plan, Self);
  const bool IsNewSlot = IsRefillSlot && !Share.Mints;
  if (IsNewSlot && LayoutChanged)
    Share.MintsFrom = Now + SettleTime;
  Share.Mints = IsRefillSlot;
  const bool Refills = IsRefillSlot && Now >= Share.MintsFrom;
  resizeBucket(Share.Minted, Refills ? Plan.RatePerMint : 0, Plan.BurstPerMint,
               Now);
  if (!IsRefillSlot)
    Share.Minted.Tokens = 0;
  Share.Others = otherMints(Plan, Self, Now);
  Share.Open.clear();
  Share.Drawn.clear();
  Share.Plan = std::move(Plan);
}

/// Starts the refill of the bucket once the start delay has passed.
void startEarning(account_share &Share, instant Now) {
  if (!Share.Mints || Share.Minted.RatePerSecond > 0 || Now < Share.MintsFrom)
    return;
  resizeBucket(Share.Minted, Share.Plan.RatePerMint, Share.Plan.BurstPerMint,
               Now);
}

void dropStale(account_share &Share, instant Now) {
  std::erase_if(Share.Drawn, [Now](const drawn_tokens &Grant) {
    return Grant.UsableUntil <= Now;
  });
}

double drawnTokens(const account_share &Share) {
  double Sum = 0;
  for (const drawn_tokens &Grant : Share.Drawn)
    Sum += Grant.Tokens;
  return Sum;
}

void useDrawn(account_share &Share, double Amount) {
  while (Amount > 0 && !Share.Drawn.empty()) {
    drawn_tokens &Oldest = Share.Drawn.front();
    const double Used = std::min(Amount, Oldest.Tokens);
    Oldest.Tokens -= Used;
    Amount -= Used;
    if (Oldest.Tokens <= 0)
      Share.Drawn.pop_front();
  }
}

/// Takes a whole token, granted parts first, since they expire soon.
bool takeWholeToken(account_share &Share, instant Now) {
  startEarning(Share, Now);
  dropStale(Share, Now);
  fillBucket(Share.Minted, Now);
  const double GrantedPart = std::min(drawnTokens(Share), 1.0);
  const double OwnPart = 1 - GrantedPart;
  if (Share.Minted.Tokens < OwnPart - Rounding)
    return false;
  useDrawn(Share, GrantedPart);
  Share.Minted.Tokens -= OwnPart;
  return true;
}

/// Time in which the whole account's rate adds a token for each waiting request
/// and one more.
duration retryAfter(const account_share &Share) {
  const double Rate =
      Share.Plan.RatePerMint * static_cast<double>(Share.Plan.Mints.size());
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
    replan(Share, planMints(Account, Fleet), State.Self, LayoutChanged, Now);
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
  ++Share->SeenSinceMeasure;
  if (Share->Waiting.empty() && takeWholeToken(*Share, Now))
    return {admission_kind::Admitted, {}};
  if (MaxWait <= DroppedAtOnce)
    return {admission_kind::Refused, retryAfter(*Share)};
  Share->Waiting.push_back({Ticket, Now + MaxWait});
  return {admission_kind::Waiting, {}};
}

std::vector<settled_admission> takeSettled(rate_share_state &State,
                                           instant Now) {
  std::vector<settled_admission> Resolved;
  for (account_share &Share : State.Shares) {
    while (!Share.Waiting.empty() && takeWholeToken(Share, Now)) {
      Resolved.push_back(
          {Share.Waiting.front().Ticket, {admission_kind::Admitted, {}}});
      Share.Waiting.pop_front();
    }
    while (!Share.Waiting.empty() && Share.Waiting.front().GiveUpAt <= Now) {
      const std::uint64_t Ticket = Share.Waiting.front().Ticket;
      Share.Waiting.pop_front();
      Resolved.push_back(
          {Ticket, {admission_kind::Refused, retryAfter(Share)}});
    }
  }
  return Resolved;
}

void abandonAdmission(rate_share_state &State, const account_id &Account,
                      std::uint64_t Ticket) {
  account_share *Share = impl::findShare(State, Account);
  if (Share == nullptr)
    return;
  std::erase_if(Share->Waiting, [Ticket](const waiting_admission &Waiting) {
    return Waiting.Ticket == Ticket;
  });
}

} // namespace bronzespar
