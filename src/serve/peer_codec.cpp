/// Translation of messages between session hosts to and from their frames.
#include "peer_codec.hpp"

#include <vector>

namespace bronzespar::serve {

namespace {

flatbuffers::Offset<wire::Position>
positionOf(flatbuffers::FlatBufferBuilder &Builder,
           const std::optional<log_position> &Position) {
  if (!Position)
    return {};
  return wire::CreatePosition(Builder, Position->Term, Position->Index);
}

std::optional<log_position> positionOf(const wire::Position *Position) {
  if (Position == nullptr)
    return std::nullopt;
  return log_position{Position->term(), Position->number()};
}

/// Converts the number that stands for an enumerator on the wire; nothing when
/// the number is unknown.
template <class Enum> std::optional<Enum> decodeEnum(std::uint8_t Number) {
  const auto Value = static_cast<Enum>(Number);
  return enumName(Value) == "(unknown)" ? std::nullopt
                                        : std::optional<Enum>(Value);
}

} // namespace

std::string encodeForward(const proxy::effects::forward &Effect) {
  return encodeFrame(
      wire::SessionBody_ForwardAsk,
      [&](flatbuffers::FlatBufferBuilder &Builder) {
        const proxy::forwarded_statement &Forwarded = Effect.Forwarded;
        std::vector<flatbuffers::Offset<wire::NamedValue>> Values;
        Values.reserve(Forwarded.Values.size());
        for (const auto &[Name, Value] : Forwarded.Values)
          Values.push_back(wire::CreateNamedValueDirect(Builder, Name.c_str(),
                                                        Value.c_str()));
        const auto RequiredPosition =
            positionOf(Builder, Forwarded.RequiredPosition);
        return wire::CreateForwardAskDirect(
            Builder, Effect.Ticket, Forwarded.Id.c_str(),
            Forwarded.Group.c_str(), Forwarded.Account.c_str(),
            Forwarded.Target.c_str(), &Values, Forwarded.Template.c_str(),
            static_cast<std::uint8_t>(Forwarded.Statement.Kind),
            Forwarded.Statement.Text.c_str(), Forwarded.Statement.Name.c_str(),
            Forwarded.Statement.Operand.c_str(), Forwarded.Statement.Writes,
            RequiredPosition, static_cast<std::uint8_t>(Forwarded.Begins),
            Forwarded.InTransaction, Forwarded.NeedsPrimary, Forwarded.Priority,
            Forwarded.RemainingTime.count(), Forwarded.MaxStaleness.count(),
            ForwardProtocol);
      });
}

std::optional<proxy::forwarded_statement>
decodeForward(const wire::ForwardAsk &Ask) {
  const auto Kind = decodeEnum<proxy::statement_kind>(Ask.kind());
  const auto Begins = decodeEnum<proxy::forward_begin>(Ask.begins());
  if (!Kind || !Begins)
    return std::nullopt;
  proxy::forwarded_statement Forwarded;
  Forwarded.Id = textOf(Ask.id());
  Forwarded.Group = textOf(Ask.group());
  Forwarded.Account = textOf(Ask.account());
  Forwarded.Target = textOf(Ask.target());
  if (Ask.values() != nullptr)
    for (const wire::NamedValue *Value : *Ask.values())
      Forwarded.Values[textOf(Value->name())] = textOf(Value->value());
  Forwarded.Template = textOf(Ask.shape());
  Forwarded.Statement = {*Kind, textOf(Ask.text()), textOf(Ask.name()),
                         textOf(Ask.rest()), Ask.writes()};
  Forwarded.RequiredPosition = positionOf(Ask.not_before());
  Forwarded.Begins = *Begins;
  Forwarded.InTransaction = Ask.in_transaction();
  Forwarded.NeedsPrimary = Ask.must_lead();
  Forwarded.Priority = Ask.priority();
  Forwarded.RemainingTime = duration(Ask.time_left_us());
  Forwarded.MaxStaleness = duration(Ask.max_staleness_us());
  return Forwarded;
}

std::string encodeVoteRequest(const proxy::vote_request &Request) {
  return encodeFrame(
      wire::SessionBody_VouchAsk, [&](flatbuffers::FlatBufferBuilder &Builder) {
        std::vector<flatbuffers::Offset<wire::GroupGeneration>> Generations;
        Generations.reserve(Request.Generations.size());
        for (const auto &[Group, Generation] : Request.Generations)
          Generations.push_back(wire::CreateGroupGenerationDirect(
              Builder, Group.c_str(), Generation));
        return wire::CreateVouchAskDirect(Builder, Request.Round, &Generations);
      });
}

proxy::vote_request decodeVoteRequest(const wire::VouchAsk &Wire) {
  proxy::vote_request Request;
  Request.Round = Wire.round();
  if (Wire.generations() != nullptr)
    for (const wire::GroupGeneration *Each : *Wire.generations())
      Request.Generations[textOf(Each->group())] = Each->generation();
  return Request;
}

std::string encodeVote(const proxy::vote &Vote) {
  return encodeFrame(
      wire::SessionBody_VouchAnswer,
      [&](flatbuffers::FlatBufferBuilder &Builder) {
        const auto Groups = Builder.CreateVectorOfStrings(Vote.Groups);
        const auto Voter = Builder.CreateString(Vote.Voter);
        return wire::CreateVouchAnswer(Builder, Vote.Round, Voter, Groups);
      });
}

proxy::vote decodeVote(const wire::VouchAnswer &Wire) {
  proxy::vote Vote;
  Vote.Round = Wire.round();
  Vote.Voter = textOf(Wire.voucher());
  if (Wire.groups() != nullptr)
    for (const flatbuffers::String *Group : *Wire.groups())
      Vote.Groups.push_back(textOf(Group));
  return Vote;
}

std::string encodePosition(const proxy::shared_position &Shared) {
  return encodeFrame(wire::SessionBody_PositionAnswer,
                     [&](flatbuffers::FlatBufferBuilder &Builder) {
                       const auto Position =
                           positionOf(Builder, std::optional(Shared.Position));
                       return wire::CreatePositionAnswerDirect(
                           Builder, Shared.Group.c_str(),
                           Shared.Primary.c_str(), Position, Shared.Age.count(),
                           Shared.AskedAt.time_since_epoch().count());
                     });
}

std::optional<proxy::shared_position>
decodePosition(const wire::PositionAnswer &Wire) {
  const auto Position = positionOf(Wire.position());
  if (!Position)
    return std::nullopt;
  return proxy::shared_position{textOf(Wire.group()), textOf(Wire.primary()),
                                *Position, duration(Wire.age_us()),
                                instant(duration(Wire.asked_us()))};
}

std::string encodeAnswer(const proxy::effects::answer_forward &Effect) {
  return encodeFrame(
      wire::SessionBody_ForwardAnswer,
      [&](flatbuffers::FlatBufferBuilder &Builder) {
        const proxy::answer &Answer = Effect.Answer;
        const auto Rows = Builder.CreateVectorOfStrings(Answer.Rows);
        const auto Text = Builder.CreateString(Answer.Text);
        const auto Position = positionOf(Builder, Answer.Position);
        return wire::CreateForwardAnswer(
            Builder, Effect.Ticket, static_cast<std::uint8_t>(Answer.Code),
            Text, Rows, static_cast<std::uint8_t>(Answer.Phase), Position,
            Answer.Pace
                ? flatbuffers::Optional<std::int64_t>(Answer.Pace->count())
                : flatbuffers::nullopt);
      });
}

std::optional<proxy::answer> decodeAnswer(const wire::ForwardAnswer &Wire) {
  const auto Code = decodeEnum<proxy::answer_code>(Wire.code());
  const auto Phase = decodeEnum<proxy::session_phase>(Wire.phase());
  if (!Code || !Phase)
    return std::nullopt;
  proxy::answer Answer;
  Answer.Code = *Code;
  Answer.Text = textOf(Wire.text());
  if (Wire.rows() != nullptr)
    for (const flatbuffers::String *Row : *Wire.rows())
      Answer.Rows.push_back(textOf(Row));
  Answer.Phase = *Phase;
  Answer.Position = positionOf(Wire.position());
  if (const auto PaceUs = Wire.pace_us())
    Answer.Pace = duration(*PaceUs);
  return Answer;
}

} // namespace bronzespar::serve
