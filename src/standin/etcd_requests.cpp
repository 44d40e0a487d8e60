/// Requests of the etcd v3 JSON mapping, read by Boost.JSON.
#include "etcd_requests.hpp"

#include <bronzespar/base64.hpp>

#include <boost/json/parse.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace bronzespar::standin {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

leaf::error_id fault(const std::string &Reason) {
  return leaf::new_error(standin_fault{Reason});
}

/// "range_end" becomes "rangeEnd": the gateway takes both.
std::string toCamelCase(std::string_view Name) {
  std::string Text;
  bool Raise = false;
  for (const char Character : Name) {
    const auto Plain = static_cast<unsigned char>(Character);
    if (Character != '_')
      Text += Raise ? static_cast<char>(std::toupper(Plain)) : Character;
    Raise = Character == '_';
  }
  return Text;
}

const json::value *find(const json::object &Object, std::string_view Name) {
  if (const json::value *Value = Object.if_contains(Name))
    return Value;
  return Object.if_contains(toCamelCase(Name));
}

leaf::result<json::object> parseObject(const std::string &Text) {
  boost::system::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  if (Error)
    return fault("malformed JSON: " + Error.message());
  if (!Parsed.is_object())
    return fault("the body is not a JSON object");
  return std::move(Parsed.get_object());
}

leaf::result<std::string> bytesAt(const json::object &Object,
                                  std::string_view Name) {
  const json::value *Value = find(Object, Name);
  if (!Value || Value->is_null())
    return std::string();
  const json::string *Text = Value->if_string();
  const auto Bytes = Text ? decodeBase64(std::string_view(*Text))
                          : std::optional<std::string>();
  if (!Bytes)
    return fault("'" + std::string(Name) + "' is not Base64");
  return *Bytes;
}

std::optional<std::int64_t> toNumber(const json::value &Value) {
  if (const auto *Signed = Value.if_int64())
    return *Signed;
  const json::string *Text = Value.if_string();
  if (!Text)
    return std::nullopt;
  std::int64_t Number = 0;
  const char *End = Text->data() + Text->size();
  const auto Parsed = std::from_chars(Text->data(), End, Number);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End)
    return std::nullopt;
  return Number;
}

leaf::result<std::int64_t> numberAt(const json::object &Object,
                                    std::string_view Name) {
  const json::value *Value = find(Object, Name);
  if (!Value || Value->is_null())
    return std::int64_t{0};
  if (const auto Number = toNumber(*Value))
    return *Number;
  return fault("'" + std::string(Name) + "' is not a 64-bit number");
}

leaf::result<bool> flagAt(const json::object &Object, std::string_view Name) {
  const json::value *Value = find(Object, Name);
  if (!Value || Value->is_null())
    return false;
  if (const bool *Flag = Value->if_bool())
    return *Flag;
  return fault("'" + std::string(Name) + "' is not true or false");
}

/// Reads an enumerator's name in upper case with '_', or its number.
template <class Enum>
leaf::result<Enum> choiceAt(const json::object &Object, std::string_view Name) {
  const json::value *Value = find(Object, Name);
  if (!Value || Value->is_null())
    return Enum{};
  if (const json::string *Text = Value->if_string()) {
    std::string Lower(Text->begin(), Text->end());
    std::transform(
        Lower.begin(), Lower.end(), Lower.begin(),
        [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
    std::string Camel = toCamelCase(Lower);
    if (!Camel.empty())
      Camel[0] = static_cast<char>(std::toupper(Camel[0]));
    if (const auto Found = enumFromName<Enum>(Camel))
      return *Found;
  } else if (const auto *Number = Value->if_int64()) {
    const auto Found = static_cast<Enum>(*Number);
    if (enumName(Found) != "(unknown)")
      return Found;
  }
  return fault("'" + std::string(Name) + "' names no known choice");
}

leaf::result<key_range> rangeAt(const json::object &Object) {
  key_range Keys;
  BOOST_LEAF_ASSIGN(Keys.Key, bytesAt(Object, "key"));
  BOOST_LEAF_ASSIGN(Keys.End, bytesAt(Object, "range_end"));
  if (Keys.Key.empty() && Keys.End.empty())
    return fault("etcdserver: key is not provided");
  return Keys;
}

leaf::result<store_operation> readRange(const json::object &Object) {
  range_operation Range;
  BOOST_LEAF_ASSIGN(Range.Keys, rangeAt(Object));
  BOOST_LEAF_ASSIGN(Range.Limit, numberAt(Object, "limit"));
  BOOST_LEAF_ASSIGN(Range.KeysOnly, flagAt(Object, "keys_only"));
  BOOST_LEAF_ASSIGN(Range.CountOnly, flagAt(Object, "count_only"));
  BOOST_LEAF_AUTO(Revision, numberAt(Object, "revision"));
  if (Revision != 0)
    return fault("reads at a past revision are not in this stand-in");
  return store_operation(Range);
}

leaf::result<store_operation> readPut(const json::object &Object) {
  put_operation Put;
  BOOST_LEAF_ASSIGN(Put.Key, bytesAt(Object, "key"));
  BOOST_LEAF_ASSIGN(Put.Value, bytesAt(Object, "value"));
  BOOST_LEAF_ASSIGN(Put.Lease, numberAt(Object, "lease"));
  return store_operation(Put);
}

leaf::result<store_operation> readDelete(const json::object &Object) {
  BOOST_LEAF_AUTO(Keys, rangeAt(Object));
  return store_operation(delete_operation{Keys});
}

leaf::result<store_operation> readOperation(const json::value &Value) {
  const json::object *Object = Value.if_object();
  if (!Object || Object->size() != 1)
    return fault("an operation is an object with one request");
  const auto Request = [Object](std::string_view Name) {
    const json::value *Found = find(*Object, Name);
    return Found ? Found->if_object() : nullptr;
  };
  if (const json::object *Range = Request("request_range"))
    return readRange(*Range);
  if (const json::object *Put = Request("request_put"))
    return readPut(*Put);
  if (const json::object *Delete = Request("request_delete_range"))
    return readDelete(*Delete);
  return fault("unknown operation '" + std::string(Object->begin()->key()) +
               "'");
}

/// Member that holds the number to compare with.
std::string_view numberName(compare_target Target) {
  switch (Target) {
  case compare_target::Version:
    return "version";
  case compare_target::Create:
    return "create_revision";
  case compare_target::Mod:
    return "mod_revision";
  case compare_target::Lease:
    return "lease";
  case compare_target::Value:
    break;
  }
  return "value";
}

leaf::result<store_compare> readCompare(const json::value &Value) {
  const json::object *Object = Value.if_object();
  if (!Object)
    return fault("a comparison is an object");
  store_compare Compare;
  BOOST_LEAF_ASSIGN(Compare.Key, bytesAt(*Object, "key"));
  BOOST_LEAF_ASSIGN(Compare.Target,
                    choiceAt<compare_target>(*Object, "target"));
  BOOST_LEAF_ASSIGN(Compare.Result,
                    choiceAt<compare_result>(*Object, "result"));
  if (Compare.Target == compare_target::Value) {
    BOOST_LEAF_ASSIGN(Compare.Text, bytesAt(*Object, "value"));
    return Compare;
  }
  BOOST_LEAF_ASSIGN(Compare.Number,
                    numberAt(*Object, numberName(Compare.Target)));
  return Compare;
}

/// Parses each element of an array that may be left out.
template <class T>
leaf::result<std::vector<T>>
readList(const json::object &Object, std::string_view Name,
         leaf::result<T> (*Parse)(const json::value &)) {
  std::vector<T> List;
  const json::value *Value = find(Object, Name);
  if (!Value)
    return List;
  if (!Value->is_array())
    return fault("'" + std::string(Name) + "' is not an array");
  for (const json::value &Element : Value->get_array()) {
    BOOST_LEAF_AUTO(Item, Parse(Element));
    List.push_back(std::move(Item));
  }
  return List;
}

leaf::result<store_transaction> readTransaction(const json::object &Object) {
  store_transaction Transaction;
  BOOST_LEAF_ASSIGN(Transaction.Compares,
                    readList<store_compare>(Object, "compare", readCompare));
  BOOST_LEAF_ASSIGN(Transaction.Success, readList<store_operation>(
                                             Object, "success", readOperation));
  BOOST_LEAF_ASSIGN(Transaction.Failure, readList<store_operation>(
                                             Object, "failure", readOperation));
  return Transaction;
}

/// Reads a body that is one operation.
leaf::result<store_operation>
parseOne(const std::string &Body,
         leaf::result<store_operation> (*Read)(const json::object &)) {
  BOOST_LEAF_AUTO(Object, parseObject(Body));
  return Read(Object);
}

} // namespace

leaf::result<store_operation> parseRange(const std::string &Body) {
  return parseOne(Body, readRange);
}

leaf::result<store_operation> parsePut(const std::string &Body) {
  return parseOne(Body, readPut);
}

leaf::result<store_operation> parseDelete(const std::string &Body) {
  return parseOne(Body, readDelete);
}

leaf::result<store_transaction> parseTransaction(const std::string &Body) {
  BOOST_LEAF_AUTO(Object, parseObject(Body));
  return readTransaction(Object);
}

leaf::result<lease_request> parseLease(const std::string &Body) {
  BOOST_LEAF_AUTO(Object, parseObject(Body));
  lease_request Request;
  BOOST_LEAF_ASSIGN(Request.Id, numberAt(Object, "ID"));
  BOOST_LEAF_ASSIGN(Request.Seconds, numberAt(Object, "TTL"));
  return Request;
}

leaf::result<watch_request> parseWatch(const std::string &Body) {
  BOOST_LEAF_AUTO(Object, parseObject(Body));
  const json::value *Create = find(Object, "create_request");
  if (!Create || !Create->is_object())
    return fault("'create_request' is missing");
  const json::object &Asked = Create->get_object();
  watch_request Request;
  BOOST_LEAF_ASSIGN(Request.Keys, rangeAt(Asked));
  BOOST_LEAF_ASSIGN(Request.StartRevision, numberAt(Asked, "start_revision"));
  BOOST_LEAF_ASSIGN(Request.ProgressNotify, flagAt(Asked, "progress_notify"));
  return Request;
}

} // namespace bronzespar::standin
