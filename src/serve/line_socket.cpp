/// Asynchronous reading and writing of lines.
#include "line_socket.hpp"

#include <boost/asio/write.hpp>

namespace bronzespar::serve {

namespace asio = boost::asio;
using asio::ip::tcp;

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

void line_socket::start(line_hook Line, end_hook End) {
  OnLine = std::move(Line);
  OnEnd = std::move(End);
  if (!Connecting && Socket.is_open())
    read();
}

void line_socket::read() {
  Socket.async_read_some(
      asio::buffer(Chunk),
      [Self = shared_from_this()](boost::system::error_code Failed,
                                  std::size_t Length) {
        if (Self->Closed)
          return;
        if (Failed)
          Self->fail();
        else
          Self->received(Length);
      });
}

void line_socket::received(std::size_t Length) {
  platform::appendBytes(Reader, std::string_view(Chunk.data(), Length));
  while (!Closed) {
    const auto Line = platform::nextLine(Reader);
    if (Reader.Overflow) {
      fail();
      return;
    }
    if (!Line)
      break;
    // Copied, because the hook may close this socket and release its own hooks.
    const std::string Copy(*Line);
    if (!OnLine(Copy))
      return;
  }
  if (!Closed)
    read();
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
}

void line_socket::write() {
  if (Closed || Outgoing.empty()) {
    Writing = false;
    if (ClosesAfterSending)
      close();
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
      if (ClosesAfterSending)
        close();
      return;
    }
  }
  Writing = true;
  Sending.swap(Outgoing);
  Outgoing.clear();
  asio::async_write(Socket, asio::buffer(Sending),
                    [Self = shared_from_this()](
                        boost::system::error_code Failed, std::size_t) {
                      Self->Sending.clear();
                      if (Self->Closed)
                        return;
                      if (Failed)
                        Self->fail();
                      else
                        Self->write();
                    });
}

void line_socket::close() {
  if (Closed)
    return;
  Closed = true;
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
    close();
}

void line_socket::fail() {
  const end_hook End = OnEnd;
  close();
  if (End)
    End();
}

} // namespace bronzespar::serve
