/// bronzespard: the daemon on each entry host.
#include <bronzespar/host_settings.hpp>
#include <bronzespar/net/daemon.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace {

namespace options = boost::program_options;
using namespace bronzespar;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

options::options_description describeOptions() {
  options::options_description Described(
      "Usage: bronzespard --config HOST.ini [--seed N]\nDatabase proxy daemon");
  Described.add_options()("help", "print this help")("version",
                                                     "print the version")(
      "config", options::value<std::string>()->value_name("HOST.ini"),
      "settings of this host")("seed",
                               options::value<std::uint64_t>()->value_name("N"),
                               "seed of random choices; by default a new one");
  return Described;
}

/// The options, or nothing after saying what was wrong.
std::optional<options::variables_map>
readOptions(int Count, char **Arguments,
            const options::options_description &Described) {
  try {
    options::variables_map Values;
    options::store(options::command_line_parser(Count, Arguments)
                       .options(Described)
                       .positional({})
                       .run(),
                   Values);
    return Values;
  } catch (const options::error &Error) {
    std::cerr << "bronzespard: " << Error.what() << "\n" << Described;
    return std::nullopt;
  }
}

std::optional<host_settings> readSettings(const std::string &File) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf())) {
    std::cerr << File << ":0: : cannot be read\n";
    return std::nullopt;
  }
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<host_settings>> {
        BOOST_LEAF_AUTO(Settings, parseHostSettings(Text.str(), File));
        return std::optional<host_settings>(std::move(Settings));
      },
      [](const settings_fault &Fault) {
        std::cerr << toText(Fault) << '\n';
        return std::optional<host_settings>{};
      },
      [&] {
        std::cerr << File << ":0: : cannot be parsed\n";
        return std::optional<host_settings>{};
      });
}

int run(const options::variables_map &Values) {
  const auto Settings = readSettings(Values["config"].as<std::string>());
  if (!Settings)
    return ExitUsage;
  daemon_options Options;
  Options.Self = *Settings;
  Options.Seed = Values.count("seed") ? Values["seed"].as<std::uint64_t>()
                                      : std::random_device{}();
  Options.Listening = [] { std::cout << "ready" << std::endl; };
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        if (auto Ran = runDaemon(Options); !Ran)
          return Ran.error();
        return 0;
      },
      [](const daemon_fault &Fault) {
        std::cerr << "bronzespard: " << Fault.Reason << '\n';
        return Fault.Kind == daemon_fault_kind::WrongChart ? ExitUsage
                                                           : ExitFailure;
      },
      [] {
        std::cerr << "bronzespard: cannot start\n";
        return ExitFailure;
      });
}

} // namespace

int main(int Count, char **Arguments) {
  const options::options_description Described = describeOptions();
  const auto Values = readOptions(Count, Arguments, Described);
  if (!Values)
    return ExitUsage;
  if (Values->count("help")) {
    std::cout << Described;
    return 0;
  }
  if (Values->count("version")) {
    std::cout << "bronzespard " << BRONZESPAR_VERSION << '\n';
    return 0;
  }
  if (!Values->count("config")) {
    std::cerr << "bronzespard: --config is missing\n" << Described;
    return ExitUsage;
  }
  return run(*Values);
}
