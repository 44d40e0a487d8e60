/// `bronzespar settings`: checks, applies and prints the fleet settings.
#include "command.hpp"

#include <bronzespar/client/store.hpp>
#include <bronzespar/fleet_settings.hpp>
#include <bronzespar/setting_rules.hpp>
#include <bronzespar/text_file.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <iostream>

namespace bronzespar::tool {

namespace {

namespace leaf = boost::leaf;

/// Reads and checks the file; prints what is wrong with it.
std::optional<std::string> readChecked(const std::string &Name) {
  auto Text = readTextFile(Name);
  if (!Text) {
    std::cerr << "bronzespar: cannot read " << Name << '\n';
    return std::nullopt;
  }
  const bool Good = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        auto Fleet = parseFleetSettings(*Text, Name);
        if (!Fleet)
          return Fleet.error();
        return true;
      },
      [](const settings_fault &Fault) {
        std::cerr << toText(Fault) << '\n';
        return false;
      },
      [] { return false; });
  if (!Good)
    return std::nullopt;
  return Text;
}

exit_code check(const std::string &Name) {
  if (!readChecked(Name))
    return exit_code::WrongUse;
  std::cout << Name << ": good\n";
  return exit_code::Done;
}

exit_code reportSwap(client::swap_outcome Outcome, std::uint64_t Revision) {
  switch (Outcome) {
  case client::swap_outcome::Done:
    std::cout << "took effect: revision " << Revision << '\n';
    return exit_code::Done;
  case client::swap_outcome::Conflict:
    std::cerr << "did not take effect: another change came first; look at "
                 "`bronzespar settings get` and apply again\n";
    return exit_code::Failed;
  case client::swap_outcome::Unknown:
    break;
  }
  std::cerr << "may have taken effect: the answer was lost; look at "
               "`bronzespar settings get`\n";
  return exit_code::Unknown;
}

exit_code reportStoreFault(const client::store_fault &Fault) {
  std::cerr << "bronzespar: " << Fault.Reason << '\n';
  return Fault.MayHaveTakenEffect ? exit_code::Unknown : exit_code::Unreachable;
}

exit_code apply(const command_options &Options, const std::string &Name) {
  const auto Text = readChecked(Name);
  if (!Text)
    return exit_code::WrongUse;
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        auto Present = client::readKey(*Options.Platform, Options.SettingsKey);
        if (!Present)
          return Present.error();
        const client::stored_value Old =
            Present->value_or(client::stored_value{});
        auto Outcome = client::swapKey(*Options.Platform, Options.SettingsKey,
                                       *Text, Old.ModRevision);
        if (!Outcome)
          return Outcome.error();
        return reportSwap(*Outcome, Old.Version + 1);
      },
      reportStoreFault, [] { return exit_code::Failed; });
}

exit_code get(const command_options &Options) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        auto Present = client::readKey(*Options.Platform, Options.SettingsKey);
        if (!Present)
          return Present.error();
        if (!*Present) {
          std::cerr << "bronzespar: the platform holds no settings yet\n";
          return exit_code::Failed;
        }
        std::cout << "; revision " << (*Present)->Version << '\n'
                  << (*Present)->Value;
        return exit_code::Done;
      },
      reportStoreFault, [] { return exit_code::Failed; });
}

} // namespace

exit_code runSettings(const command_options &Options) {
  const std::vector<std::string> &Words = Options.Words;
  const std::string Action = Words.size() > 1 ? Words[1] : "";
  if (Action == "describe" && Words.size() == 2) {
    std::cout << describeSettings();
    return exit_code::Done;
  }
  if (Action == "check" && Words.size() == 3)
    return check(Words[2]);
  const bool NeedsPlatform = (Action == "apply" && Words.size() == 3) ||
                             (Action == "get" && Words.size() == 2);
  if (!NeedsPlatform)
    return wrongUse("settings wants check FILE, apply FILE, get or describe");
  if (!Options.Platform)
    return wrongUse("settings " + Action + " wants --platform IP:PORT");
  return Action == "apply" ? apply(Options, Words[2]) : get(Options);
}

} // namespace bronzespar::tool
