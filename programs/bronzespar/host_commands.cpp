/// Commands that query one host or read its logs: `status` and `explain`.
#include "command.hpp"

#include <bronzespar/client/http_call.hpp>
#include <bronzespar/request_explanation.hpp>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>

namespace bronzespar::tool {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;
constexpr int NameWidth = 28; // characters

/// Prints a JSON value as indented lines, each with a name and a value.
void printTable(const json::value &Value, int Depth) {
  const std::string Indent(static_cast<std::size_t>(Depth) * 2, ' ');
  if (const json::object *Object = Value.if_object()) {
    for (const json::key_value_pair &Item : *Object) {
      std::cout << Indent << std::left << std::setw(NameWidth - Depth * 2)
                << std::string(Item.key());
      if (Item.value().is_structured()) {
        std::cout << '\n';
        printTable(Item.value(), Depth + 1);
      } else {
        std::cout << json::serialize(Item.value()) << '\n';
      }
    }
    return;
  }
  if (const json::array *Array = Value.if_array()) {
    for (const json::value &Item : *Array) {
      std::cout << Indent << "-\n";
      printTable(Item, Depth + 1);
    }
    return;
  }
  std::cout << Indent << json::serialize(Value) << '\n';
}

exit_code show(const command_options &Options, const std::string &Body) {
  boost::system::error_code Error;
  const json::value Value = json::parse(Body, Error);
  if (Error) {
    std::cerr << "bronzespar: the host's answer is not valid JSON\n";
    return exit_code::Failed;
  }
  if (Options.Json)
    std::cout << json::serialize(Value) << '\n';
  else
    printTable(Value, 0);
  return exit_code::Success;
}

exit_code ask(const command_options &Options, const std::string &Path) {
  if (!Options.Host)
    return reportUsageError(Options.Arguments.front() +
                            " requires --host IP:PORT");
  client::http_call Call;
  Call.Path = Path;
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        auto Reply = client::callHttp(*Options.Host, Call);
        if (!Reply)
          return Reply.error();
        if (Reply->Status == HttpOk)
          return show(Options, Reply->Body);
        if (Reply->Status == HttpNotFound)
          std::cerr << "bronzespar: not found: no host holds it, or it was "
                       "discarded\n";
        else
          std::cerr << "bronzespar: the host answered " << Reply->Status << ": "
                    << Reply->Body << '\n';
        return exit_code::Failed;
      },
      [](const client::call_fault &Fault) {
        std::cerr << "bronzespar: the host at " << toText(Fault.Where)
                  << " did not answer: " << Fault.Reason << '\n';
        return exit_code::Unreachable;
      },
      [] { return exit_code::Failed; });
}

exit_code explainFromLog(const command_options &Options) {
  std::ifstream Log(Options.Log);
  if (!Log)
    return reportUsageError("cannot read " + Options.Log);
  const request_explanation Explanation =
      explainRequest(Log, Options.Arguments[1]);
  if (Explanation.RequestLines.empty()) {
    std::cerr << "bronzespar: no line of " << Options.Log << " names request "
              << Options.Arguments[1]
              << "; only a sample of served requests is logged\n";
    return exit_code::Failed;
  }
  std::cout << formatExplanation(Explanation);
  return exit_code::Success;
}

} // namespace

exit_code runStatus(const command_options &Options) {
  if (Options.Arguments.size() != 1)
    return reportUsageError("status takes no arguments");
  return ask(Options, "/v1/status");
}

exit_code runExplain(const command_options &Options) {
  if (Options.Arguments.size() != 2)
    return reportUsageError("explain takes exactly one REQUEST-ID");
  if (!Options.Log.empty())
    return explainFromLog(Options);
  return ask(Options, "/v1/explain/" + Options.Arguments[1]);
}

} // namespace bronzespar::tool
