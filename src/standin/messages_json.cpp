/// JSON of the stand-ins' messages, by Boost.JSON and Boost.Describe.
#include "messages_json.hpp"

#include "fault_messages.hpp"

#include <bronzespar/standin/member_state.hpp>
#include <bronzespar/standin/replication.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <cctype>

namespace bronzespar::standin {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

/// Puts the given members over the defaults; names the first unknown one.
std::string overlay(json::object &Whole, const json::object &Given) {
  for (const auto &Member : Given) {
    json::value *Known = Whole.if_contains(Member.key());
    if (!Known)
      return "unknown member '" + std::string(Member.key()) + "'";
    *Known = Member.value();
  }
  return {};
}

} // namespace

std::string fromKebabCase(const std::string &Name) {
  std::string Text;
  bool StartsWord = true;
  for (const char Character : Name) {
    const auto Plain = static_cast<unsigned char>(Character);
    if (Character != '-')
      Text += StartsWord ? static_cast<char>(std::toupper(Plain)) : Character;
    StartsWord = Character == '-';
  }
  return Text;
}

template <class T> leaf::result<T> fromJson(const std::string &Text) {
  boost::system::error_code Error;
  const json::value Parsed = json::parse(Text, Error);
  if (Error)
    return leaf::new_error(standin_fault{"malformed JSON: " + Error.message()});
  if (!Parsed.is_object())
    return leaf::new_error(standin_fault{"the body is not a JSON object"});
  json::value Whole = json::value_from(T{});
  const std::string Unknown = overlay(Whole.as_object(), Parsed.get_object());
  if (!Unknown.empty())
    return leaf::new_error(standin_fault{Unknown});
  auto Message = json::try_value_to<T>(Whole);
  if (!Message)
    return leaf::new_error(standin_fault{"a member has the wrong type: " +
                                         Message.error().message()});
  return std::move(*Message);
}

template <class T> std::string toJson(const T &Message) {
  return json::serialize(json::value_from(Message));
}

template leaf::result<target_request> fromJson(const std::string &);
template leaf::result<report_request> fromJson(const std::string &);
template leaf::result<control_request> fromJson(const std::string &);
template leaf::result<pull_request> fromJson(const std::string &);
template leaf::result<pull_answer> fromJson(const std::string &);
template leaf::result<target_fault_order> fromJson(const std::string &);
template leaf::result<platform_fault_order> fromJson(const std::string &);
template leaf::result<network_fault_order> fromJson(const std::string &);
template leaf::result<leaving_order> fromJson(const std::string &);

template std::string toJson(const target_answer &);
template std::string toJson(const member_report &);
template std::string toJson(const control_answer &);
template std::string toJson(const pull_request &);
template std::string toJson(const pull_answer &);
template std::string toJson(const member_state &);

} // namespace bronzespar::standin
