/// Reading of whole text files.
#pragma once

#include <optional>
#include <string>

namespace bronzespar {

/// \brief Reads a file whole. \returns Nothing when it cannot be opened.
[[nodiscard]] std::optional<std::string> readTextFile(const std::string &Path);

} // namespace bronzespar
