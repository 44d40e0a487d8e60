/// Checks of a request before its first attempt, in this order: settings,
/// route, key, account, use of transactions, and session token.
#include "entry.hpp"
#include "leaving.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

refusal refuse(refusal_cause Cause, std::string Detail,
               std::string Setting = {}) {
  return {Cause, std::move(Detail), std::move(Setting), {}};
}

refusal checkKey(context &Context, entry_request &Request) {
  const secret Key = std::move(Request.Request.Key);
  Request.Request.Key = secret();
  if (Key.empty() && Request.Route.Open)
    return {};
  if (Key.empty())
    return refuse(refusal_cause::KeyMissing, "The request has no key.");
  const auto Account = accountOfKey(Context.State.Keys, Key);
  if (!Account)
    return refuse(refusal_cause::KeyUnknown,
                  "The key is not known or has been withdrawn.");
  Request.Account = *Account;
  return {};
}

refusal checkRoute(context &Context, entry_request &Request) {
  const route_settings *Route =
      findRoute(Context.State.Fleet, Request.Request.Route);
  if (Route == nullptr)
    return refuse(refusal_cause::RouteUnknown, "There is no such route.");
  Request.Route = *Route;
  return {};
}

refusal checkPermission(const entry_request &Request) {
  if (Request.Route.Open)
    return {};
  const auto &Accounts = Request.Route.Accounts;
  if (std::find(Accounts.begin(), Accounts.end(), Request.Account) !=
      Accounts.end())
    return {};
  return refuse(refusal_cause::AccountNotPermitted,
                "The account may not use this route.",
                "routes/" + Request.Route.Id.Value + ":accounts");
}

refusal checkTransactionUse(const caller_request &Request) {
  const bool EndsTransaction = Request.Kind == statement_kind::Commit ||
                               Request.Kind == statement_kind::Rollback;
  if (EndsTransaction && Request.Transaction.empty())
    return refuse(refusal_cause::MalformedRequest,
                  "Commit and rollback need a transaction.");
  if (Request.Kind == statement_kind::Begin && !Request.Transaction.empty())
    return refuse(refusal_cause::MalformedRequest,
                  "A transaction cannot begin inside another.");
  return {};
}

refusal checkSessionToken(context &Context, entry_request &Request) {
  Request.Session.Account = Request.Account;
  const std::string &Token = Request.Request.SessionToken;
  if (Token.empty())
    return {};
  auto Session =
      decodeToken(Token, Request.Account, Context.State.Fleet.TokenKey);
  if (!Session)
    return refuse(refusal_cause::SessionTokenInvalid,
                  "The session token is not valid for this account.");
  Request.Session = std::move(Session.value());
  return {};
}

void setDeadline(entry_request &Request) {
  duration Limit = Request.Route.Deadline;
  if (Request.Request.Deadline)
    Limit = std::min(Limit, *Request.Request.Deadline);
  Request.Deadline = Request.ArrivedAt + Limit;
}

} // namespace

refusal checkRequest(context &Context, entry_request &Request) {
  if (Context.State.Fleet.Revision == 0)
    return refuse(refusal_cause::NotConfigured,
                  "This host has no settings yet.");
  refusal RouteRefusal = checkRoute(Context, Request);
  refusal KeyRefusal = checkKey(Context, Request);
  // A refused key takes precedence, so that callers without a valid key cannot
  // find out which routes exist.
  if (KeyRefusal.Cause != refusal_cause::None)
    return KeyRefusal;
  if (RouteRefusal.Cause != refusal_cause::None)
    return RouteRefusal;
  setDeadline(Request);
  if (mayStopBefore(Context.State, Request.Deadline))
    return refuse(refusal_cause::HostLeaving, LeavingDetail);
  for (const refusal &Refusal :
       {checkPermission(Request), checkTransactionUse(Request.Request),
        checkSessionToken(Context, Request)})
    if (Refusal.Cause != refusal_cause::None)
      return Refusal;
  return {};
}

} // namespace bronzespar::impl
