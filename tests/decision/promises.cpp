/// Checks of the consistency guarantees against the final logs of the members.
#include "callers.hpp"

#include <algorithm>
#include <sstream>

namespace bronzespar::test {

namespace {

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Values;
  std::istringstream Stream(Text);
  for (std::string Value; std::getline(Stream, Value, ';');)
    Values.push_back(Value);
  return Values;
}

long countIn(const std::vector<std::string> &Values, const std::string &Value) {
  return std::count(Values.begin(), Values.end(), Value);
}

std::string describe(const call &Call) {
  std::ostringstream Text;
  Text << Call.Kind << " " << Call.Row << "=" << Call.Value << " at "
       << Call.Host << ": " << Call.Answer.Outcome << ", " << Call.Answer.Cause
       << ", position " << Call.Answer.Position;
  return Text.str();
}

} // namespace

void callers::checkRead(const call &Call,
                        std::vector<std::string> &Violations) const {
  const auto Values = split(Call.Answer.Value);
  for (const std::string &Expected : Call.ExpectedValues)
    if (countIn(Values, Expected) != 1)
      Violations.push_back("read-your-writes violated: " + Expected +
                           " missing in " + describe(Call) + " '" +
                           Call.Answer.Value + "'");
  for (const std::string &Value : Values) {
    const bool IsOwnValue =
        std::any_of(Calls.begin(), Calls.end(), [&](const call &Other) {
          return Other.Value == Value && Other.Row == Call.Row;
        });
    if (!IsOwnValue)
      Violations.push_back("read returned a value of another row: " +
                           describe(Call));
  }
}

void callers::checkWrite(const call &Call,
                         std::vector<std::string> &Violations) const {
  const fake_member *Primary = Fleet.primary();
  const auto Values = split(readRow(Primary->Log, Call.Row));
  const long Occurrences = countIn(Values, Call.Value);
  if (Occurrences > 1)
    Violations.push_back("write applied more than once: " + describe(Call));
  if (!Call.Answered)
    return;
  if (Call.Answer.Cause == refusal_cause::None && Occurrences != 1)
    Violations.push_back("acknowledged write missing: " + describe(Call));
  if (Call.Answer.Outcome == run_outcome::NotRun && Occurrences != 0)
    Violations.push_back("write reported as not run was applied: " +
                         describe(Call));
}

void callers::checkTransactions(std::vector<std::string> &Violations) const {
  const fake_member *Primary = Fleet.primary();
  for (const call &Commit : Calls) {
    if (Commit.Kind != statement_kind::Commit || !Commit.Answered)
      continue;
    const auto Values = split(readRow(Primary->Log, Commit.Row));
    const bool Applied = !Values.empty();
    if (Commit.Answer.Cause == refusal_cause::None && !Applied)
      Violations.push_back("committed transaction missing: " +
                           describe(Commit));
    if (Commit.Answer.Outcome == run_outcome::NotRun && Applied)
      Violations.push_back("commit reported as not run was applied: " +
                           describe(Commit));
    const auto Put = split(readRow(Primary->Log, Commit.Row + "b"));
    if (Applied != !Put.empty())
      Violations.push_back("transaction applied only in part: " +
                           describe(Commit));
  }
}

std::vector<std::string> callers::violations() {
  std::vector<std::string> Violations = Fleet.Violations;
  if (Fleet.primary() == nullptr)
    return {"no primary at the end of the run"};
  for (const auto &[Id, Member] : Fleet.Members)
    Violations.insert(Violations.end(), Member.Violations.begin(),
                      Member.Violations.end());
  for (const call &Call : Calls) {
    if (!Call.Answered && !Call.EntryHostDied)
      Violations.push_back("request not answered: " + describe(Call));
    const bool Success = Call.Answer.Cause == refusal_cause::None;
    if (Call.TransactionNumber != 0)
      continue;
    if (Call.Kind == statement_kind::Append)
      checkWrite(Call, Violations);
    if (Call.Kind == statement_kind::Read && Call.Answered && Success)
      checkRead(Call, Violations);
  }
  checkTransactions(Violations);
  return Violations;
}

} // namespace bronzespar::test
