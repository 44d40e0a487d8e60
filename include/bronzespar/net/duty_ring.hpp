/// Bounded ring that joins two duties: one thread pushes, one thread's event
/// loop takes. An idle consumer is woken by one posted drain; items pushed
/// while a drain is pending cost no further wake-up.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <utility>

namespace bronzespar {

/// \brief Ring with one producing thread and one consuming event loop.
/// \remarks Holds pointers, as the queue of this Boost copies its items.
template <class T> class duty_ring {
public:
  using handler = std::function<void(T &&)>;

  /// \param Consumer Event loop that takes the items; outlives the ring.
  /// \param Capacity Items the ring holds before it refuses.
  /// \param Taker Called on the consumer's thread for each item, in order.
  duty_ring(boost::asio::io_context &Consumer, std::size_t Capacity,
            handler Taker)
      : Loop(Consumer), Queue(Capacity), Handle(std::move(Taker)) {}
  duty_ring(const duty_ring &) = delete;
  duty_ring &operator=(const duty_ring &) = delete;
  ~duty_ring() { Queue.consume_all(&destroy); }

  /// \brief Adds an item.
  /// \param Item Moved from on success.
  /// \returns False when the ring is full; Item is then unchanged.
  [[nodiscard]] bool push(T &Item) {
    auto Owned = std::make_unique<T>(std::move(Item));
    if (!Queue.push(Owned.get())) {
      Item = std::move(*Owned);
      return false;
    }
    (void)Owned.release(); // the queue owns it now
    wake();
    return true;
  }

  /// \brief Adds an item, waiting for room. Gives up once the ring is closed.
  /// \remarks Only for a consumer that never waits for this producer.
  void pushWaiting(T Item) {
    while (!push(Item)) {
      if (Closed.load(std::memory_order_relaxed))
        return;
      std::this_thread::yield();
    }
  }

  /// \brief The consumer stops: producers no longer wait for it.
  void close() noexcept { Closed.store(true, std::memory_order_relaxed); }

private:
  static void destroy(T *Item) { std::unique_ptr<T>{Item}.reset(); }

  void wake() {
    if (!DrainPending.exchange(true))
      boost::asio::post(Loop, [this] { drain(); });
  }

  void drain() {
    // Cleared first: an item pushed after the last pop posts a new drain.
    DrainPending.store(false);
    T *Item = nullptr;
    while (Queue.pop(Item)) {
      const std::unique_ptr<T> Owned(Item);
      Handle(std::move(*Owned));
    }
  }

  boost::asio::io_context &Loop;
  boost::lockfree::spsc_queue<T *> Queue;
  handler Handle;
  std::atomic<bool> DrainPending{false};
  std::atomic<bool> Closed{false};
};

} // namespace bronzespar
