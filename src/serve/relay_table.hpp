/// Calls that peers make on this host's behalf, until they are answered.
#pragma once

#include <platform/http_link.hpp>

#include <bronzespar/instant.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bronzespar::serve {

/// \brief Result of a relayed call.
struct relay_answer {
  platform::http_answer Answer;
  bool PeerAnswered = false; ///< False: the peer is unreachable.
  bool PeerRefused = false;  ///< Its own direct calls fail; it made no call.
};
using relay_callback = std::function<void(relay_answer)>;

/// \brief A relayed call without an answer.
struct pending_relay {
  std::string Link; ///< Name of the connection that it was sent on.
  instant Deadline{};
  bool IsWatch = false;
  relay_callback Callback;
};

struct relay_table {
  std::map<std::uint64_t, pending_relay> Pending; ///< By the call's number.
};

/// \brief Ends a call, if it is still pending.
void finishRelay(relay_table &Table, std::uint64_t Number, relay_answer Answer);

/// \brief Ends all calls on a connection without an answer.
void failRelaysOf(relay_table &Table, const std::string &Link);

/// \brief Ends all watches without an answer, so that they are sent anew.
void abandonWatches(relay_table &Table);

/// \brief Names the connections with a call whose deadline is over.
[[nodiscard]] std::vector<std::string> overdueLinks(const relay_table &Table,
                                                    instant Now);

} // namespace bronzespar::serve
