/// Commands of the operators' tool and what they share.
#pragma once

#include <bronzespar/endpoint.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bronzespar::tool {

/// \brief Exit codes by kind of failure.
enum class exit_code : int {
  Done = 0,
  Failed = 1,      ///< It did not take effect.
  WrongUse = 2,    ///< Bad arguments or a bad file; nothing was tried.
  Unreachable = 3, ///< No host or platform answered; nothing took effect.
  Unknown = 4      ///< It may have taken effect.
};

/// \brief Options that commands share.
struct command_options {
  std::vector<std::string> Words; ///< Command, sub-command, arguments.
  std::optional<endpoint> Platform;
  std::optional<endpoint> Host;
  std::string SettingsKey = "/bronzespar/settings";
  std::string Log; ///< File to explain a request from; empty: ask a host.
  bool Json = false;
};

/// \brief `settings check|apply|get|describe`.
[[nodiscard]] exit_code runSettings(const command_options &Options);

/// \brief `status` and `explain REQUEST-ID`, asked from one host; `explain`
/// also from the logs of session hosts.
[[nodiscard]] exit_code runStatus(const command_options &Options);
[[nodiscard]] exit_code runExplain(const command_options &Options);

/// \brief `chart check FILE` and `chart show FILE`.
[[nodiscard]] exit_code runChart(const command_options &Options);

/// \brief `keys digest KEY`.
[[nodiscard]] exit_code runKeys(const command_options &Options);

/// \brief Prints "bronzespar: MESSAGE" and what to do.
exit_code wrongUse(const std::string &Message);

} // namespace bronzespar::tool
