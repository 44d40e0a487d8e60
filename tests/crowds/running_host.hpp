/// A session host's process with its own settings, and what /proc says of it.
#pragma once

#include "stand_ins.hpp"

#include <sys/types.h>

#include <filesystem>

namespace bronzespar::crowds {

/// The machine that the settings describe. A process has to stay within both,
/// whatever its clients do.
inline constexpr std::size_t MemoryMb = 64;
inline constexpr std::size_t MaxFds = 256;

/// \brief Database and key of callers in these tests.
inline constexpr const char *Database = "sales";
inline constexpr const char *Key = "k1";

/// \brief Ports of a host, all different.
struct host_ports {
  std::uint16_t Callers = 0;
  std::uint16_t Readiness = 0;
  std::uint16_t Peers = 0;
  std::uint16_t Metrics = 0;
};

/// \brief Ports that were free a moment ago.
[[nodiscard]] host_ports freePorts();

/// \brief Starts bronzespar-sessiond before a stand-in store and one target,
/// and ends it by its id. One ordinary request has been served when the
/// constructor returns.
class running_host {
public:
  running_host();
  ~running_host();
  running_host(const running_host &) = delete;
  running_host &operator=(const running_host &) = delete;

  [[nodiscard]] const host_ports &ports() const noexcept { return Ports; }
  [[nodiscard]] stand_in_target &target() noexcept { return Target; }
  /// \brief Whether the process has not ended.
  [[nodiscard]] bool lives() const;
  /// \brief Waits until the process has read what was sent to it: until its
  /// resident size stays the same for a while.
  void awaitCalm() const;
  /// \brief Largest resident size so far, in kB.
  [[nodiscard]] std::size_t peakMemoryKb() const;
  [[nodiscard]] std::size_t openDescriptors() const;
  /// \brief Sends one small read in a session of its own, and again on a new
  /// connection until it is answered.
  [[nodiscard]] bool servesOrdinaryRequest() const;

private:
  [[nodiscard]] std::string settings() const;
  [[nodiscard]] std::size_t statusKb(const std::string &Name) const;
  void start();
  [[nodiscard]] bool readOnce() const;

  stand_in_store Store;
  stand_in_target Target;
  host_ports Ports = freePorts();
  std::filesystem::path Folder;
  pid_t Process = -1;
};

} // namespace bronzespar::crowds
