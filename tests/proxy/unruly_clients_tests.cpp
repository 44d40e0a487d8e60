/// Crowds of clients that are out of step, without a network: memory that they
/// hold together, and connections that make room.
#include <bronzespar/proxy/connection_limits.hpp>
#include <bronzespar/proxy/memory_budget.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace bronzespar::proxy;

namespace {

constexpr std::size_t MachineMb = 64;
constexpr std::size_t ClientsLimit = std::size_t{16} << 20;
constexpr std::size_t LargestLine = std::size_t{1} << 20;

/// Connections before a budget, and which of them were closed.
struct played_clients {
  memory_budget Budget = makeMemoryBudget(MachineMb);
  std::map<client_holder, held_memory> Open;
  std::vector<std::uint64_t> Closed;
  std::size_t Peak = 0;

  void hold(std::uint64_t Number, held_memory Now) {
    const client_holder Holder{client_kind::Caller, Number};
    changeHeld(Budget, Holder, Open[Holder], Now);
    Open[Holder] = Now;
    while (const auto Next = chooseClosed(Budget)) {
      changeHeld(Budget, *Next, Open[*Next], {});
      Open.erase(*Next);
      Closed.push_back(Next->Number);
    }
    Peak = std::max(Peak, Budget.Held);
  }
};

} // namespace

TEST_CASE("A crowd that begins large messages stays within the budget") {
  played_clients Clients;
  for (std::uint64_t Number = 1000; Number < 1100; ++Number)
    Clients.hold(Number, {100, false});
  for (std::size_t Part = 1; Part <= 16; ++Part)
    for (std::uint64_t Number = 0; Number < 200; ++Number)
      if (std::count(Clients.Closed.begin(), Clients.Closed.end(), Number) == 0)
        Clients.hold(Number, {Part * LargestLine / 16, true});
  CHECK(Clients.Budget.Limit == ClientsLimit);
  CHECK(Clients.Peak <= ClientsLimit);
  CHECK_FALSE(Clients.Closed.empty());
  // None of the ordinary sessions was closed.
  CHECK(std::all_of(Clients.Closed.begin(), Clients.Closed.end(),
                    [](std::uint64_t Number) { return Number < 1000; }));
}

TEST_CASE("A single message of the largest size is not refused") {
  played_clients Clients;
  Clients.hold(1, {LargestLine, true});
  Clients.hold(1, {2 * LargestLine, false});
  CHECK(Clients.Closed.empty());
}

TEST_CASE("Clients that are out of step are closed before larger others") {
  played_clients Clients;
  Clients.hold(1, {ClientsLimit / 2, false});
  Clients.hold(2, {ClientsLimit / 8, true});
  Clients.hold(3, {ClientsLimit / 4, true});
  Clients.hold(4, {ClientsLimit / 4, false});
  CHECK(Clients.Closed == std::vector<std::uint64_t>{3});
}

TEST_CASE("Without clients out of step the largest is closed") {
  played_clients Clients;
  Clients.hold(1, {ClientsLimit / 2, false});
  Clients.hold(2, {ClientsLimit, false});
  CHECK(Clients.Closed == std::vector<std::uint64_t>{2});
}

TEST_CASE("Idle sessions cost nothing in the budget") {
  played_clients Clients;
  for (std::uint64_t Number = 0; Number < 20000; ++Number)
    Clients.hold(Number, {500, false});
  CHECK(Clients.Budget.Large.empty());
  CHECK(Clients.Closed.empty());
}

TEST_CASE("Callers can't take the descriptors of targets, peers and store") {
  for (const std::size_t Descriptors : {128U, 256U, 1024U, 4300U, 8192U}) {
    const connection_limits Limits = makeConnectionLimits(Descriptors);
    CHECK(Limits.Callers >= 1);
    CHECK(Limits.UnprovenPeers >= 1);
    CHECK(Limits.Monitors >= 1);
    const std::size_t Taken =
        Limits.Callers + Limits.UnprovenPeers + 2 * Limits.Monitors;
    CHECK(Taken < Descriptors - std::min<std::size_t>(200, Descriptors / 2));
  }
  CHECK(makeConnectionLimits(8192).Callers == 8192 - 200 - 512);
}

TEST_CASE("Connections without a session make room before idle sessions") {
  const std::vector<connection_candidate> Candidates{
      {1, connection_use::Idle, 5},      {2, connection_use::Busy, 1},
      {3, connection_use::Unstarted, 9}, {4, connection_use::InTransaction, 2},
      {5, connection_use::Idle, 4},      {6, connection_use::Unstarted, 7}};
  CHECK(chooseEvicted(Candidates, 3) == std::vector<std::uint64_t>{6, 3, 5});
  // A statement under way is never given up.
  CHECK(chooseEvicted(Candidates, 10) ==
        std::vector<std::uint64_t>{6, 3, 5, 1, 4});
}
