/// Reading of JSON answers.
#include "answers.hpp"

#include <boost/json.hpp>

namespace bronzespar::load {

namespace {

namespace json = boost::json;

constexpr unsigned Success = 200;

std::optional<json::object> parseObject(const std::string &Text) {
  boost::system::error_code Error;
  json::value Value = json::parse(Text, Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  return std::move(Value.as_object());
}

std::string textOf(const json::object &Object, const char *Name) {
  const json::value *Member = Object.if_contains(Name);
  if (Member == nullptr || !Member->is_string())
    return {};
  return std::string(Member->as_string());
}

std::uint64_t numberOf(const json::object &Object, const char *Name) {
  const json::value *Member = Object.if_contains(Name);
  if (Member == nullptr)
    return 0;
  boost::system::error_code Error;
  const auto Number = Member->to_number<std::uint64_t>(Error);
  return Error ? 0 : Number;
}

void readSuccess(request_record &Record, const json::object &Body) {
  Record.End = request_end::Served;
  Record.Value = textOf(Body, "value");
  Record.Role = textOf(Body, "role");
}

void readRefusal(request_record &Record, const json::object &Body) {
  const std::string Outcome = textOf(Body, "outcome");
  Record.Cause = textOf(Body, "cause");
  if (Outcome == "not-run")
    Record.End = request_end::Refused;
  else if (Outcome == "ran")
    Record.End = request_end::Ran;
  else if (Outcome != "unknown" || Record.Cause.empty())
    Record.Cause = UnreadableAnswer;
}

} // namespace

void readAnswer(request_record &Record, const http_answer &Answer) {
  Record.End = request_end::Unknown;
  Record.RequestId = headerOf(Answer, "Bronzespar-Request-Id");
  if (Answer.End == transport_end::NotSent) {
    Record.End = request_end::Refused;
    Record.Cause = NoHost;
    return;
  }
  if (Answer.End == transport_end::Lost) {
    Record.Cause = NoAnswer;
    return;
  }
  const auto Body = parseObject(Answer.Body);
  if (!Body)
    Record.Cause = UnreadableAnswer;
  else if (Answer.Status == Success)
    readSuccess(Record, *Body);
  else
    readRefusal(Record, *Body);
}

std::string requestBody(const std::string &Row, const std::string &Value) {
  json::object Body;
  if (!Row.empty())
    Body["row"] = Row;
  if (!Value.empty())
    Body["value"] = Value;
  return json::serialize(Body);
}

std::optional<member_state> readMemberState(const std::string &Text) {
  const auto Object = parseObject(Text);
  if (!Object)
    return std::nullopt;
  member_state State;
  State.Role = textOf(*Object, "Role");
  State.Term = numberOf(*Object, "Term");
  if (const json::value *Position = Object->if_contains("Position");
      Position != nullptr && Position->is_object())
    State.Position = {numberOf(Position->as_object(), "Term"),
                      numberOf(Position->as_object(), "Index")};
  const json::value *Rows = Object->if_contains("Rows");
  if (State.Role.empty() || Rows == nullptr || !Rows->is_object())
    return std::nullopt;
  for (const auto &Row : Rows->as_object())
    State.Final.Rows[std::string(Row.key())] =
        textOf(Rows->as_object(), Row.key_c_str());
  if (const json::value *Applied = Object->if_contains("Keys");
      Applied != nullptr && Applied->is_object()) {
    for (const auto &Key : Applied->as_object())
      State.Final.Applied[std::string(Key.key())] =
          numberOf(Applied->as_object(), Key.key_c_str());
  }
  if (const json::value *Counts = Object->if_contains("Counts");
      Counts != nullptr && Counts->is_object())
    State.NestedBegins = numberOf(Counts->as_object(), "NestedBegins");
  return State;
}

} // namespace bronzespar::load
