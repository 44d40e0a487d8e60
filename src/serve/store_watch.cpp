/// Reading and watching of a prefix.
#include "store_watch.hpp"

#include <bronzespar/proxy/store_revision.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>
#include <set>

namespace bronzespar::serve {

namespace {

/// After a start or an outage many changes arrive that must be applied soon;
/// this many answers are followed by FastBatchDelay instead of BatchDelay.
constexpr unsigned FastAnswerCount = 12;
constexpr duration FastBatchDelay = std::chrono::milliseconds(300);
/// Delay before the prefix is read again when the store lost its history twice
/// or more in a row. Each read transfers the whole prefix and would delay lease
/// renewals.
constexpr duration HistoryReadDelay = std::chrono::milliseconds(250);
/// A peer that has missed more changes than this reads the prefix again.
constexpr std::size_t MaxRecentChanges = 512;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusHistoryLost = 410;
constexpr unsigned StatusUnavailable = 503;

} // namespace

schedule_function makeScheduler(boost::asio::io_context &Io) {
  return [&Io](duration Delay, std::function<void()> Run) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io, Delay);
    Timer->async_wait(
        [Timer, Run = std::move(Run)](const boost::system::error_code &Failed) {
          if (!Failed)
            Run();
        });
  };
}

store_watch::store_watch(schedule_function Scheduler, clock_function Now,
                         platform::call_function Calls,
                         std::string WatchedPrefix, proxy::watch_timing Times,
                         watch_hooks Callbacks)
    : Schedule(std::move(Scheduler)), Clock(std::move(Now)),
      Call(std::move(Calls)), Prefix(std::move(WatchedPrefix)), Timing(Times),
      Hooks(std::move(Callbacks)) {}

void store_watch::start() { read(); }

void store_watch::enterEra(std::uint64_t NewEra) {
  if (NewEra <= Era)
    return;
  if (Era != 0)
    RestoredAt = Clock();
  Era = NewEra;
  Revision = 0;
  Proof = {};
  NeedsRead = true;
  HasRead = false;
  ReadRecords.clear();
  Recent.clear();
  ConsecutiveHistoryLosses = 0;
  std::vector<peer_watch> Unanswered;
  Unanswered.swap(PeerWatches);
  for (peer_watch &Peer : Unanswered)
    Peer.Done(refusalToPeer(StatusHistoryLost));
}

bool store_watch::admit(const platform::http_answer &Answer) {
  enterEra(Answer.Era);
  return Answer.Era == Era;
}

std::optional<proxy::proof_demand> store_watch::demand() const {
  if (proxy::isProven(Proof) || RestoredAt == instant::min())
    return proxy::demandOf(Proof, Timing);
  // A restore leaves no proof. The next one is overdue at once, so that the
  // read does not use a connection that may have gone silent in the outage.
  return proxy::demandOf({RestoredAt - Timing.MaxProofAge, 0}, Timing);
}

void store_watch::scheduleCall(duration Delay) {
  Schedule(Delay, [this] {
    if (NeedsRead)
      read();
    else
      watch();
  });
}

void store_watch::retry() {
  ConsecutiveFailures += 1;
  scheduleCall(proxy::retryDelay(Proof, Timing, ConsecutiveFailures, Clock()));
}

void store_watch::read() {
  std::string After =
      ReadRecords.empty() ? std::string() : ReadRecords.back().Key;
  platform::http_call Range = platform::rangeCall(Prefix, After);
  Range.Demand = demand();
  Call(std::move(Range), [this, AfterKey = std::move(After), SentAt = Clock()](
                             const platform::http_answer &Answer) {
    readAnswered(Answer, AfterKey, SentAt);
  });
}

void store_watch::readAnswered(const platform::http_answer &Answer,
                               const std::string &AfterKey, instant SentAt) {
  auto Page = admit(Answer) && Answer.Status == StatusOk
                  ? platform::parseRange(Answer.Body, Answer.Era)
                  : std::nullopt;
  Hooks.Answered(Page.has_value());
  FastAnswersLeft = FastAnswerCount;
  if (Page && !AfterKey.empty() && ReadRecords.empty()) {
    // The earlier pages were of an earlier era.
    read();
    return;
  }
  const bool IsRepeated = Page && platform::isRepeated(*Page, AfterKey);
  if (IsRepeated)
    Hooks.Failed(AfterKey, std::string(platform::RepeatedPageFault));
  if (!Page || IsRepeated) {
    ReadRecords.clear();
    retry();
    return;
  }
  ConsecutiveFailures = 0;
  if (ReadRecords.empty()) {
    FirstPageRevision = Page->Revision;
    FirstPageSentAt = SentAt;
  }
  const bool HasMore = Page->HasMore && !Page->Records.empty();
  ReadRecords.insert(ReadRecords.end(),
                     std::make_move_iterator(Page->Records.begin()),
                     std::make_move_iterator(Page->Records.end()));
  if (HasMore) {
    read();
    return;
  }
  std::vector<platform::store_change> Changes;
  std::set<std::string> Present;
  for (proxy::store_record &Record : ReadRecords) {
    Present.insert(Record.Key);
    Changes.push_back({std::move(Record), false});
  }
  ReadRecords.clear();
  for (const auto &[Key, KnownRevision] : KnownRevisions)
    if (!Present.contains(Key))
      Changes.push_back({{Key, {}, FirstPageRevision, 0}, true});
  NeedsRead = false;
  const std::uint64_t CompleteUntil = std::max(Revision, FirstPageRevision);
  if (!HasRead)
    RecentAfter = CompleteUntil;
  recordProof(Answer, FirstPageSentAt);
  apply(std::move(Changes), CompleteUntil, true);
  HasRead = true;
  answerPeerWatches(instant::min());
  watch();
}

void store_watch::watch() {
  const duration Wait = proxy::nextWait(Proof, Timing, Clock());
  platform::http_call Watch =
      platform::watchCall(Prefix, Revision, Wait, Timing.AnswerMargin);
  Watch.Demand = demand();
  Watch.Era = Era;
  Call(std::move(Watch), [this, Wait, SentAt = Clock(),
                          SentEra = Era](const platform::http_answer &Answer) {
    watchAnswered(Answer, SentAt, Wait, SentEra);
  });
}

void store_watch::recordProof(const platform::http_answer &Answer,
                              instant ValidAt) {
  proxy::raiseProof(Proof, ValidAt, Answer.Proof);
  Hooks.Received(proxy::receiptOf(Proof, Answer.Via, Clock()));
}

void store_watch::watchAnswered(const platform::http_answer &Answer,
                                instant SentAt, duration Wait,
                                std::uint64_t SentEra) {
  const bool IsCurrent = admit(Answer);
  if (SentEra != Era) {
    // The call continued a revision that the store may have given out again.
    read();
    return;
  }
  if (IsCurrent && Answer.Status == StatusHistoryLost) {
    NeedsRead = true;
    ConsecutiveHistoryLosses += 1;
    scheduleCall(ConsecutiveHistoryLosses > 1 ? HistoryReadDelay
                                              : duration::zero());
    return;
  }
  ConsecutiveHistoryLosses = 0;
  auto Page = IsCurrent && Answer.Status == StatusOk
                  ? platform::parseWatch(Answer.Body, Answer.Era)
                  : std::nullopt;
  Hooks.Answered(Page.has_value());
  if (!Page) {
    FastAnswersLeft = FastAnswerCount;
    retry();
    return;
  }
  ConsecutiveFailures = 0;
  const duration Delay = FastAnswersLeft > 0
                             ? std::min(Timing.BatchDelay, FastBatchDelay)
                             : Timing.BatchDelay;
  if (FastAnswersLeft > 0)
    FastAnswersLeft -= 1;
  const bool HasChanges = !Page->Changes.empty();
  recordProof(Answer,
              Answer.Via.empty()
                  ? proxy::provenByStore(HasChanges, SentAt, Wait, Clock())
                  : proxy::provenByPeer(Answer.Proof, SentAt));
  apply(std::move(Page->Changes), std::max(Revision, Page->Revision), false);
  answerPeerWatches(instant::min());
  scheduleCall(HasChanges ? Delay : duration::zero());
}

void store_watch::recordRecent(
    const std::vector<platform::store_change> &Changes) {
  for (const platform::store_change &Change : Changes) {
    // A peer needs only the latest change of a key, and values may be large.
    std::erase_if(Recent, [&](const recent_change &Older) {
      return Older.Change.Record.Key == Change.Record.Key;
    });
    Recent.push_back({Revision, Change});
  }
  while (Recent.size() > MaxRecentChanges) {
    RecentAfter = Recent.front().SeenAt;
    Recent.pop_front();
  }
}

std::string store_watch::pageAfter(std::uint64_t AfterRevision) const {
  platform::watch_page Page;
  Page.Revision = std::max(Revision, AfterRevision);
  for (const recent_change &Each : Recent)
    if (Each.SeenAt > AfterRevision)
      Page.Changes.push_back(Each.Change);
  return platform::formatWatch(Page);
}

platform::http_answer store_watch::answerToPeer(std::string Page,
                                                instant ArrivedAt) const {
  platform::http_answer Answer{StatusOk, std::move(Page)};
  Answer.Era = Era;
  Answer.Proof = proxy::proofForPeer(Proof, ArrivedAt);

  return Answer;
}

platform::http_answer store_watch::refusalToPeer(unsigned Status) const {
  platform::http_answer Answer{Status, {}};
  Answer.Era = Era;
  return Answer;
}

void store_watch::servePeer(std::uint64_t AfterRevision,
                            platform::http_callback Done) {
  const instant Now = Clock();
  if (!HasRead || proxy::eraOf(AfterRevision) > Era) {
    Done(refusalToPeer(StatusUnavailable));
    return;
  }
  if (AfterRevision < RecentAfter) {
    Done(refusalToPeer(StatusHistoryLost));
    return;
  }
  const bool HasChange =
      !Recent.empty() && Recent.back().SeenAt > AfterRevision;
  if (HasChange)
    Done(answerToPeer(pageAfter(AfterRevision), Now));
  else
    PeerWatches.push_back(
        {AfterRevision, Now, Proof.ProvenAt, std::move(Done)});
}

void store_watch::answerOverduePeers() {
  const instant Overdue = Clock() - PeerWatchTimeout;
  if (!PeerWatches.empty() && PeerWatches.front().ArrivedAt <= Overdue)
    answerPeerWatches(Overdue);
}

void store_watch::answerPeerWatches(instant ArrivedBefore) {
  std::vector<peer_watch> Unanswered;
  Unanswered.swap(PeerWatches);
  // Most peers wait for the same revision, and a page may be large.
  std::map<std::uint64_t, std::string> Pages;
  for (peer_watch &Peer : Unanswered) {
    const bool HasChange =
        !Recent.empty() && Recent.back().SeenAt > Peer.AfterRevision;
    if (!HasChange && Peer.ArrivedAt > ArrivedBefore &&
        Peer.ProvenAt == Proof.ProvenAt) {
      PeerWatches.push_back(std::move(Peer));
      continue;
    }
    auto Page = Pages.find(Peer.AfterRevision);
    if (Page == Pages.end())
      Page = Pages.emplace(Peer.AfterRevision, pageAfter(Peer.AfterRevision))
                 .first;
    Peer.Done(answerToPeer(Page->second, Peer.ArrivedAt));
  }
}

void store_watch::failPeerWatches() {
  std::vector<peer_watch> Unanswered;
  Unanswered.swap(PeerWatches);
  for (peer_watch &Peer : Unanswered)
    Peer.Done({});
}

bool store_watch::isNewer(const platform::store_change &Change) const {
  const auto Found = KnownRevisions.find(Change.Record.Key);
  if (Found != KnownRevisions.end())
    return Change.Record.Revision > Found->second;
  // All keys that existed at Revision are known, so an older change of another
  // key was followed by a removal. A peer's watch may repeat such changes.
  return !HasRead || Change.Record.Revision > Revision;
}

void store_watch::apply(std::vector<platform::store_change> Changes,
                        std::uint64_t CompleteUntil, bool IsFullRead) {
  std::vector<platform::store_change> Newer;
  for (platform::store_change &Change : Changes) {
    if (!isNewer(Change))
      continue;
    if (Change.Removed)
      KnownRevisions.erase(Change.Record.Key);
    else
      KnownRevisions[Change.Record.Key] = Change.Record.Revision;
    Newer.push_back(std::move(Change));
  }
  Revision = CompleteUntil;
  if (HasRead)
    recordRecent(Newer);
  if (!Newer.empty() || IsFullRead)
    Hooks.Changed(Newer);
}

} // namespace bronzespar::serve
