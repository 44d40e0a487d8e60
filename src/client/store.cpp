/// The etcd v3 JSON calls that command-line tools make.
#include <bronzespar/client/store.hpp>

#include <bronzespar/base64.hpp>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <charconv>

namespace bronzespar::client {

namespace {

namespace json = boost::json;

constexpr unsigned HttpOk = 200;
constexpr int ReadBackTries = 5;

std::int64_t numberOf(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (Value == nullptr || !Value->is_string())
    return 0;
  const json::string &Text = Value->get_string();
  std::int64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

auto fault(bool MayHaveTakenEffect, std::string Reason) {
  return boost::leaf::new_error(
      store_fault{MayHaveTakenEffect, std::move(Reason)});
}

/// Makes a call whose body and reply are JSON objects.
boost::leaf::result<json::object>
post(const endpoint &Platform, const char *Path, const json::object &Body) {
  http_call Call;
  Call.Method = "POST";
  Call.Path = Path;
  Call.Headers = {{"Content-Type", "application/json"}};
  Call.Body = json::serialize(Body);
  return boost::leaf::try_handle_some(
      [&]() -> boost::leaf::result<json::object> {
        auto Reply = callHttp(Platform, Call);
        if (!Reply)
          return Reply.error();
        boost::system::error_code Error;
        json::value Parsed = json::parse(Reply->Body, Error);
        if (Reply->Status != HttpOk)
          return fault(false, "the platform answered " +
                                  std::to_string(Reply->Status) + ": " +
                                  Reply->Body);
        if (Error || !Parsed.is_object())
          return fault(true, "the platform's answer is not a JSON object");
        return std::move(Parsed.get_object());
      },
      [](const call_fault &Fault) -> boost::leaf::result<json::object> {
        return fault(Fault.Kind == call_fault_kind::NoAnswer,
                     "the platform at " + toText(Fault.Where) +
                         " did not answer: " + Fault.Reason);
      });
}

json::object swapBody(const std::string &Key, const std::string &Value,
                      std::int64_t ExpectedRevision) {
  const std::string EncodedKey = encodeBase64(Key);
  json::object Compare{{"key", EncodedKey},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", std::to_string(ExpectedRevision)}};
  json::object Put{{"key", EncodedKey}, {"value", encodeBase64(Value)}};
  json::object Operation{{"request_put", std::move(Put)}};
  return {{"compare", json::array{std::move(Compare)}},
          {"success", json::array{std::move(Operation)}}};
}

/// Settles a swap whose answer was lost.
boost::leaf::result<swap_outcome> readBack(const endpoint &Platform,
                                           const std::string &Key,
                                           const std::string &Value,
                                           std::int64_t ExpectedRevision) {
  for (int Try = 0; Try < ReadBackTries; ++Try) {
    const auto Seen = readKey(Platform, Key);
    if (!Seen)
      continue;
    const std::int64_t Revision = *Seen ? (*Seen)->ModRevision : 0;
    if (Revision == ExpectedRevision)
      return swap_outcome::Unknown; // Not there yet; it may still arrive.
    return (*Seen)->Value == Value ? swap_outcome::Done : swap_outcome::Unknown;
  }
  return swap_outcome::Unknown;
}

} // namespace

boost::leaf::result<std::optional<stored_value>>
readKey(const endpoint &Platform, const std::string &Key) {
  auto Reply = post(Platform, "/v3/kv/range", {{"key", encodeBase64(Key)}});
  if (!Reply)
    return Reply.error();
  const json::value *Entries = Reply->if_contains("kvs");
  if (Entries == nullptr || !Entries->is_array() ||
      Entries->get_array().empty())
    return std::nullopt;
  const json::value &First = Entries->get_array().front();
  if (!First.is_object())
    return fault(false, "the platform's answer has no key-value object");
  const json::object &Entry = First.get_object();
  stored_value Stored;
  Stored.ModRevision = numberOf(Entry, "mod_revision");
  Stored.Version = static_cast<std::uint64_t>(numberOf(Entry, "version"));
  const json::value *Value = Entry.if_contains("value");
  if (Value != nullptr && Value->is_string())
    Stored.Value = decodeBase64(Value->get_string()).value_or("");
  return Stored;
}

boost::leaf::result<swap_outcome> swapKey(const endpoint &Platform,
                                          const std::string &Key,
                                          const std::string &Value,
                                          std::int64_t ExpectedRevision) {
  return boost::leaf::try_handle_some(
      [&]() -> boost::leaf::result<swap_outcome> {
        auto Reply = post(Platform, "/v3/kv/txn",
                          swapBody(Key, Value, ExpectedRevision));
        if (!Reply)
          return Reply.error();
        const json::value *Succeeded = Reply->if_contains("succeeded");
        const bool Done = Succeeded != nullptr && Succeeded->is_bool() &&
                          Succeeded->get_bool();
        return Done ? swap_outcome::Done : swap_outcome::Conflict;
      },
      [&](const store_fault &Fault) -> boost::leaf::result<swap_outcome> {
        if (!Fault.MayHaveTakenEffect)
          return boost::leaf::new_error(Fault);
        return readBack(Platform, Key, Value, ExpectedRevision);
      });
}

} // namespace bronzespar::client
