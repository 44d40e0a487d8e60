/// State of group members as reported by the members and by peers, and the
/// failover decisions based on it.
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

/// \brief Tells all peers which members this host cannot reach. Peers that can
/// reach them answer with the members' latest reports.
void sendUnreachableMembers(context &Context);
/// \brief Expires old observations, reports unreachable members to peers and
/// advances promotions; does so once in each FailoverControlInterval.
void tickControl(context &Context);

} // namespace bronzespar::impl
