/// Session tokens: the log positions that a session has written or read. The
/// caller carries the token, so any host can guarantee read-your-writes and
/// hosts store no session state.
#pragma once

#include <bronzespar/enum_table.hpp>
#include <bronzespar/ids.hpp>
#include <bronzespar/log_position.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace bronzespar {

/// \brief Latest log position of one group that the session wrote or read.
struct session_position {
  group_id Group;
  log_position Position;

  auto operator<=>(const session_position &) const = default;
};

/// \brief State of a session.
/// Invariant: at most one position for each group, sorted by group.
struct session_state {
  account_id Account; ///< The token is valid for this account only.
  std::vector<session_position> Positions;

  bool operator==(const session_state &) const = default;
};

enum class token_fault_kind { Malformed, WrongAuthentication, OtherAccount };
BOOST_DESCRIBE_ENUM(token_fault_kind, Malformed, WrongAuthentication,
                    OtherAccount)

/// \brief Error of decoding a session token.
struct token_fault {
  token_fault_kind Kind = token_fault_kind::Malformed;
};

/// \brief Finds the session's position in a group; zero if it has none.
[[nodiscard]] log_position sessionPositionOf(const session_state &Session,
                                             const group_id &Group);

/// \brief Raises the session's position in a group; never lowers it.
void raiseSessionPosition(session_state &Session, const group_id &Group,
                          log_position Position);

/// \brief Encodes an authenticated token (URL-safe base64, HMAC-SHA-256).
[[nodiscard]] std::string encodeToken(const session_state &Session,
                                      std::string_view TokenKey);

/// \brief Authenticates and decodes a token of an account.
/// \returns The session, or an error carrying token_fault.
[[nodiscard]] boost::leaf::result<session_state>
decodeToken(std::string_view Token, const account_id &Account,
            std::string_view TokenKey);

} // namespace bronzespar
