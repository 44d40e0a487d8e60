/// Stand-ins for the platform, the database members and the clients, written
/// from PROTOCOL.md, and a runner of session hosts. One thread, real clock,
/// loopback addresses only.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace world {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;
using position = std::pair<unsigned long, unsigned long>; // TERM, NUMBER

/// A call to the platform, as its stand-ins see it.
struct call {
  std::string Method, Path, Body;
  std::map<std::string, std::string> Headers, Query;
};

/// What the store does with a changing call.
struct verdict {
  enum { Normal, Lost, LostLate } Kind = Normal; // Lost: done, not answered.
  int LateMs = 0;                                // LostLate: done after this.
};

struct item {
  std::string Value; // base64 text, as it was written
  unsigned long Revision = 0, Created = 0, Lease = 0;
};

class simulation;

/// The platform's store.
class store {
public:
  explicit store(simulation &World) : Sim(World) {}
  using reply = std::function<void(unsigned, std::string)>;
  void handle(const call &Call, reply Reply);
  void put(const std::string &Key, const json::value &Value);
  void erase(const std::string &Key);
  const item *get(const std::string &Key) const;
  std::string textOf(const std::string &Key) const; // decoded value or empty

  /// Decides about a transaction whose condition holds now.
  std::function<verdict(const json::object &)> OnTransaction;

private:
  struct event {
    unsigned long Revision;
    json::object Body;
  };
  struct watch {
    std::string Prefix;
    unsigned long After;
    reply Reply;
    std::shared_ptr<asio::steady_timer> Timer;
  };
  struct lease {
    long TtlMs;
    std::shared_ptr<asio::steady_timer> Timer;
  };
  std::pair<unsigned, std::string> transact(const json::object &Body);
  bool conditionHolds(const json::object &Body) const;
  void write(const std::string &Key, std::string Base64, unsigned long Lease);
  void remove(const std::string &Key);
  void armLease(unsigned long Id);
  void endLease(unsigned long Id);
  bool answer(watch &Watch);
  void wakeWatches();

  simulation &Sim;
  unsigned long Revision = 1, LastLease = 100;
  std::map<std::string, item> Items;
  std::deque<event> History;
  std::map<unsigned long, lease> Leases;
  std::vector<watch> Watches;
  /// A connection on which a response is lost returns nothing further.
  std::vector<reply> Silent;
};

/// An HTTP server; a handler that never replies leaves the connection silent.
class http_server {
public:
  using handler = std::function<void(
      const call &, std::function<void(unsigned, std::string)>)>;
  http_server(asio::io_context &Io, handler Handler);
  unsigned short port() const { return Acceptor.local_endpoint().port(); }

private:
  void accept();
  tcp::acceptor Acceptor;
  handler Handle;
};

/// A line connection, of a client or of a member.
class line_link : public std::enable_shared_from_this<line_link> {
public:
  explicit line_link(tcp::socket Open) : Socket(std::move(Open)) {}
  void start(std::function<void(const std::string &)> Line,
             std::function<void()> End);
  void connect(unsigned short Port, std::function<void(bool)> Done);
  void send(const std::string &Text);
  void close();

private:
  void read();
  tcp::socket Socket;
  std::string Buffer;
  std::array<char, 8192> Chunk{};
  std::function<void(const std::string &)> OnLine;
  std::function<void()> OnEnd;
  bool Closed = false;
};

struct log_entry {
  position At;
  std::vector<std::pair<std::string, std::string>> Rows;
  std::string Id; // of the statement that committed it
};

/// A run of a client's statement at a member.
struct run {
  double Ms = 0;
  std::string Member, Id, Text;
  bool Committed = false;  // a write or commit that took effect there
  bool OldPrimary = false; // after another member had been promoted
  double OldForMs = 0;     // since that promote took effect
};

struct group;

struct member {
  std::string Id, Zone;
  group *Group = nullptr;
  bool Primary = false, Draining = false, Alive = true, Deaf = false;
  unsigned long Term = 1;
  std::vector<log_entry> Log; // received
  std::size_t Applied = 0;
  long long BornMs = 0;
  unsigned long Sequence = 0;
  int Busy = 0; // slots taken
  std::deque<std::function<void()>> Queue;
  std::unique_ptr<tcp::acceptor> Acceptor;
  unsigned short Port = 0;
  std::set<std::shared_ptr<struct member_session>> Sessions;
  unsigned Incarnation = 0;
  position last() const {
    return Log.empty() ? position{Term, 0} : Log.back().At;
  }
  position applied() const {
    return Applied == 0 ? position{Term, 0} : Log[Applied - 1].At;
  }
};

/// A service: a primary and its replicas.
struct group {
  std::string Name;
  unsigned long Term = 1;
  std::vector<std::unique_ptr<member>> Members;
  std::optional<std::string> Promoting;
  std::string Leader;    // the member that was promoted last
  double PromotedMs = 0; // when that took effect
  std::string PreviousLeader;
};

struct service_options {
  int Slots = 2, MaxConnections = 16, SyncReplicas = 0;
  int WorkMs = 3, HandshakeMs = 12, NetMs = 1, ApplyLagMs = 60;
  int PromoteMs = 1000, HeartbeatMs = 1200, DrainMs = 7000, LingerMs = 1000;
};

struct promote_call {
  double Ms;
  std::string Group, Id, Holder;
  unsigned long Token;
};

struct host_process {
  std::string Name, Zone, Settings;
  unsigned short Callers = 0, Ready = 0, Peers = 0, Metrics = 0;
  pid_t Pid = -1;
  bool Removed = false; // it doesn't start again
  bool Stopped = false; // it was told to end
};

class simulation {
public:
  /// \param Folder Folder of the case; record.txt is written there.
  simulation(std::string Folder, std::string Root);
  ~simulation();

  asio::io_context Io;
  service_options Options;
  store Store;
  std::map<std::string, std::unique_ptr<group>> Groups;
  std::vector<run> Runs;
  std::vector<promote_call> Promotes;
  std::map<std::string, host_process> Hosts;
  /// Hosts that ended untold; then a case couldn't run as it is meant.
  int EndedByThemselves = 0;
  /// Time by which the platform's answer to an order is late.
  int PromoteAnswerDelayMs = 2;
  std::function<void(const promote_call &)> OnPromote;
  std::map<std::string, std::vector<std::string>> Tenants; // name -> keys

  double now() const;
  void note(const std::string &Text); // a line of record.txt
  void after(int Ms, std::function<void()> Then);
  void at(int Ms, std::function<void()> Then); // from the start of the run

  group &addGroup(const std::string &Name,
                  const std::vector<std::string> &Zones);
  void putConfig(const json::array &Routes);
  static json::object route(const std::string &Database,
                            const std::string &Type, const std::string &Group,
                            int TimeoutMs);
  member *findMember(const std::string &Group, const std::string &Id);
  member &primaryOf(const std::string &Group);
  void crash(member &Member, int ForMs, bool Dark = false);
  void drain(member &Member); // planned: ends, and a new member takes its log
  void commitTo(member &Primary,
                std::vector<std::pair<std::string, std::string>> Rows,
                const std::string &Id, std::function<void(position)> Done);
  void report(member &Member); // its entry in the store

  void addHost(const std::string &Name, const std::string &Zone);
  void startHost(const std::string &Name);
  void signalHost(const std::string &Name, int Signal);
  void runFor(int Ms);
  void stopAll();

  member &addMember(group &Group, const std::string &Zone, unsigned short Port);
  void acceptAt(member &Member);
  std::string newId();

private:
  friend struct member_session;
  void handlePromote(const call &Call,
                     std::function<void(unsigned, std::string)> Reply);
  void finishPromote(group &Group, const std::string &Id);
  void replicate(group &Group, member &Primary, const log_entry &Entry,
                 std::function<void()> Received);
  void applyLater(member &Member, std::size_t Count);
  void beat(member &Member, unsigned Incarnation);
  void listen(member &Member);
  void reap();
  std::string fillTemplate(const host_process &Host) const;

  clock::time_point Start = clock::now();
  std::string Folder, Root, Temp;
  std::ofstream Record;
  unsigned long LastId = 0;
  std::unique_ptr<http_server> StoreServer, PromotionServer;
  asio::steady_timer Reaper{Io};
  asio::signal_set Interrupts{Io, SIGTERM, SIGINT};
};

/// A client's session at one host. Statements are sent one at a time.
class client : public std::enable_shared_from_this<client> {
public:
  struct outcome {
    std::string Code; // COMPLETE, an error code, or CLOSED
    std::string Text, State;
    std::vector<std::string> Rows;
    double SentMs = 0, AnsweredMs = 0;
  };
  using then = std::function<void(const outcome &)>;
  client(simulation &World, std::string HostName, std::string ForDatabase,
         std::string WithKey)
      : Sim(World), Host(std::move(HostName)), Database(std::move(ForDatabase)),
        Key(std::move(WithKey)) {}
  /// \param Done is given false if the session was not accepted.
  void open(std::function<void(bool)> Done);
  /// \param Bytes Sent as they are behind "QUERY ID ", followed by CR LF.
  void query(const std::string &Bytes, then Done);
  void close();
  std::string LastId;
  bool IsOpen = false;

private:
  void lineArrived(const std::string &Line);
  void ended();
  simulation &Sim;
  std::string Host, Database, Key;
  std::shared_ptr<line_link> Link;
  std::function<void(bool)> Opening;
  then Pending;
  outcome Partial;
};

/// One entry of what a client asked and was told.
struct attempt {
  std::string Id, Host, Text, Code;
  double SentMs = 0, AnsweredMs = 0;
};

/// Writes in a loop, each a single statement of a new item, until stopped.
class writer : public std::enable_shared_from_this<writer> {
public:
  writer(simulation &World, std::string HostName, std::string Database,
         std::string Key, std::string Items, int PauseMs)
      : Sim(World), Host(std::move(HostName)), Db(std::move(Database)),
        AccessKey(std::move(Key)), Prefix(std::move(Items)), Pause(PauseMs) {}
  void start();
  void stop() { Stopped = true; }
  std::vector<attempt> Attempts;

private:
  void next();
  simulation &Sim;
  std::string Host, Db, AccessKey, Prefix;
  int Pause;
  unsigned long Count = 0;
  bool Stopped = false;
  std::shared_ptr<client> Session;
};

/// Whether the run has the disruption (environment variable TROUBLE).
bool hasTrouble();
std::string fixed(double Ms);

} // namespace world
