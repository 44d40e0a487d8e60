/// One host of the session proxy as a state machine without clock, thread or
/// socket: `step(state, event, now) -> effects`.
#pragma once

#include <bronzespar/proxy/interface.hpp>

#include <memory>

namespace bronzespar::proxy {

/// \brief What a host knows of itself when it starts.
struct host_identity {
  std::string Name;
  std::string DataCentre;
  endpoint PeerEndpoint; ///< Where other hosts reach it.
  duration MinimumLease = std::chrono::seconds(1);
  duration GracePeriod = std::chrono::seconds(6);
  /// A target that leaves gets nothing new after this.
  duration DrainPeriod = std::chrono::seconds(7);
};

struct host;
struct host_deleter {
  void operator()(host *State) const noexcept;
};
using host_pointer = std::unique_ptr<host, host_deleter>;

/// \brief Makes a host that knows neither settings nor targets yet.
[[nodiscard]] host_pointer makeHost(host_identity Identity);

/// \brief Tells a host what happened.
/// \param Now On a clock that also counts while the machine is suspended.
/// \param Out Effects are appended.
void step(host &State, event What, instant Now, effect_list &Out);

} // namespace bronzespar::proxy
