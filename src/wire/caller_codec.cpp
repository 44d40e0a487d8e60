/// Codec of callers' requests and answers.
#include <bronzespar/wire/caller_codec.hpp>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace bronzespar {

namespace {

namespace json = boost::json;

constexpr std::uint64_t MaxHeaderMilliseconds = 86'400'000; // a day
constexpr std::string_view BearerScheme = "bearer ";

auto malformed(std::string Reason) {
  return boost::leaf::new_error(
      wire_fault{wire_fault_kind::Malformed, std::move(Reason)});
}

char lower(char Letter) noexcept {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

bool isUpper(char Letter) noexcept { return Letter >= 'A' && Letter <= 'Z'; }

std::optional<statement_kind> statementFromPath(std::string_view Name) {
  if (Name.empty() || isUpper(Name.front()))
    return std::nullopt;
  std::string Enumerator(Name);
  Enumerator[0] = static_cast<char>(Enumerator[0] - 'a' + 'A');
  return enumFromName<statement_kind>(Enumerator);
}

/// Key of a Bearer header; empty when there is none.
secret keyFromHeader(std::string_view Header) {
  if (Header.size() <= BearerScheme.size())
    return {};
  const bool IsBearer =
      std::equal(BearerScheme.begin(), BearerScheme.end(), Header.begin(),
                 [](char Left, char Right) { return Left == lower(Right); });
  if (!IsBearer)
    return {};
  return secret(std::string(Header.substr(BearerScheme.size())));
}

boost::leaf::result<std::optional<duration>> milliseconds(std::string_view Text,
                                                          const char *Name) {
  if (Text.empty())
    return std::optional<duration>{};
  std::uint64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Count);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End ||
      Count > MaxHeaderMilliseconds)
    return malformed(std::string(Name) + " is not a number of milliseconds");
  return std::optional<duration>(std::chrono::milliseconds(Count));
}

bool isPrintable(std::string_view Text) noexcept {
  return std::all_of(Text.begin(), Text.end(), [](char Letter) {
    return Letter >= ' ' && Letter <= '~';
  });
}

/// Header values and paths travel on as JSON texts and in logs.
bool isPrintable(const caller_head &Head) noexcept {
  return isPrintable(Head.Path) && isPrintable(Head.SessionToken) &&
         isPrintable(Head.Transaction) && isPrintable(Head.IdempotencyKey);
}

bool takesRow(statement_kind Kind) noexcept {
  return Kind == statement_kind::Read || Kind == statement_kind::Put ||
         Kind == statement_kind::Append;
}

bool takesValue(statement_kind Kind) noexcept {
  return Kind == statement_kind::Put || Kind == statement_kind::Append;
}

boost::leaf::result<std::string> textMember(const json::object &Body,
                                            const char *Name) {
  const json::value *Member = Body.if_contains(Name);
  if (!Member || !Member->is_string())
    return malformed(std::string("the body has no text member '") + Name + "'");
  return std::string(Member->get_string());
}

boost::leaf::result<void> readBody(caller_request &Request,
                                   std::string_view Body) {
  if (!takesRow(Request.Kind))
    return {};
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Body, Error);
  if (Error || !Parsed.is_object())
    return malformed("the body is not a JSON object");
  BOOST_LEAF_ASSIGN(Request.Row, textMember(Parsed.get_object(), "row"));
  if (takesValue(Request.Kind)) {
    BOOST_LEAF_ASSIGN(Request.Value, textMember(Parsed.get_object(), "value"));
  }
  return {};
}

const char *title(unsigned Status) noexcept {
  switch (Status) {
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 403:
    return "Forbidden";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 409:
    return "Conflict";
  case 413:
    return "Payload Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Internal Server Error";
  }
}

struct problem {
  unsigned Status = 0;
  refusal_cause Cause = refusal_cause::None;
  run_outcome Outcome = run_outcome::NotRun;
  std::string_view Detail;
  std::string_view Setting;
  settings_revision Revision = 0;
  std::string_view RequestId;
};

std::string encode(const problem &Problem) {
  const std::string Cause = kebabCase(enumName(Problem.Cause));
  return json::serialize(json::object{
      {"type", "urn:bronzespar:problem:" + Cause},
      {"title", title(Problem.Status)},
      {"status", Problem.Status},
      {"detail", Problem.Detail},
      {"outcome", kebabCase(enumName(Problem.Outcome))},
      {"cause", Cause},
      {"setting", Problem.Setting},
      {"revision", Problem.Revision},
      {"request_id", Problem.RequestId},
  });
}

} // namespace

std::string kebabCase(std::string_view Name) {
  std::string Text;
  Text.reserve(Name.size() + 4);
  for (const char Letter : Name) {
    if (isUpper(Letter) && !Text.empty())
      Text += '-';
    Text += lower(Letter);
  }
  return Text;
}

boost::leaf::result<caller_request> decodeCallerRequest(const caller_head &Head,
                                                        std::string_view Body) {
  if (!isPrintable(Head))
    return malformed("the path or a header holds other than printable ASCII");
  if (!Head.Path.starts_with(RoutesPath))
    return malformed("the path names no route");
  const std::string_view Path = Head.Path.substr(RoutesPath.size());
  const std::size_t Slash = Path.rfind('/');
  if (Slash == std::string_view::npos || Slash == 0)
    return malformed("the path is not /v1/routes/ROUTE/STATEMENT");
  const auto Kind = statementFromPath(Path.substr(Slash + 1));
  if (!Kind)
    return malformed("the path names no statement");

  caller_request Request;
  Request.Route = route_id(std::string(Path.substr(0, Slash)));
  Request.Kind = *Kind;
  Request.Key = keyFromHeader(Head.Authorization);
  Request.SessionToken = Head.SessionToken;
  Request.IdempotencyKey = Head.IdempotencyKey;
  Request.Transaction = transaction_id(std::string(Head.Transaction));
  BOOST_LEAF_ASSIGN(Request.MaxAge,
                    milliseconds(Head.MaxAgeMs, "Bronzespar-Max-Age-Ms"));
  BOOST_LEAF_ASSIGN(Request.Deadline,
                    milliseconds(Head.DeadlineMs, "Bronzespar-Deadline-Ms"));
  if (auto Read = readBody(Request, Body); !Read)
    return Read.error();
  return Request;
}

std::string encodeCallerAnswer(const caller_answer &Answer) {
  if (Answer.Cause != refusal_cause::None) {
    return encode({httpStatus(Answer), Answer.Cause, Answer.Outcome,
                   Answer.Detail, Answer.Trace.Setting, Answer.Trace.Revision,
                   Answer.Id.Value});
  }
  json::object Body{{"value", Answer.Value},
                    {"position", json::value_from(Answer.Position)},
                    {"role", Answer.Role}};
  if (!Answer.Transaction.empty())
    Body["transaction"] = Answer.Transaction.Value;
  return json::serialize(Body);
}

std::vector<std::pair<std::string, std::string>>
answerHeaders(const caller_answer &Answer) {
  std::vector<std::pair<std::string, std::string>> Headers;
  Headers.emplace_back("Bronzespar-Request-Id", Answer.Id.Value);
  Headers.emplace_back("Server-Timing", toServerTiming(Answer.Trace));
  if (!Answer.SessionToken.empty())
    Headers.emplace_back("Bronzespar-Session", Answer.SessionToken);
  if (!Answer.Transaction.empty())
    Headers.emplace_back("Bronzespar-Transaction", Answer.Transaction.Value);
  if (Answer.RetryAfter) {
    const auto Seconds =
        std::chrono::ceil<std::chrono::seconds>(*Answer.RetryAfter);
    Headers.emplace_back("Retry-After", std::to_string(Seconds.count()));
  }
  return Headers;
}

std::string encodeProblem(unsigned Status, refusal_cause Cause,
                          std::string_view Detail) {
  problem Problem;
  Problem.Status = Status;
  Problem.Cause = Cause;
  Problem.Detail = Detail;
  return encode(Problem);
}

std::string encodeTrace(const request_trace &Trace) {
  json::array Spans;
  for (const trace_span &Span : Trace.Spans)
    Spans.push_back(json::object{{"stage", kebabCase(enumName(Span.Stage))},
                                 {"ms", toMilliseconds(Span.Duration)}});
  return json::serialize(json::object{
      {"id", Trace.Id.Value},
      {"account", Trace.Account.Value},
      {"route", Trace.Route.Value},
      {"class", kebabCase(enumName(Trace.Class))},
      {"kind", Trace.Kind},
      {"entry_host", Trace.EntryHost.Value},
      {"target", Trace.Target.Value},
      {"outcome", kebabCase(enumName(Trace.Outcome))},
      {"cause", kebabCase(enumName(Trace.Cause))},
      {"setting", Trace.Setting},
      {"revision", Trace.Revision},
      {"attempts", Trace.Attempts},
      {"total_ms", toMilliseconds(Trace.Total)},
      {"spans", std::move(Spans)},
  });
}

} // namespace bronzespar
