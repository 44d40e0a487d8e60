/// Writes the messages between hosts as FlatBuffers.
#include "peer_body.hpp"

#include <peer_generated.h>

namespace bronzespar::impl {

namespace {

namespace fb = peer_wire;
using builder = flatbuffers::FlatBufferBuilder;

constexpr std::size_t FirstBufferBytes = 512;

/// A table of the union, as the builder knows it.
struct union_value {
  fb::Body Type = fb::Body::NONE;
  flatbuffers::Offset<void> Offset;
};

template <class Table> union_value asUnion(flatbuffers::Offset<Table> Offset) {
  return {fb::BodyTraits<Table>::enum_value, Offset.Union()};
}

template <class Enum> std::uint8_t number(Enum Value) noexcept {
  return static_cast<std::uint8_t>(Value);
}

auto text(builder &To, const std::string &Text) {
  return To.CreateString(Text);
}

auto position(builder &To, log_position Position) {
  return fb::CreateLogPosition(To, Position.Term, Position.Index);
}

auto spans(builder &To, const std::vector<trace_span> &Spans) {
  std::vector<flatbuffers::Offset<fb::Span>> Offsets;
  Offsets.reserve(Spans.size());
  for (const trace_span &Span : Spans)
    Offsets.push_back(
        fb::CreateSpan(To, number(Span.Stage), Span.Duration.count()));
  return To.CreateVector(Offsets);
}

auto trace(builder &To, const request_trace &Trace) {
  const auto Id = text(To, Trace.Id.Value);
  const auto Account = text(To, Trace.Account.Value);
  const auto Route = text(To, Trace.Route.Value);
  const auto Kind = text(To, Trace.Kind);
  const auto EntryHost = text(To, Trace.EntryHost.Value);
  const auto Target = text(To, Trace.Target.Value);
  const auto Setting = text(To, Trace.Setting);
  const auto Spans = spans(To, Trace.Spans);
  return fb::CreateTrace(To, Id, Account, Route, number(Trace.Class), Kind,
                         EntryHost, Target, number(Trace.Outcome),
                         number(Trace.Cause), Setting, Trace.Revision,
                         Trace.Attempts, Trace.Total.count(), Spans);
}

auto report(builder &To, const relayed_report &Relayed) {
  const member_report &Report = Relayed.Report;
  const auto Target = text(To, Report.Target);
  const auto Position = position(To, Report.Position);
  const auto PrimaryPosition = position(To, Report.PrimaryPosition);
  const auto Primary = text(To, Report.Primary);
  return fb::CreateReport(To, Target, number(Report.Role), Report.Term,
                          Position, PrimaryPosition, Report.HeardAgeMs, Primary,
                          Report.Leaving, Relayed.Age.count());
}

union_value encode(builder &To, const peer_hello &Hello) {
  const auto Host = text(To, Hello.Host.Value);
  const auto DataCentre = text(To, Hello.DataCentre.Value);
  const auto Recipient = text(To, Hello.Recipient.Value);
  return asUnion(
      fb::CreateHello(To, Host, DataCentre, Hello.Incarnation, Recipient));
}

union_value encode(builder &To, const heartbeat &Beat) {
  return asUnion(fb::CreateHeartbeat(To, Beat.Incarnation, Beat.Sequence,
                                     number(Beat.Phase), Beat.Slot,
                                     Beat.Revision));
}

union_value encode(builder &To, const member_reports &Message) {
  std::vector<flatbuffers::Offset<fb::Report>> Reports;
  Reports.reserve(Message.Reports.size());
  for (const relayed_report &Relayed : Message.Reports)
    Reports.push_back(report(To, Relayed));
  std::vector<flatbuffers::Offset<flatbuffers::String>> Unreachable;
  Unreachable.reserve(Message.Unreachable.size());
  for (const target_id &Target : Message.Unreachable)
    Unreachable.push_back(text(To, Target.Value));
  const auto ReportVector = To.CreateVector(Reports);
  const auto UnreachableVector = To.CreateVector(Unreachable);
  return asUnion(fb::CreateMemberReports(To, ReportVector, UnreachableVector));
}

union_value encode(builder &To, const forward_request &Request) {
  const auto Id = text(To, Request.Id.Value);
  const auto Account = text(To, Request.Account.Value);
  const auto Route = text(To, Request.Route.Value);
  const auto Group = text(To, Request.Group.Value);
  const auto Target = text(To, Request.Target.Value);
  const auto Row = text(To, Request.Row);
  const auto Value = text(To, Request.Value);
  const auto IdempotencyKey = text(To, Request.IdempotencyKey);
  const auto NotBefore = position(To, Request.RequiredPosition);
  const auto Transaction = text(To, Request.Transaction.Value);
  return asUnion(fb::CreateForwardRequest(
      To, Request.ForwardId, Id, Account, Route, number(Request.Class), Group,
      Target, number(Request.Kind), Row, Value, IdempotencyKey, Request.Term,
      NotBefore, Request.TimeLeft.count(), Transaction));
}

union_value encode(builder &To, const forward_answer &Answer) {
  const auto Detail = text(To, Answer.Detail);
  const auto Value = text(To, Answer.Value);
  const auto Position = position(To, Answer.Position);
  const auto Transaction = text(To, Answer.Transaction.Value);
  const auto Spans = spans(To, Answer.Spans);
  return asUnion(fb::CreateForwardAnswer(
      To, Answer.ForwardId, number(Answer.Outcome), number(Answer.Cause),
      Detail, Value, Position, Transaction, Answer.RetryAfter.count(), Spans));
}

auto tokens(builder &To, const std::vector<account_tokens> &Items) {
  std::vector<flatbuffers::Offset<fb::AccountTokens>> Accounts;
  Accounts.reserve(Items.size());
  for (const account_tokens &Item : Items) {
    const auto Account = text(To, Item.Account.Value);
    Accounts.push_back(
        fb::CreateAccountTokens(To, Account, Item.Tokens, Item.Level));
  }
  return To.CreateVector(Accounts);
}

union_value encode(builder &To, const share_demand &Demand) {
  const auto Accounts = tokens(To, Demand.Accounts);
  return asUnion(fb::CreateShareDemand(To, Demand.Sequence, Accounts));
}

union_value encode(builder &To, const share_grant &Grant) {
  const auto Accounts = tokens(To, Grant.Accounts);
  return asUnion(fb::CreateShareGrant(To, Grant.DemandSequence, Accounts));
}

union_value encode(builder &To, const settings_offer &Offer) {
  return asUnion(fb::CreateSettingsOffer(To, Offer.Revision));
}

union_value encode(builder &To, const settings_fetch &Fetch) {
  return asUnion(fb::CreateSettingsFetch(To, Fetch.AboveRevision));
}

union_value encode(builder &To, const settings_body &Body) {
  const auto Text = text(To, Body.Text);
  return asUnion(fb::CreateSettingsBody(To, Body.Revision, Text));
}

union_value encode(builder &To, const key_withdrawal &Withdrawal) {
  const auto Key = text(To, Withdrawal.Key.Value);
  return asUnion(fb::CreateKeyWithdrawal(To, Key));
}

union_value encode(builder &To, const trace_copy &Copy) {
  const auto Trace = trace(To, Copy.Trace);
  return asUnion(fb::CreateTraceCopy(To, Trace));
}

union_value encode(builder &To, const trace_query &Query) {
  const auto Request = text(To, Query.Request.Value);
  return asUnion(fb::CreateTraceQuery(To, Query.QueryId, Request));
}

union_value encode(builder &To, const trace_reply &Reply) {
  const auto Trace = trace(To, Reply.Trace);
  return asUnion(fb::CreateTraceReply(To, Reply.QueryId, Reply.Found, Trace));
}

union_value encode(builder &To, const peer_message &Message) {
  return std::visit([&To](const auto &Kind) { return encode(To, Kind); },
                    Message);
}

} // namespace

std::string encodePayload(const peer_frame &Frame) {
  builder To(FirstBufferBytes);
  const union_value Body = std::visit(
      [&To](const auto &Kind) { return encode(To, Kind); }, Frame.Body);
  To.Finish(fb::CreateFrame(To, Frame.Sequence, Body.Type, Body.Offset));
  return {reinterpret_cast<const char *>(To.GetBufferPointer()), To.GetSize()};
}

} // namespace bronzespar::impl
