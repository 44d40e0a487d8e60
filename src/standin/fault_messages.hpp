/// Orders on the control ports of the stand-ins: faults and lists.
#pragma once

#include <bronzespar/enum_table.hpp>

#include <boost/describe/class.hpp>

#include <cstdint>
#include <string>

namespace bronzespar::standin {

/// \brief Fault of a stand-in target; None ends Cut and Lag.
enum class target_fault_kind { None, Cut, SilentConnections, Lag };
BOOST_DESCRIBE_ENUM(target_fault_kind, None, Cut, SilentConnections, Lag)

/// \brief Fault of the stand-in platform.
enum class platform_fault_kind { None, Outage, Slow, LoseAnswers };
BOOST_DESCRIBE_ENUM(platform_fault_kind, None, Outage, Slow, LoseAnswers)

/// \brief Fault of the stand-in network, one-way.
enum class network_fault_kind { None, Cut, Silence };
BOOST_DESCRIBE_ENUM(network_fault_kind, None, Cut, Silence)

/// \brief Body of POST /fault; Kind is an enumerator in kebab case.
struct target_fault_order {
  std::string Kind;
  std::uint32_t LagMs = 0;
};
BOOST_DESCRIBE_STRUCT(target_fault_order, (), (Kind, LagMs))

struct platform_fault_order {
  std::string Kind;
  std::uint32_t SlowMs = 0;
};
BOOST_DESCRIBE_STRUCT(platform_fault_order, (), (Kind, SlowMs))

struct network_fault_order {
  std::string Kind;
  std::string From; ///< Zone, or "*" for any.
  std::string To;
};
BOOST_DESCRIBE_STRUCT(network_fault_order, (), (Kind, From, To))

/// \brief Body of POST /leaving.
struct leaving_order {
  bool Leaving = true;
};
BOOST_DESCRIBE_STRUCT(leaving_order, (), (Leaving))

/// \brief Turns "silent-connections" into "SilentConnections".
[[nodiscard]] std::string fromKebabCase(const std::string &Name);

/// \brief Finds the enumerator that a name in kebab case means.
template <described_enum Enum>
[[nodiscard]] std::optional<Enum> enumFromKebab(const std::string &Name) {
  const auto Found = enumFromName<Enum>(fromKebabCase(Name));
  // Only the kebab form is a name on the wire.
  const bool HasUpper =
      Name.find_first_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") != std::string::npos;
  return HasUpper ? std::nullopt : Found;
}

} // namespace bronzespar::standin
