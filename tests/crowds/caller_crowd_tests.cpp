/// Crowds of callers that are out of step. Each test checks that the process
/// lives, stays within the memory and descriptors of its machine, and answers
/// an ordinary request afterwards; how much of the crowd is served is open.
#include "checks.hpp"
#include "crowd.hpp"

using namespace bronzespar::crowds;

namespace {

constexpr std::size_t MaxLineBytes = std::size_t{1} << 20;
constexpr std::size_t Whole = std::size_t{256} << 20;

const std::string Startup =
    std::string("STARTUP ") + Database + ' ' + Key + "\r\n";

std::string repeat(std::size_t Count, const std::string &Text) {
  std::string Out;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Out += Text;
  return Out;
}

/// A write whose line has the given length, with its end.
std::string writeOf(std::size_t LineBytes) {
  const std::string Start = "QUERY 00a1 WRITE 1a4 ";
  return Start + std::string(LineBytes - Start.size() - 2, 'x') + "\r\n";
}

} // namespace

TEST_CASE("Lines of legal size that don't end, on many connections",
          "[unended-lines]") {
  running_host Host;
  crowd Crowd = gather(100, Host.ports().Callers);
  const std::string Line = writeOf(MaxLineBytes);
  pushText(Crowd, Startup + Line.substr(0, Line.size() - 2), Whole);
  checkHolds(Host);
}

TEST_CASE("Lines of legal size in pieces, on many connections",
          "[lines-in-pieces]") {
  running_host Host;
  crowd Crowd = gather(80, Host.ports().Callers);
  const std::string Line = writeOf(MaxLineBytes);
  pushText(Crowd, Startup + Line.substr(0, Line.size() - 2), 1000);
  checkHolds(Host);
}

TEST_CASE("Lines of legal size at once, on many connections", "[whole-lines]") {
  running_host Host;
  crowd Crowd = gather(100, Host.ports().Callers);
  Host.target().hold();
  pushText(Crowd, Startup + writeOf(MaxLineBytes), Whole);
  Host.target().release();
  checkHolds(Host);
}

TEST_CASE("Lines far over the limit", "[long-lines]") {
  running_host Host;
  crowd Crowd = gather(40, Host.ports().Callers);
  pushText(Crowd, Startup + std::string(8 * MaxLineBytes, 'x'), Whole);
  checkHolds(Host);
}

TEST_CASE("Ten thousand statements ahead on one connection, none read",
          "[statements-ahead]") {
  running_host Host;
  crowd Crowd = gather(1, Host.ports().Callers);
  pushText(Crowd, Startup + repeat(10000, "QUERY 00a1 READ large\r\n"), Whole);
  checkHolds(Host);
}

TEST_CASE("Large statements ahead while the target doesn't answer",
          "[large-statements-ahead]") {
  running_host Host;
  crowd Crowd = gather(4, Host.ports().Callers);
  Host.target().hold();
  pushText(Crowd, Startup + repeat(60, writeOf(MaxLineBytes)), Whole);
  Host.target().release();
  checkHolds(Host);
}

TEST_CASE("Answers with large rows that nobody reads", "[unread-answers]") {
  running_host Host;
  crowd Crowd = gather(60, Host.ports().Callers);
  pushText(Crowd, Startup + repeat(8, "QUERY 00a1 READ large\r\n"), Whole);
  checkHolds(Host);
}

TEST_CASE("Half a startup and silence, by the hundred", "[half-startups]") {
  running_host Host;
  crowd Crowd = gather(400, Host.ports().Callers);
  pushText(Crowd, "STARTUP sal", Whole);
  checkHolds(Host);
}

TEST_CASE("Sessions that open and close without an operation",
          "[empty-sessions]") {
  running_host Host;
  for (int Round = 0; Round < 20; ++Round) {
    crowd Crowd = gather(100, Host.ports().Callers);
    pushText(Crowd, Startup, Whole);
  }
  checkHolds(Host);
}

TEST_CASE("Idle transactions by the hundred", "[idle-transactions]") {
  running_host Host;
  crowd Crowd = gather(150, Host.ports().Callers);
  pushText(Crowd, Startup + "QUERY 00a1 BEGIN READ\r\nQUERY 00a2 READ 1a4\r\n",
           Whole);
  checkHolds(Host);
}
