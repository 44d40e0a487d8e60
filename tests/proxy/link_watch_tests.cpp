/// Silence of connections between hosts.
#include "forwarding_driver.hpp"

#include <bronzespar/proxy/link_watch.hpp>

using namespace session_test;

namespace {

constexpr std::uint64_t Bytes = 500;

/// A host that forwards statements to owners of connections.
struct forwarding_host {
  host_driver Driver;

  forwarding_host() {
    Driver.becomeReady();
    listOtherHosts(Driver);
  }

  effects::forward sendRead(const std::string &Id) {
    Driver.sendStatement(Driver.openSession("live"), Id, statement_kind::Read,
                         "READ 1");
    for (const auto &Asked : Driver.takeEffects<effects::request_tokens>())
      Driver.send(events::tokens_granted{toText(Asked.Peer), Asked.Wanted});
    const auto Forwards = Driver.takeEffects<effects::forward>();
    REQUIRE(Forwards.size() == 1);
    return Forwards.front();
  }
};

} // namespace

TEST_CASE("A connection is checked when a request waits on it") {
  link_watch Watch;
  const instant Start(1000s);
  CHECK_FALSE(needsCheck(Watch, Bytes, Start));
  noteRequest(Watch, Bytes, Start);
  CHECK_FALSE(needsCheck(Watch, Bytes, Start + 100ms));
  CHECK(needsCheck(Watch, Bytes, Start + 200ms));
  // Something arrived.
  CHECK_FALSE(needsCheck(Watch, Bytes + 1, Start + 220ms));
}

TEST_CASE("A connection is lost if nothing arrives on it until its check is "
          "answered") {
  link_watch Watch;
  const instant Start(1000s);
  noteRequest(Watch, Bytes, Start);
  beginCheck(Watch, Bytes, 7, Start + 200ms);
  CHECK_FALSE(needsCheck(Watch, Bytes, Start + 220ms));
  // A request meanwhile does not hide that nothing arrived.
  noteRequest(Watch, Bytes, Start + 220ms);
  CHECK_FALSE(isShownLost(Watch, Bytes, 6));
  CHECK(isShownLost(Watch, Bytes, 7));
  CHECK_FALSE(isShownLost(Watch, Bytes, 7));
}

TEST_CASE("A connection on which an answer was late is kept") {
  link_watch Watch;
  const instant Start(1000s);
  noteRequest(Watch, Bytes, Start);
  beginCheck(Watch, Bytes, 7, Start + 200ms);
  noteRequest(Watch, Bytes + 40, Start + 210ms);
  CHECK_FALSE(isShownLost(Watch, Bytes + 40, 7));
}

TEST_CASE("A check that is not answered ends, and is repeated later") {
  link_watch Watch;
  const instant Start(1000s);
  noteRequest(Watch, Bytes, Start);
  beginCheck(Watch, Bytes, 7, Start + 200ms);
  CHECK_FALSE(isCheckOverdue(Watch, Start + 300ms));
  CHECK(isCheckOverdue(Watch, Start + 1200ms));
  Watch.CheckNumber = 0;
  CHECK(needsCheck(Watch, Bytes, Start + 1200ms));
}

// The connection to an owner had gone silent. Its statements, and those that
// followed for 1.5 s, were lost or went to stand-ins over connections that
// were silent as well.
TEST_CASE("An owner whose connection was silent is used again at once") {
  forwarding_host Host;
  const effects::forward First = Host.sendRead("r1");
  Host.Driver.advanceTime(160ms);
  const auto Checks = Host.Driver.takeEffects<effects::check_peer>();
  REQUIRE_FALSE(Checks.empty());
  CHECK(Checks.front().Peer == First.Owner);
  Host.Driver.advanceTime(100ms);
  Host.Driver.takeEffects<effects::forward>();
  Host.Driver.send(events::link_replaced{toText(First.Owner), First.Ticket});
  CHECK(Host.sendRead("r2").Owner == First.Owner);
  // The silent connection ends: only what was sent on it is lost.
  Host.Driver.send(events::peer_lost{toText(First.Owner), First.Ticket});
  CHECK(Host.sendRead("r3").Owner == First.Owner);
}

TEST_CASE("Statements on a replaced connection do not end the new one") {
  forwarding_host Host;
  const effects::forward First = Host.sendRead("r1");
  Host.Driver.advanceTime(160ms);
  Host.Driver.send(events::link_replaced{toText(First.Owner), First.Ticket});
  Host.Driver.advanceTime(800ms);
  CHECK(Host.Driver.takeEffects<effects::drop_peer>().empty());
}
