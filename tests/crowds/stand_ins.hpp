/// Stand-ins for the platform's store and for one target, without faults.
#pragma once

#include "sockets.hpp"

#include <boost/json.hpp>

#include <condition_variable>
#include <map>
#include <vector>

namespace bronzespar::crowds {

/// \brief Keeps keys and answers the store's calls. Leases don't lapse.
class stand_in_store {
public:
  stand_in_store();
  ~stand_in_store();
  void put(const std::string &Key, const std::string &Value);
  [[nodiscard]] std::uint16_t port() const { return Http.port(); }

private:
  struct item {
    std::string Value; ///< Base64.
    std::uint64_t Revision = 0;
    std::uint64_t Lease = 0;
  };
  struct answer {
    int Status = 200;
    boost::json::object Body;
  };

  void serve(int Socket);
  answer answerTo(const std::string &Method, const std::string &Target,
                  const std::string &Body);
  answer range(const std::string &Prefix);
  answer watch(const std::string &Prefix, std::uint64_t After,
               std::uint64_t WaitMs);
  answer change(const boost::json::object &Change);
  answer endLease(std::uint64_t Lease);
  [[nodiscard]] boost::json::object itemJson(const std::string &Key) const;
  [[nodiscard]] boost::json::array eventsAfter(const std::string &Prefix,
                                               std::uint64_t After) const;
  void write(const std::string &Key, item Item);
  void erase(const std::string &Key);

  std::mutex Guard; ///< Of all below but Http.
  std::condition_variable Changed;
  bool Stopping = false;
  std::uint64_t Revision = 10;
  std::uint64_t LastLease = 0;
  std::map<std::string, item> Items;
  std::map<std::string, std::uint64_t> Removed; ///< Revision of the removal.
  server Http;
};

/// \brief A primary that answers each statement. `READ large` gives
/// LargeRows rows of LargeRowBytes each.
class stand_in_target {
public:
  static constexpr std::size_t LargeRows = 16;
  static constexpr std::size_t LargeRowBytes = std::size_t{64} << 10;

  stand_in_target();
  ~stand_in_target() { IsHeld = false; }
  /// \brief Holds the answers to writes until release().
  void hold() { IsHeld = true; }
  void release() { IsHeld = false; }
  [[nodiscard]] std::uint16_t port() const { return Lines.port(); }

private:
  void serve(int Socket);

  std::atomic<bool> IsHeld = false;
  server Lines;
};

} // namespace bronzespar::crowds
