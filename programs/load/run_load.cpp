/// The course of one run, from ready hosts to the state after the load.
#include "run_load.hpp"

#include <boost/leaf/common.hpp>

#include <fstream>

namespace bronzespar::load {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto ReadyTimeout = 30s;
constexpr auto ProbeInterval = 200ms;
/// Longest wait for work that is still running at the end of the load.
constexpr auto DrainTimeout = 20s;
/// Longest wait for each group to have a primary after the load.
constexpr auto PrimaryTimeout = 15s;
constexpr auto PollInterval = 100ms;

/// Everything that runs at the same time as the load.
struct load_course {
  asio::io_context Context;
  driver Driver;
  asio::steady_timer Arrivals{Context};
  asio::steady_timer Probe{Context};
  asio::steady_timer Injection{Context};
  asio::steady_timer Healing{Context};
  active_fault Active;
  std::optional<fault_span> Fault;
  bool Probing = true;

  explicit load_course(const load_run &Run) : Driver(Context, Run) {}
};

void keepProbing(load_course &Course) {
  probeHosts(Course.Driver, [&Course] {
    if (!Course.Probing)
      return;
    Course.Probe.expires_after(ProbeInterval);
    Course.Probe.async_wait([&Course](const auto &Error) {
      if (!Error && Course.Probing)
        keepProbing(Course);
    });
  });
}

/// Runs the context until a condition holds. \returns False when time is up.
template <class Condition>
bool runUntil(load_course &Course, std::chrono::milliseconds Timeout,
              Condition Holds) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    Course.Context.run_for(10ms);
    Course.Context.restart();
  }
  return true;
}

bool allReady(const load_course &Course) {
  for (const entry_host &Host : Course.Driver.Hosts) {
    if (!Host.Ready)
      return false;
  }
  return true;
}

void scheduleNext(load_course &Course) {
  driver &Driver = Course.Driver;
  if (Driver.NextWork == Driver.Plan.size())
    return;
  Course.Arrivals.expires_at(Driver.Start + Driver.Plan[Driver.NextWork].At);
  Course.Arrivals.async_wait([&Course](const auto &Error) {
    if (Error)
      return;
    driver &Due = Course.Driver;
    runWork(Due, Due.Plan[Due.NextWork++]);
    scheduleNext(Course);
  });
}

void heal(load_course &Course) {
  if (Course.Active.Heal)
    Course.Active.Heal();
  if (Course.Fault)
    Course.Fault->Until = nowOf(Course.Driver);
  std::ofstream Marker(Course.Driver.Run.HealMarker);
  Marker << "healed\n";
}

void scheduleFault(load_course &Course, fault_kind Kind) {
  if (Kind == fault_kind::None)
    return;
  const auto &Start = Course.Driver.Start;
  const duration Third = Course.Driver.Run.Length / 3;
  Course.Injection.expires_at(Start + Third);
  Course.Injection.async_wait([&Course, Kind, Third](const auto &) {
    const instant From = nowOf(Course.Driver);
    injectFault(Course.Driver, Kind,
                [&Course, From, Third](active_fault Fault) {
                  Course.Fault = fault_span{From, From + Third, Fault.Groups};
                  Course.Active = std::move(Fault);
                });
  });
  Course.Healing.expires_at(Start + 2 * Third);
  Course.Healing.async_wait([&Course](const auto &) { heal(Course); });
}

std::optional<surge> surgeOf(const load_run &Run, fault_kind Kind) {
  if (Kind != fault_kind::AccountSurge)
    return std::nullopt;
  surge Surge;
  Surge.Account =
      static_cast<std::uint32_t>(Run.Identity.Seed % Run.Fleet.Accounts.size());
  Surge.From = Run.Length / 3;
  Surge.Until = 2 * Surge.From;
  return Surge;
}

/// Each session reads one of its rows again, within the account's rate.
void planLastReads(load_course &Course) {
  driver &Driver = Course.Driver;
  const load_settings &Load = Driver.Run.Load;
  Driver.Plan.clear();
  Driver.NextWork = 0;
  const auto Accounts =
      static_cast<std::uint32_t>(Driver.Run.Fleet.Accounts.size());
  const duration Now = nowOf(Driver).time_since_epoch();
  for (std::uint32_t Account = 0; Account < Accounts; ++Account) {
    const double Rate =
        Driver.Run.Fleet.Accounts[Account].RatePerSecond * Load.PartOfRate;
    for (std::uint32_t Number = 0; Number < Load.SessionsPerAccount; ++Number) {
      planned_work Work;
      const auto Pause = static_cast<std::int64_t>(Number * 1e6 / Rate);
      Work.At = Now + duration(Pause);
      Work.Account = Account;
      Work.Session = Number;
      Work.RandomRoute = static_cast<std::uint32_t>(Driver.Random());
      Work.RandomRow =
          static_cast<std::uint32_t>(Driver.Random()) / 10 * 10 + 9;
      Driver.Plan.push_back(Work);
    }
  }
  std::stable_sort(Driver.Plan.begin(), Driver.Plan.end(),
                   [](const planned_work &Left, const planned_work &Right) {
                     return Left.At < Right.At;
                   });
}

bool finishWork(load_course &Course, std::chrono::milliseconds Longest) {
  driver &Driver = Course.Driver;
  return runUntil(Course, Longest, [&Driver] {
    return Driver.NextWork == Driver.Plan.size() && Driver.Working == 0;
  });
}

void readLastState(load_course &Course, run_result &Result) {
  const std::size_t Groups = Course.Driver.Run.Fleet.Groups.size();
  const auto Deadline = std::chrono::steady_clock::now() + PrimaryTimeout;
  while (Result.Members.Primaries.size() < Groups &&
         std::chrono::steady_clock::now() < Deadline) {
    bool Done = false;
    readMembers(Course.Driver, [&](const members_state &Members) {
      Result.Members = Members;
      Done = true;
    });
    if (!runUntil(Course, PrimaryTimeout, [&Done] { return Done; }))
      return;
    if (Result.Members.Primaries.size() < Groups)
      Course.Context.run_for(PollInterval);
    Course.Context.restart();
  }
}

std::chrono::milliseconds roundUp(duration Length) {
  return std::chrono::ceil<std::chrono::milliseconds>(Length);
}

} // namespace

boost::leaf::result<run_result> runLoad(const load_run &Run, fault_kind Kind) {
  load_course Course(Run);
  driver &Driver = Course.Driver;
  keepProbing(Course);
  if (!runUntil(Course, ReadyTimeout, [&] { return allReady(Course); }))
    return boost::leaf::new_error(run_fault{"not all hosts became ready"});
  Driver.Plan = planWork(limitsOf(Run.Fleet), Run.Load, Run.Length,
                         Run.Identity.Seed, surgeOf(Run, Kind));
  Driver.Start = std::chrono::steady_clock::now();
  scheduleNext(Course);
  scheduleFault(Course, Kind);
  const auto Length = roundUp(Run.Length);
  bool Finished = finishWork(Course, Length + DrainTimeout);
  planLastReads(Course);
  scheduleNext(Course);
  Finished = finishWork(Course, DrainTimeout) && Finished;
  run_result Result;
  readLastState(Course, Result);
  Course.Probing = false;
  if (!Finished)
    return boost::leaf::new_error(run_fault{"requests were still running"});
  Result.History = std::move(Driver.History);
  Result.Fault = Course.Fault;
  return Result;
}

} // namespace bronzespar::load
