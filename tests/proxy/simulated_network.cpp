/// Cuts of the simulated fleet's paths.
#include "simulated_network.hpp"

#include <algorithm>

namespace session_test {

instant simulated_path::cutUntil() const {
  return std::max(CallsCutUntil, AnswersCutUntil);
}

void simulated_network::cut(simulated_path &Path, cut_direction Direction,
                            instant Until) {
  Cuts += 1;
  if (Direction != cut_direction::Answers)
    Path.CallsCutUntil = std::max(Path.CallsCutUntil, Until);
  if (Direction != cut_direction::Calls)
    Path.AnswersCutUntil = std::max(Path.AnswersCutUntil, Until);
}

simulated_path simulated_network::toStore(const std::string &Host) const {
  const auto Found = StorePaths.find(Host);
  return Found == StorePaths.end() ? simulated_path{} : Found->second;
}

simulated_path simulated_network::toTarget(const std::string &Host,
                                           const std::string &Target) const {
  const auto Found = TargetPaths.find({Host, Target});
  return Found == TargetPaths.end() ? simulated_path{} : Found->second;
}

} // namespace session_test
