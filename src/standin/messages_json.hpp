/// JSON of the stand-ins' messages. Member names are those of the structs.
#pragma once

#include "program.hpp"

#include <boost/leaf/result.hpp>

#include <string>

namespace bronzespar::standin {

/// \brief Reads a message. Members that are left out keep their defaults.
/// \tparam T target_request, report_request, control_request, pull_request,
/// pull_answer or one of the orders in fault_messages.hpp.
/// \returns The message, or standin_fault for malformed JSON, unknown members
/// and wrong types.
template <class T>
[[nodiscard]] boost::leaf::result<T> fromJson(const std::string &Text);

/// \brief Writes a message.
/// \tparam T target_answer, member_report, control_answer, pull_request,
/// pull_answer or member_state.
template <class T> [[nodiscard]] std::string toJson(const T &Message);

} // namespace bronzespar::standin
