/// Codec of the messages between hosts and members, by Boost.JSON's conversion
/// of described structs.
#include <bronzespar/wire/target_codec.hpp>

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

namespace bronzespar {

namespace {

template <class Message> std::string serializeMessage(const Message &Source) {
  return boost::json::serialize(boost::json::value_from(Source));
}

} // namespace

std::string encodeJson(const target_request &Message) {
  return serializeMessage(Message);
}
std::string encodeJson(const target_answer &Message) {
  return serializeMessage(Message);
}
std::string encodeJson(const report_request &Message) {
  return serializeMessage(Message);
}
std::string encodeJson(const member_report &Message) {
  return serializeMessage(Message);
}
std::string encodeJson(const control_request &Message) {
  return serializeMessage(Message);
}
std::string encodeJson(const control_answer &Message) {
  return serializeMessage(Message);
}

template <class Message>
boost::leaf::result<Message> decodeJson(std::string_view Text) {
  boost::system::error_code Error;
  const boost::json::value Parsed = boost::json::parse(Text, Error);
  if (Error)
    return boost::leaf::new_error(
        wire_fault{wire_fault_kind::Malformed, "not JSON: " + Error.message()});
  auto Converted = boost::json::try_value_to<Message>(Parsed);
  if (Converted.has_error())
    return boost::leaf::new_error(
        wire_fault{wire_fault_kind::Malformed,
                   "unexpected members: " + Converted.error().message()});
  return std::move(*Converted);
}

template boost::leaf::result<target_request> decodeJson(std::string_view);
template boost::leaf::result<target_answer> decodeJson(std::string_view);
template boost::leaf::result<report_request> decodeJson(std::string_view);
template boost::leaf::result<member_report> decodeJson(std::string_view);
template boost::leaf::result<control_request> decodeJson(std::string_view);
template boost::leaf::result<control_answer> decodeJson(std::string_view);

} // namespace bronzespar
