/// Token buckets of client accounts, distributed over all hosts. An account's
/// callers may arrive at few hosts, and its burst divided among many hosts
/// could leave none a whole token. Therefore an account's rate refills the
/// buckets of a few hosts, which transfer whole tokens to the others. A token
/// is spent or transferred by one host only, so that the total over all hosts
/// stays bounded even when messages are lost.
#pragma once

#include <bronzespar/instant.hpp>
#include <bronzespar/proxy/settings.hpp>
#include <bronzespar/token_bucket.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzespar::proxy {

/// \brief Transferred tokens expire this long after they were requested.
/// \remarks A rate is checked over windows of 5 s, with a tolerance of a tenth.
/// Operations of a window took tokens that left their buckets in the window or
/// in the half second before it, which is a tenth of its length.
constexpr duration ReceivedTokenLifetime = std::chrono::milliseconds(500);

/// \brief Whole tokens that another host transferred.
struct token_lot {
  double Tokens = 0;
  /// When they were requested, thus not later than they left the other host's
  /// bucket. They expire a fixed time after it.
  instant RequestedAt{};
};

/// \brief What happened to an account's tokens on this host, since it started.
struct allowance_counts {
  std::uint64_t Taken = 0;   ///< By operations.
  std::uint64_t Refused = 0; ///< Operations refused for lack of a token.
  std::uint64_t Lent = 0;    ///< Transferred to other hosts.
  std::uint64_t Expired = 0; ///< Received and not used in time.
};

/// \brief One account's tokens on this host.
struct account_allowance {
  token_bucket Bucket; ///< Refills with this host's part of the rate.
  std::deque<token_lot> Received; ///< From other hosts, oldest first.
  /// Request time of the token that was last taken; the time of taking it, if
  /// it was of the bucket.
  instant LastTakenRequestedAt{};
  instant NextRequestAt{}; ///< Earliest request to another host.
  /// When unanswered requests were sent, by the link of the host that was
  /// asked. A link's answers arrive in the order of its requests.
  std::map<std::string, std::deque<instant>> Requests;
  std::string AwaitedLink; ///< Of the latest request, until it is answered.
  instant AwaitedSince{};
  /// RefillingHosts[0] is asked first, not one after the other.
  bool PrefersFirst = false;
  /// Hosts whose buckets refill, in the order in which they are asked.
  std::vector<std::string> RefillingHosts;
  std::size_t NextRefillingHost = 0; ///< Index of the next host to ask.
  double AwaitedTokens = 0;          ///< Number in the latest request.
  std::size_t AskedInRound = 0; ///< Hosts that granted fewer than requested.
  bool RoundGranted = false;    ///< One of them had tokens.
  unsigned EmptyRounds = 0;     ///< In a row, in which no host had a token.
  allowance_counts Counts;
  std::uint64_t ReportedRefused = 0; ///< Counts.Refused when last logged.
  double DemandCount = 0; ///< Operations since DemandSince; sizes requests.
  instant DemandSince{};
  double DemandPerSecond = 0;
};

/// \brief Tokens of all accounts on this host, by account name.
struct allowance_table {
  std::map<std::string, account_allowance> Accounts;
  /// Hosts that did not answer a request, by name, and until when others are
  /// asked in their place.
  std::map<std::string, instant> SilentHosts;
  instant NextReportAt{};
};

/// \brief Names of hosts by data centre.
using hosts_by_data_centre = std::map<std::string, std::vector<std::string>>;

/// \brief Divides each account's rate among its refilling hosts. Tokens that
/// are already in the buckets stay.
/// \param Hosts All live hosts.
/// \param OwnName This host's name; its bucket refills only for accounts of
/// which it is a refilling host.
void divideRates(allowance_table &Table, const proxy_settings &Settings,
                 const std::vector<std::string> &Hosts,
                 const std::string &OwnName, instant Now);

/// \brief Divides each account's rate among one host of each data centre.
/// \param OwnDataCentre Its refilling host is asked first.
void divideRatesByDataCentre(allowance_table &Table,
                             const proxy_settings &Settings,
                             const hosts_by_data_centre &Hosts,
                             const std::string &OwnName,
                             const std::string &OwnDataCentre, instant Now);

/// \brief Adds the tokens to a restarted host's buckets that no other host
/// refilled in its place while it was down.
void grantStartupTokens(allowance_table &Table);

/// \brief Drops all tokens, and those that would have formed until now.
void dropTokens(allowance_table &Table, instant Now);

/// \brief Stops refilling until rates are divided again. Tokens that are
/// already in the buckets stay.
void stopRefilling(allowance_table &Table, instant Now);

/// \brief Hosts whose buckets refill for an account. Every host computes the
/// same result from the same list.
[[nodiscard]] std::vector<std::string>
refillingHostsFor(const client_account &Account,
                  const std::vector<std::string> &Hosts);

/// \brief One host of each data centre, or of some data centres if the burst is
/// too small. Every host computes the same result from the same hosts.
/// \returns Host names by data centre.
[[nodiscard]] std::map<std::string, std::string>
refillingHostsByDataCentre(const client_account &Account,
                           const hosts_by_data_centre &Hosts);

/// \brief Counts an operation that needs a token. Retries of the operation are
/// not counted.
void recordDemand(allowance_table &Table, const std::string &Account);

/// \brief Takes a token for an operation.
/// \returns False when the account has none left here.
[[nodiscard]] bool takeToken(allowance_table &Table, const std::string &Account,
                             instant Now);
/// \brief Returns the token of an operation that was certainly not run.
/// \param RequestedAt When the token was requested from another host; by
/// default, when the last token taken was.
void returnToken(allowance_table &Table, const std::string &Account,
                 std::optional<instant> RequestedAt = std::nullopt);

/// \brief Number of tokens to request from another host; 0 when none are
/// needed now.
/// \param IsNeeded Whether an operation is waiting for a token.
[[nodiscard]] double tokensToRequest(account_allowance &Allowance,
                                     bool IsNeeded, instant Now);

/// \brief Takes up to Wanted tokens out of the bucket for another host. Tokens
/// that this host's own demand will use stay.
[[nodiscard]] double transferTokens(allowance_table &Table,
                                    const std::string &Account, double Wanted,
                                    instant Now);
/// \param RequestedAt When this host requested them.
void receiveTokens(allowance_table &Table, const std::string &Account,
                   double Tokens, instant RequestedAt);

/// \brief Forgets requests that were sent on a link that is lost.
void forgetTokenRequests(allowance_table &Table, const std::string &Link);

} // namespace bronzespar::proxy
