/// Whether the other end of a TCP connection has closed, by poll().
#include "peer_closed.hpp"

#include <poll.h>

namespace bronzespar::standin {

bool peerClosed(int Socket) noexcept {
  constexpr short Ends = POLLRDHUP | POLLHUP | POLLERR;
  pollfd State{Socket, Ends, 0};
  return ::poll(&State, 1, 0) > 0 && (State.revents & Ends) != 0;
}

} // namespace bronzespar::standin
