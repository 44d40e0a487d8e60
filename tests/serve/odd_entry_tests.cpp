/// Odd entries of other writers beside the entry of a target, in each way in
/// which a host learns of them.
#include <serve/store_client.hpp>

#include <bronzespar/base64.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace {

using namespace bronzespar;
using namespace bronzespar::platform;
using namespace bronzespar::serve;

constexpr unsigned StatusOk = 200;
const instant Now = instant(1000s);

std::string entryWith(const std::string &Field, const std::string &Value) {
  std::string Entry =
      R"({"Backend":"huvo","Address":"10.128.0.9:8080","Zone":"suva",)"
      R"("Version":"v1","Capacity":2,"Phase":"ready","ColdRemainingMs":0,)"
      R"("DbRole":"replica","Sequence":4,"born":1700000000000})";
  if (Field.empty())
    return Entry;
  const std::size_t Begin = Entry.find("\"" + Field + "\":") + Field.size() + 3;
  return Entry.replace(Begin, Entry.find_first_of(",}", Begin) - Begin, Value);
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// Keys, below the targets' prefix, and values that name no target.
std::vector<std::pair<std::string, std::string>> oddEntries() {
  std::vector<std::pair<std::string, std::string>> Entries;
  int Number = 0;
  const auto Add = [&](std::string Value) {
    Entries.emplace_back("odd-" + std::to_string(++Number), std::move(Value));
  };
  for (const std::string &Text :
       {std::string(), std::string("\0\xff\xfe", 3), std::string("null"),
        std::string("[]"), std::string("{"), nested(100'000),
        std::string(900'000, 'x'), "{\"a\":" + nested(100'000) + "}"})
    Add(Text);
  for (const std::string Field : {"Backend", "Address", "Zone", "Capacity",
                                  "Phase", "DbRole", "Sequence", "born"})
    for (const std::string Value : {"null", "{}", "-1", "1e300", "1e400"})
      if (!(Field == "born" && Value == "-1"))
        Add(entryWith(Field, Value));
  for (const std::string Address :
       {"10.128.0.9:65536", "10.128.0.9:99999999999999999999", "10.128.0.9:0",
        "10.128.0.9:-1", "10.128.0.9", "300.1.1.1:8080", "host:8080", ""})
    Add(entryWith("Address", "\"" + Address + "\""));
  Add(entryWith("Phase", "\"" + std::string(900'000, 'p') + "\""));
  for (const std::string &Key : {std::string(), std::string("a b"),
                                 std::string("a\r\nQUERY x WRITE a b"),
                                 std::string("\xff"), std::string("a\nb")})
    Entries.emplace_back(Key, entryWith("", ""));
  return Entries;
}

store_change changeOf(const std::string &Id, const std::string &Value,
                      std::uint64_t Revision) {
  return {{std::string(TargetsPrefix) + Id, Value, Revision, 0}, false};
}

/// The odd entries with a good one in their middle.
watch_page pageWithOddEntries() {
  watch_page Page;
  Page.Revision = 10;
  const auto Odd = oddEntries();
  for (std::size_t Index = 0; Index < Odd.size(); ++Index) {
    if (Index == Odd.size() / 2)
      Page.Changes.push_back(
          changeOf("i-good", entryWith("", ""), ++Page.Revision));
    Page.Changes.push_back(
        changeOf(Odd[Index].first, Odd[Index].second, ++Page.Revision));
  }
  return Page;
}

/// The same as a list that is read as a whole.
std::string listOf(const watch_page &Page) {
  std::string Body = formatWatch(Page);
  Body.replace(Body.find("\"events\""), 8, "\"items\"");
  return Body;
}

/// A client that follows the targets' entries; the test answers its calls.
struct targets_fixture {
  boost::asio::io_context Io;
  std::vector<http_callback> Calls;
  std::vector<std::string> Listed; ///< Ids of the latest list.
  std::size_t Faults = 0;
  store_client Client{
      makeScheduler(Io),
      channels(),
      [this](proxy::event Event) {
        auto *List = std::get_if<proxy::events::targets_listed>(&Event);
        if (List == nullptr)
          return;
        Listed.clear();
        for (const proxy::target_entry &Entry : List->Targets)
          Listed.push_back(Entry.Id);
      },
      [this](const std::string &, const std::string &) { Faults += 1; },
      [](const proxy::effects::order_promotion &) { return true; },
      [] { return Now; }};

  targets_fixture() { Client.start(); }

  platform_channels channels() {
    const auto Ignore = [](const http_call &, const http_callback &) {};
    platform_channels Channels{Ignore, Ignore, Ignore, Ignore, Ignore, Ignore};
    Channels.Targets = [this](const http_call &, http_callback Done) {
      Calls.push_back(std::move(Done));
    };
    return Channels;
  }

  /// Answers the pending call once the client has made it.
  void answer(const std::string &Body) {
    for (int Turn = 0; Calls.empty() && Turn < 300; ++Turn) {
      Io.restart();
      Io.run_for(10ms);
    }
    REQUIRE(Calls.size() == 1);
    const http_callback Done = std::move(Calls.front());
    Calls.clear();
    Done({StatusOk, Body});
  }

  /// Whether a change of the list is still followed.
  bool follows(const std::string &Id) {
    watch_page Next;
    Next.Revision = 1000;
    Next.Changes = {changeOf(Id, entryWith("", ""), Next.Revision)};
    answer(formatWatch(Next));
    return Listed == std::vector<std::string>{"i-good", Id};
  }
};

const std::string EmptyList =
    R"({"items":[],"MorePages":false,"CurrentRev":5})";
const std::vector<std::string> OnlyGood = {"i-good"};

} // namespace

TEST_CASE("Odd entries in a list that is read at the start name no target") {
  targets_fixture Fixture;
  Fixture.answer(listOf(pageWithOddEntries()));
  CHECK(Fixture.Listed == OnlyGood);
  CHECK(Fixture.Faults == oddEntries().size());
  CHECK(Fixture.follows("i-next"));
}

TEST_CASE("Odd entries in a change that is watched name no target") {
  targets_fixture Fixture;
  Fixture.answer(EmptyList);
  Fixture.answer(formatWatch(pageWithOddEntries()));
  CHECK(Fixture.Listed == OnlyGood);
  CHECK(Fixture.Faults == oddEntries().size());
  CHECK(Fixture.follows("i-next"));
}

TEST_CASE("Odd entries in a list that a peer passes on name no target") {
  targets_fixture Source;
  Source.answer(EmptyList);
  targets_fixture Fixture;
  Fixture.answer(EmptyList);
  std::string Passed;
  REQUIRE(Source.Client.serveWatch(
      watchCall(TargetsPrefix, 5, 1s, 500ms),
      [&](const http_answer &Answer) { Passed = Answer.Body; }));
  Source.answer(formatWatch(pageWithOddEntries()));
  REQUIRE_FALSE(Passed.empty());
  Fixture.answer(Passed);
  CHECK(Fixture.Listed == OnlyGood);
  CHECK(Fixture.Faults == oddEntries().size());
  CHECK(Fixture.follows("i-next"));
}
