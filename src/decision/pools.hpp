/// Connection pools to targets. Each target's pool is held by one host, its
/// pool owner.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Finds the pool of a configured target, creating it if needed.
/// \returns nullptr for an unknown target.
[[nodiscard]] target_pool *findPool(context &Context, const target_id &Target);

/// \brief Dispatches an event to the connection's state chart and performs the
/// actions of the transition.
void dispatchConnectionEvent(context &Context, pooled_connection &Connection,
                             connection_event Event);

/// \brief Sends the run on its transaction's connection or on an idle one, or
/// queues it until a connection becomes available.
void findConnection(context &Context, target_pool &Pool, statement_run &Run);

/// \brief Removes a finished run from those that wait for a connection.
void cancelConnectionWait(target_pool &Pool, std::uint64_t Run);

void targetConnected(context &Context, const events::target_connected &Event);
void targetDisconnected(context &Context,
                        const events::target_disconnected &Event);
void targetAnswered(context &Context, const events::target_answered &Event);

/// \brief Closes connections whose answer or dial is overdue, opens missing
/// ones, and closes idle ones of pools that belong to another host or whose
/// target is leaving.
void tickPools(context &Context);
/// \brief Erases connections that closed during this step.
void eraseClosedConnections(context &Context);

/// \brief True unless the target is leaving according to the settings or to its
/// own report, or is not configured.
[[nodiscard]] bool acceptsNewWork(const context &Context,
                                  const target_settings &Target);

} // namespace bronzespar::impl
