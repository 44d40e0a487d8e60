/// Closing of connections above the budget.
#include "client_memory.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace bronzespar::serve {

client_memory::client_memory(boost::asio::io_context &Context,
                             std::size_t MachineMb, close_handler Close)
    : Io(Context), Budget(proxy::makeMemoryBudget(MachineMb)),
      OnClose(std::move(Close)) {}

void client_memory::change(proxy::client_holder Holder,
                           const proxy::held_memory &Before,
                           const proxy::held_memory &Now) {
  proxy::changeHeld(Budget, Holder, Before, Now);
  const bool IsMore = Now.Bytes > Before.Bytes;
  if (!IsMore || IsRelieving || !proxy::chooseClosed(Budget))
    return;
  // The connection that reports may be the one that is closed.
  IsRelieving = true;
  boost::asio::post(Io, [this] { relieve(); });
}

void client_memory::relieve() {
  while (const auto Holder = proxy::chooseClosed(Budget)) {
    const std::size_t Before = Budget.Held;
    OnClose(*Holder, Budget.Large.rbegin()->Bytes);
    if (Budget.Held == Before)
      break; // Already closed; a handler under way still holds it.
  }
  IsRelieving = false;
}

} // namespace bronzespar::serve
