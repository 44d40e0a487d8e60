/// The fleet's settings: taken from the platform or a peer, only forward.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Adopts a settings text if it is later than the one in force.
void settingsArrived(context &Context, settings_revision Revision,
                     const std::string &Text);

/// \brief Offers the settings in force to a peer.
void offerSettings(context &Context, const host_id &Peer);
/// \brief Asks a peer that has later settings.
void settingsOffered(context &Context, const host_id &From,
                     settings_revision Revision);
void settingsRequested(context &Context, const host_id &From,
                       const settings_fetch &Fetch);

/// \brief Refuses a key that a peer says is withdrawn, and tells the others.
void keyWithdrawn(context &Context, const key_id &Key);

/// \brief Sends a message to all peers whose link is up.
void sendToAllPeers(context &Context, const peer_message &Message);

} // namespace bronzespar::impl
