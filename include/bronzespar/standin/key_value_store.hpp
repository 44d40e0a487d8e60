/// The stand-in platform's store: revisions, leases and history as etcd v3 has
/// them. Free of sockets and clocks.
#pragma once

#include <bronzespar/enum_table.hpp>
#include <bronzespar/instant.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzespar::standin {

/// \brief A key's value with its revisions.
struct stored_value {
  std::string Key;
  std::string Value;
  std::int64_t CreateRevision = 0;
  std::int64_t ModRevision = 0;
  std::int64_t Version = 0; ///< Grows from 1 with each put.
  std::int64_t Lease = 0;   ///< 0: none.
};

/// \brief A change of one key; of a deletion, Value holds key and revision.
struct store_event {
  bool Deleted = false;
  stored_value Value;
};

struct store_lease {
  std::int64_t Seconds = 0;
  instant ExpiresAt{};
};

/// \brief The whole store.
/// Invariants: History holds all events of revisions above Compacted, in order;
/// each value's lease, if any, is in Leases.
struct key_value_store {
  std::int64_t Revision = 1;
  std::map<std::string, stored_value> Values;
  std::map<std::int64_t, store_lease> Leases;
  std::int64_t LastLease = 0;
  std::deque<store_event> History;
  std::int64_t Compacted = 0;
};

/// \brief Longest value that the store takes, in bytes.
inline constexpr std::size_t ValueLimit = 1024UL * 1024;
/// \brief Events kept for watches that start in the past.
inline constexpr std::size_t HistoryLimit = 10'000;

/// \brief Keys from Key up to but not with End. An empty End means Key alone;
/// "\0" means all from Key on.
struct key_range {
  std::string Key;
  std::string End;
};

struct range_operation {
  key_range Keys;
  std::int64_t Limit = 0; ///< 0: no limit.
  bool KeysOnly = false;
  bool CountOnly = false;
};
struct put_operation {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0;
};
struct delete_operation {
  key_range Keys;
};
using store_operation =
    std::variant<range_operation, put_operation, delete_operation>;

struct range_result {
  std::vector<stored_value> Values;
  std::int64_t Count = 0; ///< Keys in the range, whatever the limit.
};
struct put_result {};
struct delete_result {
  std::int64_t Deleted = 0;
};
using operation_result = std::variant<range_result, put_result, delete_result>;

enum class compare_target { Version, Create, Mod, Value, Lease };
BOOST_DESCRIBE_ENUM(compare_target, Version, Create, Mod, Value, Lease)
enum class compare_result { Equal, Greater, Less, NotEqual };
BOOST_DESCRIBE_ENUM(compare_result, Equal, Greater, Less, NotEqual)

/// \brief A condition on one key; an absent key has zeros and an empty value.
struct store_compare {
  std::string Key;
  compare_target Target = compare_target::Version;
  compare_result Result = compare_result::Equal;
  std::int64_t Number = 0;
  std::string Text; ///< For compare_target::Value.
};

/// \brief Runs Success if all comparisons hold, else Failure.
struct store_transaction {
  std::vector<store_compare> Compares;
  std::vector<store_operation> Success;
  std::vector<store_operation> Failure;
};
struct transaction_result {
  bool Succeeded = false;
  std::vector<operation_result> Results;
};

[[nodiscard]] bool contains(const key_range &Keys, const std::string &Key);

/// \brief Finds what is wrong with operations: an empty key, a value over the
/// limit, a lease that is not there, a key put twice.
/// \returns A sentence, or nothing when all is right.
[[nodiscard]] std::optional<std::string>
findFault(const key_value_store &Store,
          const std::vector<store_operation> &Operations);

/// \brief Runs operations as one change with one revision.
/// \remarks Precondition: findFault found nothing.
std::vector<operation_result>
runOperations(key_value_store &Store,
              const std::vector<store_operation> &Operations);

/// \brief True if all comparisons hold.
[[nodiscard]] bool holds(const key_value_store &Store,
                         const std::vector<store_compare> &Compares);

/// \brief Runs the branch that the comparisons choose.
/// \remarks Precondition: findFault found nothing in either branch.
transaction_result runTransaction(key_value_store &Store,
                                  const store_transaction &Transaction);

/// \brief Grants a lease.
/// \param Id Wished id, or 0 for any.
/// \returns The lease's id; nothing when the id is taken.
[[nodiscard]] std::optional<std::int64_t> grantLease(key_value_store &Store,
                                                     std::int64_t Id,
                                                     std::int64_t Seconds,
                                                     instant Now);
/// \brief Renews a lease. \returns Its seconds; 0 when it is not there.
[[nodiscard]] std::int64_t keepLease(key_value_store &Store, std::int64_t Id,
                                     instant Now);
/// \brief Ends a lease and deletes its keys. \returns False if not there.
[[nodiscard]] bool revokeLease(key_value_store &Store, std::int64_t Id);
/// \brief Revokes all leases that have run out.
void expireLeases(key_value_store &Store, instant Now);

/// \brief Events of a range from a revision on, in order.
[[nodiscard]] std::vector<store_event> eventsSince(const key_value_store &Store,
                                                   const key_range &Keys,
                                                   std::int64_t Revision);

} // namespace bronzespar::standin
