/// Codec of the messages between hosts and members: JSON objects whose member
/// names are those of the structs in target_messages.hpp.
#pragma once

#include <bronzespar/target_messages.hpp>
#include <bronzespar/wire/wire_fault.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace bronzespar {

[[nodiscard]] std::string encodeJson(const target_request &Message);
[[nodiscard]] std::string encodeJson(const target_answer &Message);
[[nodiscard]] std::string encodeJson(const report_request &Message);
[[nodiscard]] std::string encodeJson(const member_report &Message);
[[nodiscard]] std::string encodeJson(const control_request &Message);
[[nodiscard]] std::string encodeJson(const control_answer &Message);

/// \brief Reads one message. All members must be there and no others.
/// \tparam Message One of the message structs above.
/// \returns The message, or an error carrying wire_fault.
template <class Message>
[[nodiscard]] boost::leaf::result<Message> decodeJson(std::string_view Text);

extern template boost::leaf::result<target_request>
    decodeJson(std::string_view);
extern template boost::leaf::result<target_answer> decodeJson(std::string_view);
extern template boost::leaf::result<report_request>
    decodeJson(std::string_view);
extern template boost::leaf::result<member_report> decodeJson(std::string_view);
extern template boost::leaf::result<control_request>
    decodeJson(std::string_view);
extern template boost::leaf::result<control_answer>
    decodeJson(std::string_view);

} // namespace bronzespar
