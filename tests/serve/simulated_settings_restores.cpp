/// Outages of the simulated store from which it comes back as an older copy,
/// and what is written again afterwards.
#include "simulated_settings.hpp"

#include <proxy/records.hpp>

#include <algorithm>
#include <utility>

namespace settings_test {

void simulated_settings::whenStoreIsUp(std::function<void()> Write) {
  if (Queue.Now >= StoreDownUntil) {
    Write();
    return;
  }
  Queue.at(StoreDownUntil + 1ms, [this, Write = std::move(Write)]() mutable {
    whenStoreIsUp(std::move(Write));
  });
}

void simulated_settings::writeRecord(simulated_host &Host) {
  if (!Host.Running)
    return;
  proxy::host_record Record;
  Record.PeerEndpoint = Host.Where;
  Record.DataCentre = Host.DataCentre;
  Record.LinkMbps = Host.LinkMbps;
  Store.write("bronzespar/hosts/" + Host.Name, proxy::formatRecord(Record));
}

/// One or two restores, at times the second soon after the first.
void simulated_settings::scheduleRestores() {
  const instant First = Queue.Now + drawSpan(6s, End - Queue.Now - 12s);
  Queue.at(First, [this] { beginOutage(); });
  if (draw() < 0.5)
    Queue.at(First + drawSpan(100ms, 6s), [this] { beginOutage(); });
}

void simulated_settings::beginOutage() {
  if (Queue.Now < StoreDownUntil)
    return;
  Outage = static_cast<refusal>(Random() % 3);
  const duration Lost = drawSpan(1s, 10s);
  StoreDownUntil = Queue.Now + drawSpan(50ms, 3s);
  StoreStableSince = std::max(StoreStableSince, StoreDownUntil);
  trace("the store is away until " +
        std::to_string(toSeconds(StoreDownUntil - instant(1000s))));
  if (Outage == refusal::Reset)
    Store.endWatches();
  Queue.at(StoreDownUntil,
           [this, CopiedAt = Queue.Now - Lost] { restoreStore(CopiedAt); });
}

void simulated_settings::restoreStore(instant CopiedAt) {
  Restores += 1;
  Store.restore(CopiedAt);
  std::erase_if(Confirmed, [&](const version &Each) {
    return Each.ConfirmedAt > CopiedAt;
  });
  trace("the store is back with revision " + std::to_string(Store.Revision) +
        " and era " + std::to_string(Store.Era));
  rewriteLost();
}

void simulated_settings::rewriteLost() {
  Queue.at(Queue.Now + drawSpan(50ms, 1s), [this] {
    whenStoreIsUp([this] {
      if (!Confirmed.empty() && Confirmed.back().Number == LastVersion)
        return;
      trace("version " + std::to_string(LastVersion) + " again");
      Confirmed.push_back({LastVersion, Queue.Now});
      Store.write("op/config", LastDocument);
    });
  });
  for (auto &[Name, Each] : Hosts)
    Queue.at(Queue.Now + drawSpan(100ms, 1500ms), [this, &Host = Each] {
      whenStoreIsUp([this, &Host] {
        if (Host.Running)
          writeRecord(Host);
        else
          Store.remove("bronzespar/hosts/" + Host.Name);
      });
    });
}

} // namespace settings_test
