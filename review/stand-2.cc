// Stand-ins for the scripts of review/6 to review/10; see stand-2.hh.
#include "stand-2.hh"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

namespace beast = boost::beast;
namespace http = beast::http;
constexpr auto token = asio::use_awaitable;

namespace {

const clock::time_point Started = clock::now();
std::ofstream Record;
std::vector<deployment *> Deployments;

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

constexpr char Alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

string encode(const string &in) {
  string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t block = 0;
    const std::size_t n = std::min<std::size_t>(3, in.size() - i);
    for (std::size_t j = 0; j < 3; ++j)
      block = block << 8 | (j < n ? static_cast<unsigned char>(in[i + j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      out += j <= n ? Alphabet[block >> (18 - 6 * j) & 63] : '=';
  }
  return out;
}

string decode(const string &in) {
  string out;
  std::uint32_t block = 0;
  int bits = 0;
  for (const char c : in) {
    const char *at = std::find(Alphabet, Alphabet + 64, c);
    if (at == Alphabet + 64)
      break;
    block = block << 6 | static_cast<std::uint32_t>(at - Alphabet);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(block >> bits & 255);
    }
  }
  return out;
}

std::uint64_t number(const json::object &object, const char *name) {
  const auto *value = object.if_contains(name);
  return value && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

string field(const json::object &object, const char *name) {
  const auto *value = object.if_contains(name);
  return value && value->is_string()
             ? string(value->as_string().data(), value->as_string().size())
             : string();
}

/// A field of a query, unescaped.
string queryField(const string &target, const string &name) {
  const auto start = target.find('?');
  if (start == string::npos)
    return {};
  string rest = target.substr(start + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const string part = rest.substr(0, end);
    rest = end == string::npos ? "" : rest.substr(end + 1);
    if (part.rfind(name + "=", 0) != 0)
      continue;
    string out;
    for (std::size_t i = name.size() + 1; i < part.size(); ++i)
      if (part[i] == '%' && i + 2 < part.size()) {
        out += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += part[i];
      }
    return out;
  }
  return {};
}

json::object itemOf(const string &key, const store::item &item) {
  return {{"Key", key},
          {"Value", encode(item.value)},
          {"Revision", item.revision},
          {"CreateRevision", item.created},
          {"Lease", item.lease}};
}

string takeWord(string &text) {
  const auto blank = text.find(' ');
  const string word = text.substr(0, blank);
  text = blank == string::npos ? "" : text.substr(blank + 1);
  return word;
}

string positionText(position at) {
  return std::to_string(at.term) + "." + std::to_string(at.number);
}

} // namespace

asio::io_context &io() {
  static asio::io_context context{1};
  return context;
}

double now() {
  return std::chrono::duration<double, std::milli>(clock::now() - Started)
      .count();
}

void record(const string &line) {
  if (!Record.is_open())
    Record.open("record.txt");
  char time[32];
  std::snprintf(time, sizeof time, "%10.1f ", now());
  Record << time << line << '\n';
}

asio::awaitable<void> sleepMs(double ms) {
  asio::steady_timer timer(
      io(), std::chrono::microseconds(static_cast<long>(ms * 1000)));
  co_await timer.async_wait(token);
}

void spawn(task work) {
  asio::co_spawn(io(), std::move(work), [](std::exception_ptr failed) {
    if (!failed)
      return;
    try {
      std::rethrow_exception(failed);
    } catch (const boost::system::system_error &) {
      // A connection has ended.
    } catch (const std::exception &error) {
      record(string("stand-in failed: ") + error.what());
    }
  });
}

unsigned short freePort(const string &address) {
  tcp::acceptor acceptor(io(), {asio::ip::make_address(address), 0});
  return acceptor.local_endpoint().port();
}

// ---- the store

std::uint64_t store::put(const string &key, const string &value,
                         std::uint64_t leaseId) {
  revision += 1;
  item &each = items[key];
  if (each.created == 0)
    each.created = revision;
  each.value = value;
  each.revision = revision;
  each.lease = leaseId;
  events.push_back({revision, key, value, leaseId, each.created, false, now()});
  return revision;
}

void store::erase(const string &key) {
  if (items.erase(key) == 0)
    return;
  revision += 1;
  events.push_back({revision, key, {}, 0, 0, true, now()});
}

void store::start(const string &address, unsigned short port) {
  spawn(accept(std::make_shared<tcp::acceptor>(
      io(), tcp::endpoint{asio::ip::make_address(address), port})));
  spawn(expire());
}

task store::expire() {
  for (;;) {
    co_await sleepMs(10);
    while (!events.empty() && events.front().at + historyMs < now()) {
      droppedUpTo = events.front().revision;
      events.pop_front();
    }
    std::vector<std::uint64_t> ended;
    for (const auto &[id, each] : leases)
      if (now() >= each.endsAt)
        ended.push_back(id);
    for (const auto id : ended) {
      leases.erase(id);
      std::vector<string> keys;
      for (const auto &[key, each] : items)
        if (each.lease == id)
          keys.push_back(key);
      for (const string &key : keys)
        erase(key);
    }
  }
}

task store::accept(std::shared_ptr<tcp::acceptor> acceptor) {
  for (;;)
    spawn(serve(co_await acceptor->async_accept(token)));
}

asio::awaitable<string> store::watch(string prefix, std::uint64_t after,
                                     double waitMs) {
  const double until = now() + waitMs;
  for (;;) {
    json::array found;
    for (const event &each : events) {
      if (each.revision <= after || each.key.rfind(prefix, 0) != 0)
        continue;
      if (each.removed)
        found.push_back(json::object{{"Key", each.key},
                                     {"Revision", each.revision},
                                     {"Tombstone", true}});
      else
        found.push_back(json::object{{"Key", each.key},
                                     {"Value", encode(each.value)},
                                     {"Revision", each.revision},
                                     {"CreateRevision", each.created},
                                     {"Lease", each.lease}});
    }
    if (!found.empty() || now() >= until)
      co_return json::serialize(
          json::object{{"events", std::move(found)}, {"CurrentRev", revision}});
    co_await sleepMs(3);
  }
}

std::pair<unsigned, string> store::txn(const string &body) {
  const json::object call = json::parse(body).as_object();
  bool holds = true;
  json::array current;
  for (const auto &row : call.at("Expected").as_array()) {
    const string key = field(row.as_object(), "Key");
    const auto found = items.find(key);
    const std::uint64_t known =
        found == items.end() ? 0 : found->second.revision;
    holds = holds && known == number(row.as_object(), "Revision");
    if (found != items.end())
      current.push_back(itemOf(key, found->second));
  }
  if (!holds)
    return {412, json::serialize(json::object{{"items", std::move(current)}})};
  for (const auto &row : call.at("Writes").as_array())
    if (const auto id = number(row.as_object(), "Lease");
        id != 0 && !leases.contains(id))
      return {404, "{}"};
  for (const auto &row : call.at("Writes").as_array())
    put(field(row.as_object(), "Key"), decode(field(row.as_object(), "Value")),
        number(row.as_object(), "Lease"));
  for (const auto &key : call.at("Deletes").as_array())
    erase(string(key.as_string().data(), key.as_string().size()));
  return {200, json::serialize(json::object{{"Revision", revision}})};
}

string store::range(const string &prefix, const string &after) {
  json::array found;
  bool more = false;
  for (const auto &[key, each] : items) {
    if (key.rfind(prefix, 0) != 0 || key <= after)
      continue;
    if (found.size() >= 500) {
      more = true;
      break;
    }
    found.push_back(itemOf(key, each));
  }
  return json::serialize(json::object{{"items", std::move(found)},
                                      {"MorePages", more},
                                      {"CurrentRev", revision}});
}

task store::serve(tcp::socket socket) {
  beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> request;
    co_await http::async_read(socket, buffer, request, token);
    const string target(request.target().data(), request.target().size());
    const string path = target.substr(0, target.find('?'));
    unsigned status = 200;
    string body = "{}";
    co_await sleepMs(2);
    if (path == "/v1/kv-range") {
      body = range(queryField(target, "Prefix"), queryField(target, "after"));
    } else if (path == "/v1/kv-watch") {
      const auto after = std::stoull(queryField(target, "after"));
      if (after < droppedUpTo)
        status = 410;
      else
        body = co_await watch(queryField(target, "Prefix"), after,
                              std::stod(queryField(target, "WaitMs")));
      if (onWatch)
        onWatch(queryField(target, "Prefix"), after, status, body.size());
    } else if (path == "/v1/kv-txn") {
      std::tie(status, body) = txn(request.body());
    } else if (path == "/v1/kv-lease") {
      const double ttl = std::max<double>(
          1000, number(json::parse(request.body()).as_object(), "TtlMs"));
      const std::uint64_t id = ++nextLease;
      leases[id] = {ttl, now() + ttl};
      body = json::serialize(json::object{
          {"Lease", id}, {"TtlMs", static_cast<std::uint64_t>(ttl)}});
    } else if (path.rfind("/v1/kv-keep/", 0) == 0) {
      const auto found = leases.find(std::stoull(path.substr(12)));
      if (found == leases.end()) {
        status = 404;
      } else {
        found->second.endsAt = now() + found->second.ttlMs;
        body = json::serialize(json::object{
            {"TtlMs", static_cast<std::uint64_t>(found->second.ttlMs)}});
      }
    } else if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
      const auto found = leases.find(std::stoull(path.substr(17)));
      if (found != leases.end())
        found->second.endsAt = 0;
    } else {
      status = 404;
    }
    http::response<http::string_body> response{
        static_cast<http::status>(status), request.version()};
    response.set(http::field::content_type, "application/json");
    response.set("Store-Era", "1");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    co_await http::async_write(socket, response, token);
  }
}

// ---- the calls to the platform

void cloud::start(const string &address, unsigned short port) {
  spawn(accept(std::make_shared<tcp::acceptor>(
      io(), tcp::endpoint{asio::ip::make_address(address), port})));
}

task cloud::accept(std::shared_ptr<tcp::acceptor> acceptor) {
  for (;;)
    spawn(serve(co_await acceptor->async_accept(token)));
}

task cloud::serve(tcp::socket socket) {
  beast::flat_buffer buffer;
  for (;;) {
    http::request<http::string_body> request;
    co_await http::async_read(socket, buffer, request, token);
    const json::object call = json::parse(request.body()).as_object();
    const string id = field(call, "Id");
    const auto found = services.find(field(call, "Backend"));
    member *chosen =
        found == services.end() ? nullptr : found->second->find(id);
    unsigned status = 200;
    if (!chosen || !chosen->running)
      status = 409;
    record("promote " + id + " holder " + string(request["X-Lease-Holder"]) +
           " token " + string(request["X-Fence-Token"]) + " " +
           std::to_string(status));
    orders += 1;
    if (status == 200 && !chosen->isPrimary)
      spawn(promote(found->second, id));
    http::response<http::string_body> response{
        static_cast<http::status>(status), request.version()};
    response.keep_alive(request.keep_alive());
    response.body() = "{}";
    response.prepare_payload();
    co_await http::async_write(socket, response, token);
  }
}

task cloud::promote(service *group, string id) {
  co_await sleepMs(group->promoteMs);
  member *chosen = group->find(id);
  if (!chosen || !chosen->running || chosen->isPrimary)
    co_return;
  member *old = group->primary;
  group->term += 1;
  chosen->isPrimary = true;
  chosen->term = group->term;
  chosen->at.term = group->term;
  group->primary = chosen;
  record("promoted " + id);
  if (onPromoted)
    onPromoted(*chosen);
  chosen->checkIn();
  for (auto &each : group->members)
    if (each.get() != chosen && each.get() != old) {
      each->data = chosen->data;
      each->at = chosen->at;
      each->term = group->term;
    }
  if (!old)
    co_return;
  co_await sleepMs(500);
  old->isPrimary = false;
  old->data = chosen->data;
  old->at = chosen->at;
  old->term = chosen->term;
  if (old->running)
    old->checkIn();
}

// ---- members

member *service::find(const string &id) {
  for (auto &each : members)
    if (each->id == id)
      return each.get();
  return nullptr;
}

void member::checkIn() {
  sequence += 1;
  // The entry changes when more than Sequence changes.
  const string state = string(draining ? "d" : "r") + (isPrimary ? "p" : "s") +
                       std::to_string(born);
  if (state == reported && platform->items.contains("servers/" + id))
    return;
  reported = state;
  platform->put("servers/" + id,
                json::serialize(json::object{
                    {"Backend", group->name},
                    {"Address", address + ":" + std::to_string(port)},
                    {"Zone", zone},
                    {"Version", "v1"},
                    {"Capacity", slots},
                    {"Phase", draining ? "draining" : "ready"},
                    {"ColdRemainingMs", 0},
                    {"DbRole", isPrimary ? "primary" : "replica"},
                    {"Sequence", sequence},
                    {"born", born}}));
}

void member::start() {
  running = true;
  born = unixMs();
  acceptor = std::make_shared<tcp::acceptor>(
      io(), tcp::endpoint{asio::ip::make_address(address), port});
  spawn(accept());
  spawn(beat());
}

void member::crash() {
  running = false;
  beast::error_code ignored;
  if (acceptor)
    acceptor->close(ignored);
  for (const auto &socket : sockets) {
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  sockets.clear();
  connections = 0;
}

void member::startEmpty() {
  data.clear();
  log.clear();
  at = {term, 0};
  isPrimary = false;
  start();
}

task member::beat() {
  const std::int64_t life = born;
  double silentSince = -1;
  while (born == life) {
    if (running)
      checkIn();
    else if (silentSince < 0)
      silentSince = now();
    else if (now() > silentSince + 3 * group->heartbeatMs) {
      platform->erase("servers/" + id);
      co_return;
    }
    co_await sleepMs(group->heartbeatMs);
  }
}

task member::accept() {
  const auto own = acceptor;
  for (;;) {
    auto socket =
        std::make_shared<tcp::socket>(co_await own->async_accept(token));
    sockets.insert(socket);
    spawn(serve(socket));
  }
}

task member::serve(std::shared_ptr<tcp::socket> socket) {
  struct leave {
    member *self;
    std::shared_ptr<tcp::socket> socket;
    bool counted = false;
    bool slot = false;
    ~leave() {
      self->sockets.erase(socket);
      if (counted && self->connections > 0)
        self->connections -= 1;
      if (slot)
        self->busy -= 1;
    }
  } guard{this, socket};
  socket->set_option(tcp::no_delay(true));
  string buffer;
  std::map<string, string> values, shapes;
  std::map<string, string> pending;
  bool inTransaction = false, readOnly = false, failed = false, started = false;
  const auto state = [&] {
    return string(failed ? "E" : inTransaction ? "T" : "I");
  };
  for (;;) {
    const std::size_t length = co_await asio::async_read_until(
        *socket, asio::dynamic_buffer(buffer, 3u << 20), "\r\n", token);
    string line = buffer.substr(0, length - 2);
    buffer.erase(0, length);
    string rest = line, out;
    const string verb = takeWord(rest);
    if (verb == "STARTUP" && !started) {
      const string name = takeWord(rest), who = takeWord(rest);
      if (name != group->name || (!rest.empty() && rest != id)) {
        out = "ERROR WRONGNODE " + id + "\r\n";
      } else if (connections >= maxConnections) {
        out = "ERROR TOOMANY -\r\n";
      } else {
        guard.counted = true;
        connections += 1;
        started = true;
        while (busy >= slots)
          co_await sleepMs(1);
        busy += 1;
        guard.slot = true;
        co_await sleepMs(12);
        busy -= 1;
        guard.slot = false;
        out = "READY I " + positionText(at) + "\r\n";
      }
      co_await asio::async_write(*socket, asio::buffer(out), token);
      if (!started)
        co_return;
      continue;
    }
    if (verb == "TERMINATE")
      co_return;
    const string queryId = takeWord(rest);
    string text = rest;
    std::optional<position> after;
    if (rest.rfind("AFTER ", 0) == 0) {
      takeWord(rest);
      const string where = takeWord(rest);
      after = position{std::stoull(where),
                       std::stoull(where.substr(where.find('.') + 1))};
      text = rest;
    }
    string words = text;
    const string kind = takeWord(words);
    string result = "COMPLETE " + id + "." + queryId + "\r\n";
    const auto fail = [&](const string &code) {
      result = "ERROR " + code + " " + id + "\r\n";
      failed = inTransaction;
    };
    bool writes = kind == "WRITE";
    string item = words;
    if (kind == "EXECUTE") {
      const auto found = shapes.find(takeWord(item));
      writes = found != shapes.end() && found->second.rfind("WRITE", 0) == 0;
      if (found == shapes.end())
        fail("NOSTMT");
    }
    const bool takesSlot = kind == "READ" || kind == "WRITE" ||
                           kind == "EXECUTE" || kind == "COMMIT" ||
                           kind == "STATUS";
    if (after && at < *after) {
      fail("LAGGING");
    } else if (kind == "SET") {
      const string name = takeWord(words);
      values[name] = words;
    } else if (kind == "RESET") {
      values.clear();
      shapes.clear();
    } else if (kind == "PREPARE") {
      const string name = takeWord(words);
      shapes[name] = words;
    } else if (kind == "BEGIN") {
      readOnly = words == "READ";
      if (!readOnly && !isPrimary) {
        fail("READONLY");
      } else {
        inTransaction = true;
        pending.clear();
      }
    } else if (kind == "ROLLBACK") {
      inTransaction = failed = false;
      pending.clear();
    } else if (takesSlot && result[0] == 'C') {
      while (busy >= slots)
        co_await sleepMs(1);
      busy += 1;
      guard.slot = true;
      const bool mayRun =
          !(writes || (inTransaction && !readOnly)) || isPrimary;
      if (mayRun && kind != "STATUS") {
        if (queryId != "-" && onRun)
          onRun(*this, queryId, text);
        co_await sleepMs(workMs);
      }
      busy -= 1;
      guard.slot = false;
      if (!mayRun || (writes && !isPrimary)) {
        fail("READONLY");
      } else if (kind == "STATUS") {
        result = "ROW " + string(isPrimary ? "primary " : "replica ") +
                 std::to_string(term) + " " + positionText(at) + " " +
                 std::to_string(term) + " 0 " + std::to_string(busy) + " " +
                 std::to_string(connections) + "\r\n" + result;
      } else if (kind == "COMMIT") {
        inTransaction = failed = false;
      } else if (!writes) {
        string key = item;
        result = "ROW " + data[takeWord(key)] + "\r\n" + result;
      }
      if (result[0] != 'E' && (writes || kind == "COMMIT")) {
        if (writes) {
          string value = item;
          const string key = takeWord(value);
          pending[key] = value;
        }
        if (!inTransaction && !pending.empty()) {
          for (const auto &[key, value] : pending)
            data[key] = value;
          at.number += 1;
          log.insert(queryId);
          for (auto &other : group->members)
            if (other.get() != this && !other->isPrimary)
              spawn([](std::shared_ptr<member> to, position upTo,
                       std::map<string, string> changes, string commit,
                       double lag) -> task {
                const std::int64_t life = to->born;
                co_await sleepMs(lag);
                if (!to->running || to->deaf || to->born != life)
                  co_return;
                for (const auto &[key, value] : changes)
                  to->data[key] = value;
                to->log.insert(commit);
                to->at = std::max(to->at, upTo);
              }(other, at, pending, queryId, group->lagMs));
          const auto isReceived = [this, &queryId] {
            return std::any_of(group->members.begin(), group->members.end(),
                               [&](const auto &other) {
                                 return other.get() != this &&
                                        other->log.contains(queryId);
                               });
          };
          while (group->syncReplicas > 0 && running && !isReceived())
            co_await sleepMs(1);
          if (!running)
            co_return;
          pending.clear();
        }
      }
    }
    out = result + "READY " + state() + " " + positionText(at) + "\r\n";
    co_await asio::async_write(*socket, asio::buffer(out), token);
  }
}

// ---- clients

asio::awaitable<bool> session::connect(const string &address,
                                       unsigned short port) {
  boost::system::error_code failed;
  co_await socket.async_connect({asio::ip::make_address(address), port},
                                asio::redirect_error(token, failed));
  if (!failed)
    socket.set_option(tcp::no_delay(true));
  co_return !failed;
}

asio::awaitable<bool> session::write(const string &text) {
  boost::system::error_code failed;
  co_await asio::async_write(socket, asio::buffer(text),
                             asio::redirect_error(token, failed));
  co_return !failed;
}

asio::awaitable<answer> session::read() {
  answer out;
  for (;;) {
    boost::system::error_code failed;
    const std::size_t length = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(buffer, 64u << 20), "\r\n",
        asio::redirect_error(token, failed));
    if (failed) {
      out.closed = true;
      co_return out;
    }
    string line = buffer.substr(0, length - 2);
    buffer.erase(0, length);
    const string verb = takeWord(line);
    if (verb == "ROW") {
      out.rows.push_back(line);
    } else if (verb == "COMPLETE") {
      out.ok = true;
      out.code = "COMPLETE";
      out.text = line;
    } else if (verb == "ERROR") {
      out.code = takeWord(line);
      out.text = line;
    } else if (verb == "READY") {
      out.state = takeWord(line);
      co_return out;
    }
  }
}

asio::awaitable<answer> session::startup(const string &database,
                                         const string &key) {
  if (!co_await write("STARTUP " + database + " " + key + "\r\n")) {
    answer out;
    out.closed = true;
    co_return out;
  }
  co_return co_await read();
}

asio::awaitable<answer> session::query(const string &id, const string &text) {
  if (!co_await write("QUERY " + id + " " + text + "\r\n")) {
    answer out;
    out.closed = true;
    co_return out;
  }
  co_return co_await read();
}

void session::close() {
  boost::system::error_code ignored;
  socket.close(ignored);
}

string newId() {
  static std::mt19937_64 random{std::random_device{}()};
  char text[20];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

json::object route(const string &name, const string &database,
                   const string &type, const string &service, double timeoutMs,
                   double staleMs) {
  json::object out{{"Name", name},           {"Database", database},
                   {"Prefix", "/"},          {"Type", type},
                   {"TimeoutMs", timeoutMs}, {"TargetLatencyMs", 300},
                   {"Priority", 1},          {"Backend", service},
                   {"RetryAttempts", 2},     {"Public", false}};
  if (staleMs > 0)
    out["MaxStalenessMs"] = staleMs;
  return out;
}

json::object tenant(const string &name, const string &key, double rate) {
  return {{"Name", name},
          {"ApiKeys", json::array{key}},
          {"Priority", 1},
          {"RatePerS", rate},
          {"Burst", rate}};
}

// ---- a proxy

void relay::start(const string &at, const string &to, unsigned short toPort) {
  address = at;
  port = freePort(at);
  spawn(accept(std::make_shared<tcp::acceptor>(
                   io(), tcp::endpoint{asio::ip::make_address(at), port}),
               to, toPort));
}

unsigned relay::silence() {
  unsigned count = 0;
  for (const auto &each : pairs)
    if (const auto open = each.lock(); open && !open->silent) {
      open->silent = true;
      count += 1;
    }
  pairs.clear();
  return count;
}

task relay::accept(std::shared_ptr<tcp::acceptor> acceptor, string to,
                   unsigned short toPort) {
  for (;;) {
    auto each = std::make_shared<pair>();
    each->client = co_await acceptor->async_accept(token);
    pairs.push_back(each);
    spawn(open(each, to, toPort));
  }
}

task relay::open(std::shared_ptr<pair> each, string to, unsigned short toPort) {
  co_await each->server.async_connect({asio::ip::make_address(to), toPort},
                                      token);
  each->client.set_option(tcp::no_delay(true));
  each->server.set_option(tcp::no_delay(true));
  spawn(copy(each, true));
  spawn(copy(each, false));
}

task relay::copy(std::shared_ptr<pair> each, bool toServer) {
  tcp::socket &from = toServer ? each->client : each->server;
  tcp::socket &into = toServer ? each->server : each->client;
  std::vector<char> bytes(64 << 10);
  for (;;) {
    boost::system::error_code failed;
    const std::size_t size = co_await from.async_read_some(
        asio::buffer(bytes), asio::redirect_error(token, failed));
    if (each->silent && !failed)
      continue;
    if (failed) {
      // On a silent connection, the end isn't told either.
      if (!each->silent)
        into.close(failed);
      co_return;
    }
    co_await asio::async_write(into, asio::buffer(bytes.data(), size), token);
  }
}

// ---- a deployment

deployment::deployment(const string &path) : directory(path) {
  Deployments.push_back(this);
  storePort = freePort(storeAddress);
  cloudPort = freePort(storeAddress);
  platform.start(storeAddress, storePort);
  calls.start(storeAddress, cloudPort);
}

service &deployment::addService(const string &name,
                                const std::vector<string> &zones,
                                unsigned slots, unsigned maxConnections,
                                double workMs) {
  auto made = std::make_unique<service>();
  made->name = name;
  const auto index = services.size();
  for (std::size_t i = 0; i < zones.size(); ++i) {
    auto each = std::make_shared<member>();
    each->id = "i-" + name + "-" + std::to_string(i + 1);
    each->zone = zones[i];
    each->address =
        "127.0." + std::to_string(20 + index) + "." + std::to_string(i + 1);
    each->port = freePort(each->address);
    each->group = made.get();
    each->platform = &platform;
    each->slots = slots;
    each->maxConnections = maxConnections;
    each->workMs = workMs;
    each->isPrimary = i == 0;
    if (i == 0)
      made->primary = each.get();
    made->members.push_back(each);
  }
  calls.services[name] = made.get();
  for (auto &each : made->members)
    each->start();
  services.push_back(std::move(made));
  return *services.back();
}

host &deployment::addHost(const string &zone) {
  auto made = std::make_unique<host>();
  made->zone = zone;
  made->name = "edge-" + zone + "-" + std::to_string(hosts.size() + 1);
  made->address = "127.0.10." + std::to_string(hosts.size() + 1);
  for (unsigned short *port :
       {&made->frontend, &made->ready, &made->peers, &made->metrics})
    *port = freePort(made->address);
  made->directory = directory + "/" + made->name;
  std::filesystem::create_directories(made->directory);
  hosts.push_back(std::move(made));
  return *hosts.back();
}

void deployment::startHost(host &each) {
  // As the platform fills deploy/host.ini in.
  const auto at = [&](unsigned short port) {
    return each.address + ":" + std::to_string(port);
  };
  const std::map<string, string> fields{
      {"{{NodeName}}", each.name},
      {"{{Zone}}", each.zone},
      {"{{BindAddresses.Frontend}}", at(each.frontend)},
      {"{{BindAddresses.Ready}}", at(each.ready)},
      {"{{Ip}}:{{InternalPortRange.0}}", at(each.peers)},
      {"{{Ip}}:{{InternalPortRange.1}}", at(each.metrics)},
      {"{{Limits.LinkMbps}}", "1000.0"},
      {"{{platform.Address}}",
       each.storeRelay ? each.storeRelay->address + ":" +
                             std::to_string(each.storeRelay->port)
                       : storeAddress + ":" + std::to_string(storePort)},
      {"{{CloudApi.Address}}", storeAddress + ":" + std::to_string(cloudPort)},
      {"{{platform.MinTtlMs}}", "1000"},
      {"{{Bounds.GracePeriodS}}", "6"},
      {"{{Bounds.DrainTimeoutMs}}", "7000"},
      {"{{Bounds.ConfigDeadlineMs}}", "3000"},
      {"{{Bounds.EvacuateMs}}", ""},
      {"{{Limits.MemoryMb}}", std::to_string(memoryMb)},
      {"{{Limits.MaxFds}}", "4300"}};
  std::ifstream in(std::getenv("ROOT") + string("/deploy/host.ini"));
  string text((std::istreambuf_iterator<char>(in)), {});
  for (const auto &[name, value] : fields)
    for (auto found = text.find(name); found != string::npos;
         found = text.find(name))
      text.replace(found, name.size(), value);
  const string file = each.directory + "/settings.ini";
  std::ofstream(file) << text;
  const string log = each.directory + "/output.txt";
  const string program =
      std::getenv("ROOT") + string("/target/bin/bronzespar-sessiond");
  each.exited = false;
  each.startedAt = now();
  each.misses = 0;
  each.pid = fork();
  if (each.pid == 0) {
    // It ends with the script, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    for (int fd = 3; fd < 4096; ++fd)
      close(fd);
    if (chdir(std::getenv("ROOT")) != 0)
      _exit(9);
    setenv("BRONZESPAR_NODE_FILE", file.c_str(), 1);
    execl(program.c_str(), program.c_str(), nullptr);
    _exit(9);
  }
  record("start " + each.name);
}

void deployment::signal(host &each, int number) {
  record("signal " + std::to_string(number) + " to " + each.name);
  if (number == SIGTERM)
    each.termAt = now();
  if (each.pid > 0 && !each.exited)
    ::kill(each.pid, number);
}

double deployment::residentMb(const host &each) const {
  std::ifstream in("/proc/" + std::to_string(each.pid) + "/status");
  for (string line; std::getline(in, line);)
    if (line.rfind("VmRSS:", 0) == 0)
      return std::stod(line.substr(6)) / 1024;
  return 0;
}

void deployment::putConfig(json::array routes, json::array tenants) {
  json::array list;
  for (const auto &each : services)
    list.push_back(
        json::object{{"Name", each->name},
                     {"HealthPath", "/healthz"},
                     {"MaxConnections", each->members.front()->maxConnections},
                     {"Protocol", "h1"},
                     {"Tls", false},
                     {"SyncReplicas", each->syncReplicas}});
  platform.put("op/config", json::serialize(json::object{
                                {"Version", configVersion++},
                                {"Routes", std::move(routes)},
                                {"Services", std::move(list)},
                                {"Limits", json::object{{"TxIdleMs", 3000}}},
                                {"Tenants", std::move(tenants)}}));
}

void deployment::reap() {
  for (auto &each : hosts) {
    int status = 0;
    if (each->pid <= 0 || each->exited ||
        waitpid(each->pid, &status, WNOHANG) != each->pid)
      continue;
    each->exited = true;
    each->status = status;
    each->inRotation = false;
    record("ended " + each->name +
           (WIFSIGNALED(status)
                ? " by signal " + std::to_string(WTERMSIG(status))
                : " with status " + std::to_string(WEXITSTATUS(status))));
  }
}

void deployment::startProbes() {
  for (auto &each : hosts)
    spawn(probe(each.get()));
}

task deployment::probe(host *each) {
  for (;;) {
    co_await sleepMs(1000);
    bool good = false;
    try {
      beast::tcp_stream stream(io());
      stream.expires_after(std::chrono::milliseconds(800));
      co_await stream.async_connect(
          tcp::endpoint{asio::ip::make_address(each->address), each->ready},
          token);
      http::request<http::empty_body> request{http::verb::get, "/v1/readyz",
                                              11};
      co_await http::async_write(stream, request, token);
      beast::flat_buffer buffer;
      http::response<http::string_body> response;
      co_await http::async_read(stream, buffer, response, token);
      good = response.result_int() == 200;
    } catch (const boost::system::system_error &) {
    }
    each->misses = good ? 0 : each->misses + 1;
    const bool was = each->inRotation;
    each->inRotation = good || (was && each->misses < 2);
    if (was != each->inRotation)
      record(each->name + (each->inRotation ? " in" : " out of") + " rotation");
  }
}

host *deployment::route(const string &zone, unsigned hash) {
  std::vector<host *> all, ready, others;
  for (auto &each : hosts) {
    if (each->zone != zone) {
      if (each->inRotation)
        others.push_back(each.get());
      continue;
    }
    all.push_back(each.get());
    if (each->inRotation)
      ready.push_back(each.get());
  }
  if (ready.empty())
    return others.empty() ? nullptr : others[hash % others.size()];
  const auto &from = ready.size() * 2 < all.size() ? all : ready;
  return from[hash % from.size()];
}

asio::awaitable<bool> deployment::awaitReady(double seconds) {
  const double until = now() + seconds * 1000;
  while (now() < until) {
    co_await sleepMs(200);
    if (std::all_of(hosts.begin(), hosts.end(), [](const auto &each) {
          return each->pid == 0 || (each->inRotation && each->misses == 0 &&
                                    now() > each->startedAt + 2500);
        }))
      co_return true;
  }
  co_return false;
}

void deployment::stopAll() {
  for (auto &each : hosts) {
    if (each->pid <= 0 || each->exited)
      continue;
    ::kill(each->pid, SIGKILL);
    int status = 0;
    waitpid(each->pid, &status, 0);
    each->exited = true;
  }
}

int run(task work, const int &result, double limitSeconds) {
  bool done = false;
  std::signal(SIGPIPE, SIG_IGN);
  asio::co_spawn(io(), std::move(work), [&](std::exception_ptr failed) {
    done = true;
    if (failed)
      try {
        std::rethrow_exception(failed);
      } catch (const std::exception &error) {
        record(string("script failed: ") + error.what());
        done = false;
      }
    io().stop();
  });
  io().run_for(
      std::chrono::milliseconds(static_cast<long>(limitSeconds * 1000)));
  for (deployment *each : Deployments) {
    each->stopAll();
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(each->directory);
  }
  Record.flush();
  // Stand-ins still wait for one another; nothing has to be taken down.
  std::_Exit(done ? result : 2);
}

} // namespace stand
