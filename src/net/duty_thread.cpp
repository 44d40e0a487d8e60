/// One duty's event loop and thread.
#include "duty_thread.hpp"

#include <pthread.h>

namespace bronzespar {

duty_thread::duty_thread(const char *ThreadName) : Name(ThreadName) {}

void duty_thread::start() {
  Thread = std::thread([this] {
    pthread_setname_np(pthread_self(), Name);
    Loop.run();
  });
}

void duty_thread::stop() {
  Loop.stop();
  if (Thread.joinable())
    Thread.join();
}

} // namespace bronzespar
