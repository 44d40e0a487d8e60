/// Adapter of the memory budget: closes connections when it is exceeded.
#pragma once

#include <bronzespar/proxy/memory_budget.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>

namespace bronzespar::serve {

/// \brief The budget of a process, shared by its listeners. It must outlive all
/// connections, also those that end only with the event loop.
class client_memory {
public:
  using close_handler =
      std::function<void(proxy::client_holder Holder, std::size_t HeldBytes)>;

  /// \param Close Closes a connection, which thereby gives back what it holds.
  client_memory(boost::asio::io_context &Context, std::size_t MachineMb,
                close_handler Close);

  void change(proxy::client_holder Holder, const proxy::held_memory &Before,
              const proxy::held_memory &Now);
  [[nodiscard]] const proxy::memory_budget &budget() const noexcept {
    return Budget;
  }

private:
  void relieve();

  boost::asio::io_context &Io;
  proxy::memory_budget Budget;
  close_handler OnClose;
  bool IsRelieving = false; ///< A call of relieve() is queued.
};

/// \brief What one connection holds, given back at its end.
class memory_share {
public:
  memory_share() noexcept = default;
  memory_share(const memory_share &) = delete;
  memory_share &operator=(const memory_share &) = delete;
  ~memory_share() { set({}); }

  void bind(client_memory &Shared, proxy::client_holder Named) noexcept {
    Memory = &Shared;
    Holder = Named;
  }
  void set(const proxy::held_memory &Now) {
    if (Memory == nullptr || Now == Held)
      return;
    Memory->change(Holder, Held, Now);
    Held = Now;
  }
  [[nodiscard]] bool isBound() const noexcept { return Memory != nullptr; }

private:
  client_memory *Memory = nullptr;
  proxy::client_holder Holder;
  proxy::held_memory Held;
};

} // namespace bronzespar::serve
