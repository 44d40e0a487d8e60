/// Stand-ins for the scripts of the third review: the platform's store and its
/// promote call, members of a service, clients, and processes of the project.
/// They follow PROTOCOL.md; where it is silent, they behave like a sound store,
/// member or client. All listen on loopback addresses and free ports.
#pragma once

#include <boost/json/src.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world3 {

namespace json = boost::json;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline const steady::time_point StartedAt = steady::now();

inline long nowMs() {
  return std::chrono::duration_cast<ms>(steady::now() - StartedAt).count();
}
inline void sleepMs(long Span) { std::this_thread::sleep_for(ms(Span)); }

// ---- record.txt ----------------------------------------------------------

class record_file {
public:
  void open(const std::string &Path) { File = std::fopen(Path.c_str(), "w"); }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard Lock(Guard);
    if (File == nullptr)
      return;
    std::fprintf(File, "%8ld ms  ", nowMs());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::mutex Guard;
  std::FILE *File = nullptr;
};
inline record_file Record;

// ---- sockets -------------------------------------------------------------

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

inline int listenOn(std::uint16_t Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
  const sockaddr_in Address = loopback(Port);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0 ||
      ::listen(Socket, 1024) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

inline std::uint16_t portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof Address;
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

/// A port that was free a moment ago, below the range that the system hands
/// out to outgoing connections.
inline std::uint16_t freePort() {
  static std::atomic<unsigned> Next{
      12000 + static_cast<unsigned>(::getpid()) * 37 % 16000};
  for (int Try = 0; Try < 4000; ++Try) {
    const auto Port = static_cast<std::uint16_t>(12000 + (Next++ - 12000) %
                                                             18000);
    const int Socket = listenOn(Port);
    if (Socket < 0)
      continue;
    ::close(Socket);
    return Port;
  }
  std::fprintf(stderr, "no free port\n");
  std::_Exit(2);
}

inline int dial(std::uint16_t Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Socket);
    return -1;
  }
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Socket;
}

inline bool sendAll(int Socket, std::string_view Text) {
  while (!Text.empty()) {
    const ssize_t Sent = ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Text.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

inline bool receiveInto(int Socket, std::string &Buffer) {
  char Chunk[65536];
  const ssize_t Length = ::recv(Socket, Chunk, sizeof Chunk, 0);
  if (Length <= 0)
    return false;
  Buffer.append(Chunk, static_cast<std::size_t>(Length));
  return true;
}

/// Takes one line without its CR LF. \returns False at the connection's end.
inline bool receiveLine(int Socket, std::string &Buffer, std::string &Line) {
  std::size_t Scanned = 0;
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n", Scanned)) == std::string::npos) {
    Scanned = Buffer.empty() ? 0 : Buffer.size() - 1;
    if (!receiveInto(Socket, Buffer))
      return false;
  }
  Line = Buffer.substr(0, End);
  Buffer.erase(0, End + 2);
  return true;
}

/// Accepts connections, each with a thread of its own, and can be taken down
/// and up again at the same port.
class server {
public:
  using handler = std::function<void(int Socket)>;
  explicit server(handler OnConnection)
      : Handle(std::move(OnConnection)), Port(freePort()) {
    up();
  }
  std::uint16_t port() const { return Port; }
  void up() {
    const std::lock_guard Lock(Guard);
    Listener = listenOn(Port);
    std::thread([this, Socket = Listener] { accept(Socket); }).detach();
  }
  /// Ends all connections.
  void cut() {
    const std::lock_guard Lock(Guard);
    for (const int Socket : Open)
      ::shutdown(Socket, SHUT_RDWR);
  }
  /// Ends the listener and all connections, as a process that is killed does.
  void down() {
    const std::lock_guard Lock(Guard);
    ::shutdown(Listener, SHUT_RDWR);
    ::close(Listener);
    const linger Reset{1, 0};
    for (const int Socket : Open) {
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
      ::shutdown(Socket, SHUT_RDWR);
    }
  }

private:
  void accept(int Socket) {
    while (true) {
      const int Accepted = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      const int On = 1;
      ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      {
        const std::lock_guard Lock(Guard);
        Open.insert(Accepted);
      }
      std::thread([this, Accepted] {
        Handle(Accepted);
        const std::lock_guard Lock(Guard);
        Open.erase(Accepted);
        ::close(Accepted);
      }).detach();
    }
  }

  handler Handle;
  std::uint16_t Port;
  std::mutex Guard;
  int Listener = -1;
  std::set<int> Open;
};

// ---- HTTP ----------------------------------------------------------------

struct http_request {
  std::string Method, Path, Query, Head, Body;
  std::string field(const std::string &Name) const {
    std::size_t At = 0;
    while (At < Query.size()) {
      std::size_t End = Query.find('&', At);
      if (End == std::string::npos)
        End = Query.size();
      if (Query.compare(At, Name.size() + 1, Name + '=') == 0)
        return Query.substr(At + Name.size() + 1, End - At - Name.size() - 1);
      At = End + 1;
    }
    return {};
  }
  std::string header(const std::string &Name) const {
    const std::size_t At = Head.find("\r\n" + Name + ": ");
    if (At == std::string::npos)
      return {};
    const std::size_t Start = At + Name.size() + 4;
    return Head.substr(Start, Head.find("\r\n", Start) - Start);
  }
};

inline bool receiveRequest(int Socket, std::string &Buffer,
                           http_request &Request) {
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receiveInto(Socket, Buffer))
      return false;
  Request = {};
  Request.Head = Buffer.substr(0, End + 2);
  const std::size_t Length =
      std::strtoul(Request.header("Content-Length").c_str(), nullptr, 10);
  while (Buffer.size() < End + 4 + Length)
    if (!receiveInto(Socket, Buffer))
      return false;
  Request.Body = Buffer.substr(End + 4, Length);
  Buffer.erase(0, End + 4 + Length);
  const std::size_t First = Request.Head.find(' ');
  const std::size_t Second = Request.Head.find(' ', First + 1);
  Request.Method = Request.Head.substr(0, First);
  const std::string Target = Request.Head.substr(First + 1, Second - First - 1);
  const std::size_t Mark = Target.find('?');
  Request.Path = Target.substr(0, Mark);
  Request.Query = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  return true;
}

/// \param Era Of the store; 0: the answer names none.
inline bool sendAnswer(int Socket, int Status, const json::object &Body,
                       std::uint64_t Era = 0) {
  const std::string Text = json::serialize(Body);
  const std::string Header =
      Era == 0 ? "" : "Store-Era: " + std::to_string(Era) + "\r\n";
  return sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n" +
                             Header +
                             "Content-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(Text.size()) + "\r\n\r\n" + Text);
}

inline std::string toBase64(std::string_view Text) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (std::size_t At = 0; At < Text.size(); At += 3) {
    unsigned Bits = 0;
    for (std::size_t Each = 0; Each < 3; ++Each)
      Bits = Bits << 8U | (At + Each < Text.size()
                               ? static_cast<unsigned char>(Text[At + Each])
                               : 0U);
    for (std::size_t Each = 0; Each < 4; ++Each)
      Out += At + Each > Text.size() ? '=' : Digits[Bits >> (18 - 6 * Each) & 63];
  }
  return Out;
}

inline std::string fromBase64(std::string_view Text) {
  static constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  unsigned Bits = 0, Count = 0;
  for (const char Each : Text) {
    const std::size_t Value = Digits.find(Each);
    if (Value == std::string_view::npos)
      break;
    Bits = Bits << 6U | static_cast<unsigned>(Value);
    if ((Count += 6) >= 8)
      Out += static_cast<char>(Bits >> (Count -= 8) & 255U);
  }
  return Out;
}

// ---- the platform's store ------------------------------------------------

class store {
public:
  store() : Http([this](int Socket) { serve(Socket); }) {
    std::thread([this] {
      while (true) {
        sleepMs(10);
        endLapsedLeases();
      }
    }).detach();
  }
  std::uint16_t port() const { return Http.port(); }
  /// A write of the operator or of a member. \returns Its revision.
  std::uint64_t put(const std::string &Key, const std::string &Value) {
    const std::lock_guard Lock(Guard);
    Revision += 1;
    write(Key, toBase64(Value), 0);
    Changed.notify_all();
    return Revision;
  }
  void remove(const std::string &Key) {
    const std::lock_guard Lock(Guard);
    Revision += 1;
    erase(Key);
    Changed.notify_all();
  }
  /// Keys below a prefix, and the values that they have.
  std::map<std::string, std::string> list(const std::string &Prefix) {
    const std::lock_guard Lock(Guard);
    std::map<std::string, std::string> Out;
    for (const auto &[Key, Item] : Items)
      if (Key.starts_with(Prefix))
        Out[Key] = fromBase64(Item.Value);
    return Out;
  }

  /// Names the era in all answers from now on.
  void tellEra() {
    const std::lock_guard Lock(Guard);
    Era = 1;
  }
  void copy() {
    const std::lock_guard Lock(Guard);
    Copy = {Items, Revision, LastLease, nowMs()};
  }
  /// The store is away for a moment and comes back from its copy: what was
  /// written since is gone, leases too, and revisions are given out again.
  /// \returns The age of the copy.
  long restore(long AwayMs) {
    IsAway = true;
    sleepMs(AwayMs);
    {
      const std::lock_guard Lock(Guard);
      Items = Copy.Items;
      Revision = Copy.Revision;
      LastLease = Copy.LastLease;
      Leases.clear();
      std::erase_if(Items, [](const auto &Each) { return Each.second.Lease != 0; });
      History.clear();
      HistoryFrom = Revision;
      Era += 1;
      Changed.notify_all();
    }
    Http.cut();
    IsAway = false;
    return nowMs() - Copy.MadeAt;
  }

private:
  struct item {
    std::string Value;
    std::uint64_t Revision = 0, Created = 0, Lease = 0;
  };
  struct lease {
    long TtlMs = 0;
    steady::time_point EndsAt;
  };

  json::object itemJson(const std::string &Key, const item &Item) const {
    return {{"Key", Key},
            {"Value", Item.Value},
            {"Revision", Item.Revision},
            {"CreateRevision", Item.Created},
            {"Lease", Item.Lease}};
  }
  void write(const std::string &Key, std::string Value, std::uint64_t Lease) {
    item &Item = Items[Key];
    if (Item.Created == 0)
      Item.Created = Revision;
    Item.Value = std::move(Value);
    Item.Revision = Revision;
    Item.Lease = Lease;
    History.push_back({Revision, Key, itemJson(Key, Item)});
  }
  void erase(const std::string &Key) {
    if (Items.erase(Key) > 0)
      History.push_back(
          {Revision, Key,
           {{"Key", Key}, {"Revision", Revision}, {"Tombstone", true}}});
  }
  void endLease(std::uint64_t Id) {
    Leases.erase(Id);
    std::vector<std::string> Bound;
    for (const auto &[Key, Item] : Items)
      if (Item.Lease == Id)
        Bound.push_back(Key);
    if (Bound.empty())
      return;
    Revision += 1;
    for (const std::string &Key : Bound)
      erase(Key);
    Changed.notify_all();
  }
  void endLapsedLeases() {
    const std::lock_guard Lock(Guard);
    std::vector<std::uint64_t> Lapsed;
    for (const auto &[Id, Lease] : Leases)
      if (steady::now() >= Lease.EndsAt)
        Lapsed.push_back(Id);
    for (const std::uint64_t Id : Lapsed)
      endLease(Id);
  }
  void serve(int Socket) {
    std::string Buffer;
    http_request Request;
    while (receiveRequest(Socket, Buffer, Request)) {
      json::object Body;
      const std::uint64_t AskedIn = Era;
      const int Status = IsAway ? 503 : answer(Request, Body);
      if (AskedIn != Era || !sendAnswer(Socket, Status, Body, Era))
        return;
    }
  }
  int answer(const http_request &Request, json::object &Out) {
    std::unique_lock Lock(Guard);
    const auto Number = [](const std::string &Text) {
      return std::strtoull(Text.c_str(), nullptr, 10);
    };
    const std::uint64_t PathNumber =
        Number(Request.Path.substr(Request.Path.rfind('/') + 1));
    if (Request.Path == "/v1/kv-range") {
      const std::string Prefix = Request.field("Prefix");
      json::array Found;
      for (const auto &[Key, Item] : Items)
        if (Key.starts_with(Prefix))
          Found.push_back(itemJson(Key, Item));
      Out = {{"items", Found}, {"MorePages", false}, {"CurrentRev", Revision}};
      return 200;
    }
    if (Request.Path == "/v1/kv-watch") {
      const std::string Prefix = Request.field("Prefix");
      const std::uint64_t After = Number(Request.field("after"));
      const auto Until =
          steady::now() + ms(Number(Request.field("WaitMs")));
      json::array Events;
      if (After > Revision || After < HistoryFrom)
        return 410;
      while (true) {
        for (const change &Each : History)
          if (Each.Revision > After && Each.Key.starts_with(Prefix))
            Events.push_back(Each.Event);
        if (!Events.empty() || steady::now() >= Until)
          break;
        Changed.wait_until(Lock, Until);
      }
      Out = {{"events", Events}, {"CurrentRev", Revision}};
      return 200;
    }
    if (Request.Path == "/v1/kv-txn")
      return change_records(json::parse(Request.Body).as_object(), Out);
    if (Request.Path == "/v1/kv-lease") {
      const long Ttl =
          json::parse(Request.Body).at("TtlMs").to_number<std::int64_t>();
      Leases[++LastLease] = {Ttl, steady::now() + ms(Ttl)};
      Out = {{"Lease", LastLease}, {"TtlMs", Ttl}};
      return 200;
    }
    if (Request.Path.starts_with("/v1/kv-keep/")) {
      const auto Found = Leases.find(PathNumber);
      if (Found == Leases.end())
        return 404;
      Found->second.EndsAt = steady::now() + ms(Found->second.TtlMs);
      Out = {{"TtlMs", Found->second.TtlMs}};
      return 200;
    }
    if (Request.Path.starts_with("/v1/kv-lease-end/")) {
      if (!Leases.contains(PathNumber))
        return 404;
      endLease(PathNumber);
      return 200;
    }
    return 404;
  }
  int change_records(const json::object &Change, json::object &Out) {
    const auto Text = [](const json::value &Value) {
      return std::string(Value.as_string().data(), Value.as_string().size());
    };
    bool Holds = true;
    json::array Current;
    for (const json::value &Row : Change.at("Expected").as_array()) {
      const auto Found = Items.find(Text(Row.at("Key")));
      const std::uint64_t Known =
          Found == Items.end() ? 0 : Found->second.Revision;
      Holds = Holds && Known == Row.at("Revision").to_number<std::uint64_t>();
      if (Found != Items.end())
        Current.push_back(itemJson(Found->first, Found->second));
    }
    if (!Holds) {
      Out = {{"items", Current}, {"CurrentRev", Revision}};
      return 412;
    }
    for (const json::value &Row : Change.at("Writes").as_array()) {
      const json::value *Lease = Row.as_object().if_contains("Lease");
      const auto Id = Lease == nullptr ? 0 : Lease->to_number<std::uint64_t>();
      if (Id != 0 && !Leases.contains(Id))
        return 404;
    }
    Revision += 1;
    for (const json::value &Row : Change.at("Writes").as_array()) {
      const json::value *Lease = Row.as_object().if_contains("Lease");
      write(Text(Row.at("Key")), Text(Row.at("Value")),
            Lease == nullptr ? 0 : Lease->to_number<std::uint64_t>());
    }
    for (const json::value &Key : Change.at("Deletes").as_array())
      erase(Text(Key));
    Changed.notify_all();
    Out = {{"Revision", Revision}};
    return 200;
  }

  struct change {
    std::uint64_t Revision;
    std::string Key;
    json::object Event;
  };
  struct saved {
    std::map<std::string, item> Items;
    std::uint64_t Revision = 0, LastLease = 0;
    long MadeAt = 0;
  };
  saved Copy;
  std::atomic<std::uint64_t> Era{0};
  std::atomic<bool> IsAway{false};
  std::uint64_t HistoryFrom = 0;
  std::mutex Guard;
  std::condition_variable Changed;
  std::uint64_t Revision = 100, LastLease = 0;
  std::map<std::string, item> Items;
  std::vector<change> History;
  std::map<std::uint64_t, lease> Leases;
  server Http;
};

// ---- members -------------------------------------------------------------

inline std::mutex ProcessGuard;
inline std::set<pid_t> Processes; ///< Of the project, started by this case.

/// The process of the project at the other end of a connection, or 0.
inline pid_t hostOf(int Socket) {
  sockaddr_in Peer{};
  socklen_t Size = sizeof Peer;
  ::getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Size);
  char Wanted[32];
  std::snprintf(Wanted, sizeof Wanted, "0100007F:%04X", ntohs(Peer.sin_port));
  std::ifstream Table("/proc/net/tcp");
  std::string Line, Inode;
  while (std::getline(Table, Line)) {
    char Local[64] = {};
    unsigned long Number = 0;
    if (std::sscanf(Line.c_str(),
                    " %*d: %63s %*s %*x %*s %*s %*s %*d %*d %lu", Local,
                    &Number) == 2 &&
        std::string_view(Local) == Wanted)
      Inode = "socket:[" + std::to_string(Number) + ']';
  }
  std::set<pid_t> Known;
  {
    const std::lock_guard Lock(ProcessGuard);
    Known = Processes;
  }
  std::error_code Error;
  for (const pid_t Each : Known)
    for (const auto &Open : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(Each) + "/fd", Error))
      if (std::filesystem::read_symlink(Open.path(), Error) == Inode)
        return Each;
  return 0;
}

struct log_entry {
  std::uint64_t Term = 0, Number = 0;
  std::string Id, Text, Tenant;
};

struct member;

/// The members of a service, and the platform's promote call for it.
struct service {
  std::mutex Guard;
  std::condition_variable Received;
  std::string Name;
  unsigned SyncReplicas = 0;
  long WorkMs = 2;
  bool KeepsText = true; ///< Logs keep the statements' texts.
  std::vector<std::unique_ptr<member>> Members;
  std::uint64_t LatestTerm = 1;
  /// Called with each statement that a member runs, with Guard held.
  std::function<void(const member &, const std::string &Tenant,
                     const std::string &Id, const std::string &Text)>
      OnRun;
  /// Called with each write that a member commits, with Guard held.
  std::function<void(const member &, const std::string &Id)> OnCommit;

  /// Sends rows of its own before the rest of the answer, if it is set.
  std::function<void(int Socket, const std::string &Line)> SendRows;

  void beat(store &Store);
  member *find(const std::string &Id);
};

struct member {
  member(service &Group, std::string Name, std::string Place, bool Leads)
      : Service(Group), Id(std::move(Name)), Zone(std::move(Place)),
        IsPrimary(Leads), Born(1765000000000 + nowMs()),
        Lines([this](int Socket) { serve(Socket); }) {}

  service &Service;
  std::string Id, Zone;
  bool IsPrimary = false, IsUp = true;
  /// Receives nothing of the primary's log (`replica_lag`, deaf).
  bool IsDeaf = false;
  /// Is partitioned from the other members.
  bool IsCutOff = false;
  /// Whether the member is partitioned from the host with this process.
  std::function<bool(pid_t Host)> IsCutFrom;
  std::uint64_t Term = 1;
  std::uint64_t Born = 0, Sequence = 0;
  int MissedBeats = 0;
  std::vector<log_entry> Log;
  server Lines;

  // All with Service.Guard held.
  std::pair<std::uint64_t, std::uint64_t> position() const {
    if (Log.empty())
      return {Term, 0};
    return {Log.back().Term, Log.back().Number};
  }
  std::string positionText() const {
    const auto [PositionTerm, Number] = position();
    return std::to_string(PositionTerm) + '.' + std::to_string(Number);
  }

  /// Takes one line; nothing passes while the member is cut from the host.
  bool receive(int Socket, std::string &Buffer, std::string &Line,
               pid_t &Host) {
    if (!receiveLine(Socket, Buffer, Line))
      return false;
    if (!IsCutFrom)
      return true;
    if (Host == 0)
      Host = hostOf(Socket);
    while (IsCutFrom(Host)) {
      char Byte = 0;
      const ssize_t Seen = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (Seen == 0 || (Seen < 0 && errno != EAGAIN))
        return false;
      sleepMs(5);
    }
    return true;
  }
  void serve(int Socket) {
    std::string Buffer, Line, Tenant;
    pid_t Host = 0;
    if (!receive(Socket, Buffer, Line, Host))
      return;
    {
      // STARTUP service tenant [id]
      char Group[256] = {}, Who[256] = {}, Wanted[256] = {};
      std::sscanf(Line.c_str(), "STARTUP %255s %255s %255s", Group, Who,
                  Wanted);
      Tenant = Who;
      if (Service.Name != Group || (Wanted[0] != 0 && Id != Wanted)) {
        sendAll(Socket, "ERROR WRONGNODE " + Id + "\r\n");
        return;
      }
    }
    sleepMs(2);
    {
      const std::lock_guard Lock(Service.Guard);
      Line = "READY I " + positionText() + "\r\n";
    }
    if (!sendAll(Socket, Line))
      return;
    session Session;
    Session.Tenant = Tenant;
    while (receive(Socket, Buffer, Line, Host)) {
      if (Line == "TERMINATE")
        return;
      if (Service.SendRows)
        Service.SendRows(Socket, Line);
      const std::string Out = run(Session, Line);
      if (!sendAll(Socket, Out))
        return;
    }
  }

  struct session {
    std::string Tenant;
    char State = 'I';
    bool ReadOnly = false;
    std::uint64_t Term = 0;
    std::vector<log_entry> Writes;
    std::map<std::string, std::string> Prepared;
  };

  std::string run(session &Session, const std::string &Line) {
    // QUERY id [AFTER t.n] text
    const std::size_t IdEnd = Line.find(' ', 6);
    if (!Line.starts_with("QUERY ") || IdEnd == std::string::npos)
      return "ERROR MALFORMED -\r\nREADY I -\r\n";
    const std::string QueryId = Line.substr(6, IdEnd - 6);
    std::string Text = Line.substr(IdEnd + 1);
    std::uint64_t AfterTerm = 0, AfterNumber = 0;
    if (Text.starts_with("AFTER ")) {
      std::sscanf(Text.c_str(), "AFTER %lu.%lu", &AfterTerm, &AfterNumber);
      Text = Text.substr(Text.find(' ', 6) + 1);
    }
    std::string Verb = Text.substr(0, Text.find(' '));
    if (Verb == "EXECUTE") {
      const std::size_t End = Text.find(' ', 8);
      const auto Found = Session.Prepared.find(Text.substr(8, End - 8));
      if (Found == Session.Prepared.end())
        return failed(Session, "NOSTMT", false);
      Verb = Found->second;
    }
    const bool Works = Verb == "READ" || Verb == "WRITE" || Verb == "COMMIT";
    if (Works && Service.WorkMs > 0)
      sleepMs(Service.WorkMs);
    std::unique_lock Lock(Service.Guard);
    if (AfterNumber > 0 && position() < std::pair(AfterTerm, AfterNumber))
      return failed(Session, "LAGGING", false);
    const bool LostLead =
        Session.State == 'T' && !Session.ReadOnly &&
        (!IsPrimary || Term != Session.Term) &&
        !(Verb == "COMMIT" && Session.Writes.empty());
    if (Works && LostLead)
      return failed(Session, "READONLY", Session.State == 'T');
    if (Works && Service.OnRun)
      Service.OnRun(*this, Session.Tenant, QueryId, Text);
    if (Verb == "BEGIN") {
      const bool ReadOnly = Text == "BEGIN READ";
      if (!ReadOnly && !IsPrimary)
        return failed(Session, "READONLY", false);
      Session.State = 'T';
      Session.ReadOnly = ReadOnly;
      Session.Term = Term;
      Session.Writes.clear();
      return done(Session, "-");
    }
    if (Verb == "ROLLBACK") {
      Session.State = 'I';
      Session.Writes.clear();
      return done(Session, "-");
    }
    if (Verb == "READ")
      return "ROW " + QueryId + "\r\n" + done(Session, "sig-" + QueryId);
    if (Verb == "WRITE") {
      if (!IsPrimary || Session.ReadOnly)
        return failed(Session, "READONLY", Session.State == 'T');
      const log_entry Entry{0, 0, QueryId, Service.KeepsText ? Text : "",
                            Session.Tenant};
      if (Session.State == 'T') {
        Session.Writes.push_back(Entry);
        return done(Session, "sig-" + QueryId);
      }
      if (!commit(Lock, {Entry}))
        return failed(Session, "TIMEOUT", false);
      return done(Session, "sig-" + QueryId);
    }
    if (Verb == "COMMIT") {
      const bool Kept = Session.Writes.empty() ||
                        commit(Lock, Session.Writes);
      Session.State = 'I';
      Session.ReadOnly = false;
      Session.Writes.clear();
      return Kept ? done(Session, "sig-" + QueryId)
                  : failed(Session, "TIMEOUT", false);
    }
    if (Verb == "PREPARE") {
      // PREPARE name READ|WRITE shape
      char Name[256] = {}, Kind[16] = {};
      std::sscanf(Text.c_str(), "PREPARE %255s %15s", Name, Kind);
      Session.Prepared[Name] = Kind;
    } else if (Verb == "RESET") {
      Session.Prepared.clear();
    } else if (Verb == "STATUS") {
      return std::string("ROW ") + (IsPrimary ? "primary " : "replica ") +
             std::to_string(Term) + ' ' + positionText() +
             " 0 0 2 1\r\n" + done(Session, "-");
    }
    return done(Session, "-");
  }

  std::string done(const session &Session, const std::string &Signature) {
    return "COMPLETE " + Signature + "\r\nREADY " + Session.State + ' ' +
           positionText() + "\r\n";
  }
  std::string failed(session &Session, const std::string &Code, bool Fails) {
    if (Fails)
      Session.State = 'E';
    return "ERROR " + Code + ' ' + Id + "\r\nREADY " + Session.State + ' ' +
           positionText() + "\r\n";
  }

  /// Gives the writes of one commit the next number, and sends it to replicas.
  bool commit(std::unique_lock<std::mutex> &Lock,
              const std::vector<log_entry> &Writes) {
    const std::uint64_t Number = Log.empty() ? 1 : Log.back().Number + 1;
    for (log_entry Entry : Writes) {
      Entry.Term = Term;
      Entry.Number = Number;
      if (Service.OnCommit)
        Service.OnCommit(*this, Entry.Id);
      Log.push_back(std::move(Entry));
    }
    const auto Holds = [&] {
      unsigned Count = 0;
      for (const auto &Each : Service.Members)
        if (Each.get() != this && Each->IsUp && Each->Term == Term &&
            Each->position() >= std::pair(Term, Number))
          Count += 1;
      return Count >= Service.SyncReplicas;
    };
    replicate();
    while (!Holds()) {
      Service.Received.wait_for(Lock, ms(20));
      if (!IsUp || !IsPrimary)
        return false;
      replicate();
    }
    return true;
  }
  void replicate() {
    if (!IsPrimary || !IsUp || IsCutOff)
      return;
    for (const auto &Each : Service.Members)
      if (Each.get() != this && Each->IsUp && !Each->IsDeaf &&
          !Each->IsCutOff &&
          Each->Term <= Term) {
        Each->Term = Term;
        Each->IsPrimary = false;
        Each->Log = Log;
      }
    Service.Received.notify_all();
  }
  /// The process ends, with its connections.
  void crash() {
    {
      const std::lock_guard Lock(Service.Guard);
      IsUp = false;
    }
    Lines.down();
  }
  /// \param KeepsLog False: it starts again under its id and knows nothing.
  void restart(bool KeepsLog) {
    {
      const std::lock_guard Lock(Service.Guard);
      if (!KeepsLog) {
        Log.clear();
        IsPrimary = false;
        Term = 0;
      }
      Born = 1765000000000 + nowMs();
      Sequence = 0;
      IsUp = true;
      MissedBeats = 0;
      if (IsPrimary && Service.LatestTerm > Term)
        IsPrimary = false;
    }
    Lines.up();
  }
  std::string entryText() {
    return json::serialize(json::object{
        {"Backend", Service.Name},
        {"Address", "127.0.0.1:" + std::to_string(Lines.port())},
        {"Zone", Zone},
        {"Version", "v1"},
        {"Capacity", 2},
        {"Phase", "ready"},
        {"ColdRemainingMs", 0},
        {"DbRole", IsPrimary ? "primary" : "replica"},
        {"Sequence", ++Sequence},
        {"born", Born}});
  }
};

inline member *service::find(const std::string &Id) {
  for (const auto &Each : Members)
    if (Each->Id == Id)
      return Each.get();
  return nullptr;
}

/// The members' check-ins, and the removal of entries after three silent ones.
inline void service::beat(store &Store) {
  std::vector<std::pair<std::string, std::string>> Entries;
  std::vector<std::string> Silent;
  {
    const std::lock_guard Lock(Guard);
    for (const auto &Each : Members) {
      if (Each->IsUp) {
        Each->MissedBeats = 0;
        Entries.emplace_back("servers/" + Each->Id, Each->entryText());
      } else if (++Each->MissedBeats == 3) {
        Silent.push_back("servers/" + Each->Id);
      }
    }
  }
  for (const auto &[Key, Value] : Entries)
    Store.put(Key, Value);
  for (const std::string &Key : Silent)
    Store.remove(Key);
}

/// The platform's promote call. Some hundred ms after it, the member named
/// leads the next term with what it had received, and nothing more.
class duty_api {
public:
  std::function<void(const std::string &Backend, const std::string &Id,
                     std::uint64_t Token)>
      OnPromote;
  /// Called with service.Guard held as the member begins to lead.
  std::function<void(const member &)> OnLead;
  std::vector<service *> Services;
  long PromoteMs = 400;

  duty_api() : Http([this](int Socket) { serve(Socket); }) {}
  std::uint16_t port() const { return Http.port(); }

private:
  void serve(int Socket) {
    std::string Buffer;
    http_request Request;
    while (receiveRequest(Socket, Buffer, Request))
      if (!sendAnswer(Socket, promote(Request), {}))
        return;
  }
  int promote(const http_request &Request) {
    const json::value Body = json::parse(Request.Body);
    const std::string Backend(Body.at("Backend").as_string().c_str());
    const std::string Id(Body.at("Id").as_string().c_str());
    const auto Token =
        std::strtoull(Request.header("X-Fence-Token").c_str(), nullptr, 10);
    Record.line("promote %s %s token %llu holder %s", Backend.c_str(),
                Id.c_str(), static_cast<unsigned long long>(Token),
                Request.header("X-Lease-Holder").c_str());
    if (OnPromote)
      OnPromote(Backend, Id, Token);
    for (service *Service : Services) {
      if (Service->Name != Backend)
        continue;
      const std::lock_guard Lock(Service->Guard);
      member *Chosen = Service->find(Id);
      if (Chosen == nullptr || !Chosen->IsUp)
        return 409;
      if (Chosen->IsPrimary && Chosen->Term == Service->LatestTerm)
        return 200;
      std::thread([this, Service, Chosen] {
        sleepMs(PromoteMs);
        const std::lock_guard Again(Service->Guard);
        if (!Chosen->IsUp)
          return;
        Service->LatestTerm += 1;
        Chosen->Term = Service->LatestTerm;
        Chosen->IsPrimary = true;
        Chosen->IsDeaf = false;
        Record.line("%s leads term %lu at %s", Chosen->Id.c_str(),
                    Chosen->Term, Chosen->positionText().c_str());
        if (OnLead)
          OnLead(*Chosen);
        for (const auto &Each : Service->Members)
          if (Each.get() != Chosen && Each->IsUp && !Each->IsCutOff)
            Each->IsPrimary = false;
        Chosen->replicate();
      }).detach();
      return 200;
    }
    return 404;
  }
  server Http;
};

// ---- processes of the project --------------------------------------------

inline std::filesystem::path Folder;

/// A machine that runs one session host, with settings as deploy/host.ini.
class machine {
public:
  machine(std::string NodeName, std::string Place, std::uint16_t StorePort,
          std::uint16_t DutyPort, unsigned Memory = 260)
      : Name(std::move(NodeName)), Zone(std::move(Place)), MemoryMb(Memory),
        Store(StorePort), Duty(DutyPort) {}
  ~machine() { kill(SIGKILL); }

  std::string Name, Zone;
  unsigned MemoryMb;
  std::uint16_t Callers = freePort(), Ready = freePort(), Peers = freePort(),
                Metrics = freePort();
  std::uint16_t Store, Duty;
  pid_t Process = -1;

  void start() {
    const std::string Settings = (Folder / (Name + ".ini")).string();
    const std::string Log = (Folder / (Name + ".log")).string();
    const auto At = [](std::uint16_t Port) {
      return "127.0.0.1:" + std::to_string(Port) + '\n';
    };
    std::ofstream(Settings)
        << "[host]\nid = " << Name << "\ndata_centre = " << Zone
        << "\ncallers = " << At(Callers) << "readiness = " << At(Ready)
        << "peers = " << At(Peers) << "metrics = " << At(Metrics)
        << "link_mbps = 1000.0\n[platform]\nstore = " << At(Store)
        << "duty = " << At(Duty) << "minimum_lease_ms = 1000\n[bounds]\n"
        << "grace_period_s = 6\ndrain_ms = 7000\nsettings_ms = 3000\n"
        << "evacuate_ms = \n[limits]\nmemory_mb = " << MemoryMb
        << "\nmax_fds = 4300\n";
    const pid_t Started = ::fork();
    if (Started == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Output =
          ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(Output, 1);
      ::dup2(Output, 2);
      rlimit Limit{4300, 4300};
      ::setrlimit(RLIMIT_NOFILE, &Limit);
      ::execl("target/bin/bronzespar-sessiond",
              "target/bin/bronzespar-sessiond", "--settings",
              Settings.c_str(), nullptr);
      ::_exit(127);
    }
    const std::lock_guard Lock(ProcessGuard);
    Processes.insert(Started);
    Process = Started;
  }
  void signal(int Number) const {
    if (Process > 0)
      ::kill(Process, Number);
  }
  void kill(int Number) {
    if (Process <= 0)
      return;
    ::kill(Process, Number);
    ::waitpid(Process, nullptr, 0);
    const std::lock_guard Lock(ProcessGuard);
    Processes.erase(Process);
    Process = -1;
  }
  bool lives() const {
    return Process > 0 && ::waitpid(Process, nullptr, WNOHANG) == 0;
  }
  /// Resident size, as the platform sees it.
  std::size_t residentMb() const {
    std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
    std::string Word;
    std::size_t Kb = 0;
    while (Status >> Word)
      if (Word == "VmRSS:")
        Status >> Kb;
    return Kb / 1024;
  }
  /// Largest resident size so far.
  std::size_t peakMb() const {
    std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
    std::string Word;
    std::size_t Kb = 0;
    while (Status >> Word)
      if (Word == "VmHWM:")
        Status >> Kb;
    return Kb / 1024;
  }
  bool isReady() const {
    const int Socket = dial(Ready);
    if (Socket < 0)
      return false;
    const timeval Wait{1, 0};
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof Wait);
    std::string Answer;
    const bool Read =
        sendAll(Socket, "GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n") &&
        receiveInto(Socket, Answer);
    ::close(Socket);
    return Read && Answer.starts_with("HTTP/1.1 200");
  }
  bool awaitReady(long Span = 40000) const {
    const long End = nowMs() + Span;
    while (nowMs() < End) {
      if (isReady())
        return true;
      sleepMs(50);
    }
    return false;
  }
};

// ---- clients -------------------------------------------------------------

struct client_answer {
  std::string Code; ///< "COMPLETE", an error's code, or "" without an answer.
  std::string Text;
  std::vector<std::string> Rows;
  char State = '?';
  bool done() const { return Code == "COMPLETE"; }
};

/// A session of a client.
class client {
public:
  client() = default;
  ~client() { close(); }
  client(const client &) = delete;
  client &operator=(const client &) = delete;

  bool open(std::uint16_t Port, const std::string &Database,
            const std::string &Key, long TimeoutMs = 5000) {
    close();
    Socket = dial(Port);
    if (Socket < 0)
      return false;
    const timeval Wait{TimeoutMs / 1000, TimeoutMs % 1000 * 1000};
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Wait, sizeof Wait);
    std::string Line;
    if (!sendAll(Socket, "STARTUP " + Database + ' ' + Key + "\r\n") ||
        !receiveLine(Socket, Buffer, Line) || !Line.starts_with("READY")) {
      close();
      return false;
    }
    return true;
  }
  client_answer query(const std::string &Id, const std::string &Text) {
    client_answer Answer;
    std::string Line;
    if (Socket < 0 || !sendAll(Socket, "QUERY " + Id + ' ' + Text + "\r\n"))
      return Answer;
    std::string Code;
    while (receiveLine(Socket, Buffer, Line)) {
      if (Line.starts_with("ROW ")) {
        Answer.Rows.push_back(Line.substr(4));
      } else if (Line.starts_with("COMPLETE")) {
        Code = "COMPLETE";
        Answer.Text = Line.size() > 9 ? Line.substr(9) : "";
      } else if (Line.starts_with("ERROR ")) {
        const std::size_t End = Line.find(' ', 6);
        Code = Line.substr(6, End - 6);
        Answer.Text = End == std::string::npos ? "" : Line.substr(End + 1);
      } else if (Line.starts_with("READY ")) {
        Answer.State = Line.size() > 6 ? Line[6] : '?';
        Answer.Code = Code;
        return Answer;
      }
    }
    close();
    return Answer;
  }
  bool isOpen() const { return Socket >= 0; }
  void close() {
    if (Socket >= 0)
      ::close(Socket);
    Socket = -1;
    Buffer.clear();
  }

private:
  int Socket = -1;
  std::string Buffer;
};

inline std::string newId() {
  static std::atomic<std::uint64_t> Last{0x5c0e7a2100000000};
  char Text[32];
  std::snprintf(Text, sizeof Text, "%016lx", ++Last);
  return Text;
}

// ---- a case --------------------------------------------------------------

/// The disruption is left out with TROUBLE=0 in the environment.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// Ends all processes and the case. 0: the rule held, 1: broken, 2: not run.
[[noreturn]] inline void finish(int Verdict, const std::string &Why) {
  Record.line("verdict %d: %s", Verdict, Why.c_str());
  std::printf("%s: %s\n",
              Verdict == 0   ? "held"
              : Verdict == 1 ? "BROKEN"
                             : "not run",
              Why.c_str());
  std::fflush(stdout);
  {
    const std::lock_guard Lock(ProcessGuard);
    for (const pid_t Each : Processes) {
      ::kill(Each, SIGKILL);
      ::waitpid(Each, nullptr, 0);
    }
  }
  std::error_code Ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Folder, Ignored);
  std::_Exit(Verdict);
}

/// \param Arguments The folder of the case, for record.txt.
inline void begin(int Count, char **Arguments) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::string Case = Count > 1 ? Arguments[1] : ".";
  Record.open(Case + "/record.txt");
  char Template[] = "/tmp/bronzespar-review-XXXXXX";
  Folder = ::mkdtemp(Template);
  if (::access("target/bin/bronzespar-sessiond", X_OK) != 0)
    finish(2, "target/bin/bronzespar-sessiond is not built");
  std::thread([] {
    sleepMs(115000);
    finish(2, "the case took too long");
  }).detach();
}

} // namespace world3
