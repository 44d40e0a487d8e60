/// bronzespar-load: drives callers' load at a fleet and checks its promises.
#include "compare.hpp"
#include "run_load.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>

#include <iostream>

namespace {

using namespace bronzespar;
using namespace bronzespar::load;
namespace options = boost::program_options;

constexpr int Success = 0;
constexpr int Broken = 1; ///< A promise was broken.
constexpr int WrongUse = 2;
constexpr int NotRun = 3; ///< The run could not take place.
constexpr std::size_t MaxDetails = 20;

struct command_line {
  std::string RunFile;
  run_identity Identity;
  double LengthSeconds = 0;
  bool ComparesDirect = false;
};

options::options_description describeOptions(command_line &Line) {
  options::options_description Options(
      "Usage: bronzespar-load --run FILE [options]\n"
      "Drives load at a running fleet, injects a fault at one third and heals\n"
      "it at two thirds, checks what was promised; the last line is JSON");
  auto Add = Options.add_options();
  Add("help", "show this text");
  Add("version", "show the version");
  Add("run", options::value(&Line.RunFile)->required(), "file of the run");
  Add("place", options::value(&Line.Identity.Place)->default_value("unnamed"),
      "name for the result");
  Add("duration-s", options::value(&Line.LengthSeconds)->default_value(15),
      "seconds of load");
  Add("seed", options::value(&Line.Identity.Seed)->default_value(1),
      "fixes the sequence of requests");
  Add("fault", options::value(&Line.Identity.Fault)->default_value("none"),
      "fault to inject");
  Add("compare-direct", options::bool_switch(&Line.ComparesDirect),
      "measure reads through the first host against reads straight from the "
      "targets instead");
  return Options;
}

violation_list checkAll(const load_run &Run, const run_result &Result) {
  violation_list All;
  auto Add = [&All](violation_list Found) {
    All.insert(All.end(), Found.begin(), Found.end());
  };
  Add(checkReads(Result.History));
  Add(checkAnswers(Result.History));
  Add(checkRates(Result.History, limitsOf(Run.Fleet)));
  for (const group_settings &Group : Run.Fleet.Groups) {
    const auto Primary = Result.Members.Primaries.find(Group.Id.Value);
    if (Primary == Result.Members.Primaries.end()) {
      All.push_back({promise::ReadableState,
                     "group " + Group.Id.Value + " has no primary"});
      continue;
    }
    Add(checkFinalRows(Result.History, Group.Id.Value,
                       Primary->second.State.Final,
                       Primary->second.Target.Id.Value));
  }
  for (std::uint64_t Nested = Result.Members.NestedBegins; Nested > 0; --Nested)
    All.push_back({promise::UnmixedTransactions,
                   "a transaction began on another one's connection"});
  return All;
}

void printDetails(const violation_list &Violations) {
  for (std::size_t Index = 0; Index < Violations.size(); ++Index) {
    if (Index == MaxDetails) {
      std::cerr << "violations not shown: " << Violations.size() - MaxDetails
                << '\n';
      return;
    }
    std::cerr << "violation of " << enumName(Violations[Index].Promise) << ": "
              << Violations[Index].Detail << '\n';
  }
}

std::vector<std::string> accountNames(const fleet_settings &Fleet) {
  std::vector<std::string> Names;
  Names.reserve(Fleet.Accounts.size());
  for (const account_settings &Account : Fleet.Accounts)
    Names.push_back(Account.Id.Value);
  return Names;
}

boost::leaf::result<int> run(const command_line &Line, fault_kind Kind) {
  BOOST_LEAF_AUTO(Run, readRun(Line.RunFile));
  Run.Identity = Line.Identity;
  Run.Length = duration(static_cast<std::int64_t>(Line.LengthSeconds * 1e6));
  if (Line.ComparesDirect) {
    BOOST_LEAF_AUTO(Comparison, compareDirect(Run));
    std::cout << Comparison << '\n';
    return Success;
  }
  BOOST_LEAF_AUTO(Result, runLoad(Run, Kind));
  const violation_list Violations = checkAll(Run, Result);
  const run_figures Figures =
      computeFigures(Result.History, limitsOf(Run.Fleet), Result.Fault);
  printDetails(Violations);
  std::cout << toTable(accountNames(Run.Fleet), Figures, Result.History)
            << toJson(Run.Identity, Figures, Violations) << '\n';
  return Violations.empty() ? Success : Broken;
}

int runReported(const command_line &Line, fault_kind Kind) {
  return boost::leaf::try_handle_all(
      [&] { return run(Line, Kind); },
      [](const run_fault &Fault) {
        std::cerr << "bronzespar: " << Fault.Reason << '\n';
        return NotRun;
      },
      [] {
        std::cerr << "bronzespar: the run failed\n";
        return NotRun;
      });
}

int parseAndRun(int Count, const char *const *Arguments) {
  command_line Line;
  const auto Options = describeOptions(Line);
  options::variables_map Given;
  options::store(options::parse_command_line(Count, Arguments, Options), Given);
  if (Given.count("help") > 0) {
    std::cout << Options;
    return Success;
  }
  if (Given.count("version") > 0) {
    std::cout << "bronzespar-load " BRONZESPAR_VERSION "\n";
    return Success;
  }
  options::notify(Given);
  const auto Kind = faultFromName(Line.Identity.Fault);
  if (!Kind) {
    std::cerr << "bronzespar: fault " << Line.Identity.Fault
              << " is not built\n";
    return WrongUse;
  }
  if (!(Line.LengthSeconds >= 1)) {
    std::cerr << "bronzespar: --duration-s takes a number, at least 1\n";
    return WrongUse;
  }
  return runReported(Line, *Kind);
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return parseAndRun(Count, Arguments);
  } catch (const options::error &Error) {
    std::cerr << "bronzespar: " << Error.what() << '\n';
    return WrongUse;
  }
}
