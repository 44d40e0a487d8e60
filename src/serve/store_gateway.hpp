/// Calls to the platform, made directly or through a peer.
#pragma once

#include "peer_links.hpp"
#include "store_client.hpp"
#include "wiring.hpp"

#include <bronzespar/proxy/store_access.hpp>
#include <platform/http_link.hpp>

#include <map>
#include <memory>
#include <vector>

namespace bronzespar::serve {

/// \brief A connection to the store.
struct store_link {
  platform::call_function Call;
  /// Ends the call under way, if it is a long poll.
  std::function<void()> CancelLongPoll;
};

/// \brief How a gateway reaches the store and its peers.
struct gateway_links {
  std::function<store_link()> OpenStoreLink;
  /// Makes a call to the store on a connection of its own.
  platform::call_function CallStoreOnce;
  platform::call_function Promote;
  std::function<void(const endpoint &Peer, const platform::http_call &,
                     relay_callback)>
      Relay;
  /// Ends all relayed watches without an answer.
  std::function<void()> AbandonWatches;
  clock_function Now;
};

/// \brief Makes links over sockets.
[[nodiscard]] gateway_links makeGatewayLinks(boost::asio::io_context &Io,
                                             const endpoint &Store,
                                             const endpoint &PromotionEndpoint,
                                             peer_links &Peers);

/// \brief Sends each call to the platform directly, through a relay peer, or to
/// the data centre's watch source.
class store_gateway {
public:
  using log_function = std::function<void(
      std::string_view Event, std::vector<proxy::effects::log_field> Fields)>;

  store_gateway(gateway_links Connections, event_sink Sink,
                log_function Logger);
  store_gateway(const store_gateway &) = delete;
  store_gateway &operator=(const store_gateway &) = delete;

  /// Answers a peer's watch from this host's own watch of the same prefix;
  /// returns false when the host has none.
  using watch_server =
      std::function<bool(const platform::http_call &, platform::http_callback)>;

  [[nodiscard]] platform_channels makeChannels();
  void setWatchServer(watch_server Server) { WatchServer = std::move(Server); }
  /// Called once for each higher era of the store, before the answer that
  /// carried it is passed on.
  using era_sink = std::function<void(std::uint64_t Era)>;
  void setEraSink(era_sink Sink) { EraSink = std::move(Sink); }
  void setRelays(std::vector<endpoint> Relays) {
    RelayPeers = std::move(Relays);
  }
  void setWatchSources(std::vector<endpoint> Sources) {
    WatchSources = std::move(Sources);
  }
  /// \brief Makes a call for a peer, unless this host's direct calls fail too.
  void relayFor(platform::http_call Call, relay_callback Done);
  /// \brief Sends an event when the host becomes isolated or ceases to be.
  void checkIsolation(instant Now);
  /// \brief Logs now and then how many calls to the store this host made, by
  /// kind.
  void reportCalls(instant Now);
  /// \brief Direct calls to the store since the start, by kind.
  [[nodiscard]] const std::map<std::string, std::uint64_t> &
  callCounts() const noexcept {
    return CallCounts;
  }

private:
  struct sent_call {
    std::string Path; ///< Without its query.
    bool IsLongPoll = false;
    instant SentAt{};
  };
  /// A watch that a peer was asked to answer.
  struct sent_watch {
    instant At{};
    duration Timeout{};
    std::optional<proxy::proof_demand> Demand;
    std::uint64_t Era = 0; ///< Known when it was sent.
  };
  [[nodiscard]] sent_watch sentWatch(const platform::http_call &Call) const;
  /// Whether the watch ended because its caller's proof became overdue, before
  /// the peer had its usual time.
  [[nodiscard]] bool isCutShort(const sent_watch &Sent) const;
  /// Whether the caller's proof is overdue even after an answer.
  [[nodiscard]] bool isProofLate(const sent_watch &Sent,
                                 const relay_answer &Answer) const;
  /// Notes the era of an answer. One of an earlier era is of a store that no
  /// longer exists and becomes no answer.
  [[nodiscard]] platform::http_answer admit(platform::http_answer Answer);
  void enterEra(std::uint64_t NewEra);
  platform::call_function makeStoreChannel();
  void call(const store_link &Link, platform::http_call Call,
            platform::http_callback Done);
  void callDirectly(const platform::call_function &Link,
                    platform::http_call Call, platform::http_callback Done);
  void callWatchSource(const endpoint &Source, platform::http_call Call,
                       platform::http_callback Done);
  void callThroughPeer(platform::http_call Call, platform::http_callback Done);
  void recordDirectResult(const sent_call &Call,
                          const platform::http_answer &Answer);

  gateway_links Links;
  event_sink Events;
  log_function Log;
  proxy::store_access_state AccessState;
  std::vector<endpoint> RelayPeers;
  std::vector<endpoint> WatchSources; ///< In order of preference.
  proxy::watch_source_state WatchSourceState;
  watch_server WatchServer;
  era_sink EraSink;
  std::uint64_t Era = 0; ///< Of the store; rises with each restore.
  std::vector<std::shared_ptr<store_link>> StoreLinks; ///< Of all channels.
  bool Isolated = false;
  std::map<std::string, std::uint64_t> CallCounts; ///< Direct ones, by kind.
  instant NextCallReportAt{};
};

} // namespace bronzespar::serve
