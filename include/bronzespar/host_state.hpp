/// Entry point of the decision library: one function that updates a host's
/// state for an event and lists the resulting effects. It uses no clock,
/// thread, socket or hidden randomness, so that the daemon, the tests and the
/// fault matrix run the same code.
#pragma once

#include <bronzespar/effects.hpp>
#include <bronzespar/host_settings.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>

namespace bronzespar {

struct host_state;

struct host_state_deleter {
  void operator()(host_state *State) const noexcept;
};
using host_state_ptr = std::unique_ptr<host_state, host_state_deleter>;

/// \brief Creates the state of a host that has just started.
/// \param Seed Seed of the host's random number generator.
/// \param Incarnation Must increase with each start of the host, for example
/// the wall-clock time in milliseconds.
/// \returns The state, or an error carrying chart_fault if a state chart in
/// Self.ChartDirectory is missing or invalid.
[[nodiscard]] boost::leaf::result<host_state_ptr>
makeHostState(const host_settings &Self, std::uint64_t Seed,
              std::uint64_t Incarnation);

/// \brief Processes one event.
/// \param Now Current time; must not be earlier than in any previous call.
/// \param Effects The resulting effects are appended to this list, in the order
/// in which they must be carried out.
void step(host_state &State, const event &Event, instant Now,
          effect_list &Effects);

} // namespace bronzespar
