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

#include <map>
#include <string>
#include <vector>

namespace bronzespar::proxy {

/// \brief One account's tokens on this host.
struct account_allowance {
  token_bucket Bucket;       ///< Refills with this host's part of the rate.
  double ReceivedTokens = 0; ///< Whole tokens from other hosts.
  instant ReceivedAt{};      ///< When the last of them arrived.
  instant NextRequestAt{};   ///< Earliest request to another host.
  std::vector<std::string> RefillingHosts; ///< Hosts whose buckets refill.
  std::size_t NextRefillingHost = 0;       ///< Index of the next host to ask.
  unsigned ConsecutiveEmptyGrants = 0;
  double DemandCount = 0; ///< Operations since DemandSince; sizes requests.
  instant DemandSince{};
  double DemandPerSecond = 0;
};

/// \brief Tokens of all accounts on this host, by account name.
struct allowance_table {
  std::map<std::string, account_allowance> Accounts;
};

/// \brief Divides each account's rate among its refilling hosts. Tokens that
/// are already in the buckets stay.
/// \param Hosts All live hosts.
/// \param OwnName This host's name; its bucket refills only for accounts of
/// which it is a refilling host.
void divideRates(allowance_table &Table, const proxy_settings &Settings,
                 const std::vector<std::string> &Hosts,
                 const std::string &OwnName, instant Now);

/// \brief Adds the tokens to a restarted host's buckets that no other host
/// refilled in its place while it was down.
void grantStartupTokens(allowance_table &Table);

/// \brief Stops refilling until rates are divided again. Tokens that are
/// already in the buckets stay.
void stopRefilling(allowance_table &Table, instant Now);

/// \brief Hosts whose buckets refill for an account. Every host computes the
/// same result from the same list.
[[nodiscard]] std::vector<std::string>
refillingHostsFor(const client_account &Account,
                  const std::vector<std::string> &Hosts);

/// \brief Counts an operation that needs a token. Retries of the operation are
/// not counted.
void recordDemand(allowance_table &Table, const std::string &Account);

/// \brief Takes a token for an operation.
/// \returns False when the account has none left here.
[[nodiscard]] bool takeToken(allowance_table &Table, const std::string &Account,
                             instant Now);
/// \brief Returns the token of an operation that was certainly not run.
void returnToken(allowance_table &Table, const std::string &Account);

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
void receiveTokens(allowance_table &Table, const std::string &Account,
                   double Tokens, instant Now);

} // namespace bronzespar::proxy
