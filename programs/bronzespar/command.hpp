/// Commands of the operators' command-line tool and the types they share.
#pragma once

#include <bronzespar/endpoint.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bronzespar::tool {

/// \brief Exit codes; each kind of failure has its own.
enum class exit_code : int {
  Success = 0,
  Failed = 1,        ///< The command did not take effect.
  UsageError = 2,    ///< Bad arguments or a bad file; nothing was attempted.
  Unreachable = 3,   ///< No host or platform answered; nothing took effect.
  OutcomeUnknown = 4 ///< The command may have taken effect.
};

/// \brief Command line, parsed; shared by all commands.
struct command_options {
  std::vector<std::string> Arguments; ///< Command, sub-command and arguments.
  std::optional<endpoint> Platform;
  std::optional<endpoint> Host;
  std::string SettingsKey = "/bronzespar/settings";
  std::string Log; ///< Log file for `explain`; empty: query a host.
  bool Json = false;
};

/// \brief `settings check|apply|get|describe`.
[[nodiscard]] exit_code runSettings(const command_options &Options);

/// \brief `status` and `explain REQUEST-ID`. Both query one host; `explain` can
/// read the logs of session hosts instead.
[[nodiscard]] exit_code runStatus(const command_options &Options);
[[nodiscard]] exit_code runExplain(const command_options &Options);

/// \brief `chart check FILE` and `chart show FILE`.
[[nodiscard]] exit_code runChart(const command_options &Options);

/// \brief `keys digest`; the key is read from standard input.
[[nodiscard]] exit_code runKeys(const command_options &Options);

/// \brief Prints "bronzespar: MESSAGE" and a hint to read the help.
/// \returns exit_code::UsageError.
exit_code reportUsageError(const std::string &Message);

} // namespace bronzespar::tool
