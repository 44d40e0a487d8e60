/// Tests of the structured log and of the metrics registry.
#include <bronzespar/observe/journal.hpp>
#include <bronzespar/observe/metrics.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace bronzespar;

namespace {

request_trace makeTrace(const char *Account, duration Total) {
  request_trace Trace;
  Trace.Id = request_id("h-1");
  Trace.Account = account_id(Account);
  Trace.Outcome = run_outcome::Ran;
  Trace.Attempts = 1;
  Trace.Total = Total;
  Trace.Spans = {{trace_stage::Target, Total}};
  return Trace;
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

struct journal_fixture {
  std::vector<std::string> Lines;
  journal Journal{"INFO",
                  [this](const std::string &Line) { Lines.push_back(Line); }};
  journal::wall_time Now{std::chrono::seconds(1'000'000)};

  void write(effects::log_severity Severity, const char *Event) {
    Journal.write({Severity, Event, {{"name", "va\"lue"}}}, Now);
  }
};

} // namespace

TEST_CASE("histograms are cumulative and count every request") {
  metrics_registry Metrics;
  Metrics.record(makeTrace("a", 1500us));
  Metrics.record(makeTrace("a", 20s));
  const std::string Text = Metrics.render();
  const std::string Labels = R"({account="a",class="normal",stage="total",le=)";
  const std::string Name = "bronzespar_request_stage_seconds";
  CHECK(contains(Text, Name + "_bucket" + Labels + "\"0.001\"} 0\n"));
  CHECK(contains(Text, Name + "_bucket" + Labels + "\"0.002\"} 1\n"));
  CHECK(contains(Text, Name + "_bucket" + Labels + "\"5\"} 1\n"));
  CHECK(contains(Text, Name + "_bucket" + Labels + "\"+Inf\"} 2\n"));
  CHECK(contains(Text,
                 Name + R"(_count{account="a",class="normal",stage="target"})"
                        " 2\n"));
  CHECK(contains(Text, Name +
                           R"(_sum{account="a",class="normal",stage="total"})"
                           " 20.0015\n"));
  CHECK(contains(Text,
                 R"(bronzespar_requests_total{outcome="Ran",cause="None"} 2)"));
  CHECK(contains(Text, "bronzespar_attempts_total 2\n"));
}

TEST_CASE("the number of latency series is bounded") {
  metrics_registry Metrics(4);
  for (int Account = 0; Account < 100; ++Account)
    Metrics.record(makeTrace(std::to_string(Account).c_str(), 1ms));
  const std::string Text = Metrics.render();
  CHECK(contains(Text,
                 R"(_count{account="other",class="other",stage="other"} 196)"));
  CHECK_FALSE(contains(Text, R"(account="2")"));
}

TEST_CASE("labels are escaped") {
  metrics_registry Metrics;
  Metrics.record(makeTrace("a\"b\\c\n", 1ms));
  CHECK(contains(Metrics.render(), R"(account="a\"b\\c\n")"));
}

TEST_CASE("an entry is one JSON object on one line") {
  journal_fixture Fixture;
  Fixture.write(effects::log_severity::Warning, "something");
  REQUIRE(Fixture.Lines.size() == 1);
  CHECK(Fixture.Lines[0] ==
        R"({"time":"1970-01-12T13:46:40.000Z","level":"Warning",)"
        R"("event":"something","fields":{"name":"va\"lue"}})");
}

TEST_CASE("the level can be changed while running") {
  journal_fixture Fixture;
  Fixture.write(effects::log_severity::Debug, "hidden");
  CHECK(Fixture.Lines.empty());
  CHECK(Fixture.Journal.setLevel("DEBUG"));
  Fixture.write(effects::log_severity::Debug, "shown");
  CHECK(Fixture.Lines.size() == 1);
  CHECK_FALSE(Fixture.Journal.setLevel("LOUD"));
  CHECK(Fixture.Journal.setLevel("ERROR"));
  Fixture.write(effects::log_severity::Warning, "hidden");
  CHECK(Fixture.Lines.size() == 1);
}

TEST_CASE("entries of one event over the bound are counted, not written") {
  journal_fixture Fixture;
  for (std::uint32_t Entry = 0; Entry < journal::MaxEntriesPerSecond + 5;
       ++Entry)
    Fixture.write(effects::log_severity::Info, "often");
  CHECK(Fixture.Lines.size() == journal::MaxEntriesPerSecond);
  Fixture.write(effects::log_severity::Info, "seldom");
  CHECK(Fixture.Lines.size() == journal::MaxEntriesPerSecond + 1);
  SECTION("the count is written with the next entry") {
    Fixture.Now += std::chrono::seconds(2);
    Fixture.write(effects::log_severity::Info, "often");
    CHECK(contains(Fixture.Lines.back(), R"("suppressed":5)"));
  }
  SECTION("the count is written on request") {
    Fixture.Journal.flushCounts(Fixture.Now);
    CHECK(contains(Fixture.Lines.back(), R"("event":"often")"));
    CHECK(contains(Fixture.Lines.back(), R"("suppressed":5)"));
  }
}

TEST_CASE("the entry of a refused request holds the cause and the setting") {
  request_trace Trace = makeTrace("a", 1ms);
  Trace.Cause = refusal_cause::RateExceeded;
  Trace.Setting = "/c/accounts/a:rate";
  const effects::write_log Entry = requestEntry(Trace);
  CHECK(Entry.Severity == effects::log_severity::Info);
  CHECK(Entry.Event == "request refused");
  const auto HasField = [&Entry](const char *Name, const char *Value) {
    for (const effects::log_field &Field : Entry.Fields)
      if (Field.Name == Name)
        return Field.Value == Value;
    return false;
  };
  CHECK(HasField("cause", "RateExceeded"));
  CHECK(HasField("setting", "/c/accounts/a:rate"));
  CHECK(requestEntry(makeTrace("a", 1ms)).Severity ==
        effects::log_severity::Debug);
  CHECK(requestEntry(makeTrace("a", 200ms)).Severity ==
        effects::log_severity::Info);
}
