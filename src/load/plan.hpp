/// The sequence of work that callers ask for; fixed by a seed.
#pragma once

#include <load/checker.hpp>

#include <array>
#include <optional>
#include <vector>

namespace bronzespar::load {

/// \brief What a session does next.
enum class work_kind {
  SessionRead,      ///< Read that must show the session's own writes.
  AgedRead,         ///< Read that accepts data of a stated age.
  Put,              ///< Not repeatable.
  IdempotentPut,    ///< Repeated once with the same key when it fails.
  Append,           ///< Not repeatable; running it twice shows.
  IdempotentAppend, ///< Repeated like IdempotentPut.
  Transaction       ///< Begin, two puts, commit (now and then rollback).
};
BOOST_DESCRIBE_ENUM(work_kind, SessionRead, AgedRead, Put, IdempotentPut,
                    Append, IdempotentAppend, Transaction)

inline constexpr std::size_t WorkKinds = 7;

/// Requests that one transaction takes.
inline constexpr double TransactionRequests = 4;

/// \brief Amount and mix of the load.
struct load_settings {
  double PartOfRate = 0.7;
  std::uint32_t SessionsPerAccount = 24;
  double OpenRate = 0; ///< Requests a second without a key.
  double SurgeFactor = 5;
  std::array<double, WorkKinds> Mix{40, 25, 12, 8, 6, 4, 5};
  duration MaxAge{500'000};
};

/// \brief An account that asks for a multiple of its rate for a while.
struct surge {
  std::uint32_t Account = 0;
  duration From{};
  duration Until{};
};

/// \brief One piece of work; the numbers named random choose among whatever
/// there is to choose from.
struct planned_work {
  duration At{}; ///< Since the start of the load.
  std::uint32_t Account = NoAccount;
  std::uint32_t Session = 0; ///< Within the account.
  work_kind Kind = work_kind::SessionRead;
  std::uint32_t RandomRoute = 0;
  std::uint32_t RandomRow = 0;
};

/// \brief Plans Poisson arrivals of each account.
/// \param Limits By account number.
/// \returns Work in order of time; the same for the same arguments.
[[nodiscard]] std::vector<planned_work>
planWork(const std::vector<rate_limit> &Limits, const load_settings &Settings,
         duration Length, std::uint64_t Seed,
         const std::optional<surge> &Surge);

} // namespace bronzespar::load
