/// The daemon: all adapters around one host's decisions, a thread for each
/// duty.
#pragma once

#include <bronzespar/enum_table.hpp>
#include <bronzespar/host_settings.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace bronzespar {

enum class daemon_fault_kind {
  CannotListen, ///< One of its addresses cannot be had.
  WrongChart    ///< A state chart is missing or wrong.
};
BOOST_DESCRIBE_ENUM(daemon_fault_kind, CannotListen, WrongChart)

/// \brief Why the daemon could not start.
struct daemon_fault {
  daemon_fault_kind Kind = daemon_fault_kind::CannotListen;
  std::string Reason; ///< Line for a person.
};

struct daemon_options {
  host_settings Self;
  std::uint64_t Seed = 0;
  std::function<void()> Listening; ///< Called once, when all listeners are up.
};

/// \brief Runs until a signal (SIGTERM, SIGINT) has led to an orderly stop.
/// \returns Nothing once stopped, or an error carrying daemon_fault.
[[nodiscard]] boost::leaf::result<void>
runDaemon(const daemon_options &Options);

} // namespace bronzespar
