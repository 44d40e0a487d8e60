/// Adapter between the session host's events and effects and the platform:
/// calls to its store, and orders to promote a target.
#pragma once

#include "store_watch.hpp"
#include "wiring.hpp"
#include <platform/http_link.hpp>

#include <bronzespar/proxy/interface.hpp>

#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace bronzespar::serve {

/// Receives the key of an entry or document that is unusable, and the error.
using fault_sink =
    std::function<void(const std::string &Key, const std::string &Fault)>;

/// Receives what each answer to the watch of the operator's document showed,
/// and the version that came with it, or 0.
using receipt_sink =
    std::function<void(const proxy::watch_receipt &, std::uint64_t Version)>;

/// Decides whether an order may be sent now.
using order_check =
    std::function<bool(const proxy::effects::order_promotion &)>;

/// \brief Channels for the calls of each kind. A call waits only for earlier
/// calls of its own channel.
struct platform_channels {
  platform::call_function Lease;
  platform::call_function Change;
  platform::call_function Operator;
  platform::call_function Targets;
  platform::call_function Records;
  platform::call_function Promotion; ///< Orders to promote.
};

/// \brief Carries out effects that call the platform and reports the answers as
/// events.
class store_client {
public:
  store_client(const schedule_function &Scheduler, platform_channels Channels,
               event_sink Sink, fault_sink FaultSink, order_check OrderCheck,
               clock_function Now,
               duration SettingsDeadline = proxy::DefaultSettingsDeadline);
  store_client(const store_client &) = delete;
  store_client &operator=(const store_client &) = delete;

  void setReceiptSink(receipt_sink Sink) { Receipts = std::move(Sink); }
  void start();
  /// \brief Reports a restore of the store from an older copy, unless the era
  /// is known, and reads everything again.
  void enterEra(std::uint64_t NewEra);
  /// \brief Answers a peer's watch call from this host's own watch.
  /// \returns False when this host does not watch the prefix.
  [[nodiscard]] bool serveWatch(const platform::http_call &Call,
                                platform::http_callback Done);
  /// \brief Answers peers' watch calls that have reached their deadline.
  void answerOverduePeers();
  void carryOut(const proxy::effects::change_records &Change);
  void carryOut(const proxy::effects::read_records &Read);
  void carryOut(const proxy::effects::grant_lease &Grant);
  void carryOut(const proxy::effects::renew_lease &Renew);
  void carryOut(const proxy::effects::revoke_lease &End);
  void carryOut(const proxy::effects::order_promotion &Order);

private:
  void operatorChanged(const std::vector<platform::store_change> &Changes);
  void reportEvacuations(std::set<std::string> DataCentres);
  void targetsChanged(const std::vector<platform::store_change> &Changes);
  void recordsChanged(const std::vector<platform::store_change> &Changes);
  void recordAnswer(bool Answered);
  /// Whether a revision is of an earlier era, so that no record has it.
  [[nodiscard]] bool isOutdated(std::uint64_t Revision) const noexcept;
  void changeAnswered(proxy::call_number Call, std::uint64_t LeastExpected,
                      const platform::http_answer &Answer);
  /// Reads the page after a key; Read holds the records of the earlier pages.
  void readPage(proxy::events::records_read Read, const std::string &AfterKey);
  /// \param SentEra The era known when the call was sent.
  void pageRead(proxy::events::records_read Read,
                const platform::http_answer &Answer,
                const std::string &AfterKey, std::uint64_t SentEra);
  [[nodiscard]] std::array<store_watch *, 3> watches() noexcept;
  watch_hooks operatorHooks();
  watch_hooks hooksFor(void (store_client::*Changed)(
      const std::vector<platform::store_change> &));

  event_sink Events;
  fault_sink Faults;
  order_check MayOrder;
  clock_function Clock;
  receipt_sink Receipts = [](const proxy::watch_receipt &, std::uint64_t) {};
  proxy::watch_receipt LastReceipt; ///< Of the operator's document.
  /// Proofs of the operator's keys as of the latest answer and of the one
  /// before; instant::min(): none.
  instant ProvenAt = instant::min();
  instant ProvenBefore = instant::min();
  std::set<std::string> EvacuatedDataCentres;
  platform::call_function LeaseCall;
  platform::call_function ChangeCall;
  platform::call_function PromotionCall;
  store_watch Operator;
  store_watch Targets;
  store_watch Records;
  std::map<std::string, proxy::target_entry> Entries; ///< By id.
  std::uint64_t Era = 0; ///< Of the store; rises with each restore.
  instant LastAnswerAt{};
  bool StoreReachable = false;
};

} // namespace bronzespar::serve
