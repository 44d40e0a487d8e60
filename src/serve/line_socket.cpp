/// Asynchronous reading and writing of lines.
#include "line_socket.hpp"

#include <boost/asio/write.hpp>

namespace bronzespar::serve {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// An idle connection keeps no larger buffers.
constexpr std::size_t MaxKeptBytes = std::size_t{8} << 10;

/// Empties a buffer. \param Start Offset into it.
void releaseLarge(std::string &Buffer, std::size_t &Start) {
  Start = 0;
  if (Buffer.capacity() > MaxKeptBytes)
    std::string().swap(Buffer);
  else
    Buffer.clear();
}

} // namespace

line_socket::line_socket(tcp::socket Open) : Socket(std::move(Open)) {
  prepareSocket(Socket);
}

line_socket::line_socket(asio::io_context &Io) : Socket(Io), Dialled(true) {}

void line_socket::connect(const endpoint &Where, std::string Greeting) {
  Connecting = true;
  Outgoing = std::move(Greeting);
  Socket.async_connect(toAsio(Where), [Self = shared_from_this()](
                                          boost::system::error_code Failed) {
    Self->Connecting = false;
    if (Self->Closed)
      return;
    if (Failed) {
      Self->fail();
      return;
    }
    prepareSocket(Self->Socket);
    // Closing discards unsent data, so that an abandoned statement cannot reach
    // the target later.
    boost::system::error_code Ignored;
    Self->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    Self->write();
    Self->read();
  });
}

void line_socket::countAsClient(client_memory &Memory,
                                proxy::client_holder Holder) {
  Share.bind(Memory, Holder);
}

void line_socket::start(line_hook Line, end_hook End) {
  OnLine = std::move(Line);
  OnEnd = std::move(End);
  if (!Connecting && Socket.is_open())
    read();
}

void line_socket::read() {
  Reading = true;
  Socket.async_read_some(
      asio::buffer(Chunk),
      [Self = shared_from_this()](boost::system::error_code Failed,
                                  std::size_t Length) {
        Self->Reading = false;
        if (Self->Closed)
          return;
        if (Failed)
          Self->fail();
        else
          Self->received(Length);
      });
}

void line_socket::received(std::size_t Length) {
  if (Discarding) {
    DiscardedBytes += Length;
    if (DiscardedBytes > MaxDiscardedBytes)
      close();
    else
      read();
    return;
  }
  platform::appendBytes(Reader, std::string_view(Chunk.data(), Length));
  deliver();
  readOn();
}

bool line_socket::mayDeliver() const noexcept {
  const bool IsUnread = Share.isBound() && unreadBytes() > MaxUnreadBytes;
  return !Closed && !Stopped && !Paused && !IsUnread;
}

void line_socket::deliver() {
  Delivering = true;
  while (mayDeliver()) {
    const auto Line = platform::nextLine(Reader);
    if (Reader.Overflow) {
      fail();
      break;
    }
    if (!Line)
      break;
    Progress += 1;
    // Copied, because the hook may close this socket and release its own hooks.
    const std::string Copy(*Line);
    if (!OnLine(Copy))
      Stopped = true;
  }
  Delivering = false;
  if (pendingBytes() == 0)
    releaseLarge(Reader.Buffer, Reader.Start);
}

void line_socket::readOn() {
  if (Closed || Stopped || Reading)
    return;
  if (mayDeliver() || pendingBytes() < MaxReadAheadBytes)
    read();
  reportHeld();
}

void line_socket::pause(std::size_t HeldBytes) {
  Paused = true;
  HeldByLine = HeldBytes;
}

void line_socket::resume() {
  Paused = false;
  HeldByLine = 0;
  if (Delivering)
    return;
  if (pendingBytes() > 0)
    deliver();
  readOn();
}

std::size_t line_socket::unreadBytes() const noexcept {
  return Outgoing.size() + Sending.size();
}

std::size_t line_socket::pendingBytes() const noexcept {
  return Reader.Buffer.size() - Reader.Start;
}

bool line_socket::isOutOfStep() const noexcept {
  return unreadBytes() > 0 || (!Paused && pendingBytes() > 0);
}

void line_socket::reportHeld() {
  if (!Share.isBound())
    return;
  const std::size_t Buffered =
      Reader.Buffer.capacity() + Outgoing.capacity() + Sending.capacity();
  Share.set({Buffered + HeldByLine, Buffered >= HeldByLine});
}

void line_socket::send(std::string_view Text) {
  if (Closed)
    return;
  if (Outgoing.size() + Text.size() > MaxOutgoingBytes) {
    fail();
    return;
  }
  Outgoing.append(Text);
  if (!Writing && !Connecting)
    write();
  reportHeld();
}

void line_socket::write() {
  if (Closed || Outgoing.empty()) {
    Writing = false;
    if (ClosesAfterSending)
      discard();
    return;
  }
  if (!Writing) {
    // Most answers fit into the socket's send buffer and need no asynchronous
    // write.
    boost::system::error_code Error;
    Socket.non_blocking(true, Error);
    const std::size_t Sent = Socket.write_some(asio::buffer(Outgoing), Error);
    if (!Error || Error == asio::error::would_block)
      Outgoing.erase(0, Error ? 0 : Sent);
    if (Outgoing.empty()) {
      std::size_t Ignored = 0;
      releaseLarge(Outgoing, Ignored);
      if (ClosesAfterSending)
        discard();
      return;
    }
  }
  Writing = true;
  Sending.swap(Outgoing);
  Outgoing.clear();
  const auto CountPart = [Self = this](const boost::system::error_code &Failed,
                                       std::size_t) -> std::size_t {
    Self->Progress += 1;
    return Failed ? 0 : MaxOutgoingBytes;
  };
  asio::async_write(Socket, asio::buffer(Sending), CountPart,
                    [Self = shared_from_this()](
                        boost::system::error_code Failed, std::size_t) {
                      Self->sent(Failed.failed());
                    });
}

void line_socket::sent(bool Failed) {
  std::size_t Ignored = 0;
  releaseLarge(Sending, Ignored);
  if (Closed)
    return;
  if (Failed) {
    fail();
    return;
  }
  write();
  if (!Share.isBound() || Closed || Delivering)
    return;
  if (pendingBytes() > 0)
    deliver();
  readOn();
}

void line_socket::close() {
  if (Closed)
    return;
  Closed = true;
  Share.set({});
  boost::system::error_code Ignored;
  if (!Dialled)
    Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  Socket.close(Ignored);
  // Hooks hold a reference to their owner, so they are cleared only after the
  // running one has returned.
  asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    Self->OnLine = nullptr;
    Self->OnEnd = nullptr;
  });
}

void line_socket::closeAfterSending() {
  ClosesAfterSending = true;
  if (!Writing && !Connecting && Outgoing.empty())
    discard();
}

void line_socket::discard() {
  if (Closed || Discarding)
    return;
  Discarding = true;
  Stopped = true;
  Reader = {};
  HeldByLine = 0;
  reportHeld();
  boost::system::error_code Failed;
  Socket.shutdown(tcp::socket::shutdown_send, Failed);
  if (Failed)
    close();
  else if (!Reading)
    read();
}

void line_socket::fail() {
  const end_hook End = OnEnd;
  close();
  if (End)
    End();
}

} // namespace bronzespar::serve
