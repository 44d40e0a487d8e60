/// Arguments, signals and exit codes of the stand-ins.
#include "program.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/system/system_error.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

namespace bronzespar::standin {

namespace options = boost::program_options;
namespace leaf = boost::leaf;

namespace {

int reportUsage(const std::string &Name, const std::string &Reason) {
  std::cerr << Name << ": " << Reason << "\nTry '" << Name << " --help'.\n";
  return UsageExitCode;
}

options::options_description
withCommonOptions(const program_description &Program) {
  options::options_description All(Program.Options);
  All.add_options()("help", "print this text and exit");
  All.add_options()("version", "print the version and exit");
  return All;
}

options::variables_map parseArguments(int Count, char **Arguments,
                                      const options::options_description &All) {
  options::variables_map Parsed;
  const options::positional_options_description NoPositions;
  options::store(options::command_line_parser(Count, Arguments)
                     .options(All)
                     .positional(NoPositions)
                     .style(options::command_line_style::default_style &
                            ~options::command_line_style::allow_guessing)
                     .run(),
                 Parsed);
  return Parsed;
}

/// \returns True when the arguments ask for text only.
bool printText(const program_description &Program,
               const options::options_description &All,
               const options::variables_map &Parsed) {
  if (Parsed.count("help") != 0) {
    std::cout << "Usage: " << Program.Name << " [options]\n"
              << Program.Purpose << "\n"
              << All;
    return true;
  }
  if (Parsed.count("version") != 0) {
    std::cout << Program.Name << " " << BRONZESPAR_VERSION << "\n";
    return true;
  }
  return false;
}

int serve(const program_description &Program,
          const options::variables_map &Parsed) {
  boost::asio::io_context Context(1);
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [&Context](const boost::system::error_code &, int) { Context.stop(); });
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(Stop, Program.Start(Context, Parsed));
        std::cout << "ready" << std::endl;
        Context.run();
        Stop();
        return EXIT_SUCCESS;
      },
      [&](const standin_fault &Fault) {
        return reportUsage(Program.Name, Fault.Reason);
      },
      [&](leaf::catch_<std::exception> Error) {
        std::cerr << Program.Name << ": " << Error.matched.what() << "\n";
        return EXIT_FAILURE;
      },
      [&]() { return reportUsage(Program.Name, "cannot start"); });
}

} // namespace

int runProgram(int ArgumentCount, char **Arguments,
               const program_description &Program) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const options::options_description All = withCommonOptions(Program);
    options::variables_map Parsed =
        parseArguments(ArgumentCount, Arguments, All);
    if (printText(Program, All, Parsed))
      return EXIT_SUCCESS;
    options::notify(Parsed);
    return serve(Program, Parsed);
  } catch (const options::error &Error) {
    return reportUsage(Program.Name, Error.what());
  } catch (const std::exception &Error) {
    std::cerr << Program.Name << ": " << Error.what() << "\n";
    return EXIT_FAILURE;
  }
}

leaf::result<endpoint> readEndpoint(const options::variables_map &Arguments,
                                    const std::string &Name) {
  const auto &Text = Arguments[Name].as<std::string>();
  if (const auto Where = parseEndpoint(Text))
    return *Where;
  return leaf::new_error(
      standin_fault{"--" + Name + ": '" + Text + "' is not IP:PORT"});
}

leaf::result<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()))
    return leaf::new_error(standin_fault{"cannot read '" + Path + "'"});
  return Text.str();
}

} // namespace bronzespar::standin
