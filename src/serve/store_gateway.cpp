/// Choice between direct and relayed calls.
#include "store_gateway.hpp"

#include <platform/store_watch.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace bronzespar::serve {

namespace {

/// A watch source that failed is not called again before this has passed.
constexpr duration ReaderPause = std::chrono::seconds(3);
/// A watch source answers each watch within PeerWatchTimeout. One that takes
/// longer than this is unreachable or slow.
constexpr duration ReaderLimit =
    platform::PeerWait + std::chrono::milliseconds(500);
constexpr unsigned StatusNone = 0;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;

bool isServed(const platform::http_answer &Answer) noexcept {
  return Answer.Status != StatusNone && Answer.Status != StatusTooMany &&
         Answer.Status != StatusUnavailable;
}

proxy::call_result endOf(bool Waits, const platform::http_answer &Answer) {
  if (Answer.Status != StatusNone)
    return isServed(Answer) ? proxy::call_result::Served
                            : proxy::call_result::Refused;
  return Waits ? proxy::call_result::WatchEnded : proxy::call_result::NoAnswer;
}

} // namespace

store_gateway::store_gateway(boost::asio::io_context &Context,
                             endpoint StoreEndpoint, endpoint PromotionAt,
                             peer_links &PeerLinks, event_sink Sink,
                             log_function Logger)
    : Io(Context), Store(std::move(StoreEndpoint)),
      Duty(std::move(PromotionAt)), Peering(PeerLinks), Events(std::move(Sink)),
      Log(std::move(Logger)) {}

platform::platform_lanes store_gateway::makeLanes() {
  platform::platform_lanes Channels;
  Channels.Lease = makeStoreLane();
  Channels.Change = makeStoreLane();
  Channels.Operator = makeStoreLane();
  Channels.Targets = makeStoreLane();
  Channels.Records = makeStoreLane();
  auto PromotionLink = std::make_shared<platform::http_link>(Io, Duty);
  Channels.Duty = [PromotionLink](platform::http_call Call,
                                  platform::http_callback Done) {
    PromotionLink->call(std::move(Call), std::move(Done));
  };
  return Channels;
}

platform::call_function store_gateway::makeStoreLane() {
  auto Link = std::make_shared<platform::http_link>(Io, Store);
  Links.push_back(Link);
  return [this, Link](platform::http_call Call, platform::http_callback Done) {
    call(*Link, std::move(Call), std::move(Done));
  };
}

void store_gateway::call(platform::http_link &Link, platform::http_call Call,
                         platform::http_callback Done) {
  if (Call.Waits && Reader && bootNow() >= ReaderRetryAt) {
    callReader(std::move(Call), std::move(Done));
    return;
  }
  const auto Access =
      proxy::chooseStoreAccess(Path, !Peers.empty(), Call.Waits, bootNow());
  if (Access == proxy::store_access::Relay)
    callThroughPeer(Call, std::move(Done));
  else
    callDirectly(Link, std::move(Call), std::move(Done));
}

void store_gateway::callReader(platform::http_call Call,
                               platform::http_callback Done) {
  Call.Limit = ReaderLimit;
  Peering.relay(*Reader, Call,
                [this, Done = std::move(Done)](relay_answer Answer) {
                  if (!isServed(Answer.Answer))
                    ReaderRetryAt = bootNow() + ReaderPause;
                  Done(std::move(Answer.Answer));
                });
}

void store_gateway::callDirectly(platform::http_link &Link,
                                 platform::http_call Call,
                                 platform::http_callback Done) {
  sent_call Sent{Call.Path.substr(0, Call.Path.find('?')), Call.Waits,
                 bootNow()};
  Link.call(std::move(Call),
            [this, Sent = std::move(Sent),
             Done = std::move(Done)](const platform::http_answer &Answer) {
              noteDirect(Sent, Answer);
              Done(Answer);
            });
}

void store_gateway::noteDirect(const sent_call &Call,
                               const platform::http_answer &Answer) {
  const bool FailedBefore = Path.DirectFailed;
  const instant Now = bootNow();
  proxy::recordDirectCall(Path, endOf(Call.Waits, Answer), Now);
  if (FailedBefore == Path.DirectFailed)
    return;
  // Status 0: no answer within the call's timeout, or the connection was lost.
  Log(Path.DirectFailed ? "store.turned_away" : "store.direct",
      {{"call", Call.Path},
       {"status", std::to_string(Answer.Status)},
       {"ms",
        std::to_string(static_cast<int>(toMilliseconds(Now - Call.SentAt)))}});
  if (Path.DirectFailed && !Peers.empty())
    for (const auto &Link : Links)
      Link->abandonWaiting();
}

void store_gateway::callThroughPeer(const platform::http_call &Call,
                                    platform::http_callback Done) {
  const endpoint &Peer = Peers[Path.RelayIndex % Peers.size()];
  Peering.relay(Peer, Call,
                [this, Done = std::move(Done)](relay_answer Answer) {
                  proxy::recordRelayedCall(Path, Answer.PeerAnswered,
                                           isServed(Answer.Answer), bootNow());
                  Done(std::move(Answer.Answer));
                });
}

void store_gateway::relayFor(platform::http_call Call, relay_callback Done) {
  if (Path.DirectFailed) {
    Done({{}, true, true});
    return;
  }
  if (Call.Waits && Watches &&
      Watches(Call, [Done](platform::http_answer Answer) {
        Done({std::move(Answer), true, false});
      }))
    return;
  // A separate connection: the peer's long polls must not delay this host's
  // calls.
  auto Link = std::make_shared<platform::http_link>(Io, Store);
  Link->call(std::move(Call), [Context = &Io, Link, Done = std::move(Done)](
                                  platform::http_answer Answer) mutable {
    Done({std::move(Answer), true, false});
    // Destroys the link only after its own callback has returned.
    boost::asio::post(*Context, [Last = std::move(Link)] {});
  });
}

void store_gateway::supervise(instant Now) {
  const bool IsIsolated = proxy::isIsolated(Path, Now);
  if (IsIsolated == Isolated)
    return;
  Isolated = IsIsolated;
  Events(proxy::events::isolation_changed{Isolated});
}

} // namespace bronzespar::serve
