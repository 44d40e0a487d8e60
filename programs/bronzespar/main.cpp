/// Operators' command-line tool: parses the arguments and runs one command.
#include "command.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace bronzespar::tool {

namespace {

namespace options = boost::program_options;

constexpr const char *Usage =
    R"(usage: bronzespar COMMAND [ARGUMENT...] [OPTION...]

commands:
  settings check FILE      check a settings file; changes nothing
  settings apply FILE      replace the fleet's settings (requires --platform)
  settings get             print the active settings (requires --platform)
  settings describe        print the table of all settings
  keys digest              read a key from standard input and print its digest
  status                   show a host's state (requires --host)
  explain REQUEST-ID       show how long each stage of a request took (--host),
                           or the log lines of session hosts that explain its
                           outcome (--log)
  chart check FILE...      check state charts
  chart show FILE          print a state chart as a table
)";

struct command_entry {
  const char *Name;
  exit_code (*Run)(const command_options &);
};

constexpr command_entry Commands[] = {{"settings", runSettings},
                                      {"keys", runKeys},
                                      {"status", runStatus},
                                      {"explain", runExplain},
                                      {"chart", runChart}};

options::options_description visibleOptions() {
  options::options_description Visible("options");
  auto Add = Visible.add_options();
  Add("help", "print this help");
  Add("version", "print the version");
  Add("platform", options::value<std::string>(),
      "address of the platform, IP:PORT");
  Add("host", options::value<std::string>(),
      "address at which a host accepts callers, IP:PORT");
  Add("log", options::value<std::string>(),
      "log file of one or more session hosts");
  Add("settings-key", options::value<std::string>(),
      "key of the settings in the platform's store");
  Add("json", "print JSON instead of a table");
  return Visible;
}

options::variables_map parseArguments(int Count, char **Arguments) {
  options::options_description All = visibleOptions();
  All.add_options()("word", options::value<std::vector<std::string>>());
  options::positional_options_description Positional;
  Positional.add("word", -1);
  options::variables_map Values;
  options::store(options::command_line_parser(Count, Arguments)
                     .options(All)
                     .positional(Positional)
                     .run(),
                 Values);
  options::notify(Values);
  return Values;
}

/// Reads an endpoint option.
/// \throws options::error if the value is malformed.
std::optional<endpoint> endpointOption(const options::variables_map &Values,
                                       const char *Name) {
  if (Values.count(Name) == 0)
    return std::nullopt;
  const auto &Text = Values[Name].as<std::string>();
  auto Address = parseEndpoint(Text);
  if (!Address)
    throw options::error("--" + std::string(Name) + " requires IP:PORT, got " +
                         Text);
  return Address;
}

command_options toOptions(const options::variables_map &Values) {
  command_options Result;
  if (Values.count("word") != 0)
    Result.Arguments = Values["word"].as<std::vector<std::string>>();
  Result.Platform = endpointOption(Values, "platform");
  Result.Host = endpointOption(Values, "host");
  if (Values.count("settings-key") != 0)
    Result.SettingsKey = Values["settings-key"].as<std::string>();
  if (Values.count("log") != 0)
    Result.Log = Values["log"].as<std::string>();
  Result.Json = Values.count("json") != 0;
  return Result;
}

exit_code runCommand(const command_options &Options) {
  if (Options.Arguments.empty())
    return reportUsageError("missing command");
  for (const command_entry &Entry : Commands) {
    if (Options.Arguments.front() == Entry.Name)
      return Entry.Run(Options);
  }
  return reportUsageError("unknown command " + Options.Arguments.front());
}

exit_code runTool(int Count, char **Arguments) {
  try {
    const options::variables_map Values = parseArguments(Count, Arguments);
    if (Values.count("help") != 0) {
      std::cout << Usage << '\n' << visibleOptions();
      return exit_code::Success;
    }
    if (Values.count("version") != 0) {
      std::cout << "bronzespar " << BRONZESPAR_VERSION << '\n';
      return exit_code::Success;
    }
    return runCommand(toOptions(Values));
  } catch (const options::error &Error) {
    return reportUsageError(Error.what());
  }
}

} // namespace

exit_code reportUsageError(const std::string &Message) {
  std::cerr << "bronzespar: " << Message
            << "\nbronzespar: see bronzespar --help\n";
  return exit_code::UsageError;
}

} // namespace bronzespar::tool

int main(int Count, char **Arguments) {
  return static_cast<int>(bronzespar::tool::runTool(Count, Arguments));
}
