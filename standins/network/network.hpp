/// A running stand-in network: relays between zones and their faults. All of it
/// lives on one thread.
#pragma once

#include "standin/cut_table.hpp"
#include "standin/http_server.hpp"
#include "standin/network_plan.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <vector>

namespace bronzespar::standin {

using steady_time = std::chrono::steady_clock::time_point;
using tcp = boost::asio::ip::tcp;

inline constexpr std::size_t RelayReadBytes = 16UL * 1024;

/// \brief What travels through a pipe.
enum class parcel_kind { Bytes, End, Reset };

struct parcel {
  parcel_kind Kind = parcel_kind::Bytes;
  steady_time Due; ///< When it may be delivered.
  std::vector<char> Bytes;
};

/// \brief One direction of a relayed connection.
/// Invariant: Queue is in order of arrival, and so of Due.
struct pipe {
  pipe(boost::asio::io_context &Context, tcp::socket &From, tcp::socket &To,
       zone_direction Zones)
      : Source(From), Sink(To), Direction(std::move(Zones)), Timer(Context) {}

  tcp::socket &Source;
  tcp::socket &Sink;
  zone_direction Direction;
  boost::asio::steady_timer Timer;
  std::deque<parcel> Queue;
  std::size_t QueuedBytes = 0;
  steady_time NotBefore; ///< No parcel is due earlier than this.
  bool Reading = false;
  bool Delivering = false; ///< Waits for the front's time, or writes it.
  bool SourceEnded = false;
  bool Ended = false; ///< The end has been delivered, or the sink is gone.
  bool Silent = false;
  std::array<char, RelayReadBytes> Buffer{};
};

enum class relay_state { Held, Dialing, Open, Closed };

/// \brief One relayed connection.
struct relay {
  relay(boost::asio::io_context &Context, tcp::socket Accepted,
        const network_link &Way, tcp::endpoint Address)
      : Client(std::move(Accepted)), Server(Context), Timer(Context),
        Where(std::move(Address)), Latency(Way.Latency),
        Forward(Context, Client, Server, {Way.From, Way.To}),
        Backward(Context, Server, Client, {Way.To, Way.From}) {}

  tcp::socket Client;
  tcp::socket Server;
  boost::asio::steady_timer Timer;
  tcp::endpoint Where;
  duration Latency;
  relay_state State = relay_state::Held;
  pipe Forward;
  pipe Backward;
};
using relay_ptr = std::shared_ptr<relay>;

/// \brief All state of the process.
struct network {
  explicit network(boost::asio::io_context &Owner) : Context(Owner) {}

  boost::asio::io_context &Context;
  network_plan Plan;
  cut_table Cuts;
  std::list<std::shared_ptr<tcp::acceptor>> Acceptors;
  std::list<relay_ptr> Relays; ///< None is Closed.
  http_server_ptr Control;
};
using network_ptr = std::shared_ptr<network>;

/// \brief Starts the relays of all links, and the control port.
void startLinks(const network_ptr &Network);
void startControl(const network_ptr &Network, const endpoint &Where);

/// \brief Takes a new connection in; it is dialled unless a cut holds it.
void openRelay(const network_ptr &Network, tcp::socket Client,
               const network_link &Link, const tcp::endpoint &Where);
/// \brief Goes on with all that the present cuts let through.
void resumeRelays(const network_ptr &Network);
/// \brief Makes the matching directions of open connections silent for good.
void silenceRelays(const network_ptr &Network, const zone_direction &Pattern);
/// \brief Closes everything.
void stopRelays(network &Network);

} // namespace bronzespar::standin
