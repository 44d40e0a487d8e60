/// The operators' settings: what the whole fleet serves and for whom. One text
/// in INI form, kept in the platform's store, holds all of it.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/enum_table.hpp>
#include <bronzespar/ids.hpp>
#include <bronzespar/instant.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzespar {

/// \brief Urgency of requests. Classes order the work of one account; they
/// never order one account before another.
enum class request_class { Urgent, Normal, Settlement };
BOOST_DESCRIBE_ENUM(request_class, Urgent, Normal, Settlement)

/// \brief Number of the settings' version; grows by one with each change.
using settings_revision = std::uint64_t;

struct data_centre_settings {
  data_centre_id Id;
  std::string Region;
  /// Number of host slots; each host's own settings give it one of them.
  std::uint32_t Hosts = 1;

  auto operator<=>(const data_centre_settings &) const = default;
};

/// \brief One member of a database group.
struct target_settings {
  target_id Id;
  group_id Group;
  data_centre_id DataCentre;
  endpoint Statements;           ///< Counts against Connections and Slots.
  endpoint Maintenance;          ///< Reports and control.
  endpoint Replication;          ///< Used between members only.
  std::uint32_t Slots = 0;       ///< Statements run at once; at least 1.
  std::uint32_t Connections = 0; ///< For the whole fleet; at least Slots.
  bool Leaving = false;          ///< Set by an operator: takes no new work.
};

struct group_settings {
  group_id Id;
  /// Odd in number, at least 1; a majority confirms writes and grants terms.
  std::vector<target_settings> Members;
};

struct account_settings {
  account_id Id;
  double RatePerSecond = 0; ///< Requests a second over all hosts; above 0.
  double Burst = 0;         ///< Requests at once over all hosts; at least 2.
  double Weight = 1;        ///< Part of a contended target; above 0.
};

struct route_settings {
  route_id Id;
  group_id Group;
  request_class Class = request_class::Normal;
  bool Open = false;                ///< True: no key is needed.
  std::vector<account_id> Accounts; ///< Who may use it when not open.
  duration Deadline{};              ///< Longest time to answer.
};

/// \brief A caller's key; only its digest is kept.
struct key_settings {
  key_id Id;
  account_id Account;
  std::string Digest; ///< SHA-256 of the key, 64 hexadecimal digits.
  bool Withdrawn = false;
};

/// \brief Someone who may change the settings below a path.
struct operator_settings {
  std::string Name;
  std::string Subtree; ///< Path prefix, such as "/consortium/accounts".
  std::string Digest;  ///< SHA-256 of the operator's key.
};

/// \brief All of the operators' settings, checked as a whole.
struct fleet_settings {
  settings_revision Revision = 0;
  std::vector<data_centre_settings> DataCentres;
  std::vector<group_settings> Groups;
  std::vector<account_settings> Accounts;
  std::vector<route_settings> Routes;
  std::vector<key_settings> Keys;
  std::vector<operator_settings> Operators;
  /// Key of the session tokens' authentication; at least 16 bytes.
  std::string TokenKey;
};

/// \brief What is wrong with a settings text.
enum class settings_fault_kind {
  Syntax,
  UnknownSetting,
  UnknownSection,
  DuplicatePath,
  DuplicateSetting,
  MissingSetting,
  WrongType,
  OutOfRange,
  MissingReference,
  OutsideSubtree
};
BOOST_DESCRIBE_ENUM(settings_fault_kind, Syntax, UnknownSetting, UnknownSection,
                    DuplicatePath, DuplicateSetting, MissingSetting, WrongType,
                    OutOfRange, MissingReference, OutsideSubtree)

/// \brief Error of the settings layer, with the place in the text.
struct settings_fault {
  settings_fault_kind Kind = settings_fault_kind::Syntax;
  std::string File;
  std::uint32_t Line = 0; ///< From 1; 0 when the fault has no single line.
  std::string Path;       ///< Section and setting, "/c/accounts/a:rate".
  std::string Reason;
};

/// \brief Formats "FILE:LINE: PATH: REASON".
[[nodiscard]] std::string toText(const settings_fault &Fault);

/// \brief Parses and checks a settings text; refused whole on any fault.
/// \param Text INI text.
/// \param File Name shown in faults.
/// \returns The settings with Revision 0, or an error carrying settings_fault.
///
/// \code
///   auto Settings = parseFleetSettings(Text, "consortium.ini");
/// \endcode
[[nodiscard]] boost::leaf::result<fleet_settings>
parseFleetSettings(std::string_view Text, const std::string &File);

/// \brief Finds items by id. \returns nullptr when there is none.
[[nodiscard]] const account_settings *findAccount(const fleet_settings &Fleet,
                                                  const account_id &Id);
[[nodiscard]] const route_settings *findRoute(const fleet_settings &Fleet,
                                              const route_id &Id);
[[nodiscard]] const group_settings *findGroup(const fleet_settings &Fleet,
                                              const group_id &Id);
[[nodiscard]] const target_settings *findTarget(const fleet_settings &Fleet,
                                                const target_id &Id);

} // namespace bronzespar
