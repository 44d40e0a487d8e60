// Two of the three machines of a zone get SIGTERM; see the claim.
#include "../script-2.hh"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace stand;

namespace {

constexpr double GraceMs = 6000, LossSlackMs = 200, TimeoutMs = 1200;

int Result = 2;
bool Stop = false;
tally Count;
std::map<string, double> RunAt; ///< When a member began to run a request.
unsigned Lost = 0;

/// The check of LOST for a request whose connection ended without an answer.
void judge(const host &at, const string &id, double sentAt, double endedAt) {
  if (at.termAt == 0 || sentAt > at.termAt + GraceMs + 1000)
    return record("not judged " + id);
  const bool passedOn = RunAt.contains(id);
  const double held = endedAt - sentAt;
  const bool timedOut = held >= TimeoutMs;
  const bool excused = sentAt <= at.termAt + 3000;
  char line[160];
  std::snprintf(line, sizeof line,
                "%s cut %s: sent %.0f ms after SIGTERM, held %.0f ms, %s%s%s",
                at.name.c_str(), id.c_str(), sentAt - at.termAt, held,
                passedOn ? "passed on to a member" : "not passed on",
                timedOut ? ", time limit reached" : "",
                excused ? ", sent no later than 3 s after SIGTERM" : "");
  const bool isLost = (passedOn || held > LossSlackMs) && !timedOut && !excused;
  record(string(line) + (isLost ? ": LOST" : ": not counted"));
  Lost += isLost ? 1 : 0;
}

/// A caller with a session for each operation, by way of the platform's entry
/// point.
task callAnew(deployment *all, string zone, unsigned number) {
  unsigned round = number;
  co_await sleepMs(number * 37 % 600);
  while (!Stop) {
    round += 1;
    host *at = all->route(zone, static_cast<unsigned>(std::rand()));
    session each;
    if (at == nullptr || !co_await each.connect(at->address, at->frontend)) {
      co_await sleepMs(10);
      continue;
    }
    answer last = co_await each.startup("looks", keyOf(number % 8 + 1));
    if (!last.closed && last.state == "I") {
      const string id = newId();
      const string statement = "READ item" + std::to_string(round % 50);
      Count.sent += 1;
      const double sentAt = now();
      record(at->name + " sent " + id + " " + statement);
      last = co_await each.query(id, statement);
      record(at->name + " answered " + id + " " +
             (last.closed ? "closed" : last.code + " " + last.text));
      (last.closed ? Count.unanswered
       : last.ok   ? Count.served
                   : Count.refused) += 1;
      if (last.closed)
        judge(*at, id, sentAt, now());
    }
    each.close();
    co_await sleepMs(600);
  }
}

task script() {
  deployment &all = makeDeployment();
  service &db = all.addService("db1", {"suva", "nadi", "lautoka"}, 24, 64, 100);
  for (auto &each : db.members)
    each->onRun = [](member &at, const string &id, const string &statement) {
      RunAt[id] = now();
      record("member " + at.id + " runs " + id + " " + statement);
    };
  putUsualConfig(all, 8, TimeoutMs);
  for (const char *zone :
       {"suva", "suva", "suva", "nadi", "lautoka", "lautoka"})
    all.startHost(all.addHost(zone));
  all.startProbes();
  if (!co_await all.awaitReady(20))
    co_return;
  for (unsigned i = 1; i <= 250; ++i)
    spawn(callAnew(&all, i <= 220 ? "suva" : i <= 235 ? "nadi" : "lautoka", i));
  co_await sleepMs(6000);
  if (hasTrouble()) {
    all.signal(*all.hosts[0], SIGTERM);
    all.signal(*all.hosts[1], SIGTERM);
  }
  for (unsigned i = 0; i < 80; ++i) {
    co_await sleepMs(100);
    all.reap();
  }
  Stop = true;
  co_await sleepMs(1500);
  record("callers: " + text(Count));
  record("requests lost: " + std::to_string(Lost));
  Result = Lost > 0 ? 1 : Count.served > 0 ? 0 : 2;
}

} // namespace

int main() { return run(script(), Result, 100); }
