/// bronzespar-sessiond: the session host, which proxies callers' sessions to
/// database groups.
#include <serve/session_daemon.hpp>

#include <bronzespar/text_file.hpp>
#include <platform/node_file.hpp>

#include <boost/program_options.hpp>

#include <iostream>

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;

/// Reads the settings file again. \returns The result for the log.
std::string reread(const std::string &Path) {
  const auto Text = bronzespar::readTextFile(Path);
  if (!Text)
    return "cannot read the settings file";
  std::string Fault;
  return bronzespar::serve::parseServeSettings(*Text, Fault)
             ? "valid; addresses take effect at the next start"
             : "invalid: " + Fault;
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
  options::options_description Options("Options");
  Options.add_options()("settings", options::value(&Path),
                        "path of the host's settings file")(
      "help", "show this text")("version", "show the version");
  try {
    options::variables_map Values;
    options::store(
        options::parse_command_line(ArgumentCount, Arguments, Options), Values);
    options::notify(Values);
    if (Values.contains("help")) {
      std::cout << "Usage: bronzespar-sessiond [--settings FILE]\n" << Options;
      return 0;
    }
    if (Values.contains("version")) {
      std::cout << "bronzespar-sessiond " << BRONZESPAR_VERSION << '\n';
      return 0;
    }
    if (Path.empty()) {
      std::cerr << "bronzespar-sessiond: no settings file given; see --help\n";
      return ExitUsage;
    }
    return run(Path);
  } catch (const options::error &Error) {
    std::cerr << "bronzespar-sessiond: " << Error.what() << '\n';
    return ExitUsage;
  } catch (const std::exception &Error) {
    std::cerr << "bronzespar-sessiond: " << Error.what() << '\n';
    return ExitSettings;
  }
}
