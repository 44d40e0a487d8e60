/// Choice between direct and relayed calls.
#include "store_gateway.hpp"

#include "store_watch.hpp"
#include <platform/http_pool.hpp>

#include <boost/asio/post.hpp>

#include <cctype>
#include <utility>

namespace bronzespar::serve {

namespace {

/// Time between two log lines with the number of calls to the store.
constexpr duration CallReportInterval = std::chrono::seconds(10);
/// A peer answers each watch within PeerWatchTimeout. One that takes longer
/// than this is unreachable or slow, and the settings would be outdated
/// meanwhile.
constexpr duration PeerWatchAnswerTimeout =
    PeerWatchTimeout + std::chrono::milliseconds(500);
/// Orders of different groups do not wait for one another, as the platform may
/// be slow while many primaries are replaced at the same time.
constexpr std::size_t MaxPromotionLinks = 16;
constexpr unsigned StatusNone = 0;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusUnavailable = 503;

bool isServed(const platform::http_answer &Answer) noexcept {
  return Answer.Status != StatusNone && Answer.Status != StatusTooMany &&
         Answer.Status != StatusUnavailable;
}

/// When the caller's proof becomes too old.
instant dueAt(const platform::http_call &Call) noexcept {
  return Call.Demand ? Call.Demand->ProvenAt + Call.Demand->MaxAge
                     : instant::max();
}

proxy::watch_source_result watchSourceResultOf(const relay_answer &Answer,
                                               bool IsProofLate) noexcept {
  if (!Answer.PeerAnswered)
    return proxy::watch_source_result::Silent;
  if (isServed(Answer.Answer) && !IsProofLate)
    return proxy::watch_source_result::Served;
  return Answer.Answer.Status == StatusUnavailable
             ? proxy::watch_source_result::Starting
             : proxy::watch_source_result::Failed;
}

/// A call's path without the id of a lease.
/// \param Path Without its query.
std::string callKind(const std::string &Path) {
  const std::size_t LastSlash = Path.rfind('/');
  const bool HasId =
      LastSlash != std::string::npos && LastSlash + 1 < Path.size() &&
      std::isdigit(static_cast<unsigned char>(Path[LastSlash + 1])) != 0;
  return HasId ? Path.substr(0, LastSlash) : Path;
}

proxy::call_result callResultOf(bool Waits,
                                const platform::http_answer &Answer) {
  if (Answer.Status != StatusNone)
    return isServed(Answer) ? proxy::call_result::Served
                            : proxy::call_result::Refused;
  return Waits ? proxy::call_result::WatchEnded : proxy::call_result::NoAnswer;
}

} // namespace

gateway_links makeGatewayLinks(boost::asio::io_context &Io,
                               const endpoint &Store,
                               const endpoint &PromotionEndpoint,
                               peer_links &Peers) {
  gateway_links Links;
  Links.OpenStoreLink = [&Io, Store] {
    auto Link = std::make_shared<platform::http_link>(Io, Store);
    return store_link{
        [Link](platform::http_call Call, platform::http_callback Done) {
          Link->call(std::move(Call), std::move(Done));
        },
        [Link] { Link->cancelLongPoll(); }};
  };
  Links.CallStoreOnce = [&Io, Store](platform::http_call Call,
                                     platform::http_callback Done) {
    auto Link = std::make_shared<platform::http_link>(Io, Store);
    Link->call(std::move(Call), [&Io, Link, Done = std::move(Done)](
                                    platform::http_answer Answer) mutable {
      Done(std::move(Answer));
      // Destroys the link only after its own callback has returned.
      boost::asio::post(Io, [Last = std::move(Link)] {});
    });
  };
  auto Promotions = std::make_shared<platform::http_pool>(Io, PromotionEndpoint,
                                                          MaxPromotionLinks);
  Links.Promote = [Promotions](platform::http_call Call,
                               platform::http_callback Done) {
    Promotions->call(std::move(Call), std::move(Done));
  };
  Links.Relay = [&Peers](const endpoint &Peer, const platform::http_call &Call,
                         relay_callback Done) {
    Peers.relay(Peer, Call, std::move(Done));
  };
  Links.AbandonWatches = [&Peers] { Peers.abandonWatches(); };
  Links.Now = bootNow;
  return Links;
}

store_gateway::store_gateway(gateway_links Connections, event_sink Sink,
                             log_function Logger)
    : Links(std::move(Connections)), Events(std::move(Sink)),
      Log(std::move(Logger)) {}

platform_channels store_gateway::makeChannels() {
  platform_channels Channels;
  Channels.Lease = makeStoreChannel();
  Channels.Change = makeStoreChannel();
  Channels.Operator = makeStoreChannel();
  Channels.Targets = makeStoreChannel();
  Channels.Records = makeStoreChannel();
  Channels.Promotion = Links.Promote;
  return Channels;
}

platform::call_function store_gateway::makeStoreChannel() {
  auto Link = std::make_shared<store_link>(Links.OpenStoreLink());
  StoreLinks.push_back(Link);
  return [this, Link](platform::http_call Call, platform::http_callback Done) {
    call(*Link, std::move(Call), std::move(Done));
  };
}

platform::http_answer store_gateway::admit(platform::http_answer Answer) {
  if (Answer.Status == StatusNone || Answer.Era == Era)
    return Answer;
  if (Answer.Era > Era) {
    enterEra(Answer.Era);
    return Answer;
  }
  platform::http_answer None;
  None.Via = std::move(Answer.Via);
  return None;
}

void store_gateway::enterEra(std::uint64_t NewEra) {
  Era = NewEra;
  if (EraSink)
    EraSink(Era);
  // Watches that wait continue revisions of an earlier era.
  for (const auto &Link : StoreLinks)
    Link->CancelLongPoll();
  Links.AbandonWatches();
}

void store_gateway::call(const store_link &Link, platform::http_call Call,
                         platform::http_callback Done) {
  const instant Now = Links.Now();
  const auto Need = proxy::needOf(dueAt(Call), Now);
  const auto Source =
      Call.IsLongPoll && Need != proxy::proof_need::Overdue
          ? proxy::chooseWatchSource(WatchSourceState, WatchSources, Now)
          : std::nullopt;
  if (Source) {
    callWatchSource(*Source, std::move(Call), std::move(Done));
    return;
  }
  const bool Probes = Need == proxy::proof_need::Overdue && Call.Demand &&
                      Call.Demand->ProbesStore;
  const auto Access = proxy::chooseStoreAccess(AccessState, !RelayPeers.empty(),
                                               Call.IsLongPoll, Probes, Now);
  if (Access == proxy::store_access::Relay)
    callThroughPeer(std::move(Call), std::move(Done));
  else if (Need == proxy::proof_need::Overdue)
    // The channel's connection may have gone silent while it was not used.
    callDirectly(Links.CallStoreOnce, std::move(Call), std::move(Done));
  else
    callDirectly(Link.Call, std::move(Call), std::move(Done));
}

void store_gateway::callWatchSource(const endpoint &Source,
                                    platform::http_call Call,
                                    platform::http_callback Done) {
  Call.Timeout =
      proxy::peerWatchTimeout(dueAt(Call), Links.Now(), PeerWatchAnswerTimeout);
  Links.Relay(Source, Call,
              [this, Source, Sent = sentWatch(Call),
               Done = std::move(Done)](relay_answer Answer) {
                Answer.Answer = admit(std::move(Answer.Answer));
                // A source that had less than the usual time may be well; so
                // may one whose answer ended an era.
                if (Sent.Era == Era &&
                    (Answer.PeerAnswered || !isCutShort(Sent)))
                  proxy::recordWatchSource(
                      WatchSourceState, Source,
                      watchSourceResultOf(Answer, isProofLate(Sent, Answer)),
                      Links.Now());
                Done(std::move(Answer.Answer));
              });
}

store_gateway::sent_watch
store_gateway::sentWatch(const platform::http_call &Call) const {
  return {Links.Now(), Call.Timeout, Call.Demand, Era};
}

bool store_gateway::isCutShort(const sent_watch &Sent) const {
  return Sent.Timeout < PeerWatchAnswerTimeout &&
         Links.Now() >= Sent.At + Sent.Timeout;
}

bool store_gateway::isProofLate(const sent_watch &Sent,
                                const relay_answer &Answer) const {
  if (!Sent.Demand || !isServed(Answer.Answer))
    return false;
  if (!Answer.Answer.Proof)
    return true;
  const instant ProvenAt = std::max(Sent.Demand->ProvenAt,
                                    Sent.At + Answer.Answer.Proof->ValidAfter);
  return proxy::needOf(ProvenAt + Sent.Demand->MaxAge, Links.Now()) ==
         proxy::proof_need::Overdue;
}

void store_gateway::callDirectly(const platform::call_function &Link,
                                 platform::http_call Call,
                                 platform::http_callback Done) {
  sent_call Sent{Call.Path.substr(0, Call.Path.find('?')), Call.IsLongPoll,
                 Links.Now()};
  CallCounts[callKind(Sent.Path)] += 1;
  Link(std::move(Call), [this, Sent = std::move(Sent), Done = std::move(Done)](
                            const platform::http_answer &Answer) {
    recordDirectResult(Sent, Answer);
    Done(admit(Answer));
  });
}

void store_gateway::recordDirectResult(const sent_call &Call,
                                       const platform::http_answer &Answer) {
  const bool FailedBefore = AccessState.DirectFailed;
  const instant Now = Links.Now();
  proxy::recordDirectCall(AccessState, callResultOf(Call.IsLongPoll, Answer),
                          Now);
  if (FailedBefore == AccessState.DirectFailed)
    return;
  // Status 0: no answer within the call's timeout, or the connection was lost.
  Log(AccessState.DirectFailed ? "store.turned_away" : "store.direct",
      {{"call", Call.Path},
       {"status", std::to_string(Answer.Status)},
       {"ms",
        std::to_string(static_cast<int>(toMilliseconds(Now - Call.SentAt)))}});
  // Long polls that wait on a connection of before would not be answered: in an
  // outage they wait for the store, and afterwards for their own timeout, in
  // which settings would stay outdated for seconds.
  if (!AccessState.DirectFailed || !RelayPeers.empty())
    for (const auto &Link : StoreLinks)
      Link->CancelLongPoll();
  if (!AccessState.DirectFailed) {
    Links.AbandonWatches();
    proxy::preferDirectWatches(WatchSourceState, Now);
  }
}

void store_gateway::callThroughPeer(platform::http_call Call,
                                    platform::http_callback Done) {
  if (Call.Demand)
    Call.Timeout = proxy::peerWatchTimeout(dueAt(Call), Links.Now(),
                                           PeerWatchAnswerTimeout);
  const endpoint &Peer = RelayPeers[AccessState.RelayIndex % RelayPeers.size()];
  Links.Relay(Peer, Call,
              [this, Sent = sentWatch(Call),
               Done = std::move(Done)](relay_answer Answer) {
                Answer.Answer = admit(std::move(Answer.Answer));
                // The end of an era ends watches without a fault of the peer.
                if (Sent.Era == Era || Answer.PeerAnswered)
                  proxy::recordRelayedCall(AccessState, Answer.PeerAnswered,
                                           isServed(Answer.Answer) &&
                                               !isProofLate(Sent, Answer),
                                           Links.Now());
                Done(std::move(Answer.Answer));
              });
}

void store_gateway::relayFor(platform::http_call Call, relay_callback Done) {
  if (AccessState.DirectFailed) {
    Done({{}, true, true});
    return;
  }
  if (Call.IsLongPoll && WatchServer &&
      WatchServer(Call, [Done](platform::http_answer Answer) {
        Done({std::move(Answer), true, false});
      }))
    return;
  // A separate connection: the peer's long polls must not delay this host's
  // calls.
  Links.CallStoreOnce(std::move(Call), [this, Done = std::move(Done)](
                                           platform::http_answer Answer) {
    // The store answered after the call had arrived here.
    Answer.Proof = {duration::zero(), 1};
    if (Answer.Era > Era)
      enterEra(Answer.Era);
    Done({std::move(Answer), true, false});
  });
}

void store_gateway::reportCalls(instant Now) {
  if (Now < NextCallReportAt)
    return;
  NextCallReportAt = Now + CallReportInterval;
  std::vector<proxy::effects::log_field> Fields;
  for (const auto &[Kind, Count] : CallCounts)
    Fields.push_back({Kind, std::to_string(Count)});
  Log("store.calls", std::move(Fields));
}

void store_gateway::checkIsolation(instant Now) {
  const bool IsIsolated = proxy::isIsolated(AccessState, Now);
  if (IsIsolated == Isolated)
    return;
  Isolated = IsIsolated;
  Events(proxy::events::isolation_changed{Isolated});
}

} // namespace bronzespar::serve
