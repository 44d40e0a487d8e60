/// What the mains of the stand-ins share: arguments, the `ready` line, running
/// until a signal.
#pragma once

#include <bronzespar/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <functional>
#include <string>

namespace bronzespar::standin {

/// \brief Error of the stand-ins: wrong arguments or a faulty file.
struct standin_fault {
  std::string Reason; ///< Sentence for a person.
};

/// \brief Exit code for wrong use.
inline constexpr int UsageExitCode = 2;

/// \brief Closes what a program has opened.
using stop_action = std::function<void()>;

/// \brief A program's name and options.
struct program_description {
  std::string Name;
  std::string Purpose; ///< Lines shown above the options.
  boost::program_options::options_description Options;
  /// Checks the arguments and starts the servers.
  std::function<boost::leaf::result<stop_action>(
      boost::asio::io_context &, const boost::program_options::variables_map &)>
      Start;
};

/// \brief Runs a stand-in from arguments to exit code. SIGTERM and SIGINT stop
/// it with 0.
[[nodiscard]] int runProgram(int ArgumentCount, char **Arguments,
                             const program_description &Program);

/// \brief Reads an endpoint argument.
[[nodiscard]] boost::leaf::result<endpoint>
readEndpoint(const boost::program_options::variables_map &Arguments,
             const std::string &Name);

/// \brief Reads a whole file.
[[nodiscard]] boost::leaf::result<std::string>
readFile(const std::string &Path);

} // namespace bronzespar::standin
