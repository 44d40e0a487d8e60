/// Reads the messages between hosts from FlatBuffers. Every payload is verified
/// before it is looked at, and every enumerator's number is checked.
#include "peer_body.hpp"

#include <boost/leaf/error.hpp>
#include <boost/mp11/list.hpp>
#include <peer_generated.h>

namespace bronzespar::impl {

namespace {

namespace fb = peer_wire;

/// Thrown inside this file only, to leave deeply nested tables; decodePayload
/// turns it into a wire_fault.
struct invalid_payload {
  const char *Reason;
};

/// Enumerators are numbered from 0 without gaps.
template <described_enum Enum> Enum enumerator(std::uint8_t Number) {
  using table = boost::describe::describe_enumerators<Enum>;
  if (Number >= boost::mp11::mp_size<table>::value)
    throw invalid_payload{"an enumerator's number is out of range"};
  return static_cast<Enum>(Number);
}

std::string text(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

template <class Id> Id id(const flatbuffers::String *Text) {
  return Id(text(Text));
}

log_position position(const fb::LogPosition *Position) {
  if (!Position)
    return {};
  return {Position->term(), Position->index()};
}

template <class Table, class Read>
auto items(const flatbuffers::Vector<flatbuffers::Offset<Table>> *Vector,
           Read &&ReadItem) {
  std::vector<decltype(ReadItem(std::declval<const Table &>()))> Items;
  if (!Vector)
    return Items;
  Items.reserve(Vector->size());
  for (const Table *Item : *Vector)
    Items.push_back(ReadItem(*Item));
  return Items;
}

trace_span span(const fb::Span &Span) {
  return {enumerator<trace_stage>(Span.stage()), duration(Span.span_us())};
}

request_trace trace(const fb::Trace *Source) {
  request_trace Trace;
  if (!Source)
    return Trace;
  Trace.Id = id<request_id>(Source->id());
  Trace.Account = id<account_id>(Source->account());
  Trace.Route = id<route_id>(Source->route());
  Trace.Class = enumerator<request_class>(Source->request_class());
  Trace.Kind = text(Source->kind());
  Trace.EntryHost = id<host_id>(Source->entry_host());
  Trace.Target = id<target_id>(Source->target());
  Trace.Outcome = enumerator<run_outcome>(Source->outcome());
  Trace.Cause = enumerator<refusal_cause>(Source->cause());
  Trace.Setting = text(Source->setting());
  Trace.Revision = Source->revision();
  Trace.Attempts = Source->attempts();
  Trace.Total = duration(Source->total_us());
  Trace.Spans = items(Source->spans(), span);
  return Trace;
}

relayed_report report(const fb::Report &Source) {
  relayed_report Relayed;
  Relayed.Report.Target = text(Source.target());
  Relayed.Report.Role = enumerator<member_role>(Source.role());
  Relayed.Report.Term = Source.term();
  Relayed.Report.Position = position(Source.position());
  Relayed.Report.PrimaryPosition = position(Source.primary_position());
  Relayed.Report.HeardAgeMs = Source.heard_age_ms();
  Relayed.Report.Primary = text(Source.primary());
  Relayed.Report.Leaving = Source.leaving();
  Relayed.Age = duration(Source.age_us());
  return Relayed;
}

peer_hello decode(const fb::Hello &Source) {
  return {id<host_id>(Source.host()), id<data_centre_id>(Source.data_centre()),
          Source.incarnation(), id<host_id>(Source.recipient())};
}

peer_message decode(const fb::Heartbeat &Source) {
  return heartbeat{Source.incarnation(), Source.sequence(),
                   enumerator<host_phase>(Source.phase()), Source.slot(),
                   Source.revision()};
}

peer_message decode(const fb::MemberReports &Source) {
  return member_reports{
      items(Source.reports(), report),
      items(Source.unreachable(), [](const flatbuffers::String &Target) {
        return target_id(Target.str());
      })};
}

peer_message decode(const fb::ForwardRequest &Source) {
  forward_request Request;
  Request.ForwardId = Source.forward_id();
  Request.Id = id<request_id>(Source.id());
  Request.Account = id<account_id>(Source.account());
  Request.Route = id<route_id>(Source.route());
  Request.Class = enumerator<request_class>(Source.request_class());
  Request.Group = id<group_id>(Source.group());
  Request.Target = id<target_id>(Source.target());
  Request.Kind = enumerator<statement_kind>(Source.kind());
  Request.Row = text(Source.row());
  Request.Value = text(Source.value());
  Request.IdempotencyKey = text(Source.idempotency_key());
  Request.Term = Source.term();
  Request.RequiredPosition = position(Source.not_before());
  Request.TimeLeft = duration(Source.time_left_us());
  Request.Transaction = id<transaction_id>(Source.transaction());
  return Request;
}

peer_message decode(const fb::ForwardAnswer &Source) {
  forward_answer Answer;
  Answer.ForwardId = Source.forward_id();
  Answer.Outcome = enumerator<run_outcome>(Source.outcome());
  Answer.Cause = enumerator<refusal_cause>(Source.cause());
  Answer.Detail = text(Source.detail());
  Answer.Value = text(Source.value());
  Answer.Position = position(Source.position());
  Answer.Transaction = id<transaction_id>(Source.transaction());
  Answer.RetryAfter = duration(Source.retry_after_us());
  Answer.Spans = items(Source.spans(), span);
  return Answer;
}

account_tokens tokens(const fb::AccountTokens &Source) {
  return {id<account_id>(Source.account()), Source.tokens(), Source.level()};
}

peer_message decode(const fb::ShareDemand &Source) {
  return share_demand{Source.sequence(), items(Source.accounts(), tokens)};
}

peer_message decode(const fb::ShareGrant &Source) {
  return share_grant{Source.demand_sequence(),
                     items(Source.accounts(), tokens)};
}

peer_message decode(const fb::SettingsOffer &Source) {
  return settings_offer{Source.revision()};
}

peer_message decode(const fb::SettingsFetch &Source) {
  return settings_fetch{Source.above()};
}

peer_message decode(const fb::SettingsBody &Source) {
  return settings_body{Source.revision(), text(Source.text())};
}

peer_message decode(const fb::KeyWithdrawal &Source) {
  return key_withdrawal{id<key_id>(Source.key())};
}

peer_message decode(const fb::TraceCopy &Source) {
  return trace_copy{trace(Source.trace())};
}

peer_message decode(const fb::TraceQuery &Source) {
  return trace_query{Source.query_id(), id<request_id>(Source.request())};
}

peer_message decode(const fb::TraceReply &Source) {
  return trace_reply{Source.query_id(), Source.found(), trace(Source.trace())};
}

peer_body body(const fb::Frame &Frame) {
  switch (Frame.body_type()) {
  case fb::Body::NONE:
    break;
  case fb::Body::Hello:
    return decode(*Frame.body_as_Hello());
  case fb::Body::Heartbeat:
    return decode(*Frame.body_as_Heartbeat());
  case fb::Body::MemberReports:
    return decode(*Frame.body_as_MemberReports());
  case fb::Body::ForwardRequest:
    return decode(*Frame.body_as_ForwardRequest());
  case fb::Body::ForwardAnswer:
    return decode(*Frame.body_as_ForwardAnswer());
  case fb::Body::ShareDemand:
    return decode(*Frame.body_as_ShareDemand());
  case fb::Body::ShareGrant:
    return decode(*Frame.body_as_ShareGrant());
  case fb::Body::SettingsOffer:
    return decode(*Frame.body_as_SettingsOffer());
  case fb::Body::SettingsFetch:
    return decode(*Frame.body_as_SettingsFetch());
  case fb::Body::SettingsBody:
    return decode(*Frame.body_as_SettingsBody());
  case fb::Body::KeyWithdrawal:
    return decode(*Frame.body_as_KeyWithdrawal());
  case fb::Body::TraceCopy:
    return decode(*Frame.body_as_TraceCopy());
  case fb::Body::TraceQuery:
    return decode(*Frame.body_as_TraceQuery());
  case fb::Body::TraceReply:
    return decode(*Frame.body_as_TraceReply());
  }
  throw invalid_payload{"the frame's body is of no known kind"};
}

auto malformed(const char *Reason) {
  return boost::leaf::new_error(wire_fault{wire_fault_kind::Malformed, Reason});
}

} // namespace

boost::leaf::result<peer_frame> decodePayload(std::string_view Payload) {
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Payload.data());
  flatbuffers::Verifier Verifier(Bytes, Payload.size());
  if (!fb::VerifyFrameBuffer(Verifier))
    return malformed("the payload is not a well-formed frame");
  const fb::Frame *Frame = fb::GetFrame(Bytes);
  if (!Frame->body())
    return malformed("the frame has no body");
  try {
    return peer_frame{Frame->sequence(), body(*Frame)};
  } catch (const invalid_payload &Invalid) {
    return malformed(Invalid.Reason);
  }
}

} // namespace bronzespar::impl
