/// A replica is being replaced as planned; the other one receives nothing for a
/// while, and the primary crashes meanwhile. The service has SyncReplicas 1.
#include "world.hh"

#include <cstdio>

using namespace world;

namespace {

constexpr int DrainAtMs = 14000;
constexpr int DeafAtMs = 16000; // replica_lag, how = deaf crash, for 6.5 s
constexpr int DeafForMs = 6500;
constexpr int CrashAtMs = 18000;
constexpr int CrashForMs = 7000;
constexpr int EndMs = 32000;

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return 2;
  simulation World(Arguments[1], Arguments[2]);
  World.Options.SyncReplicas = 1;
  World.Tenants = {{"tenant-a", {"key-a"}}, {"tenant-b", {"key-b"}}};
  group &Group = World.addGroup("svc1", {"suva", "nadi", "lautoka"});
  World.putConfig({simulation::route("orders", "primary", "svc1", 1500)});

  const std::vector<std::pair<std::string, std::string>> Places = {
      {"edge-suva-1", "suva"},
      {"edge-suva-2", "suva"},
      {"edge-nadi-1", "nadi"},
      {"edge-lautoka-1", "lautoka"},
      {"edge-lautoka-2", "lautoka"}};
  int Delay = 0;
  for (const auto &[Name, Zone] : Places) {
    World.addHost(Name, Zone);
    World.after(Delay, [&World, Name = Name] { World.startHost(Name); });
    Delay += 60;
  }

  std::vector<std::shared_ptr<writer>> Writers;
  World.at(10000, [&] {
    for (std::size_t Index = 0; Index < 6; ++Index) {
      Writers.push_back(std::make_shared<writer>(
          World, Places[Index % 5].first, "orders", "key-a",
          "w" + std::to_string(Index) + "-", 20));
      Writers.back()->start();
    }
  });
  member &Primary = *Group.Members[0];
  member &Leaving = *Group.Members[1];
  member &Other = *Group.Members[2];
  World.at(DrainAtMs, [&] { World.drain(Leaving); });
  if (hasTrouble()) {
    World.at(DeafAtMs, [&] {
      World.note("replica " + Other.Id + " receives nothing from now on");
      Other.Deaf = true;
    });
    World.at(CrashAtMs, [&] { World.crash(Primary, CrashForMs); });
    World.at(DeafAtMs + DeafForMs, [&] {
      World.note("replica " + Other.Id + " receives again");
      Other.Deaf = false;
    });
  }
  World.at(EndMs, [&] {
    for (const auto &Writer : Writers)
      Writer->stop();
  });

  // LOST: the service has SyncReplicas, and an acknowledged commit isn't in the
  // log of the member that is promoted.
  std::string Seen = Group.Leader;
  std::set<std::string> Logged;
  double PromotedMs = 0;
  std::function<void()> Look = [&] {
    if (Group.Leader != Seen && Group.PromotedMs != PromotedMs) {
      Seen = Group.Leader;
      PromotedMs = Group.PromotedMs;
      Logged.clear();
      for (const log_entry &Entry : World.primaryOf("svc1").Log)
        Logged.insert(Entry.Id);
    }
    World.after(1, Look);
  };
  Look();
  World.runFor(EndMs + 500);
  World.stopAll();

  unsigned long Served = 0, Lost = 0;
  for (const auto &Writer : Writers)
    for (const attempt &Attempt : Writer->Attempts) {
      if (Attempt.Code != "COMPLETE")
        continue;
      Served += 1;
      if (PromotedMs > 0 && Attempt.AnsweredMs < PromotedMs &&
          !Logged.contains(Attempt.Id)) {
        Lost += 1;
        World.note("LOST: " + Attempt.Id + " acknowledged at " +
                   fixed(Attempt.AnsweredMs) + " ms is not in the log of " +
                   Seen);
      }
    }
  World.note("served " + std::to_string(Served) + ", orders to promote " +
             std::to_string(World.Promotes.size()) +
             ", acknowledged and lost " + std::to_string(Lost));
  std::printf(
      "served writes: %lu; orders to promote: %zu; acknowledged and not in "
      "the log of the promoted member: %lu\n",
      Served, World.Promotes.size(), Lost);
  if (Served < 100)
    return 2;
  if (World.EndedByThemselves > 0)
    return 2;
  return Lost > 0 ? 1 : 0;
}
