/// Wiring of the rate limiter: admission of requests, tokens from other hosts.
#pragma once

#include "entry.hpp"

namespace bronzespar::impl {

/// \brief Asks for a token for a request that passed its checks.
/// \returns Accepted, RateAwaited, or Refused with the refusal in Last.
[[nodiscard]] request_event requestRateToken(context &Context,
                                             entry_request &Request);

/// \brief The request ended while it waited for a token.
void stopAwaitingRate(context &Context, const entry_request &Request);

void shareDemanded(context &Context, const host_id &From,
                   const share_demand &Demand);
void shareGranted(context &Context, const host_id &From,
                  const share_grant &Grant);
void tickRates(context &Context);

} // namespace bronzespar::impl
