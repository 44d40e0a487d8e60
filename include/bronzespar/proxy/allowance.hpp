/// Rate and burst of client accounts over all hosts. Answers the load in which
/// an account's callers arrive at few hosts: each host earns an even part, and
/// hosts hand whole tokens to one another. A token is spent or handed over by
/// one host only, so the sum over all hosts is bound whatever is lost.
#pragma once

#include <bronzespar/instant.hpp>
#include <bronzespar/proxy/settings.hpp>
#include <bronzespar/token_bucket.hpp>

#include <map>
#include <string>

namespace bronzespar::proxy {

/// \brief One account's tokens on this host.
struct account_allowance {
  token_bucket Bucket;      ///< What this host earns.
  double Received = 0;      ///< Whole tokens from other hosts.
  instant ReceivedAt{};     ///< Of the newest of them.
  instant AskAfter{};       ///< Not before this is another host asked.
  std::size_t NextPeer = 0; ///< Whom to ask next.
  double Taken = 0;         ///< Since DemandSince; tells how much to ask for.
  instant DemandSince{};
  double DemandPerSecond = 0;
};

/// \brief Allowances by account.
struct allowance_table {
  std::map<std::string, account_allowance> Accounts;
  std::size_t Hosts = 1; ///< Among which rates are divided.
};

/// \brief Divides the accounts' rates among hosts; keeps earned tokens.
void divideRates(allowance_table &Table, const proxy_settings &Settings,
                 std::size_t Hosts, instant Now);

/// \brief Takes a token for an operation. \returns False when there is none.
[[nodiscard]] bool takeToken(allowance_table &Table, const std::string &Account,
                             instant Now);
/// \brief Gives back the token of an operation that was proved not run.
void returnToken(allowance_table &Table, const std::string &Account);

/// \brief How many tokens to ask another host for; 0: none are needed now.
[[nodiscard]] double tokensToAsk(account_allowance &Allowance, instant Now);

/// \brief Hands over up to Wanted tokens, keeping what this host uses itself.
[[nodiscard]] double handOver(allowance_table &Table,
                              const std::string &Account, double Wanted,
                              instant Now);
void receiveTokens(allowance_table &Table, const std::string &Account,
                   double Tokens, instant Now);
/// \brief Time until this host earns a token by itself.
[[nodiscard]] duration untilOwnToken(const allowance_table &Table,
                                     const std::string &Account, instant Now);

} // namespace bronzespar::proxy
