/// Tests of the links between hosts over real sockets.
#include "loop_driver.hpp"

#include "net/peer_links.hpp"

#include <catch2/catch.hpp>

using namespace bronzespar;
using namespace bronzespar::test;

namespace {

struct peer_rig {
  loop_driver &Driver;
  host_settings Self;
  event_log Log;
  std::vector<effects::write_log> Entries;
  std::unique_ptr<peer_links> Links;

  peer_rig(loop_driver &Shared, const char *Id, const char *PeerKey)
      : Driver(Shared) {
    Self.Id = host_id(Id);
    Self.PeerKey = PeerKey;
    Links = std::make_unique<peer_links>(Driver.Loop, Self, 1, Log.sink(),
                                         [this](effects::write_log &&Entry) {
                                           Entries.push_back(std::move(Entry));
                                         });
    REQUIRE(Links->listen(AnyPort));
  }

  template <class Kind> [[nodiscard]] bool until() {
    return Driver.until([this] { return !Log.all<Kind>().empty(); });
  }
};

} // namespace

TEST_CASE("messages pass to the peer in order") {
  loop_driver Driver;
  peer_rig A(Driver, "a", "key");
  peer_rig B(Driver, "b", "key");
  A.Links->carryOut(effects::connect_peer{host_id("b"), B.Links->where()});
  REQUIRE(A.until<events::peer_connected>());
  for (settings_revision Revision = 1; Revision <= 100; ++Revision)
    A.Links->carryOut(
        effects::send_peer_message{host_id("b"), settings_offer{Revision}});
  REQUIRE(Driver.until(
      [&] { return B.Log.all<events::peer_message_arrived>().size() == 100; }));
  settings_revision Expected = 0;
  for (const auto &Arrived : B.Log.all<events::peer_message_arrived>()) {
    CHECK(Arrived.Host == host_id("a"));
    CHECK(std::get<settings_offer>(Arrived.Message).Revision == ++Expected);
  }
  CHECK(B.Log.all<events::peer_connected>().empty());
}

TEST_CASE("a peer with another key is refused and logged") {
  loop_driver Driver;
  peer_rig A(Driver, "a", "one key");
  peer_rig B(Driver, "b", "another key");
  A.Links->carryOut(effects::connect_peer{host_id("b"), B.Links->where()});
  REQUIRE(Driver.until([&] { return !B.Entries.empty(); }));
  CHECK(B.Entries[0].Event == "peer link refused");
  for (const auto &Field : B.Entries[0].Fields)
    CHECK(Field.Value.find("key") == std::string::npos);
  CHECK(A.Log.Events.empty());
  CHECK(B.Log.Events.empty());
}

TEST_CASE("a host refuses links meant for another") {
  loop_driver Driver;
  peer_rig A(Driver, "a", "key");
  peer_rig B(Driver, "b", "key");
  A.Links->carryOut(effects::connect_peer{host_id("c"), B.Links->where()});
  REQUIRE(Driver.until([&] { return !B.Entries.empty(); }));
  CHECK(A.Log.Events.empty());
}

TEST_CASE("a link is dialled anew when the peer comes back") {
  loop_driver Driver;
  peer_rig A(Driver, "a", "key");
  endpoint Where;
  {
    peer_rig B(Driver, "b", "key");
    Where = B.Links->where();
    A.Links->carryOut(effects::connect_peer{host_id("b"), Where});
    REQUIRE(A.until<events::peer_connected>());
  }
  REQUIRE(A.until<events::peer_disconnected>());
  A.Log.Events.clear();
  peer_rig B(Driver, "b", "key");
  A.Links->carryOut(effects::connect_peer{host_id("b"), B.Links->where()});
  CHECK(A.until<events::peer_connected>());
}

TEST_CASE("a link whose frames nobody takes is given up") {
  loop_driver Driver;
  peer_rig A(Driver, "a", "key");
  raw_listener Listener{Driver};
  A.Links->carryOut(effects::connect_peer{host_id("b"), Listener.where()});
  raw_socket First{Driver};
  Listener.accept(First);
  First.send(std::string(32, 'n'));
  using namespace std::string_literals;
  First.send("\0\0\0\0\0\0\0\1"s); // takes Hello, then falls silent
  REQUIRE(A.until<events::peer_connected>());
  A.Links->carryOut(
      effects::send_peer_message{host_id("b"), settings_offer{1}});
  REQUIRE(A.until<events::peer_disconnected>());
  raw_socket Second{Driver};
  Listener.accept(Second);
}
