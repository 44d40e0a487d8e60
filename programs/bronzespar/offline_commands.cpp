/// Commands that work without a host: `chart` and `keys digest`.
#include "command.hpp"

#include <bronzespar/key_table.hpp>
#include <bronzespar/state_chart.hpp>
#include <bronzespar/text_file.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <iomanip>
#include <iostream>

namespace bronzespar::tool {

namespace {

namespace leaf = boost::leaf;

constexpr int ColumnWidth = 22; // characters

std::string joined(const std::vector<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words)
    Text += (Text.empty() ? "" : " ") + Word;
  return Text;
}

void printChart(const state_chart &Chart) {
  std::cout << Chart.Name << ", initial " << Chart.Initial << '\n'
            << std::left << std::setw(ColumnWidth) << "state"
            << std::setw(ColumnWidth) << "event" << std::setw(ColumnWidth)
            << "guard" << std::setw(ColumnWidth) << "target"
            << "actions\n";
  for (const chart_state &State : Chart.States) {
    for (const chart_transition &Transition : State.Transitions) {
      std::cout << std::setw(ColumnWidth) << State.Name
                << std::setw(ColumnWidth) << Transition.Event
                << std::setw(ColumnWidth) << Transition.Guard
                << std::setw(ColumnWidth) << Transition.Target
                << joined(Transition.Actions) << '\n';
    }
  }
}

/// Parses one state chart and prints it or confirms that it is well-formed.
/// Names in the chart are not checked against the daemon's tables here; the
/// daemon does so when it loads the chart.
bool readChart(const std::string &Name, bool PrintTable) {
  const auto Text = readTextFile(Name);
  if (!Text) {
    std::cerr << "bronzespar: cannot read " << Name << '\n';
    return false;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        auto Chart = parseChart(*Text, Name);
        if (!Chart)
          return Chart.error();
        if (PrintTable)
          printChart(*Chart);
        else
          std::cout << Name << ": well-formed\n";
        return true;
      },
      [](const chart_fault &Fault) {
        std::cerr << Fault.File << ':' << Fault.Line << ": " << Fault.Reason
                  << '\n';
        return false;
      },
      [] { return false; });
}

} // namespace

exit_code runChart(const command_options &Options) {
  const std::vector<std::string> &Arguments = Options.Arguments;
  const std::string Action = Arguments.size() > 1 ? Arguments[1] : "";
  if ((Action != "check" && Action != "show") || Arguments.size() < 3)
    return reportUsageError("chart requires check FILE... or show FILE");
  bool AllValid = true;
  for (std::size_t Index = 2; Index < Arguments.size(); ++Index)
    AllValid = readChart(Arguments[Index], Action == "show") && AllValid;
  return AllValid ? exit_code::Success : exit_code::UsageError;
}

exit_code runKeys(const command_options &Options) {
  if (Options.Arguments != std::vector<std::string>{"keys", "digest"})
    return reportUsageError(
        "keys requires digest; the key is read from standard "
        "input, so that it does not show in the process list");
  std::string Key;
  std::getline(std::cin, Key);
  if (Key.empty())
    return reportUsageError("no key on standard input");
  std::cout << digestKey(secret(Key)) << '\n';
  return exit_code::Success;
}

} // namespace bronzespar::tool
