/// Injection of faults through control ports and signals.
#include "faults.hpp"

#include "group_state.hpp"

#include <csignal>
#include <fstream>
#include <iostream>

namespace bronzespar::load {

namespace {

constexpr duration ControlTimeout = std::chrono::milliseconds(2000);
/// How far the lagging replicas fall behind.
constexpr int LagMs = 3000;

/// A call to a control port.
struct control_call {
  endpoint Where;
  std::string Body;
};
using control_calls = std::vector<control_call>;

void sendControls(driver &Driver, const control_calls &Calls,
                  const std::function<void()> &Handler) {
  auto Left = std::make_shared<std::size_t>(Calls.size());
  for (const control_call &Control : Calls) {
    http_call Call;
    Call.Where = Control.Where;
    Call.Path = "/fault";
    Call.Body = Control.Body;
    Call.Timeout = ControlTimeout;
    Driver.Client.send(
        Call, [Control, Left, Handler](const http_answer &Answer) {
          constexpr unsigned Success = 200;
          if (Answer.Status != Success)
            std::cerr << "bronzespar: control port " << Control.Where
                      << " did not take " << Control.Body << '\n';
          if (--*Left == 0)
            Handler();
        });
  }
}

std::string faultBody(const std::string &Kind) {
  return R"({"Kind":")" + Kind + R"("})";
}

std::string linkBody(const std::string &Kind, const std::string &From,
                     const std::string &To) {
  return R"({"Kind":")" + Kind + R"(","From":")" + From + R"(","To":")" + To +
         R"("})";
}

std::vector<std::string> allGroups(const load_run &Run) {
  std::vector<std::string> Groups;
  for (const group_settings &Group : Run.Fleet.Groups)
    Groups.push_back(Group.Id.Value);
  return Groups;
}

/// Begins a fault by control calls and heals it by others.
void injectByControl(driver &Driver, const control_calls &Begin,
                     const control_calls &End,
                     const std::vector<std::string> &Groups,
                     const fault_handler &Handler) {
  sendControls(Driver, Begin, [&Driver, End, Groups, Handler] {
    Handler({Groups, [&Driver, End] { sendControls(Driver, End, [] {}); }});
  });
}

const group_settings &chosenGroup(const load_run &Run) {
  return Run.Fleet.Groups[Run.Identity.Seed % Run.Fleet.Groups.size()];
}

void signalProcess(int Pid, int Signal) {
  if (Pid <= 1 || kill(Pid, Signal) != 0)
    std::cerr << "bronzespar: signal " << Signal << " did not reach " << Pid
              << '\n';
}

void injectPrimaryFault(driver &Driver, fault_kind Kind,
                        const fault_handler &Handler) {
  const std::string Group = chosenGroup(Driver.Run).Id.Value;
  readMembers(Driver, [&Driver, Kind, Group, Handler](const auto &Members) {
    const auto &Primaries = Members.Primaries;
    const auto Primary = Primaries.find(Group);
    if (Primary == Primaries.end()) {
      std::cerr << "bronzespar: group " << Group << " has no primary to hit\n";
      Handler({{}, [] {}});
      return;
    }
    const load_target &Target = Primary->second.Target;
    if (Kind == fault_kind::PrimaryCut) {
      injectByControl(Driver, {{Target.Control, faultBody("cut")}},
                      {{Target.Control, faultBody("none")}}, {Group}, Handler);
      return;
    }
    const int Pid = Target.Pid;
    signalProcess(Pid, SIGSTOP);
    Handler({{Group}, [Pid] { signalProcess(Pid, SIGCONT); }});
  });
}

void injectHostKill(driver &Driver, const fault_handler &Handler) {
  const load_run &Run = Driver.Run;
  const load_host &Host = Run.Hosts[Run.Identity.Seed % Run.Hosts.size()];
  signalProcess(Host.Pid, SIGKILL);
  // The runner starts the host again when it sees the marker.
  Handler({allGroups(Run), [] {}});
}

void injectReplicaLag(driver &Driver, const fault_handler &Handler) {
  readMembers(Driver, [&Driver, Handler](const auto &Members) {
    const auto &Primaries = Members.Primaries;
    control_calls Begin;
    control_calls End;
    std::map<std::string, bool> Lagging;
    for (const load_target &Target : Driver.Run.Targets) {
      const std::string &Group = Target.Group.Value;
      const auto Primary = Primaries.find(Group);
      const bool Leads =
          Primary != Primaries.end() && Primary->second.Target.Id == Target.Id;
      if (Leads || Lagging[Group])
        continue;
      Lagging[Group] = true;
      Begin.push_back({Target.Control, R"({"Kind":"lag","LagMs":)" +
                                           std::to_string(LagMs) + '}'});
      End.push_back({Target.Control, faultBody("none")});
    }
    injectByControl(Driver, Begin, End, allGroups(Driver.Run), Handler);
  });
}

void injectSilence(driver &Driver, const fault_handler &Handler) {
  const group_id &Group = chosenGroup(Driver.Run).Id;
  control_calls Begin;
  control_calls End;
  for (const load_target &Target : Driver.Run.Targets) {
    if (Target.Group != Group)
      continue;
    Begin.push_back({Target.Control, faultBody("silent-connections")});
    End.push_back({Target.Control, faultBody("none")});
  }
  injectByControl(Driver, Begin, End, {Group.Value}, Handler);
}

void injectDataCentreCut(driver &Driver, const fault_handler &Handler) {
  const load_run &Run = Driver.Run;
  const auto &Centres = Run.Fleet.DataCentres;
  const std::string Cut = Centres[Run.Identity.Seed % Centres.size()].Id.Value;
  std::vector<std::string> Others{"platform"};
  for (const data_centre_settings &Centre : Centres) {
    if (Centre.Id.Value != Cut)
      Others.push_back(Centre.Id.Value);
  }
  control_calls Begin;
  control_calls End;
  for (const std::string &Other : Others) {
    const endpoint &Network = Run.NetworkControl;
    Begin.push_back({Network, linkBody("cut", Cut, Other)});
    Begin.push_back({Network, linkBody("cut", Other, Cut)});
    End.push_back({Network, linkBody("none", Cut, Other)});
    End.push_back({Network, linkBody("none", Other, Cut)});
  }
  injectByControl(Driver, Begin, End, allGroups(Run), Handler);
}

} // namespace

std::optional<fault_kind> faultFromName(const std::string &Name) {
  std::string Enumerator;
  bool Upper = true;
  for (const char Letter : Name) {
    if (Letter == '-') {
      Upper = true;
      continue;
    }
    Enumerator += Upper ? static_cast<char>(Letter - 'a' + 'A') : Letter;
    Upper = false;
  }
  return enumFromName<fault_kind>(Enumerator);
}

void injectFault(driver &Driver, fault_kind Kind,
                 const fault_handler &Handler) {
  const endpoint &Platform = Driver.Run.PlatformControl;
  switch (Kind) {
  case fault_kind::None:
  case fault_kind::AccountSurge:
    Handler({{}, [] {}});
    break;
  case fault_kind::PrimaryCut:
  case fault_kind::PrimaryFreeze:
    injectPrimaryFault(Driver, Kind, Handler);
    break;
  case fault_kind::HostKill:
    injectHostKill(Driver, Handler);
    break;
  case fault_kind::PlatformOutage:
    injectByControl(Driver, {{Platform, faultBody("outage")}},
                    {{Platform, faultBody("none")}}, allGroups(Driver.Run),
                    Handler);
    break;
  case fault_kind::ReplicaLag:
    injectReplicaLag(Driver, Handler);
    break;
  case fault_kind::SilentConnections:
    injectSilence(Driver, Handler);
    break;
  case fault_kind::DcCut:
    injectDataCentreCut(Driver, Handler);
    break;
  }
}

} // namespace bronzespar::load
