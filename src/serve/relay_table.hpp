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
  std::uint64_t ReceivedBefore = 0; ///< Bytes from the peer when it was sent.
  instant AnswerBy{};               ///< The caller goes elsewhere then.
  /// The connection is lost if nothing has arrived on it by then.
  instant SilentAt{};
  bool IsWatch = false;
  relay_callback Callback; ///< Empty once the caller has gone elsewhere.
};

struct relay_table {
  std::map<std::uint64_t, pending_relay> Pending; ///< By the call's number.
};

/// \brief Bytes that have arrived on a connection, by its name.
using received_function = std::function<std::uint64_t(const std::string &Link)>;

/// \brief Adds a call that is about to be sent.
/// \param Received Bytes that have arrived on the connection so far.
void addRelay(relay_table &Table, std::uint64_t Number, std::string Link,
              std::uint64_t Received, const platform::http_call &Call,
              instant Now, relay_callback Callback);

/// \brief Ends a call, if it is still pending.
void finishRelay(relay_table &Table, std::uint64_t Number, relay_answer Answer);

/// \brief Ends all calls on a connection without an answer.
void failRelaysOf(relay_table &Table, const std::string &Link);

/// \brief Ends all watches without an answer, so that they are sent anew.
void abandonWatches(relay_table &Table);

/// \brief Ends the calls that were not answered in time.
/// \returns The connections on which nothing has arrived meanwhile: the peer
/// may no longer have them open. On others an answer is only late, and
/// statements of callers go on.
[[nodiscard]] std::vector<std::string>
expireRelays(relay_table &Table, instant Now,
             const received_function &Received);

} // namespace bronzespar::serve
