/// Numeric address of a listener.
#pragma once

#include <boost/describe/class.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace bronzespar {

/// \brief IP number and port; host names are never resolved.
struct endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const endpoint &) const = default;

  friend std::ostream &operator<<(std::ostream &Stream, const endpoint &Where) {
    return Stream << Where.Address << ':' << Where.Port;
  }
};
BOOST_DESCRIBE_STRUCT(endpoint, (), (Address, Port))

/// \brief Parses "127.0.0.1:7000".
/// \returns Nothing unless the text is an IPv4 number, a colon and a port from
/// 1 to 65535.
[[nodiscard]] std::optional<endpoint> parseEndpoint(std::string_view Text);

/// \brief Writes "address:port".
[[nodiscard]] std::string toText(const endpoint &Where);

} // namespace bronzespar
