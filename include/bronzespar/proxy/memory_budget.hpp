/// Memory that a host's clients may hold together. Answers the load of clients
/// that send much and read little, many at the same time, which else run the
/// process out of memory (docs/design/unruly-clients.md).
#pragma once

#include <boost/describe/enum.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace bronzespar::proxy {

BOOST_DEFINE_ENUM_CLASS(client_kind, Caller, Peer)

/// \brief Names a client's connection.
struct client_holder {
  client_kind Kind = client_kind::Caller;
  std::uint64_t Number = 0;

  auto operator<=>(const client_holder &) const = default;
};

/// \brief What a connection holds.
struct held_memory {
  std::size_t Bytes = 0;
  /// The client has begun a message without ending it, sent ahead, or not read
  /// its answers.
  bool IsOutOfStep = false;

  bool operator==(const held_memory &) const = default;
};

/// \brief Memory of all clients of a process.
/// Invariant: Large has exactly the connections that hold LargeBytes or more,
/// so that idle sessions cost nothing here.
struct memory_budget {
  static constexpr std::size_t LargeBytes = std::size_t{8} << 10;

  struct large_holder {
    bool IsOutOfStep = false;
    std::size_t Bytes = 0;
    client_holder Holder;

    auto operator<=>(const large_holder &) const = default;
  };

  std::size_t Limit = 0;        ///< Bytes; 0: none.
  std::size_t Held = 0;         ///< By all connections.
  std::set<large_holder> Large; ///< The last is the first to be closed.
};

/// \brief A budget for a process on a machine with this memory. Clients get a
/// quarter; the rest is for the program, its settings and copies of messages.
[[nodiscard]] memory_budget makeMemoryBudget(std::size_t MachineMb);

/// \brief Replaces what a connection holds.
void changeHeld(memory_budget &Budget, client_holder Holder,
                const held_memory &Before, const held_memory &Now);

/// \brief Chooses the connection that must be closed now.
/// \returns Nothing while the budget is kept. Connections that are out of step
/// go first, the largest of them ahead.
[[nodiscard]] std::optional<client_holder>
chooseClosed(const memory_budget &Budget);

} // namespace bronzespar::proxy
