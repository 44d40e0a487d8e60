/// Tests of the connections between hosts, over loopback.
#include <serve/peer_codec.hpp>
#include <serve/peer_links.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <memory>

#include <string>
#include <vector>

namespace {

using namespace bronzespar;
namespace asio = boost::asio;
using asio::ip::tcp;

/// A port that was free a moment ago.
std::uint16_t freePort(asio::io_context &Io) {
  const tcp::acceptor Acceptor{Io, {asio::ip::address_v4::loopback(), 0}};
  return Acceptor.local_endpoint().port();
}

/// Two hosts that are connected, and what the second one was asked.
struct linked_hosts {
  asio::io_context Io;
  endpoint Where{"127.0.0.1", freePort(Io)};
  std::vector<proxy::position_request> Requests;
  std::vector<std::size_t> InvalidFrames;
  std::size_t Forwards = 0;
  std::optional<std::uint64_t> AskedEra; ///< Of the last relayed call.
  serve::peer_links Receiver{
      Io, Where,
      [this](proxy::event Event) {
        if (const auto *Asked =
                std::get_if<proxy::events::position_requested>(&Event))
          Requests.push_back(Asked->Request);
        if (std::holds_alternative<proxy::events::forward_requested>(Event))
          Forwards += 1;
      },
      [this](const platform::http_call &Call,
             const serve::relay_callback &Done) {
        AskedEra = Call.Era;
        platform::http_answer Answer{200, "{}"};
        Answer.Era = 3;
        Done({std::move(Answer), true, false});
      },
      [this](const std::string &, std::size_t Bytes) {
        InvalidFrames.push_back(Bytes);
      }};
  serve::peer_links Sender{
      Io,
      {"127.0.0.1", 0},
      [](const proxy::event &) {},
      [](const platform::http_call &, const serve::relay_callback &) {},
      [](const std::string &, std::size_t) {}};

  linked_hosts() { Receiver.start(); }
};

} // namespace

TEST_CASE("A frame that is not valid ends its own connection only") {
  linked_hosts Hosts;
  tcp::socket Stranger(Hosts.Io);
  Stranger.connect({asio::ip::address_v4::loopback(), Hosts.Where.Port});
  const std::string Garbage("\0\0\0\x0bhello world", 15);
  asio::write(Stranger, asio::buffer(Garbage));
  Hosts.Io.run_for(500ms);
  REQUIRE(Hosts.InvalidFrames.size() == 1);
  CHECK(Hosts.InvalidFrames.front() == 11);
  boost::system::error_code Error;
  char Byte = 0;
  Stranger.read_some(asio::buffer(&Byte, 1), Error);
  CHECK(Error);
  Hosts.Sender.carryOut(
      proxy::effects::request_position{Hosts.Where, {"orders", instant(5s)}});
  Hosts.Io.restart();
  Hosts.Io.run_for(500ms);
  REQUIRE(Hosts.Requests.size() == 1);
  CHECK(Hosts.Requests.front().Group == "orders");
  CHECK(Hosts.Requests.front().AskedAt == instant(5s));
}

namespace {

/// A read for a replica, as a host of another forward protocol sends it.
std::string forwardFrame(std::uint16_t Protocol) {
  return serve::encodeFrame(
      session_wire::SessionBody_ForwardAsk,
      [&](flatbuffers::FlatBufferBuilder &Builder) {
        const auto Group = Builder.CreateString("orders");
        session_wire::ForwardAskBuilder Ask(Builder);
        Ask.add_ticket(7);
        Ask.add_group(Group);
        Ask.add_kind(static_cast<std::uint8_t>(proxy::statement_kind::Read));
        Ask.add_protocol(Protocol);
        return Ask.Finish();
      });
}

void sendFrame(tcp::socket &Socket, const std::string &Frame) {
  const auto Length = static_cast<std::uint32_t>(Frame.size());
  const unsigned char Header[] = {static_cast<unsigned char>(Length >> 24U),
                                  static_cast<unsigned char>(Length >> 16U),
                                  static_cast<unsigned char>(Length >> 8U),
                                  static_cast<unsigned char>(Length)};
  asio::write(Socket, asio::buffer(Header));
  asio::write(Socket, asio::buffer(Frame));
}

} // namespace

TEST_CASE("A read whose host leaves its position to an owner of another "
          "protocol is not run") {
  linked_hosts Hosts;
  tcp::socket Other(Hosts.Io);
  Other.connect({asio::ip::address_v4::loopback(), Hosts.Where.Port});
  sendFrame(Other, forwardFrame(serve::ForwardProtocol));
  Hosts.Io.run_for(200ms);
  CHECK(Hosts.Forwards == 1);
  sendFrame(Other, forwardFrame(serve::ForwardProtocol + 1));
  Hosts.Io.restart();
  Hosts.Io.run_for(200ms);
  CHECK(Hosts.Forwards == 1);
  // The frame's length takes four bytes; this one is short.
  std::string Received(512, '\0');
  Other.non_blocking(true);
  boost::system::error_code Error;
  const std::size_t Length = Other.read_some(asio::buffer(Received), Error);
  REQUIRE_FALSE(Error);
  REQUIRE(Length > 4);
  const std::string Frame = Received.substr(4, Length - 4);
  const auto *Answer =
      session_wire::GetSessionFrame(Frame.data())->body_as_ForwardAnswer();
  REQUIRE(Answer != nullptr);
  const auto Refusal = serve::decodeAnswer(*Answer);
  REQUIRE(Refusal);
  CHECK(Answer->ticket() == 7);
  CHECK(proxy::isNotRun(Refusal->Code));
}

namespace {

/// Passes bytes between a dialling host and another one, until the connections
/// that are open go silent for good.
class relay_device {
public:
  relay_device(asio::io_context &Context, std::uint16_t TargetPort)
      : Io(Context), Acceptor(Context, {asio::ip::address_v4::loopback(), 0}),
        Target(asio::ip::address_v4::loopback(), TargetPort) {
    accept();
  }

  [[nodiscard]] endpoint where() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  void silenceOpenConnections() {
    for (const auto &Each : Open)
      Each->IsSilent = true;
  }

private:
  struct connection {
    explicit connection(asio::io_context &Io) : Near(Io), Far(Io) {}
    tcp::socket Near;
    tcp::socket Far;
    std::array<char, 4096> Outward{};
    std::array<char, 4096> Inward{};
    bool IsSilent = false;
  };

  void accept() {
    auto Next = std::make_shared<connection>(Io);
    Acceptor.async_accept(Next->Near,
                          [this, Next](boost::system::error_code Failed) {
                            if (Failed)
                              return;
                            Next->Far.connect(Target);
                            Open.push_back(Next);
                            pass(Next, Next->Near, Next->Far, Next->Outward);
                            pass(Next, Next->Far, Next->Near, Next->Inward);
                            accept();
                          });
  }

  void pass(const std::shared_ptr<connection> &Each, tcp::socket &From,
            tcp::socket &To, std::array<char, 4096> &Buffer) {
    From.async_read_some(
        asio::buffer(Buffer),
        [this, Each, &From, &To, &Buffer](boost::system::error_code Failed,
                                          std::size_t Length) {
          if (Failed)
            return;
          if (!Each->IsSilent)
            asio::write(To, asio::buffer(Buffer, Length));
          pass(Each, From, To, Buffer);
        });
  }

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  tcp::endpoint Target;
  std::vector<std::shared_ptr<connection>> Open;
};

/// A host that asks another one for tokens through a device between them.
struct separated_hosts {
  asio::io_context Io;
  endpoint Where{"127.0.0.1", freePort(Io)};
  std::size_t Grants = 0;
  std::vector<proxy::events::link_replaced> Replaced;
  serve::peer_links Granter{
      Io, Where,
      [this](proxy::event Event) {
        if (const auto *Asked =
                std::get_if<proxy::events::tokens_requested>(&Event))
          Granter.carryOut(
              proxy::effects::grant_tokens{Asked->Link, Asked->Wanted});
      },
      [](const platform::http_call &, const serve::relay_callback &) {},
      [](const std::string &, std::size_t) {}};
  relay_device Device{Io, Where.Port};
  serve::peer_links Asker{
      Io,
      {"127.0.0.1", 0},
      [this](proxy::event Event) {
        if (std::holds_alternative<proxy::events::tokens_granted>(Event))
          Grants += 1;
        if (const auto *Link =
                std::get_if<proxy::events::link_replaced>(&Event))
          Replaced.push_back(*Link);
      },
      [](const platform::http_call &, const serve::relay_callback &) {},
      [](const std::string &, std::size_t) {}};

  separated_hosts() { Granter.start(); }

  void ask() {
    Asker.carryOut(proxy::effects::request_tokens{Device.where(), {"rago", 1}});
  }

  /// Runs the event loop until a condition holds, for ten seconds at most.
  template <class Condition> bool runUntil(Condition Holds) {
    for (int Turn = 0; Turn < 1000 && !Holds(); ++Turn) {
      Io.restart();
      Io.run_for(10ms);
      Asker.supervise(serve::bootNow());
    }
    return Holds();
  }
};

} // namespace

TEST_CASE(
    "A silent connection to a host that answers another one is replaced") {
  separated_hosts Hosts;
  Hosts.ask();
  REQUIRE(Hosts.runUntil([&] { return Hosts.Grants == 1; }));
  Hosts.Device.silenceOpenConnections();
  Hosts.ask();
  REQUIRE(Hosts.runUntil([&] { return !Hosts.Replaced.empty(); }));
  CHECK(Hosts.Replaced.front().Link == toText(Hosts.Device.where()));
  CHECK(Hosts.Grants == 1);
  Hosts.ask();
  CHECK(Hosts.runUntil([&] { return Hosts.Grants == 2; }));
}

TEST_CASE("A relayed call and its answer carry the store's era") {
  linked_hosts Hosts;
  platform::http_call Call;
  Call.Era = 2;
  std::uint64_t AnsweredEra = 0;
  Hosts.Sender.relay(Hosts.Where, Call,
                     [&AnsweredEra](const serve::relay_answer &Answer) {
                       AnsweredEra = Answer.Answer.Era;
                     });
  Hosts.Io.run_for(300ms);
  CHECK(Hosts.AskedEra == 2U);
  CHECK(AnsweredEra == 3);
}

TEST_CASE("A connection on which requests are answered is kept") {
  separated_hosts Hosts;
  for (std::size_t Round = 1; Round <= 3; ++Round) {
    Hosts.ask();
    REQUIRE(Hosts.runUntil([&] { return Hosts.Grants == Round; }));
    const instant End = serve::bootNow() + 200ms;
    (void)Hosts.runUntil([&] { return serve::bootNow() >= End; });
  }
  CHECK(Hosts.Replaced.empty());
}
