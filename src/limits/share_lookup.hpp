/// Look-up of an account's rate limit state, for the files of the limits
/// library.
#pragma once

#include <bronzespar/rate_shares.hpp>

#include <algorithm>

namespace bronzespar::impl {

/// \returns nullptr for an unknown account.
[[nodiscard]] inline account_share *findShare(rate_share_state &State,
                                              const account_id &Account) {
  const auto Found = std::lower_bound(
      State.Shares.begin(), State.Shares.end(), Account,
      [](const account_share &Share, const account_id &Wanted) {
        return Share.Account < Wanted;
      });
  if (Found == State.Shares.end() || Found->Account != Account)
    return nullptr;
  return &*Found;
}

} // namespace bronzespar::impl
