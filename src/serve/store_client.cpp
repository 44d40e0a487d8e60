/// Calls to the platform and the events made of their answers.
#include "store_client.hpp"

#include <bronzespar/proxy/store_revision.hpp>
#include <platform/operator_document.hpp>
#include <platform/store_codec.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::serve {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusLeaseGone = 404;
constexpr unsigned StatusNotRunning = 409;
constexpr unsigned StatusConflict = 412;
constexpr unsigned StatusRejected = 429;
constexpr unsigned StatusUnavailable = 503;

/// A lease call without an answer within this time is sent again on a new
/// connection.
constexpr duration LeaseCallTimeout = std::chrono::milliseconds(600);
/// The store counts as unreachable after this time without an answer.
constexpr duration StoreOutageTimeout = std::chrono::milliseconds(1200);

proxy::change_outcome outcomeOf(unsigned Status) {
  switch (Status) {
  case StatusOk:
    return proxy::change_outcome::Done;
  case StatusConflict:
    return proxy::change_outcome::Conflict;
  case StatusLeaseGone:
    return proxy::change_outcome::LeaseGone;
  case StatusRejected:
  case StatusUnavailable:
    return proxy::change_outcome::Rejected;
  default:
    return proxy::change_outcome::Unknown;
  }
}

proxy::order_outcome orderOutcomeOf(const platform::http_answer &Answer) {
  if (!Answer.Sent)
    return proxy::order_outcome::NotSent;
  switch (Answer.Status) {
  case StatusOk:
    return proxy::order_outcome::Accepted;
  case StatusNotRunning:
    return proxy::order_outcome::NotRunning;
  case StatusRejected:
  case StatusUnavailable:
    return proxy::order_outcome::Rejected;
  default:
    return proxy::order_outcome::Unanswered;
  }
}

proxy::events::change_ended changeEnded(proxy::call_number Call,
                                        const platform::http_answer &Answer) {
  proxy::events::change_ended Event;
  Event.Call = Call;
  Event.Outcome = outcomeOf(Answer.Status);
  Event.Revision = platform::parseRevision(Answer.Body, Answer.Era);
  if (Event.Outcome == proxy::change_outcome::Conflict)
    Event.Current = platform::parseConflict(Answer.Body, Answer.Era);
  return Event;
}

/// The least revision that a change expects of an existing record, or 0.
std::uint64_t leastExpected(const proxy::effects::change_records &Change) {
  std::uint64_t Least = 0;
  for (const auto &[Key, Revision] : Change.Expected)
    if (Revision != 0 && (Least == 0 || Revision < Least))
      Least = Revision;
  return Least;
}

} // namespace

store_client::store_client(const schedule_function &Scheduler,
                           platform_channels Channels, event_sink Sink,
                           fault_sink FaultSink, order_check OrderCheck,
                           clock_function Now, duration SettingsDeadline)
    : Events(std::move(Sink)), Faults(std::move(FaultSink)),
      MayOrder(std::move(OrderCheck)), Clock(std::move(Now)),
      LeaseCall(std::move(Channels.Lease)),
      ChangeCall(std::move(Channels.Change)),
      PromotionCall(std::move(Channels.Promotion)),
      Operator(Scheduler, Clock, std::move(Channels.Operator),
               std::string(platform::OperatorPrefix),
               proxy::settingsTiming(SettingsDeadline), operatorHooks()),
      Targets(Scheduler, Clock, std::move(Channels.Targets),
              std::string(platform::TargetsPrefix), proxy::targetsTiming(),
              hooksFor(&store_client::targetsChanged)),
      Records(Scheduler, Clock, std::move(Channels.Records),
              std::string(platform::OwnPrefix), proxy::recordsTiming(),
              hooksFor(&store_client::recordsChanged)) {}

watch_hooks store_client::operatorHooks() {
  watch_hooks Hooks = hooksFor(&store_client::operatorChanged);
  Hooks.Received = [this](const proxy::watch_receipt &Receipt) {
    LastReceipt = Receipt;
    ProvenBefore =
        std::exchange(ProvenAt, Receipt.IsProven ? Clock() - Receipt.ProofAge
                                                 : instant::min());
    Receipts(Receipt, 0);
  };
  return Hooks;
}

watch_hooks store_client::hooksFor(void (store_client::*Changed)(
    const std::vector<platform::store_change> &)) {
  return {[this, Changed](const std::vector<platform::store_change> &Changes) {
            (this->*Changed)(Changes);
          },
          [this](bool Answered) { recordAnswer(Answered); },
          [this](const std::string &Key, const std::string &Fault) {
            Faults(Key, Fault);
          }};
}

std::array<store_watch *, 3> store_client::watches() noexcept {
  return {&Operator, &Targets, &Records};
}

void store_client::start() {
  for (store_watch *Watch : watches())
    Watch->start();
}

void store_client::enterEra(std::uint64_t NewEra) {
  if (NewEra <= Era)
    return;
  Era = NewEra;
  Events(proxy::events::store_restored{Era});
  for (store_watch *Watch : watches())
    Watch->enterEra(Era);
}

bool store_client::serveWatch(const platform::http_call &Call,
                              platform::http_callback Done) {
  const auto Request = platform::parseWatchCall(Call.Path);
  if (!Request)
    return false;
  for (store_watch *Watch : watches())
    if (Watch->prefix() == Request->Prefix) {
      if (!StoreReachable && Watch->hasRead()) {
        Done({});
        return true;
      }
      // A host of an earlier version tells no era, and knows of none.
      Watch->servePeer(proxy::orderedRevision(Call.Era.value_or(Era),
                                              Request->AfterRevision),
                       std::move(Done));
      return true;
    }
  return false;
}

void store_client::answerOverduePeers() {
  for (store_watch *Watch : watches())
    Watch->answerOverduePeers();
}

void store_client::recordAnswer(bool Answered) {
  const instant Now = Clock();
  if (Answered)
    LastAnswerAt = Now;
  const bool IsReachable =
      Answered || (StoreReachable && Now < LastAnswerAt + StoreOutageTimeout);
  if (IsReachable == StoreReachable)
    return;
  StoreReachable = IsReachable;
  if (!StoreReachable)
    for (store_watch *Watch : watches())
      Watch->failPeerWatches();
  Events(proxy::events::store_reachability_changed{StoreReachable});
}

void store_client::reportEvacuations(std::set<std::string> DataCentres) {
  if (DataCentres == EvacuatedDataCentres)
    return;
  EvacuatedDataCentres = std::move(DataCentres);
  proxy::events::evacuations_changed Event{EvacuatedDataCentres};
  if (ProvenBefore != instant::min())
    Event.MaxAge = Clock() - ProvenBefore;
  Events(std::move(Event));
}

void store_client::operatorChanged(
    const std::vector<platform::store_change> &Changes) {
  std::set<std::string> Evacuated = EvacuatedDataCentres;
  for (const platform::store_change &Change : Changes) {
    if (Change.Record.Key.starts_with(platform::EvacuationPrefix)) {
      const auto DataCentre =
          Change.Record.Key.substr(platform::EvacuationPrefix.size());
      if (Change.Removed)
        Evacuated.erase(DataCentre);
      else
        Evacuated.insert(DataCentre);
      continue;
    }
    if (Change.Record.Key != platform::OperatorKey || Change.Removed)
      continue;
    std::string Fault;
    if (auto Settings =
            platform::parseOperatorDocument(Change.Record.Value, Fault)) {
      Receipts(LastReceipt, Settings->Version);
      Events(proxy::events::settings_changed{std::move(*Settings)});
    } else {
      Faults(Change.Record.Key, Fault);
    }
  }
  reportEvacuations(std::move(Evacuated));
}

void store_client::targetsChanged(
    const std::vector<platform::store_change> &Changes) {
  for (const platform::store_change &Change : Changes) {
    const std::string Id =
        Change.Record.Key.substr(platform::TargetsPrefix.size());
    if (Change.Removed) {
      Entries.erase(Id);
      continue;
    }
    std::string Fault;
    if (auto Entry =
            platform::parseTargetEntry(Id, Change.Record.Value, Fault)) {
      Entries[Id] = std::move(*Entry);
    } else {
      Entries.erase(Id);
      Faults(Change.Record.Key, Fault);
    }
  }
  proxy::events::targets_listed Listed;
  for (const auto &[Id, Entry] : Entries)
    Listed.Targets.push_back(Entry);
  Events(std::move(Listed));
}

void store_client::recordsChanged(
    const std::vector<platform::store_change> &Changes) {
  for (const platform::store_change &Change : Changes) {
    proxy::store_record Record = Change.Record;
    Record.Key.erase(0, platform::OwnPrefix.size());
    if (Change.Removed)
      Events(proxy::events::record_removed{std::move(Record.Key),
                                           Record.Revision});
    else
      Events(proxy::events::record_changed{std::move(Record)});
  }
}

bool store_client::isOutdated(std::uint64_t Revision) const noexcept {
  return Revision != 0 && proxy::eraOf(Revision) < Era;
}

void store_client::carryOut(const proxy::effects::change_records &Change) {
  const std::uint64_t Least = leastExpected(Change);
  if (isOutdated(Least)) {
    // The store may have given the number out again, to another record.
    proxy::events::change_ended Event;
    Event.Call = Change.Call;
    Event.Outcome = proxy::change_outcome::Conflict;
    Events(std::move(Event));
    return;
  }
  platform::http_call Call = platform::changeCall(Change);
  Call.MaySend = [this, Least] { return !isOutdated(Least); };
  ChangeCall(std::move(Call), [this, Number = Change.Call,
                               Least](const platform::http_answer &Answer) {
    changeAnswered(Number, Least, Answer);
  });
}

void store_client::changeAnswered(proxy::call_number Call,
                                  std::uint64_t LeastExpected,
                                  const platform::http_answer &Answer) {
  recordAnswer(Answer.Status != 0);
  proxy::events::change_ended Event = changeEnded(Call, Answer);
  if (isOutdated(LeastExpected) && !Answer.Sent)
    Event.Outcome = proxy::change_outcome::Conflict;
  // The condition may have held for a record that isn't the expected one.
  if (isOutdated(LeastExpected) && Answer.Status == StatusOk)
    Event.Outcome = proxy::change_outcome::Unknown;
  Events(std::move(Event));
}

void store_client::carryOut(const proxy::effects::read_records &Read) {
  proxy::events::records_read Event;
  Event.Call = Read.Call;
  Event.Prefix = Read.Prefix;
  readPage(std::move(Event), {});
}

void store_client::readPage(proxy::events::records_read Read,
                            const std::string &AfterKey) {
  platform::http_call Call = platform::rangeCall(
      std::string(platform::OwnPrefix) + Read.Prefix, AfterKey);
  ChangeCall(std::move(Call),
             [this, SentEra = Era, Read = std::move(Read),
              AfterKey](const platform::http_answer &Answer) mutable {
               pageRead(std::move(Read), Answer, AfterKey, SentEra);
             });
}

void store_client::pageRead(proxy::events::records_read Read,
                            const platform::http_answer &Answer,
                            const std::string &AfterKey,
                            std::uint64_t SentEra) {
  auto Page = Answer.Status == StatusOk
                  ? platform::parseRange(Answer.Body, Answer.Era)
                  : std::nullopt;
  recordAnswer(Page.has_value());
  const bool IsRepeated = Page && platform::isRepeated(*Page, AfterKey);
  if (IsRepeated)
    Faults(AfterKey, std::string(platform::RepeatedPageFault));
  // Pages of two eras make no whole.
  const bool IsTorn = !AfterKey.empty() && SentEra != Era;
  if (!Page || IsRepeated || IsTorn) {
    Read.Records.clear();
    Events(std::move(Read));
    return;
  }
  // Later pages may be newer, so only the first one's revision holds for all.
  if (Read.Records.empty())
    Read.Revision = Page->Revision;
  const std::string LastKey =
      Page->Records.empty() ? std::string() : Page->Records.back().Key;
  for (proxy::store_record &Record : Page->Records) {
    Record.Key.erase(0, platform::OwnPrefix.size());
    Read.Records.push_back(std::move(Record));
  }
  if (Page->HasMore && !LastKey.empty()) {
    readPage(std::move(Read), LastKey);
    return;
  }
  Read.Answered = true;
  Events(std::move(Read));
}

void store_client::carryOut(const proxy::effects::grant_lease &Grant) {
  platform::http_call Call = platform::grantCall(Grant.TimeToLive);
  Call.Timeout = LeaseCallTimeout;
  LeaseCall(std::move(Call),
            [this, SentAt = Clock()](const platform::http_answer &Answer) {
              const auto Granted = Answer.Status == StatusOk
                                       ? platform::parseLease(Answer.Body)
                                       : std::nullopt;
              recordAnswer(Granted.has_value());
              proxy::events::lease_answered Event;
              Event.SentAt = SentAt;
              Event.Answered = Granted && Granted->Lease != 0;
              if (Event.Answered) {
                Event.Lease = Granted->Lease;
                Event.TimeToLive = Granted->TimeToLive;
              }
              Events(Event);
            });
}

void store_client::carryOut(const proxy::effects::renew_lease &Renew) {
  platform::http_call Call = platform::renewCall(Renew.Lease);
  Call.Timeout = LeaseCallTimeout;
  LeaseCall(
      std::move(Call), [this, SentEra = Era, Lease = Renew.Lease,
                        SentAt = Clock()](const platform::http_answer &Answer) {
        // The store may have given the id out again, to another host.
        const bool IsOther = SentEra != 0 && SentEra != Era;
        const bool Renewed = Answer.Status == StatusOk && !IsOther;
        const bool Gone = Answer.Status == StatusLeaseGone ||
                          (Answer.Status == StatusOk && IsOther);
        recordAnswer(Renewed || Gone);
        proxy::events::lease_answered Event;
        Event.SentAt = SentAt;
        Event.Answered = Renewed || Gone;
        Event.Lease = Renewed ? Lease : 0;
        if (const auto Granted =
                Renewed ? platform::parseLease(Answer.Body) : std::nullopt)
          Event.TimeToLive = Granted->TimeToLive;
        Events(Event);
      });
}

void store_client::carryOut(const proxy::effects::revoke_lease &End) {
  ChangeCall(platform::revokeCall(End.Lease),
             [this](const platform::http_answer &Answer) {
               recordAnswer(Answer.Status != 0);
             });
}

void store_client::carryOut(const proxy::effects::order_promotion &Order) {
  platform::http_call Call = platform::promoteCall(Order);
  Call.MaySend = [this, Order] {
    if (!MayOrder(Order))
      return false;
    Events(proxy::events::promotion_sent{Order.Group, Order.Target,
                                         Order.FencingToken, Order.DecidedAt});
    return true;
  };
  PromotionCall(std::move(Call),
                [this, Group = Order.Group,
                 Number = Order.Call](const platform::http_answer &Answer) {
                  Events(proxy::events::promotion_answered{
                      Group, Number, orderOutcomeOf(Answer)});
                });
}

} // namespace bronzespar::serve
