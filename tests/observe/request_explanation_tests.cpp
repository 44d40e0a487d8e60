/// Tests of the explanation of a request from log lines of real runs.
#include <bronzespar/request_explanation.hpp>

#include <catch2/catch.hpp>

#include <sstream>

namespace {

using namespace bronzespar;

/// The test bench prints its own time and the host before each line; the parser
/// must skip both.
constexpr const char *RateLog =
    R"(  1.20 edge-lautoka-2 {"wall_ms":1200,"now_us":1,"host":"edge-lautoka-2","event":"account.rate","account":"rago841","rate":"78.0","burst":"78.0","settings":"3"}
  1.20 edge-nadi-1 {"wall_ms":1200,"now_us":1,"host":"edge-nadi-1","event":"account.rate","account":"rago841","rate":"78.0","burst":"78.0","settings":"3"}
  4.90 edge-lautoka-2 {"wall_ms":4900,"now_us":1,"host":"edge-lautoka-2","event":"account.rate","account":"other","rate":"9.0","burst":"9.0","settings":"5"}
  4.90 edge-lautoka-2 {"wall_ms":4901,"now_us":1,"host":"edge-lautoka-2","event":"account.rate","account":"rago841","rate":"25.0","burst":"25.0","settings":"5"}
  6.00 edge-lautoka-2 {"wall_ms":6000,"now_us":1,"host":"edge-lautoka-2","event":"statement.failed","request":"03729dab08273828","code":"Aborted","account":"rago841","group":"locu66b","cause":"the account is beyond its rate; retry after 79 ms","settings":"5"}
a line of the bench
)";

constexpr const char *PromotionLog =
    R"({"wall_ms":100,"host":"edge-canoas-1","event":"duty.held","token":"33"}
{"wall_ms":9950,"host":"edge-canoas-1","event":"promotion.begun","group":"xano55b","primary":"i-1"}
{"wall_ms":9960,"host":"edge-canoas-1","event":"promotion.begun","group":"mita20a","primary":"i-2"}
{"wall_ms":9000,"host":"edge-caxias-1","event":"primary.unreached","group":"xano55b","target":"i-1"}
{"wall_ms":10000,"host":"edge-poa-a-1","event":"statement.failed","request":"77aa","code":"Busy","group":"xano55b","cause":"its primary is being replaced"}
)";

request_explanation explainLog(const char *Log, std::string_view Request) {
  std::istringstream Text(Log);
  return explainRequest(Text, Request);
}

} // namespace

TEST_CASE("A refusal for the rate relates to the account's rate on that host") {
  const auto Explanation = explainLog(RateLog, "03729dab08273828");
  REQUIRE(Explanation.RequestLines.size() == 1);
  REQUIRE(Explanation.RelatedLines.size() == 2);
  CHECK(Explanation.RelatedLines.front().Fields.at("rate") == "78.0");
  CHECK(Explanation.RelatedLines.back().Fields.at("rate") == "25.0");
  CHECK(Explanation.UnparsedLines == 1);
}

TEST_CASE(
    "A refusal during a failover relates to lines of that group on any host") {
  const auto Explanation = explainLog(PromotionLog, "77aa");
  REQUIRE(Explanation.RelatedLines.size() == 2);
  CHECK(Explanation.RelatedLines.front().Event == "primary.unreached");
  CHECK(Explanation.RelatedLines.back().Event == "promotion.begun");
  CHECK(Explanation.RelatedLines.back().Fields.at("group") == "xano55b");
}

TEST_CASE("A request without log lines has an empty explanation") {
  const auto Explanation = explainLog(PromotionLog, "ffff");
  CHECK(Explanation.RequestLines.empty());
  CHECK(Explanation.RelatedLines.empty());
}

TEST_CASE("A line that is truncated or not an object is not parsed") {
  CHECK_FALSE(parseLogLine(R"({"host":"a","event":"x)"));
  CHECK_FALSE(parseLogLine("[1]"));
  CHECK_FALSE(parseLogLine(R"({"host":"a"})"));
  CHECK_FALSE(parseLogLine(""));
}

TEST_CASE("An explanation is formatted in order of time") {
  const std::string Text = formatExplanation(explainLog(PromotionLog, "77aa"));
  CHECK(Text.find("-1000 ms") < Text.find("-50 ms"));
  CHECK(Text.find("cause=its primary is being replaced") != std::string::npos);
}
