/// Paths from the hosts of a simulated fleet to its store and its targets,
/// which are cut for a time, in one direction or in both.
#pragma once

#include <bronzespar/proxy/interface.hpp>

#include <map>
#include <string>
#include <utility>

namespace session_test {

using namespace bronzespar;

/// \brief What a cut path loses.
enum class cut_direction {
  Both,
  Calls,  ///< What the host sends.
  Answers ///< What is sent to the host.
};
BOOST_DESCRIBE_ENUM(cut_direction, Both, Calls, Answers)

/// \brief A path of a host, as seen from there.
struct simulated_path {
  instant CallsCutUntil{};
  instant AnswersCutUntil{};

  [[nodiscard]] bool losesCalls(instant Now) const {
    return Now < CallsCutUntil;
  }
  [[nodiscard]] bool losesAnswers(instant Now) const {
    return Now < AnswersCutUntil;
  }
  [[nodiscard]] bool isCut(instant Now) const {
    return losesCalls(Now) || losesAnswers(Now);
  }
  /// \brief When both directions pass again.
  [[nodiscard]] instant cutUntil() const;
};

struct simulated_network {
  std::map<std::string, simulated_path> StorePaths; ///< By host.
  /// By host and target.
  std::map<std::pair<std::string, std::string>, simulated_path> TargetPaths;
  std::size_t Cuts = 0;

  /// \brief Cuts a path; a longer cut that it has stays.
  void cut(simulated_path &Path, cut_direction Direction, instant Until);
  [[nodiscard]] simulated_path toStore(const std::string &Host) const;
  [[nodiscard]] simulated_path toTarget(const std::string &Host,
                                        const std::string &Target) const;
};

} // namespace session_test
