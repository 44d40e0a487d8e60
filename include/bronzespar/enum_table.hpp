/// Conversion between enumerators and their names. Every enumeration of the
/// project lists its enumerators once, with `BOOST_DESCRIBE_ENUM`, and is
/// printed and parsed through that list.
#pragma once

#include <boost/describe/enum.hpp>
#include <boost/describe/enum_from_string.hpp>
#include <boost/describe/enum_to_string.hpp>
#include <boost/describe/enumerators.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <type_traits>

namespace bronzespar {

/// \brief An enumeration described with `BOOST_DESCRIBE_ENUM`.
template <class T>
concept described_enum =
    std::is_enum_v<T> && boost::describe::has_describe_enumerators<T>::value;

/// \brief Finds the name of an enumerator.
/// \returns The enumerator's identifier, or "(unknown)" for a value that is not
/// listed.
template <described_enum Enum>
[[nodiscard]] std::string_view enumName(Enum Value) noexcept {
  return boost::describe::enum_to_string(Value, "(unknown)");
}

/// \brief Finds the enumerator with a name.
/// \returns The enumerator, or nothing when no name matches exactly.
template <described_enum Enum>
[[nodiscard]] std::optional<Enum> enumFromName(const std::string &Name) {
  Enum Value{};
  if (!boost::describe::enum_from_string(Name.c_str(), Value))
    return std::nullopt;
  return Value;
}

/// \brief Writes the enumerator's name.
template <described_enum Enum>
std::ostream &operator<<(std::ostream &Stream, Enum Value) {
  return Stream << enumName(Value);
}

} // namespace bronzespar
