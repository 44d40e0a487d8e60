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

/// Reads and validates a settings file; prints the fault if it is invalid.
std::optional<std::string> readChecked(const std::string &Name) {
  auto Text = readTextFile(Name);
  if (!Text) {
    std::cerr << "bronzespar: cannot read " << Name << '\n';
    return std::nullopt;
  }
  const bool IsValid = leaf::try_handle_all(
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
  if (!IsValid)
    return std::nullopt;
  return Text;
}

exit_code check(const std::string &Name) {
  if (!readChecked(Name))
    return exit_code::UsageError;
  std::cout << Name << ": good\n";
  return exit_code::Success;
}

exit_code reportSwap(client::swap_outcome Outcome, std::uint64_t Revision) {
  switch (Outcome) {
  case client::swap_outcome::Done:
    std::cout << "took effect: revision " << Revision << '\n';
    return exit_code::Success;
  case client::swap_outcome::Conflict:
    std::cerr << "did not take effect: the settings were changed concurrently; "
                 "check `bronzespar settings get` and apply again\n";
    return exit_code::Failed;
  case client::swap_outcome::Unknown:
    break;
  }
  std::cerr << "may have taken effect: no answer was received; check "
               "`bronzespar settings get`\n";
  return exit_code::OutcomeUnknown;
}

exit_code reportStoreFault(const client::store_fault &Fault) {
  std::cerr << "bronzespar: " << Fault.Reason << '\n';
  return Fault.MayHaveTakenEffect ? exit_code::OutcomeUnknown
                                  : exit_code::Unreachable;
}

exit_code apply(const command_options &Options, const std::string &Name) {
  const auto Text = readChecked(Name);
  if (!Text)
    return exit_code::UsageError;
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        auto Stored = client::readKey(*Options.Platform, Options.SettingsKey);
        if (!Stored)
          return Stored.error();
        const client::stored_value Current =
            Stored->value_or(client::stored_value{});
        auto Outcome = client::swapKey(*Options.Platform, Options.SettingsKey,
                                       *Text, Current.ModRevision);
        if (!Outcome)
          return Outcome.error();
        return reportSwap(*Outcome, Current.Version + 1);
      },
      reportStoreFault, [] { return exit_code::Failed; });
}

exit_code get(const command_options &Options) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<exit_code> {
        auto Stored = client::readKey(*Options.Platform, Options.SettingsKey);
        if (!Stored)
          return Stored.error();
        if (!*Stored) {
          std::cerr << "bronzespar: the platform has no stored settings yet\n";
          return exit_code::Failed;
        }
        std::cout << "; revision " << (*Stored)->Version << '\n'
                  << (*Stored)->Value;
        return exit_code::Success;
      },
      reportStoreFault, [] { return exit_code::Failed; });
}

} // namespace

exit_code runSettings(const command_options &Options) {
  const std::vector<std::string> &Arguments = Options.Arguments;
  const std::string Action = Arguments.size() > 1 ? Arguments[1] : "";
  if (Action == "describe" && Arguments.size() == 2) {
    std::cout << describeSettings();
    return exit_code::Success;
  }
  if (Action == "check" && Arguments.size() == 3)
    return check(Arguments[2]);
  const bool NeedsPlatform = (Action == "apply" && Arguments.size() == 3) ||
                             (Action == "get" && Arguments.size() == 2);
  if (!NeedsPlatform)
    return reportUsageError(
        "settings requires check FILE, apply FILE, get or describe");
  if (!Options.Platform)
    return reportUsageError("settings " + Action +
                            " requires --platform IP:PORT");
  return Action == "apply" ? apply(Options, Arguments[2]) : get(Options);
}

} // namespace bronzespar::tool
