/// Tests of the calls to the store, over loopback.
#include <serve/peer_links.hpp>
#include <serve/store_gateway.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <memory>

namespace {

using namespace bronzespar;
namespace asio = boost::asio;
using asio::ip::tcp;

/// A store that drops the first renewal, answers later ones, and lets watches
/// wait for ever.
struct recovering_store {
  asio::io_context Io;
  tcp::acceptor Acceptor{Io, {asio::ip::address_v4::loopback(), 0}};
  unsigned Renewals = 0;
  unsigned Watches = 0;

  struct session {
    explicit session(tcp::socket Accepted) : Socket(std::move(Accepted)) {}
    tcp::socket Socket;
    std::string Request;
    std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  };

  recovering_store() { accept(); }

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          receive(std::make_shared<session>(std::move(Socket)));
          accept();
        });
  }

  void receive(const std::shared_ptr<session> &Session) {
    asio::async_read_until(
        Session->Socket, asio::dynamic_buffer(Session->Request), "\r\n\r\n",
        [this, Session](boost::system::error_code Error, std::size_t Size) {
          if (!Error)
            handle(Session, Size);
        });
  }

  void handle(const std::shared_ptr<session> &Session, std::size_t Size) {
    const bool IsWatch = Session->Request.find("kv-watch") != std::string::npos;
    Session->Request.erase(0, Size);
    if (IsWatch) {
      Watches += 1;
      receive(Session);
      return;
    }
    Renewals += 1;
    if (Renewals == 1) {
      Session->Socket.close();
      return;
    }
    asio::async_write(
        Session->Socket, asio::buffer(Session->Answer),
        [this, Session](boost::system::error_code Error, std::size_t) {
          if (!Error)
            receive(Session);
        });
  }

  [[nodiscard]] endpoint where() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
};

platform::http_call renewal() {
  return {"POST", "/v1/kv-keep/7", {}, {}, 500ms, false};
}

platform::http_call watch() {
  return {"GET", "/v1/kv-watch?Prefix=op/", {}, {}, 5s, true};
}

/// A host whose first call to the store got no answer.
struct cut_off_host {
  recovering_store Store;
  serve::peer_links Peers{
      Store.Io,
      {"127.0.0.1", 0},
      [](const proxy::event &) {},
      [](const platform::http_call &, const serve::relay_callback &) {},
      [](const std::string &, std::size_t) {}};
  serve::store_gateway Gateway{
      serve::makeGatewayLinks(Store.Io, Store.where(), Store.where(), Peers),
      [](const proxy::event &) {},
      [](std::string_view, const std::vector<proxy::effects::log_field> &) {}};
  serve::platform_channels Channels = Gateway.makeChannels();
  unsigned Renewed = 1; ///< Status of the last renewal that ended.
  bool WatchEnded = false;

  cut_off_host() {
    renew();
    REQUIRE(Renewed == 0);
  }

  void run(duration Span) {
    Store.Io.restart();
    Store.Io.run_for(Span);
  }

  void renew() {
    Channels.Lease(renewal(), [this](const platform::http_answer &Answer) {
      Renewed = Answer.Status;
    });
    run(600ms);
  }

  void startWatch() {
    Channels.Operator(watch(), [this](const platform::http_answer &Answer) {
      WatchEnded = Answer.Status == 0;
    });
  }
};

} // namespace

TEST_CASE("A watch that began before the store came back is started again") {
  // A host that was cut off had its lease 1.2 s after the cut, but its settings
  // were outdated for 5.3 s more: the watch waited for its time-out.
  cut_off_host Host;
  Host.startWatch();
  Host.run(600ms);
  REQUIRE(Host.Store.Watches == 1);
  REQUIRE_FALSE(Host.WatchEnded);
  Host.renew();
  REQUIRE(Host.Renewed == 200);
  CHECK(Host.WatchEnded);
}

TEST_CASE("A watch through a peer that is silent ends soon") {
  // A partitioned host sent its watch through a host on the other side. It was
  // reached by the store 0.3 s later, but waited 5 s for that answer.
  cut_off_host Host;
  tcp::acceptor Silent{Host.Store.Io, {asio::ip::address_v4::loopback(), 0}};
  Host.Gateway.setRelays({{"127.0.0.1", Silent.local_endpoint().port()}});
  Host.startWatch();
  REQUIRE(Host.Store.Watches == 0);
  SECTION("at once when the store answers this host again") {
    Host.run(1600ms);
    Host.renew();
    REQUIRE(Host.Renewed == 200);
    CHECK(Host.WatchEnded);
    return;
  }
  // The longest time for which a peer may hold a watch, and the transfer.
  const instant Overdue = serve::bootNow() + serve::PeerWatchTimeout + 700ms;
  Host.Peers.expireRelays(Overdue);
  CHECK(Host.WatchEnded);
}
