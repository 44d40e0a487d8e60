/// Choice of the member for a request's next attempt.
#include "bounds.hpp"
#include "entry.hpp"
#include "transactions.hpp"

#include <algorithm>

namespace bronzespar::impl {

namespace {

bool acceptsNewWork(const member_view &Member) {
  return Member.Reachable && !Member.Leaving && Member.Report &&
         !Member.Report->Leaving;
}

/// Returns the load of each member of View, in that order.
std::vector<std::uint32_t>
loadOf(const context &Context, const group_view &View, const target_id &Avoid) {
  std::vector<std::uint32_t> Load;
  Load.reserve(View.Members.size());
  for (const member_view &Member : View.Members) {
    const auto Found = Context.State.Load.find(Member.Target);
    const std::uint32_t Own =
        Found == Context.State.Load.end() ? 0 : Found->second;
    Load.push_back(Member.Target == Avoid ? Own + AvoidedTargetLoad : Own);
  }
  return Load;
}

/// Makes Member the target of the next attempt and finds its pool owner.
request_event assignMember(context &Context, entry_request &Request,
                           const member_view &Member) {
  const target_settings *Target =
      findTarget(Context.State.Fleet, Member.Target);
  if (Target == nullptr)
    return request_event::PrimaryMissing;
  Request.Target = Member.Target;
  Request.Term = Member.Report ? Member.Report->Term : 0;
  Request.Owner = poolOwner(Context.State.Membership, *Target)
                      .value_or(Context.State.Self.Id);
  return request_event::TargetChosen;
}

request_event choosePrimary(context &Context, entry_request &Request,
                            const group_view &View) {
  const member_view *Primary = findPrimary(View);
  if (Primary == nullptr || !acceptsNewWork(*Primary))
    return request_event::PrimaryMissing;
  return assignMember(Context, Request, *Primary);
}

const member_view *findMember(const group_view &View, const target_id &Target) {
  for (const member_view &Member : View.Members)
    if (Member.Target == Target)
      return &Member;
  return nullptr;
}

request_event chooseReadMember(context &Context, entry_request &Request,
                               const group_view &View) {
  const read_requirement Need{sessionPositionOf(Request.Session, View.Group),
                              Request.Request.MaxAge,
                              Context.State.Self.DataCentre};
  const read_choice Choice = chooseReadTarget(
      View, Need, Context.Now, loadOf(Context, View, Request.AvoidedTarget));
  if (Choice.Kind == read_choice_kind::Now)
    return assignMember(Context, Request, *findMember(View, Choice.Target));
  if (Choice.Kind == read_choice_kind::Nowhere)
    return request_event::PrimaryMissing;
  if (Request.CatchUpDeadline == instant{})
    Request.CatchUpDeadline = Context.Now + MaxCatchUpWait;
  if (Context.Now < Request.CatchUpDeadline)
    return request_event::MustCatchUp;
  const request_event Event = choosePrimary(Context, Request, View);
  // Without a primary, only a replica that catches up can run the read.
  return Event == request_event::TargetChosen ? Event
                                              : request_event::MustCatchUp;
}

request_event chooseTransactionHost(entry_request &Request) {
  const auto Host = hostOfTransaction(Request.Request.Transaction);
  if (!Host) {
    Request.LatestAnswer.Cause = refusal_cause::TransactionUnknown;
    Request.LatestAnswer.Detail = "The transaction's name is malformed.";
    return request_event::Refused;
  }
  Request.Owner = *Host;
  Request.Target = target_id();
  return request_event::TargetChosen;
}

} // namespace

request_event chooseTarget(context &Context, entry_request &Request) {
  if (!Request.Request.Transaction.empty())
    return chooseTransactionHost(Request);
  const auto View = Context.State.Groups.find(Request.Route.Group);
  if (View == Context.State.Groups.end())
    return request_event::PrimaryMissing;
  if (Request.Request.Kind == statement_kind::Read)
    return chooseReadMember(Context, Request, View->second);
  return choosePrimary(Context, Request, View->second);
}

} // namespace bronzespar::impl
