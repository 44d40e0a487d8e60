/// Listeners of the stand-in network's links.
#include "network.hpp"

namespace bronzespar::standin {

namespace asio = boost::asio;

namespace {

constexpr int ListenBacklog = 1024;

/// One listener: all its connections go the same way.
struct link_listener {
  std::shared_ptr<tcp::acceptor> Acceptor;
  network_link Link;
  tcp::endpoint Where; ///< Address in the link's second zone.
};

void acceptNext(const network_ptr &Network, const link_listener &Listener) {
  Listener.Acceptor->async_accept(
      [Network, Listener](const boost::system::error_code &Error,
                          tcp::socket Client) {
        if (!Listener.Acceptor->is_open())
          return;
        if (!Error)
          openRelay(Network, std::move(Client), Listener.Link, Listener.Where);
        acceptNext(Network, Listener);
      });
}

void startListener(const network_ptr &Network, const network_link &Link,
                   const std::string &Address, std::uint16_t Port) {
  const tcp::endpoint Listen(asio::ip::make_address(Link.Listen), Port);
  const auto Acceptor = std::make_shared<tcp::acceptor>(Network->Context);
  Acceptor->open(Listen.protocol());
  Acceptor->set_option(tcp::acceptor::reuse_address(true));
  Acceptor->bind(Listen);
  Acceptor->listen(ListenBacklog);
  Network->Acceptors.push_back(Acceptor);
  acceptNext(Network, {Acceptor, Link,
                       tcp::endpoint(asio::ip::make_address(Address), Port)});
}

} // namespace

void startLinks(const network_ptr &Network) {
  for (const network_link &Link : Network->Plan.Links) {
    const network_zone &Zone = *findZone(Network->Plan, Link.To);
    for (const std::uint16_t Port : Zone.Ports)
      startListener(Network, Link, Zone.Address, Port);
  }
}

} // namespace bronzespar::standin
