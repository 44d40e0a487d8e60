/// Distribution of the fleet's settings. They come from the platform or a peer;
/// a revision is only replaced by a later one.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Adopts a settings text if its revision is later than the active one.
void settingsArrived(context &Context, settings_revision Revision,
                     const std::string &Text);

/// \brief Tells a peer the active settings revision.
void offerSettings(context &Context, const host_id &Peer);
/// \brief Fetches the settings from a peer that offers a later revision.
void settingsOffered(context &Context, const host_id &From,
                     settings_revision Revision);
/// \brief Sends the active settings to a peer that asked for them.
void settingsRequested(context &Context, const host_id &From,
                       const settings_fetch &Fetch);

/// \brief Stops accepting a key that a peer reports as withdrawn, and forwards
/// the withdrawal to all peers.
void keyWithdrawn(context &Context, const key_id &Key);

/// \brief Sends a message to all connected peers.
void sendToAllPeers(context &Context, const peer_message &Message);

} // namespace bronzespar::impl
