/// Asynchronous reading and writing of frames.
#include "frame_socket.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <utility>

namespace bronzespar::serve {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t LengthBytes = sizeof(std::uint32_t);
/// Most frames fit into the first part of the buffer.
constexpr std::size_t MaxFirstPartBytes = std::size_t{4} << 10;
/// A connection without a frame under way keeps no larger buffer.
constexpr std::size_t MaxKeptBytes = std::size_t{64} << 10;

} // namespace

frame_socket::frame_socket(tcp::socket Open, frame_hook Frame, end_hook End)
    : Socket(std::move(Open)), OnFrame(std::move(Frame)),
      OnEnd(std::move(End)) {}

void frame_socket::connect(const endpoint &Where) {
  Connecting = true;
  Socket.async_connect(toAsio(Where), [Self = shared_from_this()](
                                          boost::system::error_code Failed) {
    Self->Connecting = false;
    if (Self->Closed)
      return;
    if (Failed) {
      Self->fail();
      return;
    }
    Self->start();
    Self->write();
  });
}

void frame_socket::start() {
  prepareSocket(Socket);
  readLength();
}

void frame_socket::send(std::string_view Payload) {
  if (Closed || Outgoing.size() + Payload.size() > MaxOutgoingBytes)
    return;
  const auto Size =
      boost::endian::native_to_big(static_cast<std::uint32_t>(Payload.size()));
  Outgoing.append(reinterpret_cast<const char *>(&Size), LengthBytes);
  Outgoing.append(Payload);
  if (!Connecting && !Writing)
    write();
}

void frame_socket::write() {
  if (Outgoing.empty()) {
    Writing = false;
    return;
  }
  Writing = true;
  Sending.swap(Outgoing);
  Outgoing.clear();
  asio::async_write(Socket, asio::buffer(Sending),
                    [Self = shared_from_this()](
                        boost::system::error_code Failed, std::size_t) {
                      if (Self->Closed)
                        return;
                      if (Failed)
                        Self->fail();
                      else
                        Self->write();
                    });
}

template <class Buffer, class Done>
void frame_socket::receive(const Buffer &Into, Done Complete) {
  const auto CountPart = [Self = this](const boost::system::error_code &Failed,
                                       std::size_t Size) -> std::size_t {
    Self->countReceived(Size);
    return Failed ? 0 : MaxFrameBytes;
  };
  CountedOfRead = 0;
  asio::async_read(Socket, Into, CountPart,
                   [Self = shared_from_this(), Complete = std::move(Complete)](
                       boost::system::error_code Failed, std::size_t Size) {
                     // The part that fills the buffer is not asked about.
                     Self->countReceived(Size);
                     if (!Self->Closed)
                       Complete(Failed);
                   });
}

void frame_socket::countReceived(std::size_t Size) noexcept {
  ReceivedBytes += Size - CountedOfRead;
  CountedOfRead = Size;
}

void frame_socket::readLength() {
  receive(asio::buffer(&Length, LengthBytes),
          [this](boost::system::error_code Failed) {
            const auto Size = boost::endian::big_to_native(Length);
            if (Failed || Size == 0 || Size > MaxFrameBytes)
              fail();
            else
              readBody(Size);
          });
}

void frame_socket::readBody(std::uint32_t Size) {
  // The length is only a claim: the buffer grows as bytes arrive.
  const std::size_t Before = Body.size();
  const std::size_t Part = std::min<std::size_t>(
      Size - Before, std::max<std::size_t>(Before, MaxFirstPartBytes));
  Body.resize(Before + Part);
  if (!IsTrusted)
    Share.set({Body.capacity(), true});
  receive(asio::buffer(Body.data() + Before, Part),
          [this, Size](boost::system::error_code Failed) {
            if (Failed)
              fail();
            else if (Body.size() < Size)
              readBody(Size);
            else
              complete();
          });
}

void frame_socket::complete() {
  OnFrame(Body);
  Body.clear();
  if (Body.capacity() > MaxKeptBytes)
    std::string().swap(Body);
  if (!Closed)
    readLength();
}

void frame_socket::countAsClient(client_memory &Memory,
                                 proxy::client_holder Holder) {
  IsTrusted = false;
  Share.bind(Memory, Holder);
}

void frame_socket::trust() {
  IsTrusted = true;
  Share.set({});
}

void frame_socket::close() {
  Closed = true;
  Share.set({});
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

void frame_socket::fail() {
  close();
  OnEnd();
}

} // namespace bronzespar::serve
