/// Tests of a session host's settings, log budgets and meters.
#include <serve/journal.hpp>
#include <serve/meters.hpp>
#include <serve/serve_settings.hpp>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>
#include <string>

using namespace bronzespar;
using namespace bronzespar::serve;

namespace {

const std::string ValidSettings = R"([host]
id = edge-1
data_centre = suva
callers = 10.1.0.26:8465
readiness = 10.1.0.26:8460
peers = 10.1.0.26:7560
metrics = 10.1.0.26:7561
[platform]
store = 10.200.1.7:8466
duty = 10.200.0.2:8466
minimum_lease_ms = 1000
[bounds]
grace_period_s = 6
drain_ms = 7000
)";

} // namespace

TEST_CASE("Settings are parsed completely or rejected with the faulty name") {
  std::string Fault;
  const auto Settings = parseServeSettings(ValidSettings, Fault);
  REQUIRE(Settings);
  CHECK(Settings->Identity.GracePeriod == 6s);
  CHECK(Settings->Identity.DrainPeriod == 7s);
  CHECK(Settings->SettingsDeadline == 3s);
  CHECK(Settings->Store == endpoint{"10.200.1.7", 8466});
  CHECK(Settings->Identity.LinkMbps == 0);
  std::string WithLink = ValidSettings;
  WithLink.replace(WithLink.find("data_centre"), 0, "link_mbps = 20.0\n");
  const auto Linked = parseServeSettings(WithLink, Fault);
  REQUIRE(Linked);
  CHECK(Linked->Identity.LinkMbps == 20);
  const auto Timed =
      parseServeSettings(ValidSettings + "settings_ms = 5000\n", Fault);
  REQUIRE(Timed);
  CHECK(Timed->SettingsDeadline == 5s);
  for (const std::string Unfilled :
       {"settings_ms = \n", "settings_ms = {{Bounds.ConfigDeadlineMs}}\n"}) {
    const auto Default = parseServeSettings(ValidSettings + Unfilled, Fault);
    REQUIRE(Default);
    CHECK(Default->SettingsDeadline == 3s);
  }
  CHECK_FALSE(parseServeSettings(ValidSettings + "settings_ms = 20\n", Fault));
  CHECK(Fault == "line 15: settings_ms is not at least 1000 ms");
  CHECK(Settings->Identity.EvacuationPeriod == 5s);
  const auto Evacuating = parseServeSettings(
      ValidSettings + "settings_ms = 5000\nevacuate_ms = 4000\n", Fault);
  REQUIRE(Evacuating);
  CHECK(Evacuating->Identity.EvacuationPeriod == 4s);
  CHECK(Evacuating->SettingsDeadline == 4s);
  const auto Unfilled = parseServeSettings(
      ValidSettings + "evacuate_ms = {{Bounds.EvacuateMs}}\n", Fault);
  REQUIRE(Unfilled);
  CHECK(Unfilled->Identity.EvacuationPeriod == 5s);
  CHECK_FALSE(parseServeSettings(ValidSettings + "evacuate_ms = 20\n", Fault));
  CHECK(Fault == "line 15: evacuate_ms is not at least 1000 ms");
  CHECK(Settings->MemoryMb == 1024);
  CHECK(Settings->MaxDescriptors >= 128);
  const auto Limited = parseServeSettings(
      ValidSettings + "[limits]\nmemory_mb = 160\nmax_fds = 8192\n", Fault);
  REQUIRE(Limited);
  CHECK(Limited->MemoryMb == 160);
  CHECK(Limited->MaxDescriptors == 8192);
  const auto Unlimited = parseServeSettings(
      ValidSettings + "[limits]\nmemory_mb = \nmax_fds = {{Limits.MaxFds}}\n",
      Fault);
  REQUIRE(Unlimited);
  CHECK(Unlimited->MemoryMb == 1024);
  CHECK_FALSE(
      parseServeSettings(ValidSettings + "[limits]\nmemory_mb = 1\n", Fault));
  CHECK(Fault == "line 16: memory_mb is not between 32 and 1000000000");
  std::string Missing = ValidSettings;
  Missing.erase(Missing.find("duty"),
                std::string("duty = 10.200.0.2:8466\n").size());
  CHECK_FALSE(parseServeSettings(Missing, Fault));
  CHECK(Fault == "[platform] lacks duty");
  std::string Wrong = ValidSettings;
  Wrong.replace(Wrong.find("= 6\n"), 3, "= soon");
  CHECK_FALSE(parseServeSettings(Wrong, Fault));
  CHECK(Fault == "line 13: grace_period_s is not a number");
  CHECK_FALSE(parseServeSettings("[host", Fault));
}

TEST_CASE(
    "Log lines of an event are limited, and the next reports those dropped") {
  journal Log;
  Log.Host = "edge-1";
  const instant Now(1000s);
  for (int Line = 0; Line < 100; ++Line)
    addLine(Log, {"statement.failed", {{"request", "r\"1"}}}, Now);
  const auto Lines = std::count(Log.Pending.begin(), Log.Pending.end(), '\n');
  CHECK(Lines == 40);
  CHECK(Log.Pending.find("\"request\":\"r\\\"1\"") != std::string::npos);
  addLine(Log, {"statement.failed", {}}, Now + 1s);
  CHECK(Log.Pending.find("\"dropped_before\":60") != std::string::npos);
}

TEST_CASE("The log buffer is bounded") {
  journal Log;
  const std::string Long(4000, 'x');
  for (int Second = 0; Second < 100; ++Second)
    for (int Line = 0; Line < 20; ++Line)
      addLine(Log, {"statement.failed", {{"cause", Long}}},
              instant(std::chrono::seconds(Second)));
  CHECK(Log.Pending.size() <= journal::MaxPendingBytes);
  CHECK(Log.DroppedBytes > 0);
}

TEST_CASE("A long field of a log line is cut") {
  // Guards against lines that repeat an entry of up to a megabyte, for each of
  // its changes and on each host.
  journal Log;
  addLine(Log, {"host.unusable", {{"value", std::string(1'000'000, 'x')}}},
          instant(1s));
  CHECK(Log.Pending.size() < 2000);
  CHECK(Log.Pending.find("xxx... 1000000 bytes\"") != std::string::npos);
}

TEST_CASE("A cut or invalid field leaves the log line valid") {
  // Guards against lines that the tools for logs can't read.
  journal Log;
  std::string Accents;
  for (int Index = 0; Index < 400; ++Index)
    Accents += "\xc3\xa9";
  addLine(Log, {"host.unusable", {{"value", "x" + Accents}}}, instant(1s));
  addLine(Log, {"host.unusable", {{"value", "\xff\xfe\x80"}}}, instant(1s));
  boost::system::error_code Error;
  std::istringstream Lines(Log.Pending);
  std::string Line;
  int Count = 0;
  while (std::getline(Lines, Line)) {
    (void)boost::json::parse(Line, Error);
    CHECK_FALSE(Error);
    Count += 1;
  }
  CHECK(Count == 2);
}

TEST_CASE("Meters are labelled by class, account and code") {
  meters Meters;
  countOutcome(Meters, {"Primary", "rago", proxy::answer_code::Complete, 3ms});
  countOutcome(Meters, {"Primary", "rago", proxy::answer_code::Busy, 9ms});
  const std::string Text = formatMeters(Meters);
  CHECK(
      Text.find("bronzespar_statements_total{class=\"Primary\",code=\"Busy\"} "
                "1") != std::string::npos);
  CHECK(Text.find("bronzespar_latency_ms_count{account=\"rago\"} 2") !=
        std::string::npos);
}
