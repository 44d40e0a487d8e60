/// A primary is partitioned, and a replica is promoted. The store comes back
/// from a copy that was made before the service's first record, and the hosts'
/// processes are killed. The new ones find no record and write one for the first
/// target that calls itself primary, the partitioned one.
#include "../world-3.hh"

using namespace world3;

namespace {

constexpr long CutMs = 7000;

std::mutex Guard;
/// Term of the member that committed a client's write, and whether another one
/// led a later term by then.
struct commit {
  std::string Member;
  std::uint64_t Term = 0;
  bool IsReplaced = false;
};
std::map<std::string, commit> Commits;
std::set<std::string> Acknowledged;
unsigned Foul = 0;

void writeOn(machine &Machine, int Number) {
  while (true) {
    client Client;
    if (!Client.open(Machine.Callers, "orders",
                     "key-" + std::to_string(Number % 2), 2000)) {
      sleepMs(30);
      continue;
    }
    while (Client.isOpen()) {
      const std::string Id = newId();
      const auto Answer = Client.query(Id, "WRITE item data");
      {
        const std::lock_guard Lock(Guard);
        if (Answer.done()) {
          Acknowledged.insert(Id);
          const commit &Commit = Commits[Id];
          if (Commit.IsReplaced) {
            Foul += 1;
            Record.line("%s: WRITE %s is acknowledged, committed at %s in term "
                        "%lu, which has ended",
                        Machine.Name.c_str(), Id.c_str(), Commit.Member.c_str(),
                        Commit.Term);
          }
        }
      }
      sleepMs(20);
    }
  }
}

} // namespace

int main(int Count, char **Arguments) {
  begin(Count, Arguments);
  store Store;
  Store.tellEra();
  duty_api Duty;
  service Service;
  Service.Name = "db1";
  for (const char *Place : {"suva", "nadi", "lautoka"})
    Service.Members.push_back(std::make_unique<member>(
        Service, std::string(Place) == "suva" ? "i-1" : std::string("i-") + Place,
        Place, std::string(Place) == "suva"));
  member &Old = *Service.find("i-1");
  std::list<machine> Machines;
  for (const char *Name : {"edge-suva-1", "edge-suva-2", "edge-suva-3",
                           "edge-nadi-1", "edge-lautoka-1", "edge-lautoka-2"}) {
    const std::string Zone(Name + 5, std::strlen(Name) - 7);
    Machines.emplace_back(Name, Zone, Store.port(), Duty.port());
  }
  std::atomic<bool> IsCut{false};
  // Cut from four of six hosts (.65 of the fronts) and from the replicas.
  Old.IsCutFrom = [&](pid_t Host) {
    if (!IsCut)
      return false;
    for (const machine &Each : Machines)
      if (Each.Process == Host)
        return Each.Name != "edge-suva-1" && Each.Name != "edge-suva-2";
    return true;
  };
  Service.OnCommit = [&](const member &Member, const std::string &Id) {
    const std::lock_guard Lock(Guard);
    Commits[Id] = {Member.Id, Member.Term, Member.Term < Service.LatestTerm};
  };
  std::atomic<bool> HasLeader{false};
  Duty.OnLead = [&](const member &) { HasLeader = true; };
  Duty.Services = {&Service};
  const std::string Config = R"({"Version":7,"Routes":[{"Name":"r-1",
    "Database":"orders","Type":"primary","TimeoutMs":800,"TargetLatencyMs":100,
    "Priority":1,"Backend":"db1","Public":false}],"Services":[{"Name":"db1",
    "MaxConnections":16,"SyncReplicas":0}],"Limits":{"MaxBodyBytes":262144,
    "TxIdleMs":3000},"Tenants":[{"Name":"acme","ApiKeys":["key-0"],
    "RatePerS":135,"Burst":135},{"Name":"other","ApiKeys":["key-1"],
    "RatePerS":135,"Burst":135}]})";
  Store.put("op/config", Config);
  Service.beat(Store);
  std::thread([&] {
    while (true) {
      sleepMs(1200);
      Service.beat(Store);
    }
  }).detach();
  Store.copy();
  for (machine &Each : Machines)
    Each.start();
  for (machine &Each : Machines)
    if (!Each.awaitReady())
      finish(2, "a host did not become ready");
  int Number = 0;
  for (machine &Each : Machines)
    for (int Session = 0; Session < 2; ++Session)
      std::thread(writeOn, std::ref(Each), Number++).detach();
  sleepMs(1500);

  if (hasTrouble()) {
    Record.line("i-1, the primary, is cut from its replicas and four hosts");
    {
      const std::lock_guard Lock(Service.Guard);
      Old.IsCutOff = true;
    }
    IsCut = true;
    const long CutAt = nowMs();
    while (!HasLeader && nowMs() < CutAt + 5000)
      sleepMs(10);
    if (!HasLeader)
      finish(2, "no replica was promoted in time");
    sleepMs(500);
    Record.line("all processes of the hosts are killed, the store is away");
    for (machine &Each : Machines)
      Each.kill(SIGKILL);
    const long Age = Store.restore(500);
    Store.put("op/config", Config);
    Service.beat(Store);
    Record.line("the store is back from a copy of %ld ms ago", Age);
    sleepMs(400);
    for (machine &Each : Machines)
      Each.start();
    while (nowMs() < CutAt + CutMs)
      sleepMs(10);
    Record.line("the cut of i-1 ends");
    IsCut = false;
    {
      const std::lock_guard Lock(Service.Guard);
      Old.IsCutOff = false;
    }
    sleepMs(900);
    const std::lock_guard Lock(Service.Guard);
    for (const auto &Each : Service.Members)
      if (Each->Term < Service.LatestTerm)
        Each->IsPrimary = false;
  }
  sleepMs(5000);
  const std::lock_guard Lock(Service.Guard);
  const std::lock_guard Also(Guard);
  std::set<std::string> Kept;
  for (const auto &Each : Service.Members)
    if (Each->IsPrimary && Each->Term == Service.LatestTerm)
      for (const log_entry &Entry : Each->Log)
        Kept.insert(Entry.Id);
  unsigned Gone = 0;
  for (const std::string &Id : Acknowledged)
    Gone += Kept.contains(Id) ? 0 : 1;
  Record.line("%zu writes acknowledged, %u of them not in the primary's log",
              Acknowledged.size(), Gone);
  if (Foul > 0)
    finish(1, std::to_string(Foul) + " writes were committed at the old primary "
                                     "after a promote, and acknowledged");
  finish(0, "no write was acknowledged by the old primary after a promote");
}
