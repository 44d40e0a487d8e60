/// Strongly typed identifiers. Each kind of identifier is a distinct type, so
/// that a host id cannot be passed where an account id is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bronzespar {

/// \brief Identifier that wraps a string.
/// \tparam Tag Distinguishes one kind of identifier from another.
template <class Tag> struct text_id {
  std::string Value;

  text_id() = default;
  explicit text_id(std::string Text) noexcept : Value(std::move(Text)) {}

  [[nodiscard]] bool empty() const noexcept { return Value.empty(); }
  auto operator<=>(const text_id &) const = default;

  friend std::ostream &operator<<(std::ostream &Stream, const text_id &Id) {
    return Stream << Id.Value;
  }
};

/// \brief Identifier that wraps a number and is unique within one process.
template <class Tag> struct number_id {
  std::uint64_t Value = 0;

  auto operator<=>(const number_id &) const = default;

  friend std::ostream &operator<<(std::ostream &Stream, number_id Id) {
    return Stream << Id.Value;
  }
};

using host_id = text_id<struct host_tag>;
using data_centre_id = text_id<struct data_centre_tag>;
using account_id = text_id<struct account_tag>;
using group_id = text_id<struct group_tag>;
using target_id = text_id<struct target_tag>;
using route_id = text_id<struct route_tag>;
using request_id = text_id<struct request_tag>;
using key_id = text_id<struct key_tag>;
/// Identifies a transaction. The format is "HOST.NUMBER.NONCE"; HOST is the
/// host that holds the transaction's connection.
using transaction_id = text_id<struct transaction_tag>;

/// Refers to a caller's request that has not been answered yet.
using caller_ref = number_id<struct caller_ref_tag>;
/// Refers to a pooled connection to a target.
using connection_ref = number_id<struct connection_ref_tag>;
/// Refers to a call to the platform that has not been answered yet.
using platform_ref = number_id<struct platform_ref_tag>;

} // namespace bronzespar

template <class Tag> struct std::hash<bronzespar::text_id<Tag>> {
  std::size_t operator()(const bronzespar::text_id<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.Value);
  }
};

template <class Tag> struct std::hash<bronzespar::number_id<Tag>> {
  std::size_t operator()(bronzespar::number_id<Tag> Id) const noexcept {
    return std::hash<std::uint64_t>{}(Id.Value);
  }
};
