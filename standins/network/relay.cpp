/// Relaying of TCP connections with latency, cuts and silence.
#include "network.hpp"

#include "standin/peer_closed.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace bronzespar::standin {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Reading stops while more than this waits in one direction.
constexpr std::size_t QueueLimitBytes = 256UL * 1024;
/// An end of a silent connection that closed is found dead at the other end
/// after this long, as by TCP keepalive.
constexpr std::chrono::seconds KeepaliveTime{2};
/// SYN, SYN-ACK and the first bytes: one-way times until a new connection
/// delivers.
constexpr int OpeningTrips = 3;
/// SYN and the refusal.
constexpr int RefusalTrips = 2;

void readSource(const network_ptr &Network, const relay_ptr &Relay, pipe &Pipe);
void deliver(const network_ptr &Network, const relay_ptr &Relay, pipe &Pipe);

void closeSocket(tcp::socket &Socket, bool Reset) {
  error_code Ignored;
  if (Reset)
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

void closeRelay(network &Network, const relay_ptr &Relay, bool Reset) {
  if (Relay->State == relay_state::Closed)
    return;
  Relay->State = relay_state::Closed;
  Relay->Timer.cancel();
  Relay->Forward.Timer.cancel();
  Relay->Backward.Timer.cancel();
  closeSocket(Relay->Client, Reset);
  closeSocket(Relay->Server, Reset);
  Network.Relays.remove(Relay);
}

void closeLater(const network_ptr &Network, const relay_ptr &Relay,
                steady_time Moment) {
  Relay->Timer.expires_at(Moment);
  Relay->Timer.async_wait([Network, Relay](error_code Error) {
    if (!Error)
      closeRelay(*Network, Relay, true);
  });
}

const pipe &oppositeOf(const relay &Relay, const pipe &Pipe) {
  return &Pipe == &Relay.Forward ? Relay.Backward : Relay.Forward;
}

void enqueue(const network_ptr &Network, const relay_ptr &Relay, pipe &Pipe,
             parcel_kind Kind, std::vector<char> Bytes) {
  const steady_time Arrival = std::chrono::steady_clock::now() + Relay->Latency;
  Pipe.QueuedBytes += Bytes.size();
  Pipe.Queue.push_back(
      {Kind, std::max(Arrival, Pipe.NotBefore), std::move(Bytes)});
  deliver(Network, Relay, Pipe);
}

/// Bytes or the end of a silent direction vanish.
void swallow(const network_ptr &Network, const relay_ptr &Relay,
             const pipe &Pipe) {
  if (Pipe.SourceEnded)
    closeLater(Network, Relay,
               std::chrono::steady_clock::now() + KeepaliveTime);
}

void sourceRead(const network_ptr &Network, const relay_ptr &Relay, pipe &Pipe,
                error_code Error, std::size_t Size) {
  Pipe.Reading = false;
  if (Relay->State == relay_state::Closed)
    return;
  Pipe.SourceEnded = static_cast<bool>(Error);
  if (Pipe.Silent) {
    swallow(Network, Relay, Pipe);
  } else if (Error) {
    const bool IsEnd = Error == asio::error::eof;
    enqueue(Network, Relay, Pipe, IsEnd ? parcel_kind::End : parcel_kind::Reset,
            {});
  } else {
    const char *First = Pipe.Buffer.data();
    enqueue(Network, Relay, Pipe, parcel_kind::Bytes, {First, First + Size});
  }
  readSource(Network, Relay, Pipe);
}

void readSource(const network_ptr &Network, const relay_ptr &Relay,
                pipe &Pipe) {
  if (Pipe.Reading || Pipe.SourceEnded || Pipe.QueuedBytes >= QueueLimitBytes ||
      Relay->State != relay_state::Open)
    return;
  Pipe.Reading = true;
  Pipe.Source.async_read_some(
      asio::buffer(Pipe.Buffer),
      [Network, Relay, &Pipe](error_code Error, std::size_t Size) {
        sourceRead(Network, Relay, Pipe, Error, Size);
      });
}

void endPipe(const network_ptr &Network, const relay_ptr &Relay, pipe &Pipe) {
  Pipe.Ended = true;
  if (oppositeOf(*Relay, Pipe).Ended)
    closeRelay(*Network, Relay, false);
}

void bytesWritten(const network_ptr &Network, const relay_ptr &Relay,
                  pipe &Pipe, error_code Error) {
  Pipe.Delivering = false;
  if (Relay->State == relay_state::Closed)
    return;
  // Silence may have emptied the queue meanwhile.
  if (!Pipe.Queue.empty()) {
    Pipe.QueuedBytes -= Pipe.Queue.front().Bytes.size();
    Pipe.Queue.pop_front();
  }
  if (Error) {
    Pipe.Queue.clear();
    Pipe.QueuedBytes = 0;
    endPipe(Network, Relay, Pipe);
    return;
  }
  readSource(Network, Relay, Pipe);
  deliver(Network, Relay, Pipe);
}

void writeBytes(const network_ptr &Network, const relay_ptr &Relay,
                pipe &Pipe) {
  const auto Bytes =
      std::make_shared<std::vector<char>>(Pipe.Queue.front().Bytes);
  asio::async_write(
      Pipe.Sink, asio::buffer(*Bytes),
      [Network, Relay, &Pipe, Bytes](error_code Error, std::size_t) {
        bytesWritten(Network, Relay, Pipe, Error);
      });
}

/// Delivers the front parcel, whose time has come.
void deliverFront(const network_ptr &Network, const relay_ptr &Relay,
                  pipe &Pipe) {
  const parcel_kind Kind = Pipe.Queue.front().Kind;
  if (Kind == parcel_kind::Bytes) {
    writeBytes(Network, Relay, Pipe);
    return;
  }
  Pipe.Delivering = false;
  Pipe.Queue.pop_front();
  if (Kind == parcel_kind::Reset) {
    closeRelay(*Network, Relay, true);
    return;
  }
  error_code Ignored;
  Pipe.Sink.shutdown(tcp::socket::shutdown_send, Ignored);
  endPipe(Network, Relay, Pipe);
}

void deliver(const network_ptr &Network, const relay_ptr &Relay, pipe &Pipe) {
  if (Pipe.Delivering || Pipe.Queue.empty() || Pipe.Ended ||
      Relay->State != relay_state::Open || isCut(Network->Cuts, Pipe.Direction))
    return;
  Pipe.Delivering = true;
  Pipe.Timer.expires_at(Pipe.Queue.front().Due);
  Pipe.Timer.async_wait([Network, Relay, &Pipe](error_code Error) {
    const bool Stopped = Error || Relay->State == relay_state::Closed;
    if (Stopped || Pipe.Queue.empty() || isCut(Network->Cuts, Pipe.Direction)) {
      Pipe.Delivering = false;
      return;
    }
    deliverFront(Network, Relay, Pipe);
  });
}

void dialled(const network_ptr &Network, const relay_ptr &Relay,
             steady_time AcceptedAt, error_code Error) {
  if (Relay->State == relay_state::Closed)
    return;
  if (Error) {
    closeLater(Network, Relay, AcceptedAt + RefusalTrips * Relay->Latency);
    return;
  }
  error_code Ignored;
  Relay->Server.set_option(tcp::no_delay(true), Ignored);
  Relay->State = relay_state::Open;
  Relay->Forward.NotBefore = AcceptedAt + OpeningTrips * Relay->Latency;
  readSource(Network, Relay, Relay->Forward);
  readSource(Network, Relay, Relay->Backward);
}

/// Dials unless a cut in either direction keeps the connection from opening.
void dial(const network_ptr &Network, const relay_ptr &Relay) {
  if (isCut(Network->Cuts, Relay->Forward.Direction) ||
      isCut(Network->Cuts, Relay->Backward.Direction))
    return;
  Relay->State = relay_state::Dialing;
  const steady_time AcceptedAt = std::chrono::steady_clock::now();
  Relay->Server.async_connect(Relay->Where,
                              [Network, Relay, AcceptedAt](error_code Error) {
                                dialled(Network, Relay, AcceptedAt, Error);
                              });
}

void silencePipe(const network_ptr &Network, const relay_ptr &Relay, pipe &Pipe,
                 const zone_direction &Pattern) {
  if (!matches(Pattern, Pipe.Direction))
    return;
  Pipe.Silent = true;
  Pipe.Queue.clear();
  Pipe.QueuedBytes = 0;
  if (Pipe.SourceEnded)
    swallow(Network, Relay, Pipe);
  readSource(Network, Relay, Pipe);
}

} // namespace

void openRelay(const network_ptr &Network, tcp::socket Client,
               const network_link &Link, const tcp::endpoint &Where) {
  error_code Ignored;
  Client.set_option(tcp::no_delay(true), Ignored);
  const auto Relay =
      std::make_shared<relay>(Network->Context, std::move(Client), Link, Where);
  Network->Relays.push_back(Relay);
  dial(Network, Relay);
}

void resumeRelays(const network_ptr &Network) {
  const auto Relays = Network->Relays;
  for (const relay_ptr &Relay : Relays) {
    if (Relay->State == relay_state::Held) {
      // A connection given up while it was held was never opened.
      if (peerClosed(Relay->Client.native_handle()))
        closeRelay(*Network, Relay, true);
      else
        dial(Network, Relay);
    }
    deliver(Network, Relay, Relay->Forward);
    deliver(Network, Relay, Relay->Backward);
  }
}

void silenceRelays(const network_ptr &Network, const zone_direction &Pattern) {
  for (const relay_ptr &Relay : Network->Relays) {
    if (Relay->State != relay_state::Open)
      continue;
    silencePipe(Network, Relay, Relay->Forward, Pattern);
    silencePipe(Network, Relay, Relay->Backward, Pattern);
  }
}

void stopRelays(network &Network) {
  for (const auto &Acceptor : Network.Acceptors)
    Acceptor->close();
  const auto Relays = Network.Relays;
  for (const relay_ptr &Relay : Relays)
    closeRelay(Network, Relay, false);
}

} // namespace bronzespar::standin
