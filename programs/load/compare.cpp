/// Reads through the proxy against reads straight from the targets.
#include "compare.hpp"

#include "answers.hpp"
#include "driver.hpp"

#include <boost/json.hpp>
#include <boost/leaf/common.hpp>

#include <algorithm>
#include <cmath>
#include <thread>

namespace bronzespar::load {

namespace {

namespace json = boost::json;

/// Time between the beginnings of two reads.
constexpr auto ReadInterval = std::chrono::milliseconds(5);
constexpr auto ReadyTimeout = std::chrono::seconds(30);
constexpr duration CallTimeout = std::chrono::milliseconds(2000);
constexpr std::size_t WarmUpReads = 50; ///< Not counted, for each way.
constexpr unsigned Success = 200;

http_call readByProxy(const load_run &Run) {
  const account_settings &Account = Run.Fleet.Accounts.front();
  const auto Key = Run.Keys.find(Account.Id.Value);
  http_call Call;
  Call.Where = Run.Hosts.front().Callers;
  Call.Path = "/v1/routes/" + Run.Fleet.Routes.front().Id.Value + "/read";
  Call.Body = requestBody("compared", "");
  Call.Timeout = CallTimeout;
  if (Key != Run.Keys.end())
    Call.Headers.emplace_back("Authorization", "Bearer " + Key->second);
  return Call;
}

http_call readDirectly(const load_run &Run, std::size_t Number) {
  const auto &Members = Run.Fleet.Groups.front().Members;
  http_call Call;
  Call.Where = Members[Number % Members.size()].Statements;
  Call.Path = "/statement";
  Call.Timeout = CallTimeout;
  json::object Body{{"Id", "direct-" + std::to_string(Number)},
                    {"Kind", "Read"},
                    {"Row", "compared"},
                    {"Value", ""},
                    {"Term", 0},
                    {"IdempotencyKey", ""},
                    {"Account", "direct"}};
  Call.Body = json::serialize(Body);
  return Call;
}

/// Milliseconds that a call took; negative when it failed.
double timeCall(driver &Driver, http_call Call) {
  double Milliseconds = -1;
  bool Done = false;
  const instant Start = nowOf(Driver);
  Driver.Client.send(std::move(Call), [&](const http_answer &Answer) {
    if (Answer.Status == Success)
      Milliseconds = toMilliseconds(nowOf(Driver) - Start);
    Done = true;
  });
  while (!Done) {
    Driver.Context.run_one();
    Driver.Context.restart();
  }
  return Milliseconds;
}

bool becomesReady(driver &Driver) {
  const auto Deadline = std::chrono::steady_clock::now() + ReadyTimeout;
  while (std::chrono::steady_clock::now() < Deadline) {
    probeHosts(Driver, [] {});
    Driver.Context.run();
    Driver.Context.restart();
    if (Driver.Hosts.front().Ready)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

double rounded(double Value) { return std::round(Value * 1000) / 1000; }

std::string describe(const load_run &Run, std::vector<double> &Proxied,
                     std::vector<double> &Direct) {
  std::sort(Proxied.begin(), Proxied.end());
  std::sort(Direct.begin(), Direct.end());
  json::object Object;
  Object["place"] = Run.Identity.Place;
  Object["seed"] = Run.Identity.Seed;
  Object["reads"] = Proxied.size();
  for (const auto &[Name, Part] :
       {std::pair{"p50_ms", 0.50}, {"p99_ms", 0.99}}) {
    const double Through = percentile(Proxied, Part);
    const double Straight = percentile(Direct, Part);
    Object[std::string("proxy_") + Name] = rounded(Through);
    Object[std::string("direct_") + Name] = rounded(Straight);
    Object[std::string("added_") + Name] = rounded(Through - Straight);
  }
  return json::serialize(Object);
}

} // namespace

boost::leaf::result<std::string> compareDirect(const load_run &Run) {
  boost::asio::io_context Context;
  driver Driver(Context, Run);
  if (!becomesReady(Driver))
    return boost::leaf::new_error(run_fault{"the host did not become ready"});
  std::vector<double> Proxied;
  std::vector<double> Direct;
  const auto End = std::chrono::steady_clock::now() + Run.Length;
  for (std::size_t Number = 0; std::chrono::steady_clock::now() < End;
       ++Number) {
    const double Through = timeCall(Driver, readByProxy(Run));
    std::this_thread::sleep_for(ReadInterval);
    const double Straight = timeCall(Driver, readDirectly(Run, Number));
    std::this_thread::sleep_for(ReadInterval);
    if (Through < 0 || Straight < 0)
      return boost::leaf::new_error(run_fault{"a read failed"});
    if (Number < WarmUpReads)
      continue;
    Proxied.push_back(Through);
    Direct.push_back(Straight);
  }
  return describe(Run, Proxied, Direct);
}

} // namespace bronzespar::load
