/// bronzespar-sessiond: serves callers' sessions before database groups.
#include <serve/session_daemon.hpp>

#include <bronzespar/text_file.hpp>
#include <platform/node_file.hpp>

#include <boost/program_options.hpp>

#include <iostream>

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;

/// Reads the settings again. \returns What is to be said of them.
std::string reread(const std::string &Path) {
  const auto Text = bronzespar::readTextFile(Path);
  if (!Text)
    return "the settings file cannot be read";
  std::string Fault;
  return bronzespar::serve::parseServeSettings(*Text, Fault)
             ? "usable; addresses apply from the next start"
             : "unusable: " + Fault;
}

int run(const std::string &Path) {
  const auto Text = bronzespar::readTextFile(Path);
  if (!Text) {
    std::cerr << "bronzespar-sessiond: cannot read settings file '" << Path
              << "'\n";
    return ExitSettings;
  }
  std::string Fault;
  const auto Settings = bronzespar::serve::parseServeSettings(*Text, Fault);
  if (!Settings) {
    std::cerr << "bronzespar-sessiond: " << Path << ": " << Fault << '\n';
    return ExitSettings;
  }
  return bronzespar::serve::runSessionDaemon(*Settings,
                                             [Path] { return reread(Path); });
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  std::string Path = bronzespar::platform::settingsPath();
  options::options_description Known("Options");
  Known.add_options()("settings", options::value(&Path),
                      "path of the host's settings file")(
      "help", "show this text")("version", "show the version");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Known),
                   Given);
    options::notify(Given);
    if (Given.contains("help")) {
      std::cout << "Usage: bronzespar-sessiond [--settings FILE]\n" << Known;
      return 0;
    }
    if (Given.contains("version")) {
      std::cout << "bronzespar-sessiond " << BRONZESPAR_VERSION << '\n';
      return 0;
    }
    if (Path.empty()) {
      std::cerr << "bronzespar-sessiond: no settings file; see --help\n";
      return ExitUsage;
    }
    return run(Path);
  } catch (const options::error &Wrong) {
    std::cerr << "bronzespar-sessiond: " << Wrong.what() << '\n';
    return ExitUsage;
  } catch (const std::exception &Failed) {
    std::cerr << "bronzespar-sessiond: " << Failed.what() << '\n';
    return ExitSettings;
  }
}
