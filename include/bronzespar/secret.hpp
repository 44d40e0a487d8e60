/// A text that must not be shown. Logs, traces and messages to targets cannot
/// hold one, because it has no conversion to text.
#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace bronzespar {

/// \brief A caller's or operator's key, as it came with the request.
class secret {
public:
  secret() = default;
  explicit secret(std::string Revealed) noexcept : Text(std::move(Revealed)) {}

  [[nodiscard]] bool empty() const noexcept { return Text.empty(); }
  /// \brief Gives the text itself. Only digest computation may call this.
  [[nodiscard]] std::string_view reveal() const noexcept { return Text; }

  friend std::ostream &operator<<(std::ostream &Stream, const secret &) {
    return Stream << "(redacted)";
  }

private:
  std::string Text;
};

} // namespace bronzespar
