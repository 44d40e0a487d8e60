/// Tests of the platform's interface.
#include "codec_faults.hpp"

#include <bronzespar/wire/platform_codec.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bronzespar;

namespace {

platform_answer answer(const platform_call &Call, std::string_view Body) {
  return decoded([&] { return decodePlatformAnswer(Call, Body); });
}

} // namespace

TEST_CASE("base64 survives a round trip") {
  CHECK(rc::check("bytes", [](const std::string &Bytes) {
    RC_ASSERT(decodeBase64(encodeBase64(Bytes)) == Bytes);
  }));
  CHECK(encodeBase64("foob") == "Zm9vYg==");
}

TEST_CASE("text that is not canonical base64 is refused") {
  for (const char *Text : {"a", "Zm9v!A==", "Zm9vYh==", "====", "Zm9v\n"}) {
    INFO(Text);
    CHECK_FALSE(decodeBase64(Text));
  }
}

TEST_CASE("calls are written as the etcd v3 API has them") {
  const platform_request Get = encodePlatformCall(platform_get{"foo"});
  CHECK(Get.Path == "/v3/kv/range");
  CHECK(Get.Body == R"({"key":"Zm9v"})");
  const platform_request Swap =
      encodePlatformCall(platform_compare_and_swap{"foo", "bar", 5, 9});
  CHECK(Swap.Path == "/v3/kv/txn");
  CHECK(Swap.Body ==
        R"({"compare":[{"result":"EQUAL","target":"MOD","key":"Zm9v",)"
        R"("mod_revision":"5"}],"success":[{"request_put":{"key":"Zm9v",)"
        R"("value":"YmFy","lease":"9"}}],"failure":[{"request_range":)"
        R"({"key":"Zm9v"}}]})");
  CHECK(encodePlatformCall(platform_grant_lease{3}).Body ==
        R"({"TTL":"3","ID":"0"})");
  CHECK(encodePlatformCall(platform_renew_lease{8}).Body == R"({"ID":"8"})");
  CHECK(encodeWatch("foo", 12) ==
        R"({"create_request":{"key":"Zm9v","start_revision":"12"}})");
}

TEST_CASE("answers of the platform are read") {
  const platform_answer Got = answer(
      platform_get{"foo"},
      R"({"header":{"revision":"9"},"kvs":[{"key":"Zm9v","value":"YmFy",)"
      R"("mod_revision":"9007199254740993","version":"2"}],"count":"1"})");
  REQUIRE(Got.Entries.size() == 1);
  CHECK(Got.Entries[0].Value == "bar");
  CHECK(Got.Entries[0].ModRevision == 9007199254740993);
  CHECK(answer(platform_get{"foo"}, R"({"header":{}})").Entries.empty());

  const platform_compare_and_swap Swap{"foo", "bar", 5, 0};
  const platform_answer Swapped =
      answer(Swap, R"({"header":{"revision":"10"},"succeeded":true})");
  CHECK(Swapped.Status == platform_status::Done);
  CHECK(Swapped.Entries.at(0).ModRevision == 10);
  const platform_answer Lost = answer(
      Swap, R"({"header":{"revision":"10"},"responses":[{"response_range":)"
            R"({"kvs":[{"key":"Zm9v","value":"eA==","mod_revision":"7"}]}}]})");
  CHECK(Lost.Status == platform_status::Conflict);
  CHECK(Lost.Entries.at(0).Value == "x");

  CHECK(answer(platform_grant_lease{3}, R"({"ID":"77","TTL":"3"})").Lease ==
        77);
  CHECK(answer(platform_renew_lease{7}, R"({"result":{"ID":"7","TTL":"3"}})")
            .Status == platform_status::Done);
  CHECK(answer(platform_renew_lease{7}, R"({"result":{"ID":"7"}})").Status ==
        platform_status::Conflict);
}

TEST_CASE("watch events are read in order") {
  const auto Values = decoded([] {
    return decodeWatchEvent(
        R"({"result":{"header":{"revision":"3"},"events":[)"
        R"({"kv":{"key":"Zm9v","value":"YQ==","version":"1","mod_revision":"2"}},)"
        R"({"kv":{"key":"Zm9v","value":"Yg==","version":"2","mod_revision":"3"}}]}})");
  });
  REQUIRE(Values.size() == 2);
  CHECK(Values[0].Value == "a");
  CHECK(Values[1].Version == 2);
  CHECK(decoded([] {
          return decodeWatchEvent(R"({"result":{"created":true}})");
        }).empty());
}

TEST_CASE("the host list is read") {
  const auto Hosts = decoded([] {
    return decodeHostList(
        R"([{"Id":"h1","DataCentre":"suva","Peers":{"Address":"127.0.0.1",)"
        R"("Port":8201},"Leaving":true}])");
  });
  REQUIRE(Hosts.size() == 1);
  CHECK(Hosts[0].Id == host_id("h1"));
  CHECK(Hosts[0].Peers == endpoint{"127.0.0.1", 8201});
  CHECK(Hosts[0].Leaving);
}

TEST_CASE("malformed answers of the platform are refused") {
  constexpr auto Malformed = wire_fault_kind::Malformed;
  for (const char *Text :
       {"", "[]", "{", R"({"kvs":[1]})", R"({"kvs":[{"key":"!"}]})",
        R"({"kvs":[{"key":"Zm9v","mod_revision":"x"}]})"}) {
    INFO(Text);
    CHECK(faultOf([&] {
            return decodePlatformAnswer(platform_get{"foo"}, Text);
          }) == Malformed);
  }
  for (const char *Text :
       {"{}", R"({"error":{"code":14}})", R"({"result":{"canceled":true}})",
        R"({"result":{"events":[{}]}})"}) {
    INFO(Text);
    CHECK(faultOf([&] { return decodeWatchEvent(Text); }) == Malformed);
  }
  for (const char *Text :
       {"{}", "[1]", R"([{"Id":"h"}])",
        R"([{"Id":"h","DataCentre":"s","Peers":{"Address":"a","Port":0}}])"}) {
    INFO(Text);
    CHECK(faultOf([&] { return decodeHostList(Text); }) == Malformed);
  }
}
