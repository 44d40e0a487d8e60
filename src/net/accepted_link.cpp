/// A link that a peer dialled.
#include "accepted_link.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <openssl/rand.h>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using namespace std::chrono_literals;

constexpr duration HelloTimeout = 2s;
/// Frames that arrive within this time are acknowledged together.
constexpr duration AckDelay = 200ms;
/// Bound on what a peer may send before it has proved to be one.
constexpr std::size_t MaxHelloBytes = 4U << 10U;

} // namespace

accepted_link::accepted_link(tcp::socket Accepted, std::string Key,
                             host_id Host, const handlers &Given)
    : Socket(std::move(Accepted)), PeerKey(std::move(Key)),
      Self(std::move(Host)), Handlers(Given),
      HelloTimer(
          static_cast<asio::io_context &>(Socket.get_executor().context())),
      AckTimer(
          static_cast<asio::io_context &>(Socket.get_executor().context())) {}

void accepted_link::start() {
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Nonce.data()),
                 static_cast<int>(Nonce.size())) != 1) {
    end("no random numbers");
    return;
  }
  HelloTimer.start(HelloTimeout, [this] { end("no Hello in time"); });
  asio::async_write(
      Socket, asio::buffer(Nonce),
      [Link = shared_from_this()](const error_code &Error, std::size_t) {
        if (Error)
          Link->end({});
      });
  readLength();
}

void accepted_link::readLength() {
  asio::async_read(
      Socket, asio::buffer(Length),
      [Link = shared_from_this()](const error_code &Error, std::size_t) {
        if (Error) {
          Link->end({});
          return;
        }
        const std::string_view Bytes(Link->Length.data(), LengthBytes);
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
              BOOST_LEAF_AUTO(Count, decodeFrameLength(Bytes));
              Link->readRest(Count);
              return {};
            },
            [&](const wire_fault &Fault) { Link->end(Fault.Reason); },
            [&] { Link->end("unreadable length"); });
      });
}

void accepted_link::readRest(std::size_t Count) {
  if (Peer.empty() && Count > MaxHelloBytes) {
    end("the first frame is too long");
    return;
  }
  Rest.resize(Count);
  asio::async_read(
      Socket, asio::buffer(Rest),
      [Link = shared_from_this()](const error_code &Error, std::size_t) {
        if (Error)
          Link->end({});
        else
          Link->takeFrame();
      });
}

void accepted_link::takeFrame() {
  if (Closed)
    return;
  const std::string_view Bytes(Rest.data(), Rest.size());
  const std::string_view Challenge(Nonce.data(), Nonce.size());
  const bool Accepted = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_AUTO(Frame, decodeFrame(Bytes, PeerKey, Challenge));
        return accept(std::move(Frame));
      },
      [&](const wire_fault &Fault) {
        end(Fault.Reason);
        return false;
      },
      [&] {
        end("unreadable frame");
        return false;
      });
  if (Accepted && !Closed)
    readLength();
}

bool accepted_link::accept(peer_frame &&Frame) {
  if (Frame.Sequence != Received) {
    end("a frame is out of sequence");
    return false;
  }
  ++Received;
  if (Peer.empty())
    return acceptHello(Frame);
  auto *Message = std::get_if<peer_message>(&Frame.Body);
  if (!Message) {
    end("a second Hello");
    return false;
  }
  acknowledgeLater();
  Handlers.Message(*this, std::move(*Message));
  return true;
}

bool accepted_link::acceptHello(const peer_frame &Frame) {
  const auto *Hello = std::get_if<peer_hello>(&Frame.Body);
  const bool IsForUs = Hello && Hello->Recipient == Self &&
                       !Hello->Host.empty() && Hello->Host != Self;
  if (!IsForUs) {
    end("the first frame is no Hello for this host");
    return false;
  }
  HelloTimer.stop();
  Peer = Hello->Host;
  acknowledge();
  Handlers.Opened(*this);
  return true;
}

void accepted_link::acknowledgeLater() {
  if (AckPending || Closed)
    return;
  AckPending = true;
  AckTimer.start(AckDelay, [this] { acknowledge(); });
}

void accepted_link::acknowledge() {
  AckPending = false;
  if (AckInFlight || Closed)
    return; // another follows when it has been written
  AckInFlight = true;
  Acknowledged = Received;
  for (std::size_t Index = 0; Index < Ack.size(); ++Index)
    Ack[Index] =
        static_cast<unsigned char>(Received >> (8 * (Ack.size() - 1 - Index)));
  asio::async_write(
      Socket, asio::buffer(Ack),
      [Link = shared_from_this()](const error_code &Error, std::size_t) {
        Link->AckInFlight = false;
        if (Error)
          Link->end({});
        else if (Link->Acknowledged != Link->Received)
          Link->acknowledgeLater();
      });
}

void accepted_link::close() {
  Closed = true;
  HelloTimer.stop();
  AckTimer.stop();
  error_code Ignored;
  Socket.close(Ignored);
}

void accepted_link::end(const std::string &Reason) {
  if (Closed)
    return;
  close();
  Handlers.Ended(*this, Reason);
}

} // namespace bronzespar
