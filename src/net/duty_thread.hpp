/// One duty's event loop and thread.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace bronzespar {

/// \brief Event loop that one thread runs. The loop is there before the thread
/// starts, so that adapters can be made on it.
class duty_thread {
public:
  /// \param ThreadName At most 15 characters, shown by the system's tools.
  explicit duty_thread(const char *ThreadName);
  duty_thread(const duty_thread &) = delete;
  duty_thread &operator=(const duty_thread &) = delete;
  ~duty_thread() { stop(); }

  [[nodiscard]] boost::asio::io_context &loop() noexcept { return Loop; }

  void start();
  /// \brief Stops the loop and waits for the thread. Not from the thread
  /// itself.
  void stop();

private:
  static constexpr int OneThread = 1; ///< Hint to the event loop.

  const char *Name;
  boost::asio::io_context Loop{OneThread};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Loop.get_executor()};
  std::thread Thread;
};

} // namespace bronzespar
