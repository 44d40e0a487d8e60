/// How current a watch of the store is, and how current it has to be. Answers
/// the load in which hosts hear of changes from one another while some of these
/// have lost the store without knowing it (docs/design/settings-age.md).
#pragma once

#include <bronzespar/instant.hpp>

#include <optional>
#include <string>

namespace bronzespar::proxy {

/// A version of the operators' document is in force this long after its
/// confirmation.
inline constexpr duration DefaultSettingsDeadline =
    std::chrono::milliseconds(3000);

/// \brief Times of a watch.
struct watch_timing {
  /// Between an answer with changes and the next call, in which further changes
  /// collect.
  duration BatchDelay{};
  /// The store answers after this time even without a change, which renews the
  /// proof that none is missing.
  duration PollWait = std::chrono::milliseconds(3000);
  /// Added to it for a slow store; a call that takes longer counts as lost.
  duration AnswerMargin = std::chrono::milliseconds(600);
  /// The store's wait is shorter where the proof would else become older. An
  /// answer with changes proves only what was known when the call was sent.
  duration RenewalAge = std::chrono::milliseconds(3000);
  duration MaxProofAge = std::chrono::milliseconds(5600); ///< Then overdue.
  bool ProbesStore = false;                               ///< See proof_demand.
};

/// \brief Times of the watch of the operators' document. What follows an
/// overdue proof, a call that may be lost and another one, fits into the rest
/// of the deadline.
[[nodiscard]] watch_timing settingsTiming(duration Deadline);
[[nodiscard]] watch_timing targetsTiming();
[[nodiscard]] watch_timing recordsTiming();

/// \brief How current a watch is, and has to be.
struct proof_demand {
  instant ProvenAt{}; ///< No change that was confirmed before is missing.
  duration MaxAge{};  ///< An older proof is overdue.
  /// An overdue call goes to the store even if it failed the last direct call.
  bool ProbesStore = false;
};

/// \brief What a host that answers another host's watch knew of the store.
struct answer_proof {
  /// When it last had all changes, counted from the arrival of the call.
  /// Negative: before it.
  duration ValidAfter{};
  unsigned Hops = 0; ///< Hosts that passed the answer on, at least 1.
};

/// \brief Latest proof of a watch.
/// Invariant: all changes that the store confirmed before ProvenAt are known.
struct proof_state {
  instant ProvenAt = instant::min(); ///< instant::min(): never proven.
  unsigned Hops = 0;                 ///< Hosts that passed the proof on.
};

[[nodiscard]] constexpr bool isProven(const proof_state &State) noexcept {
  return State.ProvenAt != instant::min();
}

/// \brief Until when an answer of the store proves that no change is missing.
/// \param Wait For which the store held the call if it has no changes.
[[nodiscard]] instant provenByStore(bool HasChanges, instant SentAt,
                                    duration Wait, instant AnsweredAt);
/// \brief The same for a peer's answer; nothing without its own proof.
[[nodiscard]] instant provenByPeer(const std::optional<answer_proof> &Proof,
                                   instant SentAt);

/// \brief Takes over a proof unless a later one is known.
void raiseProof(proof_state &State, instant ValidAt,
                const std::optional<answer_proof> &Proof);

/// \brief What to tell a peer whose call has arrived.
[[nodiscard]] std::optional<answer_proof> proofForPeer(const proof_state &State,
                                                       instant ArrivedAt);

/// \brief Empty as long as there is no proof.
[[nodiscard]] std::optional<proof_demand> demandOf(const proof_state &State,
                                                   const watch_timing &Timing);

/// \brief Time for which the store may hold the next call.
[[nodiscard]] duration nextWait(const proof_state &State,
                                const watch_timing &Timing, instant Now);

/// \brief Delay before a call that failed is made again.
/// \param Failures Consecutive ones, at least 1.
[[nodiscard]] duration retryDelay(const proof_state &State,
                                  const watch_timing &Timing, unsigned Failures,
                                  instant Now);

/// \brief What an answer to a watch showed.
struct watch_receipt {
  std::string Via;       ///< Host that answered; empty: the store itself.
  unsigned Hops = 0;     ///< Hosts that passed the latest proof on.
  duration ProofAge{};   ///< Age of the latest proof.
  bool IsProven = false; ///< There is one.
};

[[nodiscard]] watch_receipt receiptOf(const proof_state &State, std::string Via,
                                      instant Now);

} // namespace bronzespar::proxy
