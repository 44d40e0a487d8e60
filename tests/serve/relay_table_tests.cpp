/// Tests of relayed calls that are not answered in time.
#include <serve/relay_table.hpp>

#include <catch2/catch.hpp>

using namespace bronzespar;
using namespace bronzespar::serve;

namespace {

const instant Start = instant(1000s);
const std::string Peer = "10.0.0.1:7560";

/// A table with a watch that was sent at Start.
struct relay_fixture {
  relay_table Table;
  std::uint64_t Received = 100; ///< Bytes on the connection to the peer.
  unsigned Ended = 0;

  relay_fixture() {
    platform::http_call Watch;
    Watch.Timeout = 300ms;
    Watch.IsLongPoll = true;
    addRelay(Table, 1, Peer, Received, Watch, Start,
             [this](const relay_answer &Answer) {
               CHECK_FALSE(Answer.PeerAnswered);
               Ended += 1;
             });
  }

  std::vector<std::string> expire(instant Now) {
    return expireRelays(Table, Now,
                        [this](const std::string &) { return Received; });
  }
};

} // namespace

TEST_CASE("A late answer ends the watch, not the connection") {
  // A watch that took too long closed the connection, and the statements that
  // were forwarded on it failed.
  relay_fixture Relays;
  CHECK(Relays.expire(Start + 350ms).empty());
  CHECK(Relays.Ended == 0);
  CHECK(Relays.expire(Start + 450ms).empty());
  CHECK(Relays.Ended == 1);
  Relays.Received += 1000;
  CHECK(Relays.expire(Start + 10s).empty());
  CHECK(Relays.Ended == 1);
  CHECK(Relays.Table.Pending.empty());
}

TEST_CASE("A connection on which a peer sends nothing is lost") {
  relay_fixture Relays;
  CHECK(Relays.expire(Start + 1500ms).empty());
  CHECK(Relays.expire(Start + 1700ms) == std::vector<std::string>{Peer});
  CHECK(Relays.Ended == 1);
}

TEST_CASE("An answer after the caller went elsewhere is dropped") {
  relay_fixture Relays;
  CHECK(Relays.expire(Start + 450ms).empty());
  finishRelay(Relays.Table, 1, {{200, {}}, true, false});
  CHECK(Relays.Ended == 1);
  CHECK(Relays.expire(Start + 10s).empty());
}
