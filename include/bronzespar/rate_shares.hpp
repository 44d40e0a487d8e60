/// Rate limits of accounts over the whole fleet.
///
/// The tokens of an account are added only at its refill slots: fixed host
/// slots in each data centre, each with a token bucket that has a fixed part of
/// the account's rate and burst. A host that runs short requests tokens from a
/// refill slot, which deducts them before it grants them. Granted tokens expire
/// after their validity, which the holder measures on its own clock from the
/// moment it sent the request. So all hosts together admit at most
/// burst + rate * w requests in any interval of length w, even if messages are
/// lost, hosts stop or the network is partitioned.
#pragma once

#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/host_settings.hpp>
#include <bronzespar/peer_messages.hpp>
#include <bronzespar/token_bucket.hpp>

#include <cstdint>
#include <deque>
#include <vector>

namespace bronzespar {

/// \brief A host's fixed slot, which a replacement host takes over.
struct host_slot {
  data_centre_id DataCentre;
  std::uint32_t Number = 0; ///< From 0, less than the data centre's `hosts`.

  auto operator<=>(const host_slot &) const = default;
};

/// \brief How an account's rate and burst are divided between refill slots.
/// Invariant: burst >= slots * BurstPerSlot + rate * TokenValidity.
struct refill_plan {
  std::vector<host_slot> RefillSlots;
  double RatePerSlot = 0;
  double BurstPerSlot = 0;
  duration
      TokenValidity{}; ///< Maximum time from the request of a token to its use.
};

/// \brief Plans an account's refill slots. Each data centre gets the same
/// number, chosen by hashing; a small burst gives fewer.
[[nodiscard]] refill_plan planRefillSlots(const account_settings &Account,
                                          const fleet_settings &Fleet);

/// \brief Tokens that a refill slot granted to this host.
struct granted_tokens {
  double Tokens = 0;
  instant ExpiresAt{};
};

/// \brief What this host knows of another refill slot.
struct known_refill_slot {
  host_slot Slot;
  double LastKnownTokens = 0; ///< Tokens left there after its last grant.
  instant LastKnownAt{};
  instant BackOffUntil{};      ///< No token request to it before this time.
  bool IsUnresponsive = false; ///< It did not answer the latest request.
};

/// \brief A token request that has not been answered.
struct pending_token_request {
  std::uint64_t Sequence = 0;
  host_slot RefillSlot;
  instant SentAt{};
};

/// \brief A caller's request that waits for a token.
struct waiting_admission {
  std::uint64_t Ticket = 0; ///< Identifies the request to the caller.
  instant Deadline{};
};

/// \brief State of one account's rate limit on this host.
struct account_share {
  account_id Account;
  refill_plan Plan;
  bool IsRefillSlot = false; ///< This host's slot is in Plan.RefillSlots.
  instant RefillsFrom{};     ///< The bucket does not refill before.
  token_bucket Bucket; ///< Serves this host and hosts that request tokens.
  std::deque<granted_tokens> Granted; ///< Oldest first.
  std::vector<known_refill_slot>
      OtherRefillSlots; ///< Plan.RefillSlots except this host's.
  std::vector<pending_token_request>
      PendingRequests;                   ///< At most one for each refill slot.
  std::deque<waiting_admission> Waiting; ///< Oldest first.
  double RequestsPerSecond = 0; ///< Smoothed arrival rate on this host.
  std::uint32_t RequestsSinceMeasured = 0;
};

/// \brief The rate limiter of one host.
struct rate_share_state {
  host_slot Self;
  std::vector<account_share> Shares;        ///< Sorted by account.
  std::vector<data_centre_settings> Layout; ///< Used by the present plans.
  std::uint64_t NextSequence = 1;
  instant MeasuredAt{};
};

/// \brief Applies settings. Changed rates take effect at once. When data
/// centres or their numbers of hosts change, new refill slots add no tokens for
/// RefillStartDelay. Otherwise hosts that do not have the new settings yet
/// would refill at the same time and the account would exceed its rate.
void configureShares(rate_share_state &State, const fleet_settings &Fleet,
                     const host_settings &Self, instant Now);

/// \brief Outcome of a request for admission.
enum class admission_kind {
  Admitted, ///< A token was taken.
  Waiting,  ///< Reported later by takeResolvedAdmissions.
  Refused   ///< Over the rate; RetryAfter says when to try again.
};
BOOST_DESCRIBE_ENUM(admission_kind, Admitted, Waiting, Refused)

struct admission {
  admission_kind Kind = admission_kind::Refused;
  duration RetryAfter{};
};

/// \brief Requests admission for one request now, or within MaxWait.
/// \param Ticket Identifies the request in resolved_admission.
[[nodiscard]] admission admitRequest(rate_share_state &State,
                                     const account_id &Account,
                                     std::uint64_t Ticket, duration MaxWait,
                                     instant Now);

/// \brief A waiting request that was admitted or refused.
struct resolved_admission {
  std::uint64_t Ticket = 0;
  admission Result;
};

/// \brief Removes and returns waiting requests that have obtained a token or
/// have reached their deadline.
[[nodiscard]] std::vector<resolved_admission>
takeResolvedAdmissions(rate_share_state &State, instant Now);

/// \brief Removes a waiting request that no longer needs an answer.
void cancelAdmission(rate_share_state &State, const account_id &Account,
                     std::uint64_t Ticket);

/// \brief A token request to send to the host in a slot.
struct outgoing_token_request {
  host_slot RefillSlot;
  share_demand Request;
};

/// \brief Plans the token requests that are due, for waiting requests and in
/// advance for expected ones. Plans at most one message for each refill slot.
[[nodiscard]] std::vector<outgoing_token_request>
planTokenRequests(rate_share_state &State, instant Now);

/// \brief Answers a token request as a refill slot and deducts what it grants.
[[nodiscard]] share_grant answerTokenRequest(rate_share_state &State,
                                             const share_demand &Request,
                                             instant Now);

/// \brief Applies a grant from the host in a slot. Ignores a grant without a
/// pending request and drops tokens that have expired on arrival.
void applyGrant(rate_share_state &State, const host_slot &Slot,
                const share_grant &Grant, instant Now);

} // namespace bronzespar
