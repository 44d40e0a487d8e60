// Stand-ins for the scripts of review/6 to review/10: the platform's store and
// its calls, members, the operator, clients, and the starting of hosts. All of
// them follow PROTOCOL.md and DEPLOY.md and run in one thread.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace stand {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;
using task = asio::awaitable<void>;
using std::string;

/// Milliseconds since the start of the script.
double now();
/// Writes a line with its time to record.txt.
void record(const string &line);
asio::awaitable<void> sleepMs(double ms);
void spawn(task work);
asio::io_context &io();
/// A port that is free on an address.
unsigned short freePort(const string &address);

/// The platform's store.
struct store {
  struct item {
    string value;
    std::uint64_t revision = 0, created = 0, lease = 0;
  };
  struct event {
    std::uint64_t revision = 0;
    string key, value;
    std::uint64_t lease = 0, created = 0;
    bool removed = false;
    double at = 0;
  };
  struct lease {
    double ttlMs = 0, endsAt = 0;
  };
  std::map<string, item> items;
  std::deque<event> events;
  std::map<std::uint64_t, lease> leases;
  std::uint64_t revision = 100, nextLease = 5000;
  /// History that the store has discarded (HistoryRetentionS).
  std::uint64_t droppedUpTo = 0;
  double historyMs = 20000;
  /// Called as a watch is answered.
  std::function<void(const string &prefix, std::uint64_t after, unsigned status,
                     std::size_t bytes)>
      onWatch;

  /// \returns The revision of the change.
  std::uint64_t put(const string &key, const string &value,
                    std::uint64_t leaseId = 0);
  void erase(const string &key);
  void start(const string &address, unsigned short port);

private:
  task accept(std::shared_ptr<tcp::acceptor> acceptor);
  task serve(tcp::socket socket);
  task expire();
  asio::awaitable<string> watch(string prefix, std::uint64_t after,
                                double waitMs);
  std::pair<unsigned, string> txn(const string &body);
  string range(const string &prefix, const string &after);
};

struct member;

/// A service with its members.
struct service {
  string name;
  std::vector<std::shared_ptr<member>> members;
  double lagMs = 60, promoteMs = 600, heartbeatMs = 1200;
  unsigned syncReplicas = 0;
  std::uint64_t term = 1;
  member *primary = nullptr;
  member *find(const string &id);
};

struct position {
  std::uint64_t term = 1, number = 0;
  auto operator<=>(const position &) const = default;
};

/// A member: one slot pool, a log of commits, connections.
struct member {
  string id, address, zone;
  unsigned short port = 0;
  service *group = nullptr;
  store *platform = nullptr;
  bool isPrimary = false, running = true, draining = false;
  bool deaf = false;    ///< Receives nothing from the primary.
  std::set<string> log; ///< Ids of the commits that it holds.
  std::uint64_t term = 1, sequence = 0;
  position at;
  unsigned slots = 2, busy = 0, connections = 0, maxConnections = 16;
  double workMs = 5;
  std::int64_t born = 0;
  std::map<string, string> data;
  std::set<std::shared_ptr<tcp::socket>> sockets;
  std::shared_ptr<tcp::acceptor> acceptor;
  /// Called as a statement that a client sent begins to run.
  std::function<void(member &, const string &id, const string &text)> onRun;

  void start();
  /// As a power loss of a process: resets connections, checks in no more.
  void crash();
  /// Starts again under its id, and holds and knows nothing of before.
  void startEmpty();
  void checkIn();

private:
  string reported;
  task accept();
  task serve(std::shared_ptr<tcp::socket> socket);
  task beat();
};

/// The calls to the platform (CloudApi).
struct cloud {
  std::map<string, service *> services;
  std::uint64_t orders = 0;
  std::function<void(member &)> onPromoted;
  void start(const string &address, unsigned short port);

private:
  task accept(std::shared_ptr<tcp::acceptor> acceptor);
  task serve(tcp::socket socket);
  task promote(service *group, string id);
};

/// A proxy in front of an address, on whose connections nothing arrives any
/// more once they were made silent, while new ones work.
struct relay {
  struct pair {
    tcp::socket client, server;
    bool silent = false;
    pair() : client(io()), server(io()) {}
  };
  string address;
  unsigned short port = 0;
  std::vector<std::weak_ptr<pair>> pairs;

  void start(const string &at, const string &to, unsigned short toPort);
  /// \returns How many connections were made silent.
  unsigned silence();

private:
  task accept(std::shared_ptr<tcp::acceptor> acceptor, string to,
              unsigned short toPort);
  task open(std::shared_ptr<pair> each, string to, unsigned short toPort);
  task copy(std::shared_ptr<pair> each, bool toServer);
};

/// A process of the system on a machine.
struct host {
  string name, zone, address;
  unsigned short frontend = 0, ready = 0, peers = 0, metrics = 0;
  int pid = 0;
  double startedAt = 0, termAt = 0;
  string directory;
  bool inRotation = true;
  unsigned misses = 0;
  bool exited = false;
  int status = 0;
  std::shared_ptr<relay> storeRelay; ///< If set, its way to the store.
};

struct answer {
  bool closed = false; ///< The connection ended without a complete answer.
  bool ok = false;
  string code, text, state;
  std::vector<string> rows;
};

/// A client's session.
struct session {
  tcp::socket socket;
  string buffer;
  session() : socket(io()) {}
  asio::awaitable<bool> connect(const string &address, unsigned short port);
  asio::awaitable<answer> startup(const string &database, const string &key);
  asio::awaitable<answer> query(const string &id, const string &text);
  asio::awaitable<bool> write(const string &text);
  asio::awaitable<answer> read();
  void close();
};

/// A small deployment. It lives until the script ends.
struct deployment {
  store platform;
  cloud calls;
  std::vector<std::unique_ptr<service>> services;
  std::vector<std::unique_ptr<host>> hosts;
  string storeAddress = "127.0.0.1", directory;
  unsigned short storePort = 0, cloudPort = 0;
  unsigned memoryMb = 260;
  std::uint64_t configVersion = 7;

  explicit deployment(const string &directory);
  service &addService(const string &name, const std::vector<string> &zones,
                      unsigned slots, unsigned maxConnections, double workMs);
  host &addHost(const string &zone);
  void startHost(host &each);
  void signal(host &each, int number);
  /// Resident memory of a host's process.
  double residentMb(const host &each) const;
  /// Writes the config: routes, services and tenants.
  void putConfig(json::array routes, json::array tenants);
  /// Notes which processes have ended. \returns Those that ended by now.
  void reap();
  /// Asks for readiness once a second and keeps the rotation.
  void startProbes();
  task probe(host *each);
  /// As the platform does, chooses the node for a new connection.
  host *route(const string &zone, unsigned hash);
  asio::awaitable<bool> awaitReady(double seconds);
  void stopAll();
};

string newId();
json::object route(const string &name, const string &database,
                   const string &type, const string &service, double timeoutMs,
                   double staleMs);
json::object tenant(const string &name, const string &key, double rate);

/// Runs a script. \returns Its exit status.
int run(task work, const int &result, double limitSeconds);

} // namespace stand
