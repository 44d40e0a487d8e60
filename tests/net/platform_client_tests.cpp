/// Tests of the platform's adapter against a small fake.
#include "loop_driver.hpp"

#include "net/platform_client.hpp"

#include <bronzespar/wire/platform_codec.hpp>

#include <catch2/catch.hpp>

#include <list>

using namespace bronzespar;
using namespace bronzespar::test;

namespace {

/// Answers each connection's first request by a function of it; an empty
/// answer closes the connection.
struct fake_platform {
  loop_driver &Driver;
  std::function<std::string(const std::string &)> Answer;
  tcp::acceptor Acceptor{Driver.Loop, asioEndpoint(AnyPort)};
  std::list<raw_socket> Sockets{};
  std::list<std::string> Requests{};

  [[nodiscard]] endpoint where() const {
    const auto Local = Acceptor.local_endpoint();
    return {Local.address().to_string(), Local.port()};
  }

  void start() {
    Acceptor.async_accept(
        [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          Sockets.push_back({Driver, std::move(Socket), {}, false});
          read(Sockets.back());
          start();
        });
  }

  void read(raw_socket &From) {
    From.Socket.async_wait(
        tcp::socket::wait_read, [this, &From](boost::system::error_code Error) {
          if (Error || From.Ended)
            return;
          From.Socket.non_blocking(true);
          From.poll();
          if (!isWhole(From.Received)) {
            read(From);
            return;
          }
          Requests.push_back(From.Received);
          const std::string Reply = Answer(From.Received);
          if (Reply.empty())
            From.Socket.close();
          else
            boost::asio::write(From.Socket, boost::asio::buffer(Reply));
        });
  }

  static bool isWhole(const std::string &Text) {
    return Text.find("\r\n\r\n") != std::string::npos &&
           (Text.starts_with("GET") || Text.ends_with("}"));
  }

  [[nodiscard]] std::size_t count(const std::string &Path) const {
    std::size_t Found = 0;
    for (const std::string &Request : Requests)
      Found += Request.find(Path + " ") != std::string::npos ? 1 : 0;
    return Found;
  }
};

bool asks(const std::string &Request, const char *Path) {
  return Request.find(std::string(Path) + " HTTP") != std::string::npos;
}

std::string versionOf(const char *Text, int Version) {
  return R"({"key":"ZQ==","value":")" + encodeBase64(Text) +
         R"(","version":")" + std::to_string(Version) +
         R"(","mod_revision":")" + std::to_string(Version + 10) + "\"}";
}

std::string rangeOf(const char *Text, int Version) {
  return httpAnswer(R"({"header":{},"kvs":[)" + versionOf(Text, Version) +
                    "]}");
}

std::string chunk(const std::string &Text) {
  char Length[16];
  std::snprintf(Length, sizeof Length, "%zx", Text.size());
  return Length + ("\r\n" + Text + "\r\n");
}

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

struct platform_rig {
  loop_driver Driver;
  event_log Log;
  host_settings Self;
  fake_platform Fake{Driver, {}};
  std::unique_ptr<platform_client> Client;

  void start(std::function<std::string(const std::string &)> Answer) {
    Fake.Answer = std::move(Answer);
    Fake.start();
    Self.Platform = {Fake.where()};
    Client =
        std::make_unique<platform_client>(Driver.Loop, Self, 1, Log.sink());
  }

  [[nodiscard]] bool untilRevision(settings_revision Revision) {
    return Driver.until([this, Revision] {
      const auto Read = Log.all<events::settings_read>();
      return !Read.empty() && Read.back().Revision == Revision;
    });
  }

  [[nodiscard]] platform_status call(const platform_call &Call) {
    Client->carryOut(effects::call_platform{platform_ref{1}, Call});
    REQUIRE(Driver.until(
        [this] { return !Log.all<events::platform_answered>().empty(); }));
    return Log.all<events::platform_answered>()[0].Answer.Status;
  }
};

} // namespace

TEST_CASE("settings are read and then watched") {
  platform_rig Rig;
  Rig.start([](const std::string &Request) -> std::string {
    if (asks(Request, "/v3/kv/range"))
      return rangeOf("one", 1);
    if (!asks(Request, "/v3/watch"))
      return {};
    const std::string Created = R"({"result":{"created":true}})";
    const std::string Event =
        R"({"result":{"events":[{"kv":)" + versionOf("two", 2) + "}]}}";
    const std::string Both = Created + "\n" + Event + "\n";
    // Objects need not be cut where chunks are.
    return StreamHead + chunk(Both.substr(0, 40)) + chunk(Both.substr(40));
  });
  REQUIRE(Rig.untilRevision(2));
  const auto Read = Rig.Log.all<events::settings_read>();
  REQUIRE(Read.size() == 2);
  CHECK(Read[0].Text == "one");
  CHECK(Read[1].Text == "two");
}

TEST_CASE("a change missed by a silent watch is read") {
  platform_rig Rig;
  int Version = 1;
  Rig.start([&Version](const std::string &Request) -> std::string {
    if (asks(Request, "/v3/kv/range"))
      return rangeOf("text", Version);
    if (!asks(Request, "/v3/watch"))
      return {};
    ++Version;
    return StreamHead + chunk(R"({"result":{"created":true}})");
  });
  REQUIRE(Rig.untilRevision(2));
}

TEST_CASE("hosts are listed") {
  platform_rig Rig;
  Rig.start([](const std::string &Request) -> std::string {
    if (!asks(Request, "/v1/hosts"))
      return {};
    return httpAnswer(R"([{"Id":"h","DataCentre":"s","Peers":)"
                      R"({"Address":"127.0.0.1","Port":1},"Leaving":false}])");
  });
  REQUIRE(Rig.Driver.until(
      [&] { return !Rig.Log.all<events::hosts_listed>().empty(); }));
  CHECK(Rig.Log.all<events::hosts_listed>()[0].Hosts.size() == 1);
}

TEST_CASE("a call's end tells what is certain") {
  platform_rig Rig;
  const platform_compare_and_swap Swap{"k", "v", 0, 0};
  SECTION("answered") {
    Rig.start([](const std::string &Request) -> std::string {
      return asks(Request, "/v3/kv/txn")
                 ? httpAnswer(R"({"header":{"revision":"1"},"succeeded":true})")
                 : std::string();
    });
    CHECK(Rig.call(Swap) == platform_status::Done);
  }
  SECTION("answer lost after it was sent") {
    Rig.start([](const std::string &) { return std::string(); });
    CHECK(Rig.call(Swap) == platform_status::Unknown);
  }
  SECTION("never sent") {
    Rig.start([](const std::string &) { return std::string(); });
    Rig.Fake.Acceptor.close();
    CHECK(Rig.call(Swap) == platform_status::Unreachable);
  }
}

TEST_CASE("another endpoint of the platform is tried") {
  platform_rig Rig;
  Rig.Self.Platform = {};
  Rig.Fake.Answer = [](const std::string &Request) -> std::string {
    return asks(Request, "/v3/kv/range") ? rangeOf("one", 1) : std::string();
  };
  Rig.Fake.start();
  endpoint Dead;
  {
    raw_listener Listener{Rig.Driver};
    Dead = Listener.where();
  }
  Rig.Self.Platform = {Dead, Rig.Fake.where()};
  Rig.Client = std::make_unique<platform_client>(Rig.Driver.Loop, Rig.Self, 1,
                                                 Rig.Log.sink());
  CHECK(Rig.untilRevision(1));
}
