/// Checks of what the fleet promises, over a finished history and the state of
/// the targets after it. Each check errs towards silence only where the
/// history cannot prove a violation.
#pragma once

#include <load/history.hpp>

#include <map>
#include <string>
#include <vector>

namespace bronzespar::load {

/// \brief Promises that the checker tests.
enum class promise {
  ReadYourWrites,   ///< A session reads its own latest acknowledged write.
  MonotonicReads,   ///< A session never reads an older value than before.
  BoundedStaleness, ///< A read of a stated age shows what is older than that.
  DurableWrites,    ///< An acknowledged write is there at the end.
  AppliedOnce,      ///< No write is applied twice.
  TrueRefusals,     ///< A write refused as not run is never seen.
  OwnAnswers,       ///< An answer belongs to its request.
  RateAndBurst,     ///< No account exceeds its rate and burst.
  AtomicCommits,    ///< A transaction's writes are seen all or not at all.
  UnmixedTransactions, ///< No transaction begins on another one's connection.
  ReadableState        ///< The state could be read after the load.
};
BOOST_DESCRIBE_ENUM(promise, ReadYourWrites, MonotonicReads, BoundedStaleness,
                    DurableWrites, AppliedOnce, TrueRefusals, OwnAnswers,
                    RateAndBurst, AtomicCommits, UnmixedTransactions,
                    ReadableState)

/// \brief One broken promise.
struct violation {
  promise Promise = promise::ReadYourWrites;
  std::string Detail; ///< Sentence for a person.
};
using violation_list = std::vector<violation>;

/// \brief What one group holds after the load.
struct final_rows {
  std::map<std::string, std::string> Rows;
  /// How often a write with an idempotency key was applied.
  std::map<std::string, std::uint64_t> Applied;
};

/// \brief Limit of one account over the whole fleet.
struct rate_limit {
  double RatePerSecond = 0;
  double Burst = 0;
};

/// \brief Checks what sessions read against what was written.
[[nodiscard]] violation_list checkReads(const history &History);

/// \brief Checks the rows of a group, as read from one source after the load,
/// against the writes: acknowledged ones are there, none doubled, none that was
/// refused as not run, transactions whole.
/// \param Source Name of the source, for details.
[[nodiscard]] violation_list checkFinalRows(const history &History,
                                            const std::string &Group,
                                            const final_rows &Final,
                                            const std::string &Source);

/// \brief Checks that each answer is readable as a whole and that no two carry
/// the same request id.
[[nodiscard]] violation_list checkAnswers(const history &History);

/// \brief Checks that in no span of time more requests of an account were
/// served than rate and burst allow.
/// \param Limits By account number.
/// \remarks A served request is charged at some moment between sending and
/// answer, so only requests that lie wholly inside a span are counted.
[[nodiscard]] violation_list checkRates(const history &History,
                                        const std::vector<rate_limit> &Limits);

} // namespace bronzespar::load
