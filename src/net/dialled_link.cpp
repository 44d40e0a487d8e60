/// The link that this host dials to one peer.
#include "dialled_link.hpp"

#include "backoff.hpp"
#include "clock.hpp"
#include "one_shot.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <string>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using namespace std::chrono_literals;

constexpr duration ShortestPause = 20ms;
constexpr duration LongestPause = 500ms;
/// From dialling to the sign that the peer has taken Hello.
constexpr duration HandshakeTimeout = 500ms;
/// Longest wait for the sign that frames have arrived.
constexpr duration AckTimeout = 1s;
constexpr duration AckCheckInterval = 250ms;
constexpr std::size_t MaxQueuedBytes = 8U << 20U;
constexpr std::size_t AckBytes = 8;

std::uint64_t readNumber(const std::array<unsigned char, AckBytes> &Bytes) {
  std::uint64_t Number = 0;
  for (const unsigned char Byte : Bytes)
    Number = (Number << 8U) | Byte;
  return Number;
}

} // namespace

struct dialled_link::impl : std::enable_shared_from_this<impl> {
  enum class phase { Down, Dialling, Up, Destroyed };

  impl(asio::io_context &EventLoop, dialled_link_settings Given,
       const event_sink &Sink)
      : Loop(EventLoop), Settings(std::move(Given)), Report(Sink),
        Socket(EventLoop), Timer(EventLoop),
        Pauses(ShortestPause, LongestPause,
               std::hash<std::string>{}(Settings.Hello.Host.Value +
                                        Settings.Hello.Recipient.Value)) {}

  asio::io_context &Loop;
  dialled_link_settings Settings;
  const event_sink &Report;
  tcp::socket Socket;
  one_shot Timer;
  backoff Pauses;
  phase Phase = phase::Down;
  std::uint64_t Attempt = 0; ///< Handlers of earlier links are ignored.
  std::array<char, NonceBytes> Nonce{};
  std::array<unsigned char, AckBytes> Ack{};
  std::uint64_t Written = 0; ///< Frames encoded on this link.
  std::uint64_t Taken = 0;   ///< Frames the peer has taken.
  instant OldestUntaken{};   ///< Since when Taken has been behind Written.
  std::string Queued;        ///< Whole frames, not yet handed to the socket.
  std::string InFlight;      ///< Being written.

  [[nodiscard]] std::string_view nonce() const {
    return {Nonce.data(), Nonce.size()};
  }

  /// Wraps a handler of this link's socket.
  template <class Next> auto onLink(Next &&Continue) {
    return [Self = shared_from_this(), Started = Attempt,
            Continue](const error_code &Error, std::size_t) {
      if (Started != Self->Attempt || Self->Phase == phase::Destroyed)
        return;
      if (Error)
        Self->fail();
      else
        Continue(*Self);
    };
  }

  void dial() {
    Phase = phase::Dialling;
    ++Attempt;
    Written = Taken = 0;
    Queued.clear();
    InFlight.clear();
    Socket = tcp::socket(Loop);
    error_code Error;
    const auto Address = asio::ip::make_address(Settings.Where.Address, Error);
    Timer.start(HandshakeTimeout, [this] { fail(); });
    if (Error)
      return; // fails by the timer
    Socket.async_connect(
        tcp::endpoint(Address, Settings.Where.Port),
        [Next = onLink([](impl &Self) { Self.readNonce(); })](
            const error_code &ConnectError) { Next(ConnectError, 0); });
  }

  void readNonce() {
    error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    asio::async_read(Socket, asio::buffer(Nonce), onLink([](impl &Self) {
                       Self.append(Self.Settings.Hello);
                       Self.readAck();
                     }));
  }

  void readAck() {
    asio::async_read(Socket, asio::buffer(Ack),
                     onLink([](impl &Self) { Self.takeAck(); }));
  }

  void takeAck() {
    const std::uint64_t Number = readNumber(Ack);
    if (Number > Written || Number < Taken) {
      fail();
      return;
    }
    if (Number > Taken)
      OldestUntaken = presentInstant();
    Taken = Number;
    if (Phase == phase::Dialling && Taken > 0)
      becomeUp();
    readAck();
  }

  void becomeUp() {
    Phase = phase::Up;
    Pauses.succeed();
    checkLater();
    Report(events::peer_connected{Settings.Hello.Recipient});
  }

  void checkLater() {
    Timer.start(AckCheckInterval, [this] {
      const bool IsSilent =
          Taken < Written && presentInstant() - OldestUntaken > AckTimeout;
      if (IsSilent)
        fail();
      else
        checkLater();
    });
  }

  void append(peer_body Body) {
    if (Taken == Written)
      OldestUntaken = presentInstant();
    Queued +=
        encodeFrame({Written++, std::move(Body)}, Settings.PeerKey, nonce());
    write();
  }

  void write() {
    if (!InFlight.empty() || Queued.empty())
      return;
    InFlight.swap(Queued);
    asio::async_write(Socket, asio::buffer(InFlight), onLink([](impl &Self) {
                        Self.InFlight.clear();
                        Self.write();
                      }));
  }

  void fail() {
    const bool WasUp = Phase == phase::Up;
    Phase = phase::Down;
    ++Attempt;
    error_code Ignored;
    Socket.close(Ignored);
    Timer.start(Pauses.next(), [this] { dial(); });
    if (WasUp)
      Report(events::peer_disconnected{Settings.Hello.Recipient});
  }

  void destroy() {
    Phase = phase::Destroyed;
    ++Attempt;
    Timer.stop();
    error_code Ignored;
    Socket.close(Ignored);
  }
};

dialled_link::dialled_link(asio::io_context &Loop,
                           dialled_link_settings Settings,
                           const event_sink &Report)
    : Impl(std::make_shared<impl>(Loop, std::move(Settings), Report)) {
  Impl->dial();
}

dialled_link::~dialled_link() { Impl->destroy(); }

const endpoint &dialled_link::where() const noexcept {
  return Impl->Settings.Where;
}

void dialled_link::send(const peer_message &Message) {
  if (Impl->Phase != impl::phase::Up)
    return;
  if (Impl->Queued.size() > MaxQueuedBytes)
    Impl->fail();
  else
    Impl->append(Message);
}

} // namespace bronzespar
