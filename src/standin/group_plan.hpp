/// What a stand-in target needs to know of the fleet's settings: the members of
/// its own group.
#pragma once

#include "program.hpp"

#include <bronzespar/host_settings.hpp>

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bronzespar::standin {

/// \brief One member's group, as settings describe it.
struct group_plan {
  target_settings Self;
  std::vector<target_settings> Members; ///< With Self.
  /// How other data centres are reached from here.
  std::vector<address_mapping> Addresses;
};

/// \brief Reads the group of a target from a fleet settings text.
[[nodiscard]] boost::leaf::result<group_plan>
parseGroupPlan(const std::string &Text, const std::string &File,
               const std::string &Target);

/// \brief Reads a file with the section [addresses].
[[nodiscard]] boost::leaf::result<std::vector<address_mapping>>
parseAddresses(const std::string &Text, const std::string &File);

/// \brief Finds a member. \returns nullptr when there is none.
[[nodiscard]] const target_settings *findMember(const group_plan &Plan,
                                                const std::string &Target);

/// \brief Address to dial for a primary's replication listener.
/// \param Given "IP:PORT" from a Follow command; empty: as settings have it.
/// \returns Nothing when neither gives an address.
[[nodiscard]] std::optional<endpoint>
replicationAddress(const group_plan &Plan, const std::string &Primary,
                   const std::string &Given);

} // namespace bronzespar::standin
