/// Errors of the wire layer: what was wrong with bytes from outside.
#pragma once

#include <bronzespar/enum_table.hpp>

#include <string>

namespace bronzespar {

enum class wire_fault_kind {
  Malformed,           ///< Not what the protocol allows at this place.
  WrongAuthentication, ///< The authentication code does not fit.
  TooLarge             ///< Longer than the protocol's bound.
};
BOOST_DESCRIBE_ENUM(wire_fault_kind, Malformed, WrongAuthentication, TooLarge)

/// \brief Error of the wire layer.
struct wire_fault {
  wire_fault_kind Kind = wire_fault_kind::Malformed;
  std::string Reason; ///< Sentence for a person; never quotes the input.
};

} // namespace bronzespar
