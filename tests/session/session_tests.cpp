/// Tests of session tokens: a session survives encoding, and tokens that are
/// forged, altered or of another account are refused.
#include <bronzespar/session_token.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bronzespar;

namespace {

constexpr std::string_view TokenKey = "0123456789abcdef";
const account_id Account("kava");

session_state sampleSession() {
  session_state Session{Account, {}};
  raiseSessionPosition(Session, group_id("g2"), {3, 7});
  raiseSessionPosition(Session, group_id("g1"), {1, 100});
  return Session;
}

token_fault_kind faultOf(std::string_view Token, const account_id &Caller) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<token_fault_kind> {
        auto Session = decodeToken(Token, Caller, TokenKey);
        if (!Session)
          return Session.error();
        FAIL("the token was accepted");
        return token_fault_kind::Malformed;
      },
      [](const token_fault &Fault) { return Fault.Kind; },
      [] { return token_fault_kind::Malformed; });
}

} // namespace

TEST_CASE("a decoded token equals the encoded session") {
  const session_state Session = sampleSession();
  const auto Decoded =
      decodeToken(encodeToken(Session, TokenKey), Account, TokenKey);
  REQUIRE(Decoded);
  CHECK(*Decoded == Session);
}

TEST_CASE("session positions are never lowered") {
  session_state Session = sampleSession();
  raiseSessionPosition(Session, group_id("g2"), {2, 1000});
  CHECK(sessionPositionOf(Session, group_id("g2")) == log_position{3, 7});
  CHECK(sessionPositionOf(Session, group_id("g3")) == log_position{});
}

TEST_CASE("a token of another account is refused") {
  const std::string Token = encodeToken(sampleSession(), TokenKey);
  CHECK(faultOf(Token, account_id("yaqona")) == token_fault_kind::OtherAccount);
}

TEST_CASE("a token authenticated with another key is refused") {
  const std::string Token = encodeToken(sampleSession(), "another key, long");
  CHECK(faultOf(Token, Account) == token_fault_kind::WrongAuthentication);
}

TEST_CASE("a token with one changed character is refused") {
  const std::string Token = encodeToken(sampleSession(), TokenKey);
  rc::check("changed tokens are refused", [&] {
    std::string Changed = Token;
    const auto Index = *rc::gen::inRange<std::size_t>(0, Token.size() - 1);
    Changed[Index] = Changed[Index] == 'A' ? 'B' : 'A';
    RC_ASSERT(!decodeToken(Changed, Account, TokenKey));
  });
}

TEST_CASE("an arbitrary text is refused") {
  rc::check("arbitrary texts are refused", [](const std::string &Text) {
    RC_ASSERT(!decodeToken(Text, Account, TokenKey));
  });
}
