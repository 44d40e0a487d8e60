/// What one host spends on control at a given size: the decision library is
/// driven with virtual inputs for a span of virtual time while nothing is
/// served. Prints one JSON line for each size: processor time, messages and
/// bytes a second, and the memory that the state takes.
#include <bronzespar/host_state.hpp>
#include <bronzespar/wire/peer_codec.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <ctime>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace {

using namespace bronzespar;
namespace options = boost::program_options;

constexpr std::size_t MembersInGroup = 3;
constexpr duration TickInterval = 2ms;
constexpr duration HeartbeatInterval = 200ms;
constexpr duration MemberReportInterval = 100ms;

struct fleet_size {
  std::size_t DataCentres = 3;
  std::size_t Hosts = 6;
  std::size_t Groups = 3;
  std::size_t Accounts = 8;
};

/// What was counted over the measured span.
struct control_count {
  std::size_t Messages = 0;
  std::size_t Bytes = 0;
  std::size_t PlatformCalls = 0;
  std::map<std::string, std::size_t> BytesByKind;
};

data_centre_id centreName(std::size_t Index) {
  return data_centre_id("dc" + std::to_string(Index));
}

endpoint addressOf(std::size_t Number) {
  return {"127.0.0.1", static_cast<std::uint16_t>(1024 + Number % 60000)};
}

std::string memberName(std::size_t Group, std::size_t Member) {
  return "g" + std::to_string(Group) + "-" + std::to_string(Member);
}

std::string settingsText(const fleet_size &Size) {
  std::ostringstream Text;
  Text << "[/b/sessions]\ntoken_key = 0123456789abcdef\n";
  const std::size_t Slots =
      (Size.Hosts + Size.DataCentres - 1) / Size.DataCentres;
  for (std::size_t Centre = 0; Centre < Size.DataCentres; ++Centre)
    Text << "[/b/data-centres/dc" << Centre
         << "]\nregion = r\nhosts = " << Slots << '\n';
  for (std::size_t Account = 0; Account < Size.Accounts; ++Account)
    Text << "[/b/accounts/a" << Account << "]\nrate = 100\nburst = 50\n";
  for (std::size_t Group = 0; Group < Size.Groups; ++Group) {
    for (std::size_t Member = 0; Member < MembersInGroup; ++Member) {
      const std::size_t Number = Group * MembersInGroup + Member;
      const std::size_t Centre = (Group + Member) % Size.DataCentres;
      Text << "[/b/groups/g" << Group << "/members/"
           << memberName(Group, Member) << "]\ndata_centre = dc" << Centre
           << "\nstatements = " << addressOf(Number)
           << "\nmaintenance = " << addressOf(Number)
           << "\nreplication = " << addressOf(Number)
           << "\nslots = 2\nconnections = 16\n";
    }
    Text << "[/b/routes/r" << Group << "]\ngroup = g" << Group
         << "\naccounts = *\n";
  }
  return Text.str();
}

/// One host under measure, and the virtual world round it.
struct bench_host {
  fleet_size Size;
  host_settings Self;
  host_state_ptr State;
  instant Now{};
  effect_list Effects;
  std::vector<target_id> Watched;
  std::vector<host_id> Linked;
  std::uint64_t Beat = 0;
  std::uint64_t Index = 1;
  control_count Count;
};

void count(bench_host &Host, const effects::send_peer_message &Send) {
  const std::string Frame =
      encodeFrame({0, Send.Message}, "0123456789abcdef", "nonce");
  constexpr const char *Kinds[] = {
      "heartbeat",     "member_reports", "forward_request", "forward_answer",
      "share_demand",  "share_grant",    "settings_offer",  "settings_fetch",
      "settings_body", "key_withdrawal", "trace_copy",      "trace_query",
      "trace_reply"};
  ++Host.Count.Messages;
  Host.Count.Bytes += Frame.size();
  Host.Count.BytesByKind[Kinds[Send.Message.index()]] += Frame.size();
}

void take(bench_host &Host) {
  for (const effect &Effect : Host.Effects) {
    if (const auto *Send = std::get_if<effects::send_peer_message>(&Effect))
      count(Host, *Send);
    else if (const auto *Watch = std::get_if<effects::watch_member>(&Effect))
      Host.Watched.push_back(Watch->Target);
    else if (const auto *Peer = std::get_if<effects::connect_peer>(&Effect))
      Host.Linked.push_back(Peer->Host);
    else if (std::holds_alternative<effects::call_platform>(Effect))
      ++Host.Count.PlatformCalls;
  }
  Host.Effects.clear();
}

void feed(bench_host &Host, const event &Event) {
  step(*Host.State, Event, Host.Now, Host.Effects);
  take(Host);
}

std::vector<listed_host> hostList(const fleet_size &Size) {
  std::vector<listed_host> Hosts;
  for (std::size_t Index = 0; Index < Size.Hosts; ++Index)
    Hosts.push_back({host_id("h" + std::to_string(Index)),
                     centreName(Index % Size.DataCentres), addressOf(Index),
                     false});
  return Hosts;
}

void feedHeartbeats(bench_host &Host) {
  ++Host.Beat;
  for (const host_id &Peer : Host.Linked) {
    heartbeat Beat;
    Beat.Incarnation = 1;
    Beat.Sequence = Host.Beat;
    Beat.Phase = host_phase::Serving;
    Beat.Revision = 1;
    feed(Host, events::peer_message_arrived{Peer, Beat});
  }
}

void feedReports(bench_host &Host) {
  ++Host.Index;
  for (const target_id &Target : Host.Watched) {
    member_report Report;
    Report.Target = Target.Value;
    const std::string Group = Target.Value.substr(0, Target.Value.find('-'));
    Report.Primary = Group + "-0";
    Report.Role = Report.Primary == Report.Target ? member_role::Primary
                                                  : member_role::Replica;
    Report.Term = 1;
    Report.Position = {1, Host.Index};
    Report.PrimaryPosition = Report.Position;
    events::member_reported Event;
    Event.Target = Target;
    Event.Report = Report;
    Event.SentAt = Host.Now;
    feed(Host, Event);
  }
}

void runFor(bench_host &Host, duration Span) {
  const instant End = Host.Now + Span;
  instant NextBeat = Host.Now;
  instant NextReport = Host.Now;
  while (Host.Now < End) {
    Host.Now += TickInterval;
    if (Host.Now >= NextBeat) {
      feedHeartbeats(Host);
      NextBeat = Host.Now + HeartbeatInterval;
    }
    if (Host.Now >= NextReport) {
      feedReports(Host);
      NextReport = Host.Now + MemberReportInterval;
    }
    feed(Host, events::tick{});
  }
}

bench_host makeHost(const fleet_size &Size, const std::string &Charts) {
  bench_host Host;
  Host.Size = Size;
  Host.Self.Id = host_id("h0");
  Host.Self.DataCentre = centreName(0);
  Host.Self.ChartDirectory = Charts;
  Host.State = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<host_state_ptr> {
        return makeHostState(Host.Self, 1, 1);
      },
      [] { return host_state_ptr{}; });
  return Host;
}

/// Resident memory of this process in kibibytes.
std::size_t residentKib() {
  std::ifstream Status("/proc/self/status");
  std::string Line;
  while (std::getline(Status, Line)) {
    if (Line.starts_with("VmRSS:"))
      return std::stoul(Line.substr(6));
  }
  return 0;
}

double perSecond(std::size_t Amount, double Seconds) {
  return static_cast<double>(Amount) / Seconds;
}

constexpr double BytesInKb = 1000;

void print(const bench_host &Host, duration Span, double CpuSeconds,
           std::size_t Kib) {
  const double Seconds = toSeconds(Span);
  std::cout << "{\"hosts\":" << Host.Size.Hosts
            << ",\"databases\":" << Host.Size.Groups
            << ",\"accounts\":" << Host.Size.Accounts
            << ",\"watched_members\":" << Host.Watched.size()
            << ",\"peer_links\":" << Host.Linked.size()
            << ",\"cpu_percent\":" << 100 * CpuSeconds / Seconds
            << ",\"messages_per_s\":" << perSecond(Host.Count.Messages, Seconds)
            << ",\"kb_per_s\":"
            << perSecond(Host.Count.Bytes, Seconds) / BytesInKb
            << ",\"platform_calls_per_s\":"
            << perSecond(Host.Count.PlatformCalls, Seconds)
            << ",\"state_kib\":" << Kib;
  for (const auto &[Kind, Bytes] : Host.Count.BytesByKind)
    std::cout << ",\"" << Kind
              << "_kb_per_s\":" << perSecond(Bytes, Seconds) / BytesInKb;
  std::cout << "}\n";
}

bool measure(const fleet_size &Size, duration Span, const std::string &Charts) {
  const std::size_t Before = residentKib();
  bench_host Host = makeHost(Size, Charts);
  if (!Host.State) {
    std::cerr << "bench_control_cost: no usable charts in " << Charts << '\n';
    return false;
  }
  feed(Host, events::settings_read{1, settingsText(Size)});
  feed(Host, events::hosts_listed{hostList(Size)});
  for (const host_id &Peer : std::vector<host_id>(Host.Linked))
    feed(Host, events::peer_connected{Peer});
  runFor(Host, 1s);
  Host.Count = {};
  const std::clock_t Start = std::clock();
  runFor(Host, Span);
  const double Cpu = static_cast<double>(std::clock() - Start) / CLOCKS_PER_SEC;
  print(Host, Span, Cpu, residentKib() - Before);
  return true;
}

} // namespace

int main(int Count, char **Arguments) {
  fleet_size Size;
  std::uint32_t Seconds = 5;
  std::string Charts = "charts";
  options::options_description Known("usage: bench_control_cost [OPTION...]");
  Known.add_options()("help", "print this help")(
      "data-centres", options::value(&Size.DataCentres), "data centres")(
      "hosts", options::value(&Size.Hosts), "hosts of the system")(
      "databases", options::value(&Size.Groups), "database groups")(
      "accounts", options::value(&Size.Accounts), "client accounts")(
      "seconds", options::value(&Seconds), "virtual seconds measured")(
      "charts", options::value(&Charts), "folder of the state charts");
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(Count, Arguments, Known),
                   Values);
    options::notify(Values);
    if (Values.count("help") != 0) {
      std::cout << Known;
      return 0;
    }
  } catch (const options::error &Error) {
    std::cerr << "bench_control_cost: " << Error.what() << '\n' << Known;
    return 2;
  }
  return measure(Size, std::chrono::seconds(Seconds), Charts) ? 0 : 1;
}
