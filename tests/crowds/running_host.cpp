/// The process of a session host.
#include "running_host.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace bronzespar::crowds {

namespace {

constexpr int MaxTries = 30;
/// The process is calm when its size is the same in so many polls.
constexpr int CalmPolls = 60;
constexpr int MaxCalmPolls = 600;
constexpr auto CalmPollDelay = std::chrono::milliseconds(50);
constexpr int AnswerWaitS = 5; ///< A connection without an answer hangs.
constexpr auto RetryDelay = std::chrono::milliseconds(200);
/// Beyond MaxFds, so that the process has to keep to its setting.
constexpr rlim_t ProcessDescriptors = 4096;

std::string operatorDocument() {
  return R"({"Version":1,"Routes":[{"Database":"sales","Backend":"g1",)"
         R"("Type":"bounded_staleness","TimeoutMs":1000,)"
         R"("TargetLatencyMs":200,"MaxStalenessMs":60000,"Priority":1}],)"
         R"("Services":[{"Name":"g1","MaxConnections":16,"SyncReplicas":0}],)"
         R"("Tenants":[{"Name":"acme","ApiKeys":["k1"],"RatePerS":100000,)"
         R"("Burst":100000}],"Limits":{"TxIdleMs":3000}})";
}

std::string targetEntry(std::uint16_t Port) {
  return R"({"Backend":"g1","Address":"127.0.0.1:)" + std::to_string(Port) +
         R"(","Zone":"suva","Version":"1","Capacity":8,"Phase":"ready",)"
         R"("ColdRemainingMs":0,"Sequence":1,"DbRole":"primary","born":1})";
}

} // namespace

host_ports freePorts() {
  // A port that is released before the next one is chosen may be given again.
  const descriptor Callers = listenOn(0);
  const descriptor Readiness = listenOn(0);
  const descriptor Peers = listenOn(0);
  const descriptor Metrics = listenOn(0);
  return {portOf(Callers), portOf(Readiness), portOf(Peers), portOf(Metrics)};
}

running_host::running_host()
    : Folder(std::filesystem::temp_directory_path() /
             ("bronzespar-crowd-" + std::to_string(::getpid()) + "-" +
              std::to_string(Ports.Callers))) {
  Store.put("op/config", operatorDocument());
  Store.put("servers/i-1", targetEntry(Target.port()));
  std::filesystem::create_directories(Folder);
  start();
  if (!servesOrdinaryRequest())
    throw std::runtime_error("the host does not serve before the crowd comes");
}

running_host::~running_host() {
  if (lives()) {
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

std::string running_host::settings() const {
  const auto At = [](std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port) + '\n';
  };
  return "[host]\nid = edge-1\ndata_centre = suva\ncallers = " +
         At(Ports.Callers) + "readiness = " + At(Ports.Readiness) +
         "peers = " + At(Ports.Peers) + "metrics = " + At(Ports.Metrics) +
         "[platform]\nstore = " + At(Store.port()) +
         "duty = " + At(Store.port()) + "minimum_lease_ms = 1000\n[bounds]\n" +
         "grace_period_s = 6\ndrain_ms = 7000\n[limits]\nmemory_mb = " +
         std::to_string(MemoryMb) + "\nmax_fds = " + std::to_string(MaxFds) +
         '\n';
}

void running_host::start() {
  const std::string Path = (Folder / "host.ini").string();
  const std::string Log = (Folder / "log").string();
  const std::string Program = BRONZESPAR_PROGRAMS "/bronzespar-sessiond";
  std::ofstream(Path) << settings();
  Process = ::fork();
  if (Process != 0)
    return;
  const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT, 0600);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::close(Output);
  const rlimit Limit{ProcessDescriptors, ProcessDescriptors};
  ::setrlimit(RLIMIT_NOFILE, &Limit);
  ::execl(Program.c_str(), Program.c_str(), "--settings", Path.c_str(),
          nullptr);
  ::_exit(127);
}

bool running_host::lives() const {
  return Process > 0 && ::waitpid(Process, nullptr, WNOHANG) == 0;
}

std::size_t running_host::peakMemoryKb() const { return statusKb("VmHWM:"); }

void running_host::awaitCalm() const {
  std::size_t Last = 0;
  int Unchanged = 0;
  for (int Poll = 0; Poll < MaxCalmPolls && Unchanged < CalmPolls; ++Poll) {
    std::this_thread::sleep_for(CalmPollDelay);
    const std::size_t Now = statusKb("VmRSS:");
    Unchanged = Now == Last ? Unchanged + 1 : 0;
    Last = Now;
  }
}

std::size_t running_host::statusKb(const std::string &Name) const {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  std::string Word;
  std::size_t Kb = 0;
  while (Status >> Word)
    if (Word == Name)
      Status >> Kb;
  return Kb;
}

std::size_t running_host::openDescriptors() const {
  const std::filesystem::directory_iterator Open(
      "/proc/" + std::to_string(Process) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(Open), end(Open)));
}

bool running_host::readOnce() const {
  const descriptor Socket = dial(Ports.Callers);
  const timeval Wait{AnswerWaitS, 0};
  ::setsockopt(Socket.get(), SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof Wait);
  if (!Socket.isOpen() ||
      !sendAll(Socket.get(), std::string("STARTUP ") + Database + ' ' + Key +
                                 "\r\nQUERY 5c0e7a21d94b36f8 READ 1a4\r\n"))
    return false;
  std::string Answer;
  while (receiveInto(Socket.get(), Answer))
    if (Answer.find("ROW small\r\nCOMPLETE 1.2\r\nREADY") != std::string::npos)
      return true;
    else if (Answer.find("ERROR") != std::string::npos)
      return false;
  return false;
}

bool running_host::servesOrdinaryRequest() const {
  for (int Try = 0; Try < MaxTries && lives(); ++Try) {
    if (readOnce())
      return true;
    std::this_thread::sleep_for(RetryDelay);
  }
  return false;
}

} // namespace bronzespar::crowds
