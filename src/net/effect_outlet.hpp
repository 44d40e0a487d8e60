/// Way of effects from the decisions to one duty.
#pragma once

#include <bronzespar/net/duty_ring.hpp>

#include <deque>

namespace bronzespar {

/// \brief Pushes items in order; keeps what the ring has no room for.
///
/// The decisions never wait for another duty, so duties may wait for them. What
/// is kept is bounded by the requests and messages the decisions have admitted.
template <class T> class effect_outlet {
public:
  effect_outlet(boost::asio::io_context &Consumer, std::size_t Capacity,
                typename duty_ring<T>::handler Taker)
      : Ring(Consumer, Capacity, std::move(Taker)) {}

  void push(T Item) {
    flush();
    if (!Kept.empty() || !Ring.push(Item))
      Kept.push_back(std::move(Item));
  }

  /// \brief Tries again to push what was kept.
  void flush() {
    while (!Kept.empty() && Ring.push(Kept.front()))
      Kept.pop_front();
  }

private:
  duty_ring<T> Ring;
  std::deque<T> Kept;
};

} // namespace bronzespar
