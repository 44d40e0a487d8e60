/// Checks of callers' keys against the digests in force.
#pragma once

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/secret.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzespar {

/// \brief SHA-256 of a key as 64 hexadecimal digits.
[[nodiscard]] std::string digestKey(const secret &Key);

/// \brief Keys in force on this host.
struct key_table {
  std::unordered_map<std::string, key_settings> ByDigest;
  /// Withdrawn ahead of the settings; stays until the settings say the same.
  std::vector<key_id> WithdrawnEarly;
};

/// \brief Replaces the keys by those of the settings.
void configureKeys(key_table &Table, const fleet_settings &Fleet);

/// \brief Refuses a key from now on, whatever the settings say.
void withdrawKey(key_table &Table, const key_id &Key);

/// \brief Finds the account a key belongs to.
/// \returns Nothing for an unknown or withdrawn key.
[[nodiscard]] std::optional<account_id> accountOfKey(const key_table &Table,
                                                     const secret &Key);

} // namespace bronzespar
