/// Commands that need no host: `chart` and `keys digest`.
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
    for (const chart_transition &Step : State.Transitions) {
      std::cout << std::setw(ColumnWidth) << State.Name
                << std::setw(ColumnWidth) << Step.Event
                << std::setw(ColumnWidth) << Step.Guard
                << std::setw(ColumnWidth) << Step.Target << joined(Step.Actions)
                << '\n';
    }
  }
}

/// Reads one chart. Names are not checked against the daemon's tables here;
/// the daemon does so when it loads the chart.
bool readChart(const std::string &Name, bool Show) {
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
        if (Show)
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
  const std::vector<std::string> &Words = Options.Words;
  const std::string Action = Words.size() > 1 ? Words[1] : "";
  if ((Action != "check" && Action != "show") || Words.size() < 3)
    return wrongUse("chart wants check FILE... or show FILE");
  bool Good = true;
  for (std::size_t Index = 2; Index < Words.size(); ++Index)
    Good = readChart(Words[Index], Action == "show") && Good;
  return Good ? exit_code::Done : exit_code::WrongUse;
}

exit_code runKeys(const command_options &Options) {
  if (Options.Words != std::vector<std::string>{"keys", "digest"})
    return wrongUse("keys wants digest; the key is read from standard input, "
                    "so that it stands in no list of processes");
  std::string Key;
  std::getline(std::cin, Key);
  if (Key.empty())
    return wrongUse("standard input holds no key");
  std::cout << digestKey(secret(Key)) << '\n';
  return exit_code::Done;
}

} // namespace bronzespar::tool
