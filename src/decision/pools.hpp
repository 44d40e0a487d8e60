/// Pools of connections to targets, on their owner.
#pragma once

#include "state.hpp"

namespace bronzespar::impl {

/// \brief Finds the pool of a configured target, making it if need be.
/// \returns nullptr for an unknown target.
[[nodiscard]] target_pool *findPool(context &Context, const target_id &Target);

/// \brief Takes an event through the connection's chart.
void dispatchConnectionEvent(context &Context, pooled_connection &Connection,
                             connection_event Event);

/// \brief Sends the run on an idle connection, or lets it wait for one.
void findConnection(context &Context, target_pool &Pool, statement_run &Run);

/// \brief Takes a run that gave up out of the wait for a connection.
void cancelConnectionWait(target_pool &Pool, std::uint64_t Run);

void targetConnected(context &Context, const events::target_connected &Event);
void targetDisconnected(context &Context,
                        const events::target_disconnected &Event);
void targetAnswered(context &Context, const events::target_answered &Event);

/// \brief Overdue answers and dials, warm connections, pools of other hosts.
void tickPools(context &Context);
/// \brief Frees connections that closed during this step.
void eraseClosedConnections(context &Context);

/// \brief True if the target takes new work, by settings and by its report.
[[nodiscard]] bool acceptsNewWork(const context &Context,
                                  const target_settings &Target);

} // namespace bronzespar::impl
