/// A client with a valid key gives its session many values. The session host
/// keeps them all, without a limit, and outgrows its machine's memory.
#include "../world-3.hh"

using namespace world3;

namespace {

constexpr std::size_t ValueBytes = 200U << 10U; ///< Below MaxBodyBytes.
constexpr unsigned Values = 1400;               ///< Of one session.
constexpr unsigned Ends = 3;
constexpr long Length = 60000;

struct watched {
  std::unique_ptr<machine> Machine;
  std::atomic<unsigned> OwnEnds{0}, OrdinaryServed{0}, OrdinaryCut{0};
  std::atomic<std::size_t> PeakMb{0};
  std::atomic<bool> IsUp{false};
};

/// The platform: a process that exceeds MemoryMb is killed, and is restarted
/// after a short delay.
void supervise(watched &Each) {
  while (nowMs() < Length) {
    sleepMs(10);
    const std::size_t Mb = Each.Machine->residentMb();
    Each.PeakMb = std::max<std::size_t>(Each.PeakMb, Mb);
    const bool Lives = Each.Machine->lives();
    if (Lives && Mb <= Each.Machine->MemoryMb)
      continue;
    Each.IsUp = false;
    Record.line("%s: process %s at %zu MB of %u MB", Each.Machine->Name.c_str(),
                Lives ? "is killed for its memory" : "has ended", Mb,
                Each.Machine->MemoryMb);
    Each.Machine->kill(SIGKILL);
    Each.OwnEnds += 1;
    sleepMs(1000);
    Each.Machine->start();
    Each.Machine->awaitReady();
    Each.IsUp = true;
  }
}

/// Sends SET statements of legal size one after the other, and reads each
/// answer. Without the trouble the names repeat, so that ten values are held.
void unruly(watched &Each) {
  const std::string Value(ValueBytes, 'v');
  while (nowMs() < Length) {
    client Client;
    if (!Each.IsUp || !Client.open(Each.Machine->Callers, "orders", "key-b")) {
      sleepMs(100);
      continue;
    }
    unsigned Acknowledged = 0;
    for (unsigned Index = 0; Index < Values && Client.isOpen(); ++Index) {
      const unsigned Name = hasTrouble() ? Index : Index % 10;
      const auto Answer = Client.query(
          newId(), "SET v" + std::to_string(Name) + ' ' + Value);
      if (!Answer.done())
        break;
      Acknowledged += 1;
    }
    Record.line("%s: %u values were acknowledged to the unruly client%s",
                Each.Machine->Name.c_str(), Acknowledged,
                Client.isOpen() ? "" : ", its connection ended");
    sleepMs(200);
  }
}

void ordinary(watched &Each) {
  while (nowMs() < Length) {
    client Client;
    if (!Each.IsUp || !Client.open(Each.Machine->Callers, "orders", "key-a")) {
      sleepMs(50);
      continue;
    }
    while (Client.isOpen() && nowMs() < Length) {
      const auto Answer = Client.query(newId(), "WRITE item data");
      if (Answer.done())
        Each.OrdinaryServed += 1;
      else if (!Client.isOpen())
        Each.OrdinaryCut += 1;
      sleepMs(40);
    }
  }
}

} // namespace

int main(int Count, char **Arguments) {
  begin(Count, Arguments);
  store Store;
  duty_api Duty;
  service Service;
  Service.Name = "db1";
  Service.Members.push_back(
      std::make_unique<member>(Service, "i-1", "suva", true));
  Service.Members.push_back(
      std::make_unique<member>(Service, "i-2", "nadi", false));
  Duty.Services = {&Service};
  Store.put("op/config", R"({"Version":7,"Routes":[{"Name":"r-1",
    "Database":"orders","Type":"primary","TimeoutMs":800,"TargetLatencyMs":100,
    "Priority":1,"Backend":"db1","Public":false}],"Services":[{"Name":"db1",
    "MaxConnections":16,"SyncReplicas":0}],"Limits":{"MaxBodyBytes":262144,
    "TxIdleMs":3000},"Tenants":[{"Name":"acme","ApiKeys":["key-a"],
    "RatePerS":135,"Burst":135},{"Name":"other","ApiKeys":["key-b"],
    "RatePerS":135,"Burst":135}]})");
  Service.beat(Store);
  std::thread([&] {
    while (true) {
      sleepMs(1200);
      Service.beat(Store);
    }
  }).detach();

  watched Machines[2];
  for (int Index = 0; Index < 2; ++Index) {
    Machines[Index].Machine = std::make_unique<machine>(
        "edge-" + std::to_string(Index + 1), Index == 0 ? "suva" : "nadi",
        Store.port(), Duty.port());
    Machines[Index].Machine->start();
  }
  for (watched &Each : Machines) {
    if (!Each.Machine->awaitReady())
      finish(2, "a host did not become ready");
    Each.IsUp = true;
  }
  for (watched &Each : Machines) {
    std::thread(supervise, std::ref(Each)).detach();
    std::thread(unruly, std::ref(Each)).detach();
    std::thread(ordinary, std::ref(Each)).detach();
  }
  bool AllEnded = false;
  while (!AllEnded && nowMs() < Length) {
    sleepMs(100);
    AllEnded = Machines[0].OwnEnds >= Ends && Machines[1].OwnEnds >= Ends;
  }
  for (const watched &Each : Machines)
    Record.line("%s: ended by itself %u times, peak %zu MB; ordinary client: "
                "%u served, %u cut without an answer",
                Each.Machine->Name.c_str(), Each.OwnEnds.load(),
                Each.PeakMb.load(), Each.OrdinaryServed.load(),
                Each.OrdinaryCut.load());
  if (Machines[0].OrdinaryServed == 0 || Machines[1].OrdinaryServed == 0)
    finish(2, "the ordinary clients were never served");
  if (AllEnded)
    finish(1, "processes of both machines went over their memory three times");
  finish(0, "no two machines ended three times");
}
