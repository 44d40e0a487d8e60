/// Tests of the HTTP connection to the platform, over loopback.
#include <platform/http_pool.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <thread>
#include <vector>

namespace {

using namespace bronzespar;
using namespace bronzespar::platform;
namespace asio = boost::asio;
using asio::ip::tcp;

/// Length of a text that the buffers of a connection don't hold.
constexpr std::size_t MoreThanBuffers = std::size_t{32} << 20;

/// A server that accepts connections and never answers.
struct unresponsive_server {
  asio::io_context Io;
  tcp::acceptor Acceptor{Io, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket Peer{Io};
  boost::system::error_code End;
  bool Ended = false;
  std::array<char, 512> Chunk{};

  [[nodiscard]] endpoint where() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  void readUntilEnd() {
    Peer.async_read_some(asio::buffer(Chunk),
                         [this](boost::system::error_code Error, std::size_t) {
                           End = Error;
                           Ended = static_cast<bool>(Error);
                           if (!Error)
                             readUntilEnd();
                         });
  }

  void accept() {
    Acceptor.async_accept(Peer, [this](boost::system::error_code Error) {
      if (!Error)
        readUntilEnd();
    });
  }
};

http_call callWithTimeout(duration Limit) {
  http_call Call;
  Call.Method = "POST";
  Call.Path = "/promote";
  Call.Body = "{}";
  Call.Timeout = Limit;
  return Call;
}

} // namespace

TEST_CASE("A call that timed out is discarded, not delivered later") {
  // Guards against an outdated order to promote: the order was under way when
  // its data centre was partitioned off, and was delivered after the partition
  // had healed.
  unresponsive_server Server;
  Server.accept();
  http_link Link(Server.Io, Server.where());
  unsigned Status = 1;
  Link.call(callWithTimeout(50ms),
            [&](const http_answer &Answer) { Status = Answer.Status; });
  Server.Io.run_for(500ms);
  CHECK(Status == 0);
  REQUIRE(Server.Ended);
  CHECK(Server.End == asio::error::connection_reset);
}

TEST_CASE("A call is discarded while its process is suspended") {
  // Guards against an outdated order to promote: its host was suspended after
  // it had written the order, which the network then delivered seconds later.
  unresponsive_server Server;
  asio::io_context Suspended;
  http_link Link(Suspended, Server.where());
  http_call Call = callWithTimeout(100ms);
  Call.Body.assign(MoreThanBuffers, 'x');
  Link.call(std::move(Call), [](const http_answer &) {});
  Suspended.run_for(50ms);
  Server.Peer = Server.Acceptor.accept();
  std::this_thread::sleep_for(1s);
  Server.readUntilEnd();
  Server.Io.run_for(2s);
  REQUIRE(Server.Ended);
  CHECK(Server.End == asio::error::connection_reset);
}

TEST_CASE("A call after an unanswered one uses a new connection") {
  unresponsive_server Server;
  Server.accept();
  http_link Link(Server.Io, Server.where());
  unsigned Lost = 1;
  Link.call(callWithTimeout(50ms),
            [&](const http_answer &Answer) { Lost = Answer.Status; });
  Server.Io.run_for(200ms);
  REQUIRE(Lost == 0);
  tcp::socket Second(Server.Io);
  std::string Request;
  Server.Acceptor.async_accept(Second, [&](boost::system::error_code Error) {
    REQUIRE_FALSE(Error);
    asio::async_write(Second,
                      asio::buffer(std::string_view(
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")),
                      [](boost::system::error_code, std::size_t) {});
  });
  http_answer Answered;
  Link.call(callWithTimeout(300ms),
            [&](http_answer Answer) { Answered = std::move(Answer); });
  Server.Io.restart();
  Server.Io.run_for(400ms);
  CHECK(Answered.Status == 200);
  CHECK(Answered.Body == "{}");
}

TEST_CASE("A call that may not be sent when its turn comes is dropped") {
  // Guards against an order to promote that waits behind a slow one, and is
  // sent after the host has given up the role.
  unresponsive_server Server;
  Server.accept();
  http_link Link(Server.Io, Server.where());
  bool MaySend = true;
  std::size_t Asked = 0;
  http_answer Dropped;
  Link.call(callWithTimeout(100ms), [&](const http_answer &Answer) {
    CHECK(Answer.Sent);
    MaySend = false;
  });
  http_call Waiting = callWithTimeout(100ms);
  Waiting.MaySend = [&] {
    Asked += 1;
    return MaySend;
  };
  Link.call(std::move(Waiting),
            [&](http_answer Answer) { Dropped = std::move(Answer); });
  tcp::socket Second(Server.Io);
  std::array<char, 64> Chunk{};
  std::size_t Received = 0;
  Server.Acceptor.async_accept(Second, [&](boost::system::error_code Error) {
    REQUIRE_FALSE(Error);
    Second.async_read_some(asio::buffer(Chunk),
                           [&](boost::system::error_code, std::size_t Length) {
                             Received = Length;
                           });
  });
  Server.Io.run_for(400ms);
  CHECK(Asked == 1);
  CHECK(Dropped.Status == 0);
  CHECK_FALSE(Dropped.Sent);
  CHECK(Received == 0);
}

TEST_CASE("A call whose connection fails was not sent") {
  asio::io_context Io;
  tcp::acceptor Unused(Io, {asio::ip::address_v4::loopback(), 0});
  const endpoint Where{"127.0.0.1", Unused.local_endpoint().port()};
  Unused.close();
  http_link Link(Io, Where);
  http_answer Answered;
  Link.call(callWithTimeout(100ms),
            [&](http_answer Answer) { Answered = std::move(Answer); });
  Io.run_for(300ms);
  CHECK(Answered.Status == 0);
  CHECK_FALSE(Answered.Sent);
}

TEST_CASE("Calls of a pool do not wait for one another") {
  // Guards against primaries that are replaced one after the other while the
  // platform is slow: each order waited for the answer to the one before.
  asio::io_context Io;
  tcp::acceptor Acceptor(Io, {asio::ip::address_v4::loopback(), 0});
  std::vector<tcp::socket> Accepted;
  std::function<void()> Accept = [&] {
    Acceptor.async_accept(
        [&](boost::system::error_code Error, tcp::socket Peer) {
          if (Error)
            return;
          Accepted.push_back(std::move(Peer));
          Accept();
        });
  };
  Accept();
  http_pool Pool(Io, {"127.0.0.1", Acceptor.local_endpoint().port()}, 2);
  std::size_t Sent = 0;
  std::size_t Ended = 0;
  for (int Index = 0; Index < 3; ++Index) {
    http_call Call = callWithTimeout(200ms);
    Call.MaySend = [&] {
      Sent += 1;
      return true;
    };
    Pool.call(std::move(Call), [&](const http_answer &) { Ended += 1; });
  }
  Io.run_for(100ms);
  CHECK(Accepted.size() == 2);
  CHECK(Sent == 2);
  CHECK(Ended == 0);
  Io.restart();
  Io.run_for(600ms);
  CHECK(Sent == 3);
  CHECK(Ended == 3);
}

TEST_CASE("An answer carries the store's era, also a refusal") {
  const auto [Header, Era] =
      GENERATE(table<std::string, std::uint64_t>({{"Store-Era: 4\r\n", 4},
                                                  {"store-era: 12\r\n", 12},
                                                  {"Store-Era: 4x\r\n", 0},
                                                  {"Store-Era: -1\r\n", 0},
                                                  {"Store-Era: \r\n", 0},
                                                  {"", 0}}));
  const std::string Answer =
      "HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n" + Header + "\r\n";
  asio::io_context Io;
  tcp::acceptor Acceptor{Io, {asio::ip::address_v4::loopback(), 0}};
  tcp::socket Peer{Io};
  Acceptor.async_accept(Peer, [&](boost::system::error_code Error) {
    REQUIRE_FALSE(Error);
    asio::write(Peer, asio::buffer(Answer));
  });
  http_link Link(Io, {"127.0.0.1", Acceptor.local_endpoint().port()});
  http_answer Got;
  Link.call(callWithTimeout(500ms),
            [&Got](http_answer Received) { Got = std::move(Received); });
  Io.run_for(300ms);
  CHECK(Got.Status == 429);
  CHECK(Got.Era == Era);
}
