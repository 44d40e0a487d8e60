/// One host of the session proxy as a state machine that uses no clock, thread
/// or socket of its own: `step(state, event, now) -> effects`.
#pragma once

#include <bronzespar/proxy/interface.hpp>

#include <memory>

namespace bronzespar::proxy {

/// \brief Name, location and time limits of a host, fixed when it starts.
struct host_identity {
  std::string Name;
  std::string DataCentre;
  endpoint PeerEndpoint; ///< Where other hosts connect to it.
  double LinkMbps = 0;   ///< Bandwidth of its network link; 0: not known.
  duration MinimumLease = std::chrono::seconds(1);
  duration GracePeriod = std::chrono::seconds(6);
  /// A draining target gets no new statements after this period.
  duration DrainPeriod = std::chrono::seconds(7);
  /// Targets of an evacuated data centre get no statements after this period,
  /// counted from the confirmation of the evacuation.
  duration EvacuationPeriod = std::chrono::seconds(5);
};

struct host;
struct host_deleter {
  void operator()(host *State) const noexcept;
};
using host_pointer = std::unique_ptr<host, host_deleter>;

/// \brief Creates a host that has neither settings nor targets yet.
[[nodiscard]] host_pointer makeHost(host_identity Identity);

/// \brief Applies one event to a host's state.
/// \param Now Read from a clock that also advances while the machine is
/// suspended.
/// \param Effects New effects are appended to it.
void step(host &State, event Event, instant Now, effect_list &Effects);

/// \brief Whether an order may leave this host now.
/// \remarks An order may wait for a connection, or its process be suspended,
/// and the host may lose the coordinator role meanwhile. The adapter therefore
/// asks right before it sends the order.
[[nodiscard]] bool mayOrder(const host &State,
                            const effects::order_promotion &Order, instant Now);

} // namespace bronzespar::proxy
