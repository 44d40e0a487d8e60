/// Tests of frames between hosts.
#include "codec_faults.hpp"

#include "wire/peer_body.hpp"

#include <bronzespar/wire/peer_codec.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bronzespar;

namespace {

const std::string PeerKey = "shared-by-all-hosts";
const std::string Nonce(NonceBytes, 'n');

request_trace sampleTrace() {
  request_trace Trace;
  Trace.Id = request_id("h-1");
  Trace.Account = account_id("a");
  Trace.Class = request_class::Settlement;
  Trace.Outcome = run_outcome::Unknown;
  Trace.Cause = refusal_cause::NotConfigured;
  Trace.Revision = 3;
  Trace.Total = 5ms;
  Trace.Spans = {{trace_stage::Queue, 2ms}, {trace_stage::PeerHop, 3ms}};
  return Trace;
}

forward_request sampleForward(const std::string &Text) {
  forward_request Request;
  Request.ForwardId = 1;
  Request.Id = request_id("h-1");
  Request.Account = account_id("a");
  Request.Class = request_class::Urgent;
  Request.Kind = statement_kind::Rollback;
  Request.Row = Text;
  Request.Value = Text;
  Request.RequiredPosition = {4, 5};
  Request.TimeLeft = 900ms;
  return Request;
}

/// One message of every kind.
std::vector<peer_body> samples(const std::string &Text, std::uint64_t Number) {
  member_report Report;
  Report.Target = "t";
  Report.Role = member_role::Fenced;
  Report.Position = {1, Number};
  forward_answer Answer;
  Answer.Outcome = run_outcome::Ran;
  Answer.Cause = refusal_cause::TargetRefused;
  Answer.Value = Text;
  Answer.Spans = {{trace_stage::Target, 7ms}};
  return {
      peer_hello{host_id("a"), data_centre_id("suva"), Number, host_id("b")},
      peer_message(heartbeat{Number, 2, host_phase::Leaving, 5, 9}),
      peer_message(member_reports{{{Report, 5ms}}, {target_id("u")}}),
      peer_message(sampleForward(Text)),
      peer_message(Answer),
      peer_message(share_demand{Number, {{account_id("a"), 0.5, 0}}}),
      peer_message(share_grant{Number, {{account_id("a"), 0.5, 2}}}),
      peer_message(settings_offer{Number}),
      peer_message(settings_fetch{Number}),
      peer_message(settings_body{Number, Text}),
      peer_message(key_withdrawal{key_id(Text)}),
      peer_message(trace_copy{sampleTrace()}),
      peer_message(trace_query{Number, request_id(Text)}),
      peer_message(trace_reply{Number, true, sampleTrace()}),
  };
}

std::string rest(const std::string &Frame) { return Frame.substr(LengthBytes); }

auto readFrame(const std::string &Rest, const std::string &Key = PeerKey,
               const std::string &Challenge = Nonce) {
  return decodeFrame(Rest, Key, Challenge);
}

} // namespace

TEST_CASE("every message between hosts survives a round trip") {
  CHECK(rc::check("frames", [](const std::string &Text, std::uint64_t Number) {
    for (peer_body &Body : samples(Text, Number)) {
      const std::string Frame =
          encodeFrame({Number, std::move(Body)}, PeerKey, Nonce);
      const std::size_t Length = decoded(
          [&] { return decodeFrameLength(Frame.substr(0, LengthBytes)); });
      RC_ASSERT(Length + LengthBytes == Frame.size());
      const peer_frame Read = decoded([&] { return readFrame(rest(Frame)); });
      RC_ASSERT(Read.Sequence == Number);
      RC_ASSERT(encodeFrame(Read, PeerKey, Nonce) == Frame);
    }
  }));
}

TEST_CASE("fields arrive in their places") {
  const std::string Frame =
      encodeFrame({3, peer_message(sampleForward("row"))}, PeerKey, Nonce);
  const peer_frame Read = decoded([&] { return readFrame(rest(Frame)); });
  const auto &Message = std::get<peer_message>(Read.Body);
  const auto &Forward = std::get<forward_request>(Message);
  CHECK(Forward.ForwardId == 1);
  CHECK(Forward.Account == account_id("a"));
  CHECK(Forward.Class == request_class::Urgent);
  CHECK(Forward.Kind == statement_kind::Rollback);
  CHECK(Forward.RequiredPosition == log_position{4, 5});
  CHECK(Forward.TimeLeft == duration(900ms));
}

TEST_CASE("a frame of another key, nonce or content is refused") {
  const std::string Rest =
      rest(encodeFrame({0, peer_message(settings_offer{4})}, PeerKey, Nonce));
  constexpr auto Wrong = wire_fault_kind::WrongAuthentication;
  CHECK(faultOf([&] { return readFrame(Rest, "another"); }) == Wrong);
  CHECK(faultOf([&] {
          return readFrame(Rest, PeerKey, std::string(NonceBytes, 'm'));
        }) == Wrong);
  for (std::size_t Index = 0; Index < Rest.size(); ++Index) {
    std::string Changed = Rest;
    Changed[Index] = static_cast<char>(Changed[Index] ^ 1);
    INFO(Index);
    CHECK(faultOf([&] { return readFrame(Changed); }) == Wrong);
  }
}

TEST_CASE("lengths out of bounds are refused") {
  using namespace std::string_literals;
  const auto Fault = [](const std::string &Bytes) {
    return faultOf([&] { return decodeFrameLength(Bytes); });
  };
  CHECK(Fault("\0\0\0"s) == wire_fault_kind::Malformed);
  CHECK(Fault("\0\0\0\x20"s) == wire_fault_kind::Malformed);
  CHECK(Fault("\x7F\0\0\0"s) == wire_fault_kind::TooLarge);
  CHECK(Fault("\0\0\0\x21"s) == std::nullopt);
}

TEST_CASE("a payload that is no frame is refused, whatever it holds") {
  CHECK(rc::check("random bytes", [](const std::string &Bytes) {
    RC_ASSERT(faultOf([&] { return impl::decodePayload(Bytes); }) ==
              wire_fault_kind::Malformed);
  }));
  CHECK(rc::check("damaged frames", [](std::uint64_t Number) {
    const auto Bodies = samples("text", Number);
    const auto Which = *rc::gen::inRange<std::size_t>(0, Bodies.size());
    std::string Payload = impl::encodePayload({1, Bodies[Which]});
    const auto Place = *rc::gen::inRange<std::size_t>(0, Payload.size());
    Payload[Place] = *rc::gen::arbitrary<char>();
    Payload.resize(*rc::gen::inRange<std::size_t>(0, Payload.size() + 1));
    (void)faultOf([&] { return impl::decodePayload(Payload); });
  }));
}

TEST_CASE("an enumerator's number out of range is refused") {
  heartbeat Beat;
  Beat.Phase = static_cast<host_phase>(7);
  const std::string Payload = impl::encodePayload({1, peer_message(Beat)});
  CHECK(faultOf([&] { return impl::decodePayload(Payload); }) ==
        wire_fault_kind::Malformed);
}
