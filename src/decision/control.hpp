/// Knowledge about members, and the failover that rests on it.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

void memberReported(context &Context, const events::member_reported &Event);
void memberUnreachable(context &Context,
                       const events::member_unreachable &Event);
void controlCommandFinished(context &Context,
                            const events::control_command_finished &Event);
void platformAnswered(context &Context, const events::platform_answered &Event);
void peerReported(context &Context, const host_id &From,
                  const member_reports &Reports);

/// \brief Tells peers which members this host cannot reach. Peers that can
/// reach them answer with their reports.
void sendUnreachableMembers(context &Context);
/// \brief Ages observations, sends reports, drives promotions.
void tickControl(context &Context);

} // namespace bronzespar::impl
