/// The operators' command-line tool: parses arguments and runs one command.
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
  settings apply FILE      replace the fleet's settings (--platform)
  settings get             print the settings in force (--platform)
  settings describe        print the table of all settings
  keys digest              read a key from standard input, print its digest
  status                   show a host's state (--host)
  explain REQUEST-ID       show where a request's time went (--host), or what
                           the logs of session hosts tell of it (--log)
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
  Add("platform", options::value<std::string>(), "platform's IP:PORT");
  Add("host", options::value<std::string>(), "a host's callers' IP:PORT");
  Add("log", options::value<std::string>(),
      "file with the logs of session hosts");
  Add("settings-key", options::value<std::string>(),
      "key of the settings in the platform's store");
  Add("json", "print JSON in place of a table");
  return Visible;
}

options::variables_map parseArguments(int Count, char **Arguments) {
  options::options_description All = visibleOptions();
  All.add_options()("word", options::value<std::vector<std::string>>());
  options::positional_options_description Positions;
  Positions.add("word", -1);
  options::variables_map Values;
  options::store(options::command_line_parser(Count, Arguments)
                     .options(All)
                     .positional(Positions)
                     .run(),
                 Values);
  options::notify(Values);
  return Values;
}

/// Reads an endpoint option; throws when it is malformed.
std::optional<endpoint> endpointOption(const options::variables_map &Values,
                                       const char *Name) {
  if (Values.count(Name) == 0)
    return std::nullopt;
  const auto &Text = Values[Name].as<std::string>();
  auto Where = parseEndpoint(Text);
  if (!Where)
    throw options::error("--" + std::string(Name) + " wants IP:PORT, got " +
                         Text);
  return Where;
}

command_options toOptions(const options::variables_map &Values) {
  command_options Result;
  if (Values.count("word") != 0)
    Result.Words = Values["word"].as<std::vector<std::string>>();
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
  if (Options.Words.empty())
    return wrongUse("a command is missing");
  for (const command_entry &Entry : Commands) {
    if (Options.Words.front() == Entry.Name)
      return Entry.Run(Options);
  }
  return wrongUse("there is no command " + Options.Words.front());
}

exit_code runTool(int Count, char **Arguments) {
  try {
    const options::variables_map Values = parseArguments(Count, Arguments);
    if (Values.count("help") != 0) {
      std::cout << Usage << '\n' << visibleOptions();
      return exit_code::Done;
    }
    if (Values.count("version") != 0) {
      std::cout << "bronzespar " << BRONZESPAR_VERSION << '\n';
      return exit_code::Done;
    }
    return runCommand(toOptions(Values));
  } catch (const options::error &Error) {
    return wrongUse(Error.what());
  }
}

} // namespace

exit_code wrongUse(const std::string &Message) {
  std::cerr << "bronzespar: " << Message
            << "\nbronzespar: see bronzespar --help\n";
  return exit_code::WrongUse;
}

} // namespace bronzespar::tool

int main(int Count, char **Arguments) {
  return static_cast<int>(bronzespar::tool::runTool(Count, Arguments));
}
