/// Codec of the platform's interface, by Boost.JSON.
#include <bronzespar/wire/platform_codec.hpp>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <charconv>

namespace bronzespar {

namespace {

namespace json = boost::json;

auto malformed(const char *Reason) {
  return boost::leaf::new_error(wire_fault{wire_fault_kind::Malformed, Reason});
}

boost::leaf::result<json::object> parseObject(std::string_view Text) {
  boost::system::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  if (Error || !Parsed.is_object())
    return malformed("not a JSON object");
  return std::move(Parsed.get_object());
}

/// The JSON mapping leaves out members that hold 0.
boost::leaf::result<std::int64_t> number(const json::object &From,
                                         std::string_view Name) {
  const json::value *Member = From.if_contains(Name);
  if (!Member)
    return 0;
  if (Member->is_int64())
    return Member->get_int64();
  if (!Member->is_string())
    return malformed("a 64-bit number is neither text nor number");
  const json::string &Text = Member->get_string();
  std::int64_t Value = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc{} || Parsed.ptr != Text.data() + Text.size())
    return malformed("a 64-bit number has other characters");
  return Value;
}

boost::leaf::result<std::string> blob(const json::object &From,
                                      std::string_view Name) {
  const json::value *Member = From.if_contains(Name);
  if (!Member)
    return std::string();
  if (!Member->is_string())
    return malformed("a key or value is not text");
  auto Bytes = decodeBase64(Member->get_string());
  if (!Bytes)
    return malformed("a key or value is not base64");
  return std::move(*Bytes);
}

const json::object *child(const json::object &From, std::string_view Name) {
  const json::value *Member = From.if_contains(Name);
  return Member ? Member->if_object() : nullptr;
}

const json::array *list(const json::object &From, std::string_view Name) {
  const json::value *Member = From.if_contains(Name);
  return Member ? Member->if_array() : nullptr;
}

boost::leaf::result<std::vector<platform_entry>>
entries(const json::object &Range) {
  std::vector<platform_entry> Entries;
  const json::array *Pairs = list(Range, "kvs");
  if (!Pairs)
    return Entries;
  for (const json::value &Item : *Pairs) {
    if (!Item.is_object())
      return malformed("kvs holds something else than objects");
    const json::object &Pair = Item.get_object();
    platform_entry Entry;
    BOOST_LEAF_ASSIGN(Entry.Key, blob(Pair, "key"));
    BOOST_LEAF_ASSIGN(Entry.Value, blob(Pair, "value"));
    BOOST_LEAF_ASSIGN(Entry.ModRevision, number(Pair, "mod_revision"));
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

boost::leaf::result<platform_answer> decode(const platform_get &,
                                            const json::object &Body) {
  platform_answer Answer;
  Answer.Status = platform_status::Done;
  BOOST_LEAF_ASSIGN(Answer.Entries, entries(Body));
  return Answer;
}

boost::leaf::result<platform_answer>
decode(const platform_compare_and_swap &Swap, const json::object &Body) {
  platform_answer Answer;
  const json::value *Succeeded = Body.if_contains("succeeded");
  if (Succeeded && Succeeded->is_bool() && Succeeded->get_bool()) {
    const json::object *Header = child(Body, "header");
    if (!Header)
      return malformed("the answer has no header");
    Answer.Status = platform_status::Done;
    BOOST_LEAF_AUTO(Revision, number(*Header, "revision"));
    Answer.Entries.push_back({Swap.Key, Swap.Value, Revision});
    return Answer;
  }
  Answer.Status = platform_status::Conflict;
  const json::array *Responses = list(Body, "responses");
  if (!Responses || Responses->empty() || !Responses->front().is_object())
    return Answer;
  const json::object *Range =
      child(Responses->front().get_object(), "response_range");
  if (Range) {
    BOOST_LEAF_ASSIGN(Answer.Entries, entries(*Range));
  }
  return Answer;
}

boost::leaf::result<platform_answer> lease(const json::object &Body) {
  platform_answer Answer;
  BOOST_LEAF_ASSIGN(Answer.Lease, number(Body, "ID"));
  BOOST_LEAF_AUTO(Seconds, number(Body, "TTL"));
  Answer.TimeToLive = std::chrono::seconds(Seconds);
  Answer.Status =
      Seconds > 0 ? platform_status::Done : platform_status::Conflict;
  return Answer;
}

boost::leaf::result<platform_answer> decode(const platform_grant_lease &,
                                            const json::object &Body) {
  return lease(Body);
}

boost::leaf::result<platform_answer> decode(const platform_renew_lease &,
                                            const json::object &Body) {
  const json::object *Result = child(Body, "result");
  return lease(Result ? *Result : Body);
}

platform_request encode(const platform_get &Get) {
  return {"/v3/kv/range", encodeRange(Get.Key, false)};
}

platform_request encode(const platform_compare_and_swap &Swap) {
  const std::string Key = encodeBase64(Swap.Key);
  const json::object Compare{
      {"result", "EQUAL"},
      {"target", "MOD"},
      {"key", Key},
      {"mod_revision", std::to_string(Swap.ModRevision)}};
  json::object Put{{"key", Key}, {"value", encodeBase64(Swap.Value)}};
  if (Swap.Lease != 0)
    Put["lease"] = std::to_string(Swap.Lease);
  const json::object Success{{"request_put", std::move(Put)}};
  const json::object Failure{{"request_range", json::object{{"key", Key}}}};
  return {"/v3/kv/txn",
          json::serialize(json::object{{"compare", json::array{Compare}},
                                       {"success", json::array{Success}},
                                       {"failure", json::array{Failure}}})};
}

platform_request encode(const platform_grant_lease &Grant) {
  return {"/v3/lease/grant",
          json::serialize(json::object{
              {"TTL", std::to_string(Grant.TimeToLiveSeconds)}, {"ID", "0"}})};
}

platform_request encode(const platform_renew_lease &Keep) {
  return {"/v3/lease/keepalive",
          json::serialize(json::object{{"ID", std::to_string(Keep.Lease)}})};
}

boost::leaf::result<versioned_value> versioned(const json::object &Pair) {
  versioned_value Value;
  BOOST_LEAF_ASSIGN(Value.Value, blob(Pair, "value"));
  BOOST_LEAF_ASSIGN(Value.Version, number(Pair, "version"));
  BOOST_LEAF_ASSIGN(Value.ModRevision, number(Pair, "mod_revision"));
  return Value;
}

boost::leaf::result<std::string> text(const json::object &From,
                                      std::string_view Name) {
  const json::value *Member = From.if_contains(Name);
  if (!Member || !Member->is_string())
    return malformed("a listed host lacks a text member");
  return std::string(Member->get_string());
}

boost::leaf::result<listed_host> listedHost(const json::object &Item) {
  listed_host Host;
  BOOST_LEAF_AUTO(Id, text(Item, "Id"));
  BOOST_LEAF_AUTO(DataCentre, text(Item, "DataCentre"));
  const json::object *Peers = child(Item, "Peers");
  if (!Peers)
    return malformed("a listed host has no address");
  BOOST_LEAF_ASSIGN(Host.Peers.Address, text(*Peers, "Address"));
  BOOST_LEAF_AUTO(Port, number(*Peers, "Port"));
  if (Port < 1 || Port > 65535)
    return malformed("a listed host's port is out of range");
  Host.Peers.Port = static_cast<std::uint16_t>(Port);
  Host.Id = host_id(std::move(Id));
  Host.DataCentre = data_centre_id(std::move(DataCentre));
  const json::value *Leaving = Item.if_contains("Leaving");
  Host.Leaving = Leaving && Leaving->is_bool() && Leaving->get_bool();
  return Host;
}

} // namespace

platform_request encodePlatformCall(const platform_call &Call) {
  return std::visit([](const auto &Kind) { return encode(Kind); }, Call);
}

boost::leaf::result<platform_answer>
decodePlatformAnswer(const platform_call &Call, std::string_view Body) {
  BOOST_LEAF_AUTO(Parsed, parseObject(Body));
  return std::visit(
      [&Parsed](const auto &Kind) { return decode(Kind, Parsed); }, Call);
}

std::string encodeRange(std::string_view Key, bool KeysOnly) {
  json::object Body{{"key", encodeBase64(Key)}};
  if (KeysOnly)
    Body["keys_only"] = true;
  return json::serialize(Body);
}

boost::leaf::result<std::optional<versioned_value>>
decodeRange(std::string_view Body) {
  BOOST_LEAF_AUTO(Parsed, parseObject(Body));
  const json::array *Pairs = list(Parsed, "kvs");
  if (!Pairs || Pairs->empty())
    return std::optional<versioned_value>{};
  if (!Pairs->front().is_object())
    return malformed("kvs holds something else than objects");
  BOOST_LEAF_AUTO(Value, versioned(Pairs->front().get_object()));
  return std::optional<versioned_value>(std::move(Value));
}

std::string encodeWatch(std::string_view Key, std::int64_t StartRevision) {
  return json::serialize(json::object{
      {"create_request",
       json::object{{"key", encodeBase64(Key)},
                    {"start_revision", std::to_string(StartRevision)}}}});
}

boost::leaf::result<std::vector<versioned_value>>
decodeWatchEvent(std::string_view Text) {
  BOOST_LEAF_AUTO(Parsed, parseObject(Text));
  std::vector<versioned_value> Values;
  const json::object *Result = child(Parsed, "result");
  if (!Result)
    return malformed("the watch reports an error");
  const json::value *Canceled = Result->if_contains("canceled");
  if (Canceled && Canceled->is_bool() && Canceled->get_bool())
    return malformed("the watch was cancelled");
  const json::array *Events = list(*Result, "events");
  if (!Events)
    return Values;
  for (const json::value &Event : *Events) {
    const json::object *Pair =
        Event.is_object() ? child(Event.get_object(), "kv") : nullptr;
    if (!Pair)
      return malformed("a watch event has no kv");
    BOOST_LEAF_AUTO(Value, versioned(*Pair));
    Values.push_back(std::move(Value));
  }
  return Values;
}

boost::leaf::result<std::vector<listed_host>>
decodeHostList(std::string_view Body) {
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Body, Error);
  if (Error || !Parsed.is_array())
    return malformed("the host list is not a JSON array");
  std::vector<listed_host> Hosts;
  for (const json::value &Item : Parsed.get_array()) {
    if (!Item.is_object())
      return malformed("the host list holds something else than objects");
    BOOST_LEAF_AUTO(Host, listedHost(Item.get_object()));
    Hosts.push_back(std::move(Host));
  }
  return Hosts;
}

} // namespace bronzespar
