// What the scripts share: the deployment of a script and its ordinary callers.
#pragma once

#include "stand-2.hh"

#include <cstdlib>

namespace stand {

inline bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return value == nullptr || string(value) != "0";
}

/// A deployment in a temporary folder, which is removed at the end.
inline deployment &makeDeployment() {
  char name[] = "/tmp/bronzespar-review-XXXXXX";
  return *new deployment(mkdtemp(name));
}

/// What ordinary callers saw.
struct tally {
  unsigned sent = 0, served = 0, refused = 0, unanswered = 0;
};

inline string keyOf(unsigned tenantNumber) {
  return "key" + std::to_string(tenantNumber) + "abcdefgh";
}

/// Routes `orders` (primary), `looks` (bounded_staleness) and `settles`
/// (read_your_writes), all to one service, and a few tenants.
inline void putUsualConfig(deployment &all, unsigned tenants, double timeoutMs,
                           double rate = 2000) {
  json::array routes, list;
  const string &service = all.services.front()->name;
  routes.push_back(route("r-1", "orders", "primary", service, timeoutMs, 0));
  routes.push_back(
      route("r-2", "looks", "bounded_staleness", service, timeoutMs, 1500));
  routes.push_back(
      route("r-3", "settles", "read_your_writes", service, timeoutMs, 2500));
  for (unsigned i = 1; i <= tenants; ++i)
    list.push_back(tenant("tenant" + std::to_string(i), keyOf(i), rate));
  all.putConfig(std::move(routes), std::move(list));
}

/// An ordinary caller: single statements, one at a time, on one session, with a
/// pause between them; it reconnects after a close.
inline task callOrdinarily(host *at, string database, string key,
                           double pauseMs, double writes, tally *count,
                           const bool *stop) {
  unsigned round = 0;
  while (!*stop) {
    session each;
    if (!co_await each.connect(at->address, at->frontend)) {
      count->sent += 1;
      count->unanswered += 1;
      co_await sleepMs(200);
      continue;
    }
    answer last = co_await each.startup(database, key);
    while (!*stop && !last.closed && last.state == "I") {
      round += 1;
      const string id = newId();
      const bool isWrite =
          writes > 0 && round % static_cast<unsigned>(1 / writes) == 0;
      const string text = (isWrite ? "WRITE item" : "READ item") +
                          std::to_string(round % 50) +
                          (isWrite ? " value" + id : "");
      count->sent += 1;
      record(at->name + " sent " + id + " " + text);
      last = co_await each.query(id, text);
      record(at->name + " answered " + id + " " +
             (last.closed ? "closed" : last.code + " " + last.text));
      (last.closed ? count->unanswered
       : last.ok   ? count->served
                   : count->refused) += 1;
      co_await sleepMs(pauseMs);
    }
    each.close();
    co_await sleepMs(20);
  }
}

inline string text(const tally &count) {
  return std::to_string(count.sent) + " sent, " + std::to_string(count.served) +
         " served, " + std::to_string(count.refused) + " refused, " +
         std::to_string(count.unanswered) + " without an answer";
}

} // namespace stand
