/// Links to peers, and handling of the messages received on them.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

void peerConnected(context &Context, const host_id &Host);
void peerDisconnected(context &Context, const host_id &Host);
void peerMessageArrived(context &Context,
                        const events::peer_message_arrived &Event);
void hostsListed(context &Context, const events::hosts_listed &Event);
/// \brief Sends heartbeats, and fails requests forwarded to peers that stopped
/// answering.
void tickPeers(context &Context);

} // namespace bronzespar::impl
