/// The platform's list of hosts, which lags behind what it is told.
#pragma once

#include "program.hpp"

#include <bronzespar/instant.hpp>

#include <boost/leaf/result.hpp>

#include <deque>
#include <string>

namespace bronzespar::standin {

/// \brief A list that will be seen from a moment on.
struct coming_list {
  instant SeenFrom{};
  std::string Text;
};

/// \brief The list as JSON text, and what will replace it, in order.
struct host_list {
  std::string Text = "[]";
  std::deque<coming_list> Coming;
};

/// \brief Checks a list: [{"Id","DataCentre","Peers":{"Address","Port"},
/// "Leaving"}, ..]; Leaving may be left out.
/// \returns The list with all members, as JSON text.
[[nodiscard]] boost::leaf::result<std::string>
checkHostList(const std::string &Text);

/// \brief Replaces the list after a lag.
void replaceHostList(host_list &List, std::string Text, instant Now,
                     duration Lag);

/// \brief The list as seen now.
[[nodiscard]] const std::string &seenHostList(host_list &List, instant Now);

} // namespace bronzespar::standin
