/// Opens listening sockets.
#include "listener.hpp"

namespace bronzespar {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

bool openListener(tcp::acceptor &Acceptor, const endpoint &Where) {
  error_code Error;
  const auto Address = boost::asio::ip::make_address(Where.Address, Error);
  if (!Error)
    Acceptor.open(tcp::v4(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind({Address, Where.Port}, Error);
  if (!Error)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  return !Error;
}

endpoint listenerAddress(const tcp::acceptor &Acceptor) {
  error_code Error;
  const tcp::endpoint Local = Acceptor.local_endpoint(Error);
  return {Local.address().to_string(), Local.port()};
}

} // namespace bronzespar
