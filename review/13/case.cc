/// A service with SyncReplicas 1. The replica that has confirmed the commits is
/// lost and leaves the list. The hosts' processes are killed; the new ones know
/// of one replica only, which received nothing for a while, and promote it as
/// the primary crashes.
#include "../world-3.hh"

using namespace world3;

int main(int Count, char **Arguments) {
  begin(Count, Arguments);
  store Store;
  duty_api Duty;
  service Service;
  Service.Name = "db1";
  Service.SyncReplicas = 1;
  for (const char *Place : {"suva", "nadi", "lautoka"})
    Service.Members.push_back(std::make_unique<member>(
        Service, std::string("i-") + Place, Place,
        std::string(Place) == "suva"));
  Duty.Services = {&Service};
  std::mutex Guard;
  std::set<std::string> Acknowledged;
  std::atomic<unsigned> Lost{0};
  std::atomic<bool> HasLeader{false};
  Duty.OnLead = [&](const member &Leader) {
    const std::lock_guard Lock(Guard);
    std::set<std::string> Held;
    for (const log_entry &Entry : Leader.Log)
      Held.insert(Entry.Id);
    unsigned Missing = 0;
    for (const std::string &Id : Acknowledged)
      Missing += Held.contains(Id) ? 0 : 1;
    Record.line("%s is promoted with %zu commits; %u of %zu acknowledged ones "
                "are missing",
                Leader.Id.c_str(), Held.size(), Missing, Acknowledged.size());
    Lost = std::max<unsigned>(Lost, Missing);
    HasLeader = true;
  };
  Store.put("op/config", R"({"Version":7,"Routes":[{"Name":"r-1",
    "Database":"orders","Type":"primary","TimeoutMs":800,"TargetLatencyMs":100,
    "Priority":1,"Backend":"db1","Public":false}],"Services":[{"Name":"db1",
    "MaxConnections":16,"SyncReplicas":1}],"Limits":{"MaxBodyBytes":262144,
    "TxIdleMs":3000},"Tenants":[{"Name":"acme","ApiKeys":["key-a"],
    "RatePerS":135,"Burst":135}]})");
  Service.beat(Store);
  std::thread([&] {
    while (true) {
      sleepMs(1200);
      Service.beat(Store);
    }
  }).detach();
  std::list<machine> Machines;
  for (const char *Place : {"suva", "nadi", "lautoka"})
    Machines.emplace_back(std::string("edge-") + Place, Place, Store.port(),
                          Duty.port());
  const auto StartAll = [&] {
    for (machine &Each : Machines)
      Each.start();
    for (machine &Each : Machines)
      if (!Each.awaitReady())
        finish(2, "a host did not become ready");
  };
  StartAll();
  sleepMs(4500);

  client Client;
  const auto Write = [&] {
    if (!Client.isOpen() &&
        !Client.open(Machines.front().Callers, "orders", "key-a"))
      return false;
    const std::string Id = newId();
    const auto Answer = Client.query(Id, "WRITE item data");
    Record.line("WRITE %s: %s", Id.c_str(), Answer.Code.c_str());
    if (Answer.done()) {
      const std::lock_guard Lock(Guard);
      Acknowledged.insert(Id);
    }
    return Answer.done();
  };
  if (!Write())
    finish(2, "the first write was not served");
  member &Primary = *Service.find("i-suva");
  member &Confirming = *Service.find("i-nadi");
  member &Deaf = *Service.find("i-lautoka");
  if (hasTrouble()) {
    const std::lock_guard Lock(Service.Guard);
    Deaf.IsDeaf = true;
    Record.line("i-lautoka receives nothing from now on");
  }
  for (int Each = 0; Each < 20; ++Each) {
    if (!Write())
      finish(2, "a write was not served");
    sleepMs(20);
  }
  if (hasTrouble()) {
    const long LostAt = nowMs();
    Record.line("i-nadi, which has confirmed the commits, is lost for good");
    Confirming.crash();
    while (Store.list("servers/").contains("servers/i-nadi") &&
           nowMs() < LostAt + 5000)
      sleepMs(20);
    Record.line("the entry of i-nadi is removed after three silent check-ins");
    for (machine &Each : Machines)
      Each.kill(SIGKILL);
    Record.line("all processes of the hosts were killed");
    sleepMs(500);
    StartAll();
    Record.line("i-suva, the primary, crashes");
    Primary.crash();
    {
      const std::lock_guard Lock(Service.Guard);
      Deaf.IsDeaf = false;
    }
    Record.line("i-lautoka could receive again");
    sleepMs(6500);
    Record.line("i-suva comes back with its log");
    Primary.restart(true);
    Service.beat(Store);
  }
  sleepMs(6000);
  if (Lost > 0)
    finish(1, std::to_string(Lost) + " acknowledged commits are not in the log "
                                     "of the member that was promoted");
  finish(0, HasLeader ? "the promoted member holds all acknowledged commits"
                      : "no member was promoted");
}
