// A primary drains and has no replica that could take over; see the claim.
#include "script.hh"

#include <csignal>
#include <cstdio>

using namespace stand;

namespace {

constexpr double DrainTimeoutMs = 7000;

int Result = 2;
bool Stop = false;
tally Count;
double AcceptedAt = 0; ///< The store accepted the report.
unsigned Late = 0;
double Latest = 0;

task script() {
  deployment &all = makeDeployment();
  service &db = all.addService("db1", {"suva", "nadi", "lautoka"}, 2, 16, 5);
  for (auto &each : db.members)
    each->onRun = [](member &at, const string &id, const string &statement) {
      const double since = now() - AcceptedAt;
      record("member " + at.id + " runs " + id + " " + statement +
             (AcceptedAt > 0 && at.draining
                  ? " " + std::to_string(static_cast<int>(since)) +
                        " ms after the store accepted that it drains"
                  : ""));
      if (AcceptedAt == 0 || !at.draining || since <= DrainTimeoutMs)
        return;
      Late += 1;
      Latest = std::max(Latest, since);
    };
  service &other = all.addService("db2", {"nadi", "lautoka", "suva"}, 2, 16, 5);
  putUsualConfig(all, 8, 800);
  for (const char *zone :
       {"suva", "suva", "suva", "nadi", "lautoka", "lautoka"})
    all.startHost(all.addHost(zone));
  all.startProbes();
  if (!co_await all.awaitReady(20))
    co_return;
  co_await sleepMs(45000);
  for (auto &each : all.hosts)
    for (unsigned i = 1; i <= 4; ++i)
      spawn(callOrdinarily(each.get(), i % 2 ? "settles" : "orders",
                           keyOf(i + 1), 40, 0.2, &Count, &Stop));
  co_await sleepMs(2000);
  // The disturbance: both replicas are lost for good.
  if (hasTrouble())
    for (std::size_t i = 1; i < db.members.size(); ++i) {
      record("member " + db.members[i]->id + " is lost");
      db.members[i]->crash();
    }
  co_await sleepMs(9000);
  // The planned work: members of both services are to be shut down, one after
  // the other; the second one is a primary.
  other.members[1]->draining = true;
  other.members[1]->checkIn();
  record("the store has accepted that " + other.members[1]->id + " drains");
  co_await sleepMs(300);
  member &primary = *db.members.front();
  primary.draining = true;
  primary.checkIn();
  AcceptedAt = now();
  record("the store has accepted that " + primary.id + " drains");
  co_await sleepMs(DrainTimeoutMs + 3000);
  record(primary.id + " ends");
  primary.crash();
  co_await sleepMs(500);
  Stop = true;
  co_await sleepMs(1000);
  record("callers: " + text(Count));
  record("requests that reached the member too late: " + std::to_string(Late) +
         ", the last one " + std::to_string(static_cast<int>(Latest)) +
         " ms after the confirmation");
  Result = Late > 0 ? 1 : Count.served > 0 ? 0 : 2;
}

} // namespace

int main() { return run(script(), Result, 100); }
