/// Connects requests and peer messages to the rate limiter (rate_shares.hpp).
#pragma once

#include "entry.hpp"

namespace bronzespar::impl {

/// \brief Requests a rate token for a request that passed its checks.
/// \returns Accepted, RateAwaited, or Refused with the refusal in Request.Last.
[[nodiscard]] request_event requestRateToken(context &Context,
                                             entry_request &Request);

/// \brief Withdraws a request that ended while it waited for a token.
void stopAwaitingRate(context &Context, const entry_request &Request);

void shareDemanded(context &Context, const host_id &From,
                   const share_demand &Demand);
void shareGranted(context &Context, const host_id &From,
                  const share_grant &Grant);
void tickRates(context &Context);

} // namespace bronzespar::impl
