/// Files by streams.
#include <bronzespar/text_file.hpp>

#include <fstream>
#include <sstream>

namespace bronzespar {

std::optional<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace bronzespar
