/// The write that reopens a group's record is answered with nothing and carried
/// out late.
#include "world.hh"

#include <csignal>
#include <cstdio>

using namespace world;

namespace {

constexpr int RemovedAtMs = 12000; // a host is removed as planned
constexpr int LossFromMs = 19500;  // platform_lost, how = late, for 4.5 s
constexpr int LossForMs = 4500;
constexpr int LateMs = 2000; // "done 1 to 6 s later"
constexpr double LostShare = 0.35;
constexpr int EndMs = 30000;

struct lost_writes {
  int Writes = 0, Lost = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return 2;
  simulation World(Arguments[1], Arguments[2]);
  World.Tenants = {{"tenant-a", {"key-a"}}, {"tenant-b", {"key-b"}}};
  World.addGroup("svc1", {"suva", "nadi", "lautoka"});
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
    Delay += 60; // all machines start within 0.3 s
  }

  lost_writes Loss;
  World.Store.OnTransaction = [&](const json::object &Body) -> verdict {
    const double Now = World.now();
    if (!hasTrouble() || Now < LossFromMs || Now >= LossFromMs + LossForMs)
      return {};
    Loss.Writes += 1;
    // The write that opens the record again; the first of it only.
    const json::value *Writes = Body.if_contains("Writes");
    if (Loss.Lost > 0 || Writes == nullptr || Writes->as_array().empty())
      return {};
    const json::object &Write = Writes->as_array().front().as_object();
    const std::string Key(Write.at("Key").as_string());
    const std::string Before = World.Store.textOf(Key);
    if (!Key.ends_with("groups/svc1") ||
        Before.find("\"open\":false") == std::string::npos)
      return {};
    Loss.Lost += 1;
    World.note("store: a write of " + Key +
               " gets no answer, and is carried out " + std::to_string(LateMs) +
               " ms later if its condition holds");
    return {verdict::LostLate, LateMs};
  };

  std::vector<std::shared_ptr<writer>> Writers;
  World.at(10000, [&] {
    for (int Index = 0; Index < 8; ++Index) {
      const auto &Place = Places[static_cast<std::size_t>(Index) % 4];
      Writers.push_back(std::make_shared<writer>(
          World, Place.first, "orders", Index % 2 ? "key-a" : "key-b",
          "w" + std::to_string(Index) + "-", 10));
      Writers.back()->start();
    }
  });
  // A host that is not the coordinator leaves for good.
  World.at(RemovedAtMs, [&] {
    World.Hosts.at("edge-lautoka-2").Removed = true;
    World.signalHost("edge-lautoka-2", SIGTERM);
  });
  World.at(EndMs, [&] {
    for (const auto &Writer : Writers)
      Writer->stop();
  });
  World.runFor(EndMs + 500);
  World.stopAll();

  // ONE: a write is committed at the old primary after a promote has taken
  // effect, and acknowledged to the client.
  std::map<std::string, std::string> Codes;
  unsigned long Served = 0;
  for (const auto &Writer : Writers)
    for (const attempt &Attempt : Writer->Attempts) {
      Codes[Attempt.Id] = Attempt.Code;
      Served += Attempt.Code == "COMPLETE" ? 1 : 0;
    }
  const member &Leader = World.primaryOf("svc1");
  std::set<std::string> Kept;
  for (const log_entry &Entry : Leader.Log)
    Kept.insert(Entry.Id);
  unsigned long Broken = 0, Gone = 0;
  for (const run &Run : World.Runs)
    if (Run.Committed && Run.OldPrimary && Codes[Run.Id] == "COMPLETE") {
      Broken += 1;
      World.note("ONE: write " + Run.Id + " committed at the old primary " +
                 Run.Member + ' ' + fixed(Run.OldForMs) +
                 " ms after the promote, and acknowledged");
    }
  for (const auto &[Id, Code] : Codes)
    Gone += Code == "COMPLETE" && !Kept.contains(Id) ? 1 : 0;
  World.note("served writes " + std::to_string(Served) +
             ", orders to promote " + std::to_string(World.Promotes.size()) +
             ", lost writes of the store " + std::to_string(Loss.Lost) +
             " of " + std::to_string(Loss.Writes) +
             ", acknowledged at the old primary after the promote " +
             std::to_string(Broken) + ", acknowledged and not in the log " +
             std::to_string(Gone));
  std::printf(
      "acknowledged at the old primary after a promote: %lu; acknowledged "
      "and gone: %lu; store writes without an answer: %d of %d\n",
      Broken, Gone, Loss.Lost, Loss.Writes);
  const bool Fair =
      !hasTrouble() || (Loss.Lost > 0 && Loss.Lost <= LostShare * Loss.Writes);
  if (Served < 100 || !Fair)
    return 2;
  if (World.EndedByThemselves > 0)
    return 2;
  return Broken > 0 ? 1 : 0;
}
