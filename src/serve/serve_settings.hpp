/// Settings file of a session host.
#pragma once

#include <bronzespar/endpoint.hpp>
#include <bronzespar/proxy/host.hpp>
#include <bronzespar/proxy/watch_proof.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace bronzespar::serve {

/// \brief Contents of a session host's INI file; deploy/host.ini is an example.
struct serve_settings {
  proxy::host_identity Identity;
  endpoint Callers; ///< Listens for callers.
  endpoint Readiness;
  endpoint Metrics;
  endpoint Store;
  /// A version of the operators' document is in force this long after its
  /// confirmation; the setting `settings_ms`, or `evacuate_ms` if that is less.
  duration SettingsDeadline = proxy::DefaultSettingsDeadline;
  /// Memory of the machine in MB; the optional setting `memory_mb`.
  std::size_t MemoryMb = 1024;
  /// File descriptors of the process; the optional setting `max_fds`, else the
  /// process's limit.
  std::size_t MaxDescriptors = 0;
  endpoint PromotionEndpoint; ///< Takes orders to promote; the setting `duty`.
};

/// \brief Parses the text of a settings file.
/// \param Fault Receives the error, with its line, when nothing is returned.
[[nodiscard]] std::optional<serve_settings>
parseServeSettings(std::string_view Text, std::string &Fault);

} // namespace bronzespar::serve
