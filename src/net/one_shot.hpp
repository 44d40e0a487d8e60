/// Timer whose handler is never called after it was stopped or destroyed.
#pragma once

#include <bronzespar/instant.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace bronzespar {

/// \brief One-shot timer. Asio may still call the handler of a timer that has
/// expired but was cancelled before its turn; this one does not.
class one_shot {
public:
  explicit one_shot(boost::asio::io_context &Loop) : Timer(Loop) {}

  void start(duration After, std::function<void()> Expired) {
    Current = std::make_shared<std::function<void()>>(std::move(Expired));
    Timer.expires_after(After);
    Timer.async_wait([Weak = std::weak_ptr(Current)](
                         const boost::system::error_code &Error) {
      const auto Handler = Weak.lock();
      if (!Error && Handler)
        (*Handler)();
    });
  }

  void stop() {
    Current.reset();
    Timer.cancel();
  }

private:
  boost::asio::steady_timer Timer;
  std::shared_ptr<std::function<void()>> Current;
};

} // namespace bronzespar
