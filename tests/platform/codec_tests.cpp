/// Tests of the codecs: line protocol, operator's document, targets' entries
/// and the store's answers.
#include <bronzespar/proxy/store_revision.hpp>
#include <platform/line_codec.hpp>
#include <platform/operator_document.hpp>
#include <platform/store_codec.hpp>

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <string>

using namespace bronzespar;
using namespace bronzespar::platform;
using proxy::answer_code;
using proxy::statement_kind;

namespace {

/// Feeds complete lines; \returns the progress after the last one.
answer_progress feed(answer_reader &Reader, const std::string &Text) {
  line_reader Lines;
  appendBytes(Lines, Text);
  auto Progress = answer_progress::More;
  while (const auto Line = nextLine(Lines))
    Progress = addAnswerLine(Reader, *Line);
  return Progress;
}

const std::string Document =
    R"({"Version":7,"Routes":[{"Name":"r","Database":"xapu","Prefix":"/",)"
    R"("Type":"bounded_staleness","TimeoutMs":1200,"TargetLatencyMs":300,)"
    R"("Priority":2,"Backend":"huvo","RetryAttempts":2,"MaxStalenessMs":1500,)"
    R"("Public":false}],"Services":[{"Name":"huvo","MaxConnections":16,)"
    R"("SyncReplicas":1}],)"
    R"("Limits":{"TxIdleMs":3000},"Tenants":[{"Name":"nypu",)"
    R"("ApiKeys":["u6ws"],"RatePerS":135,"Burst":100}]})";

const std::string Entry =
    R"({"Backend":"huvo","Address":"10.128.0.9:8080","Zone":"suva",)"
    R"("Version":"v1","Capacity":2,"Phase":"ready","ColdRemainingMs":0,)"
    R"("DbRole":"replica","Sequence":4,"born":1700000000000})";

} // namespace

TEST_CASE("Statements are classified by their keywords") {
  CHECK(parseStatement("BEGIN").Kind == statement_kind::Begin);
  CHECK(parseStatement("BEGIN READ").Kind == statement_kind::BeginRead);
  CHECK(parseStatement("BEGIN WRITE").Kind == statement_kind::Unknown);
  CHECK(parseStatement("WRITE 1a4 x").Writes);
  const auto Prepare = parseStatement("PREPARE s1 WRITE q2c");
  CHECK(Prepare.Kind == statement_kind::Prepare);
  CHECK(Prepare.Name == "s1");
  CHECK(Prepare.Operand == "WRITE q2c");
  CHECK(Prepare.Writes);
  CHECK(parseStatement("PREPARE s1 DROP q2c").Kind == statement_kind::Unknown);
  const auto Execute = parseStatement("EXECUTE s1 1a4 xk yz");
  CHECK(Execute.Name == "s1");
  CHECK(Execute.Operand == "1a4 xk yz");
  // Only hosts send the AFTER prefix.
  CHECK(parseStatement("AFTER 1.2 READ 1").Kind == statement_kind::Unknown);
}

TEST_CASE("A statement is forwarded with its id and text unchanged") {
  proxy::outgoing_statement Out;
  Out.Id = "5c0e";
  Out.Statement = parseStatement("READ 1a4");
  CHECK(formatQuery(Out) == "QUERY 5c0e READ 1a4\r\n");
  Out.RequiredPosition = log_position{3, 1207};
  CHECK(formatQuery(Out) == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
}

TEST_CASE("An answer is complete with its READY line") {
  answer_reader Reader;
  CHECK(feed(Reader, "ROW qhz\r\nCOMPLETE 7.1f3\r\n") == answer_progress::More);
  CHECK(feed(Reader, "READY T 3.1209\r\n") == answer_progress::Done);
  CHECK(Reader.Partial.Rows == std::vector<std::string>{"qhz"});
  CHECK(Reader.Partial.Text == "7.1f3");
  CHECK(Reader.Partial.Phase == proxy::session_phase::InTransaction);
  CHECK(Reader.Partial.Position == log_position{3, 1209});
}

TEST_CASE("An answer that breaks the protocol is invalid") {
  for (const std::string Text :
       {"NONSENSE\r\n", "READY X 1.1\r\n", "READY I x\r\n",
        "COMPLETE a\r\nROW b\r\n", "COMPLETE a\r\nERROR BUSY b\r\n"}) {
    answer_reader Reader;
    CHECK(feed(Reader, Text) == answer_progress::Invalid);
  }
}

TEST_CASE("A refusal keeps its code when it is parsed and formatted") {
  answer_reader Reader;
  CHECK(feed(Reader, "ERROR READONLY i-7f\r\nREADY E -\r\n") ==
        answer_progress::Done);
  CHECK(Reader.Partial.Code == answer_code::ReadOnly);
  CHECK(formatAnswer(Reader.Partial) == "ERROR READONLY i-7f\r\nREADY E -\r\n");
}

TEST_CASE("A line that is too long is detected before its end arrives") {
  line_reader Reader;
  appendBytes(Reader, std::string(MaxLineBytes + 1, 'x'));
  CHECK_FALSE(nextLine(Reader));
  CHECK(Reader.Overflow);
}

TEST_CASE("A status row contains role, term and position") {
  const auto Status = parseStatusRow("replica 3 3.1209 0 12 2 17");
  REQUIRE(Status);
  CHECK_FALSE(Status->IsPrimary);
  CHECK(Status->Term == 3);
  CHECK(Status->Received == log_position{3, 1209});
  CHECK_FALSE(parseStatusRow("leader 3 3.1"));
  CHECK_FALSE(parseStatusRow(""));
}

TEST_CASE("The operator's document is parsed into settings") {
  std::string Fault;
  const auto Settings = parseOperatorDocument(Document, Fault);
  REQUIRE(Settings);
  CHECK(Settings->Version == 7);
  CHECK(Settings->Routes.at("xapu").Consistency ==
        proxy::read_consistency::BoundedStaleness);
  CHECK(Settings->Routes.at("xapu").MaxStaleness == 1500ms);
  CHECK(Settings->Keys.at("u6ws") == "nypu");
  CHECK(Settings->Accounts.at("nypu").Burst == 100);
  CHECK(Settings->Groups.at("huvo").MaxConnections == 16);
  CHECK(Settings->Groups.at("huvo").ConfirmingReplicas == 1);
  CHECK_FALSE(parseOperatorDocument("{\"Version\":7}", Fault));
  CHECK(Fault == "missing Routes");
}

TEST_CASE("An invalid entry describes no target") {
  std::string Fault;
  REQUIRE(parseTargetEntry("i-1", Entry, Fault));
  CHECK(parseTargetEntry("i-1", Entry, Fault)->StartedAt == 1700000000000);
  for (const auto &[From, To] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"ready\"", "\"sleeping\""},
           {"\"replica\"", "\"leader\""},
           {"\"Sequence\":4", "\"Sequence\":\"4\""},
           {"10.128.0.9:8080", "somewhere"},
           {"\"Capacity\":2", "\"Capacity\":-2"},
           {"\"Zone\":\"suva\",", ""}}) {
    std::string Broken = Entry;
    Broken.replace(Broken.find(From), From.size(), To);
    CHECK_FALSE(parseTargetEntry("i-1", Broken, Fault));
  }
  CHECK_FALSE(parseTargetEntry("i-1", "\xff\xfe", Fault));
}

TEST_CASE("An entry under an odd key describes no target") {
  // Guards against a statement that no caller sent: the id is part of the line
  // with which a connection to the entry's address begins.
  std::string Fault;
  for (const std::string &Id :
       {std::string(), std::string("i 1"),
        std::string("i-1\r\nQUERY x WRITE a b"), std::string("i-1\n"),
        std::string("i-\0001", 4), std::string("i-\x7f"),
        std::string("i-\xc3\xa9")})
    CHECK_FALSE(parseTargetEntry(Id, Entry, Fault));
}

TEST_CASE("Numbers that are too large are refused in an entry") {
  // Guards against a conversion without a defined result, and a target with
  // any number of slots.
  std::string Fault;
  for (const std::string Number :
       {"1e300", "1e400", "4294967296", "18446744073709551616", "1000001"}) {
    std::string Odd = Entry;
    const std::string Capacity = "\"Capacity\":2";
    Odd.replace(Odd.find(Capacity), Capacity.size(), "\"Capacity\":" + Number);
    CHECK_FALSE(parseTargetEntry("i-1", Odd, Fault));
  }
}

TEST_CASE("Numbers that are too large are limited in the operator's document") {
  // The store has accepted the document, so that it has to be in force.
  std::string Fault;
  for (const std::string Field :
       {"TimeoutMs", "TargetLatencyMs", "MaxStalenessMs", "Priority",
        "MaxConnections", "SyncReplicas", "TxIdleMs", "RatePerS", "Burst"}) {
    std::string Odd = Document;
    const std::size_t Begin = Odd.find("\"" + Field + "\":") + Field.size() + 3;
    Odd.replace(Begin, Odd.find_first_not_of("0123456789", Begin) - Begin,
                "1e300");
    const auto Settings = parseOperatorDocument(Odd, Fault);
    REQUIRE(Settings);
    const proxy::session_route &Route = Settings->Routes.at("xapu");
    const duration Year = std::chrono::hours(24 * 365);
    CHECK(Route.StatementTimeout > duration::zero());
    CHECK(Route.StatementTimeout <= Year);
    CHECK(Route.LatencyGoal <= Year);
    CHECK(Route.MaxStaleness <= Year);
    CHECK(Route.Priority >= 0);
    CHECK(Settings->TransactionIdleTimeout <= Year);
    CHECK(Settings->Groups.at("huvo").MaxConnections <= 1'000'000);
    CHECK(Settings->Groups.at("huvo").ConfirmingReplicas <= 1'000'000);
    CHECK(Settings->Accounts.at("nypu").RatePerSecond <= 1e9);
    CHECK(Settings->Accounts.at("nypu").Burst <= 1e9);
  }
}

TEST_CASE("A watch answer contains changes and removals") {
  const auto Page = parseWatch(
      R"({"events":[{"Key":"my/a","Value":"bm9kZS0x","Revision":412,"Lease":7},)"
      R"({"Key":"my/old","Revision":413,"Tombstone":true}],"CurrentRev":413})");
  REQUIRE(Page);
  CHECK(Page->Revision == 413);
  CHECK(Page->Changes.at(0).Record.Value == "node-1");
  CHECK(Page->Changes.at(0).Record.Lease == 7);
  CHECK(Page->Changes.at(1).Removed);
  CHECK_FALSE(parseWatch("no json"));
}

TEST_CASE("The answer to a refused change shows the expected records") {
  const auto Records = parseConflict(
      R"({"items":[{"Key":"bronzespar/hosts/a","Value":"bm9kZS0x",)"
      R"("Revision":412,"Lease":7},{"Key":"bronzespar/duty","Revision":0}]})");
  REQUIRE(Records);
  REQUIRE(Records->size() == 1);
  CHECK(Records->front().Key == "hosts/a");
  CHECK(Records->front().Value == "node-1");
  CHECK(Records->front().Revision == 412);
  CHECK(Records->front().Lease == 7);
  CHECK(parseConflict(R"({"items":[]})")->empty());
  CHECK_FALSE(parseConflict(""));
}

TEST_CASE("A key that is not valid UTF-8 does not make its page unreadable") {
  // Guards against a list that is no longer followed because of one entry.
  const auto Page =
      parseRange("{\"items\":[{\"Key\":\"servers/\xff\xfe\",\"Revision\":3},"
                 "{\"Key\":\"servers/i-1\",\"Revision\":4}],"
                 "\"MorePages\":false,\"CurrentRev\":4}");
  REQUIRE(Page);
  REQUIRE(Page->Records.size() == 2);
  watch_page Passed;
  for (const proxy::store_record &Record : Page->Records)
    Passed.Changes.push_back({Record, false});
  const auto AtPeer = parseWatch(formatWatch(Passed));
  REQUIRE(AtPeer);
  CHECK(AtPeer->Changes.front().Record.Key == Page->Records.front().Key);
  CHECK(AtPeer->Changes.back().Record.Key == "servers/i-1");
}

TEST_CASE("Arbitrary bytes give a value or an error, never a crash") {
  rc::check("lines", [](const std::string &Bytes) {
    line_reader Lines;
    appendBytes(Lines, Bytes + "\n");
    answer_reader Reader;
    while (const auto Line = nextLine(Lines)) {
      (void)parseCallerLine(*Line);
      if (addAnswerLine(Reader, *Line) != answer_progress::More)
        Reader = {};
    }
    std::string Fault;
    (void)parseOperatorDocument(Bytes, Fault);
    (void)parseTargetEntry("i-1", Bytes, Fault);
    (void)parseRange(Bytes);
    (void)parseWatch(Bytes);
    (void)parseLease(Bytes);
    (void)parseStatusRow(Bytes);
  });
  rc::check("documents with a byte changed", [] {
    std::string Text = Document;
    Text.at(*rc::gen::inRange<std::size_t>(0, Text.size())) =
        *rc::gen::arbitrary<char>();
    std::string Fault;
    (void)parseOperatorDocument(Text, Fault);
  });
}

TEST_CASE("A line ends at CR LF only") {
  // Guards against a statement inside another one's data: of a text with a
  // line feed, the part behind it was run as a statement of its own.
  line_reader Reader;
  appendBytes(Reader, "QUERY a WRITE i1 x\nQUERY b WRITE i2 y\r\nTERM");
  const auto Line = nextLine(Reader);
  REQUIRE(Line);
  CHECK(*Line == "QUERY a WRITE i1 x\nQUERY b WRITE i2 y");
  CHECK_FALSE(nextLine(Reader));
}

TEST_CASE("A statement with a line end or NUL byte is not run") {
  // A target, or the host that owns its connections, might take it for another
  // text.
  const std::string Odd = GENERATE(std::string("QUERY a WRITE i1 x\ny"),
                                   std::string("QUERY a WRITE i1 x\ry"),
                                   std::string("QUERY a WRITE i1 x\0y", 20),
                                   std::string("QUERY a SET v x\0y", 17),
                                   std::string("QUERY a PREPARE p READ\nq"));
  const caller_message Message = parseCallerLine(Odd);
  CHECK(Message.Kind == caller_message_kind::Query);
  CHECK(Message.Id == "a");
  CHECK(Message.Statement.Kind == proxy::statement_kind::Unknown);
}

TEST_CASE("An id, name or key with a line end or NUL byte is no message") {
  CHECK(parseCallerLine("QUERY a\nb READ 1").Kind ==
        caller_message_kind::Invalid);
  CHECK(parseCallerLine(std::string("STARTUP db key\0x", 16)).Kind ==
        caller_message_kind::Invalid);
  CHECK(parseCallerLine("STARTUP db\n key").Kind ==
        caller_message_kind::Invalid);
}

TEST_CASE("Revisions of the store carry its era, and calls don't") {
  const std::string Body =
      R"({"items":[{"Key":"bronzespar/a","Value":"","Revision":7}],"CurrentRev":9})";
  const auto First = parseRange(Body, 1);
  const auto Later = parseRange(Body, 2);
  REQUIRE(First);
  REQUIRE(Later);
  CHECK(First->Revision < Later->Records.front().Revision);
  CHECK(proxy::eraOf(Later->Revision) == 2);
  CHECK(parseRange(Body)->Revision == 9);
  CHECK(parseRevision(R"({"Revision":0})", 2) == 0);
  const http_call Watch = watchCall("op/", Later->Revision, 1s, 1s);
  CHECK(Watch.Path.find("after=9&") != std::string::npos);
  proxy::effects::change_records Change;
  Change.Expected.emplace_back("a", Later->Records.front().Revision);
  Change.Expected.emplace_back("absent", 0);
  const std::string Sent = changeCall(Change).Body;
  CHECK(Sent.find("\"Revision\":7}") != std::string::npos);
  CHECK(Sent.find("\"Revision\":0}") != std::string::npos);
  const auto Passed = parseWatch(formatWatch({{}, Later->Revision}), 2);
  REQUIRE(Passed);
  CHECK(Passed->Revision == Later->Revision);
}
