/// Proofs of watches, and the times that follow from them.
#include <bronzespar/proxy/watch_proof.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::proxy {

namespace {

/// Least time for which the store may hold a watch; shorter waits would make a
/// call of almost each change.
constexpr duration MinPollWait = std::chrono::milliseconds(200);
/// Delay after a call that was not answered or that the store refused, because
/// each call has a cost.
constexpr duration RetryDelay = std::chrono::milliseconds(250);
/// The same for the first retry once the proof is late.
constexpr duration LateRetryDelay = std::chrono::milliseconds(50);

} // namespace

watch_timing settingsTiming(duration Deadline) {
  return {duration::zero(), Deadline / 2,      Deadline / 5,
          Deadline / 2,     Deadline * 7 / 10, true};
}

watch_timing targetsTiming() {
  watch_timing Timing;
  // Most changes of targets' entries are only heartbeats.
  Timing.BatchDelay = std::chrono::milliseconds(2000);
  return Timing;
}

watch_timing recordsTiming() {
  watch_timing Timing;
  // Several records of hosts change together when a primary is replaced.
  Timing.BatchDelay = std::chrono::milliseconds(30);
  Timing.PollWait = std::chrono::milliseconds(4000);
  Timing.AnswerMargin = std::chrono::milliseconds(900);
  // Leases bound what an outdated record may do, so that the proof need not be
  // renewed early.
  Timing.RenewalAge = std::chrono::milliseconds(8000);
  Timing.MaxProofAge = std::chrono::milliseconds(10000);
  return Timing;
}

instant provenByStore(bool HasChanges, instant SentAt, duration Wait,
                      instant AnsweredAt) {
  // The store holds a watch without changes until its wait is over.
  return HasChanges ? SentAt : std::min(AnsweredAt, SentAt + Wait);
}

instant provenByPeer(const std::optional<answer_proof> &Proof, instant SentAt) {
  return Proof ? SentAt + Proof->ValidAfter : instant::min();
}

void raiseProof(proof_state &State, instant ValidAt,
                const std::optional<answer_proof> &Proof) {
  if (ValidAt > State.ProvenAt)
    State = {ValidAt, Proof ? Proof->Hops : 0};
}

std::optional<answer_proof> proofForPeer(const proof_state &State,
                                         instant ArrivedAt) {
  if (!isProven(State))
    return std::nullopt;
  return answer_proof{State.ProvenAt - ArrivedAt, State.Hops + 1};
}

std::optional<proof_demand> demandOf(const proof_state &State,
                                     const watch_timing &Timing) {
  if (!isProven(State))
    return std::nullopt;
  return proof_demand{State.ProvenAt, Timing.MaxProofAge, Timing.ProbesStore};
}

duration nextWait(const proof_state &State, const watch_timing &Timing,
                  instant Now) {
  if (!isProven(State))
    return MinPollWait;
  return std::clamp(State.ProvenAt + Timing.RenewalAge - Now, MinPollWait,
                    Timing.PollWait);
}

duration retryDelay(const proof_state &State, const watch_timing &Timing,
                    unsigned Failures, instant Now) {
  const bool IsLate =
      isProven(State) && State.ProvenAt + Timing.RenewalAge < Now;
  return IsLate && Failures == 1 ? LateRetryDelay : RetryDelay;
}

watch_receipt receiptOf(const proof_state &State, std::string Via,
                        instant Now) {
  watch_receipt Receipt;
  Receipt.Via = std::move(Via);
  Receipt.Hops = State.Hops;
  Receipt.IsProven = isProven(State);
  if (Receipt.IsProven)
    Receipt.ProofAge = Now - State.ProvenAt;
  return Receipt;
}

} // namespace bronzespar::proxy
