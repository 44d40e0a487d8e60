/// Rate and burst of client accounts over all hosts. Answers the load in which
/// an account's callers arrive at few hosts, and in which a burst divided among
/// many hosts would leave none a whole token: a few hosts earn an account's
/// rate, and hand whole tokens to the others. A token is spent or handed over
/// by one host only, so the sum over all hosts is bound whatever is lost.
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
  token_bucket Bucket;       ///< What this host earns.
  double ReceivedTokens = 0; ///< Whole tokens from other hosts.
  instant ReceivedAt{};      ///< Of the newest of them.
  instant NextRequestAt{};   ///< Not before this is another host asked.
  std::vector<std::string>
      RefillingHosts;                  ///< Hosts that earn the account's rate.
  std::size_t NextRefillingHost = 0;   ///< Whom to ask next.
  unsigned ConsecutiveEmptyGrants = 0; ///< In a row, without a token.
  double DemandCount = 0; ///< Since DemandSince; tells how much to ask for.
  instant DemandSince{};
  double DemandPerSecond = 0;
};

/// \brief Allowances by account.
struct allowance_table {
  std::map<std::string, account_allowance> Accounts;
};

/// \brief Divides each account's rate among its earners; keeps earned tokens.
/// \param Hosts All live hosts.
/// \param Own This host; it earns only where it is one of the earners.
void divideRates(allowance_table &Table, const proxy_settings &Settings,
                 const std::vector<std::string> &Hosts, const std::string &Own,
                 instant Now);

/// \brief Gives a new incarnation's buckets what nobody earned in its place
/// while it was down.
void grantStartupTokens(allowance_table &Table);

/// \brief Stops earning until rates are divided again; tokens stay.
void stopRefilling(allowance_table &Table, instant Now);

/// \brief Hosts that earn an account's rate, the same on every host.
[[nodiscard]] std::vector<std::string>
refillingHostsFor(const client_account &Account,
                  const std::vector<std::string> &Hosts);

/// \brief Counts an operation that wants a token; once, however often it tries.
void recordDemand(allowance_table &Table, const std::string &Account);

/// \brief Takes a token for an operation. \returns False when there is none.
[[nodiscard]] bool takeToken(allowance_table &Table, const std::string &Account,
                             instant Now);
/// \brief Gives back the token of an operation that was proved not run.
void returnToken(allowance_table &Table, const std::string &Account);

/// \brief How many tokens to ask another host for; 0: none are needed now.
/// \param IsNeeded An operation waits for one.
[[nodiscard]] double tokensToRequest(account_allowance &Allowance,
                                     bool IsNeeded, instant Now);

/// \brief Hands over up to Wanted tokens, keeping what this host uses itself.
[[nodiscard]] double transferTokens(allowance_table &Table,
                                    const std::string &Account, double Wanted,
                                    instant Now);
void receiveTokens(allowance_table &Table, const std::string &Account,
                   double Tokens, instant Now);

} // namespace bronzespar::proxy
