/// Replication between stand-in targets: a replica pulls entries from its
/// primary over HTTP (POST /pull); the decisions here are free of sockets.
#pragma once

#include <bronzespar/standin/member_log.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzespar::standin {

/// \brief Asks the primary for entries after those the replica has received.
struct pull_request {
  std::string Replica;
  std::uint64_t Term = 0; ///< Term that the replica follows.
  /// Last position of each term in the replica's log, in order.
  std::vector<log_position> TermEnds;
  std::uint32_t WaitMs = 0; ///< Longest wait for a new entry.
};
BOOST_DESCRIBE_STRUCT(pull_request, (), (Replica, Term, TermEnds, WaitMs))

/// \brief Answer of the primary.
struct pull_answer {
  /// False: the member is not primary in the term asked for.
  bool Accepted = false;
  std::uint64_t Term = 0;         ///< Of the answering member.
  log_position Common;            ///< Last position that both logs hold.
  std::vector<log_entry> Entries; ///< Follow on Common; maybe not all.
  log_position Position;          ///< Last position of the primary.
  /// Time that the primary withheld the answer, in microseconds.
  std::uint64_t HeldUs = 0;
};
BOOST_DESCRIBE_STRUCT(pull_answer, (),
                      (Accepted, Term, Common, Entries, Position, HeldUs))

/// \brief Bound on the entries of one answer.
inline constexpr std::size_t PullEntryLimit = 256;
/// \brief Bound on the bytes of one answer, exceeded by at most one entry.
inline constexpr std::size_t PullByteLimit = 1024UL * 1024;

/// \brief Last position of each term in the log, in order.
[[nodiscard]] std::vector<log_position> termEnds(const member_log &Log);

/// \brief Extends term ends by entries that have been received since.
void extendTermEnds(std::vector<log_position> &Ends,
                    const std::vector<log_entry> &Received);

/// \brief Last position that this log shares with one that has these ends.
/// \remarks Relies on one primary for each term: equal positions mean equal
/// logs up to there.
[[nodiscard]] log_position
commonPosition(const member_log &Log, const std::vector<log_position> &Ends);

/// \brief Answers a pull with what there is now.
[[nodiscard]] pull_answer answerPull(const member_log &Primary,
                                     const pull_request &Request);

/// \brief True when the answer would tell the replica nothing new, so that it
/// may be withheld.
[[nodiscard]] bool mayWithhold(const pull_answer &Answer,
                               const pull_request &Request) noexcept;

/// \brief Takes the primary's entries in; drops entries that it lacks.
/// \returns False, changing nothing, if the answer is of another term, does
/// not fit the log, or would drop entries of the present term.
[[nodiscard]] bool applyPull(member_log &Replica, const pull_answer &Answer);

} // namespace bronzespar::standin
