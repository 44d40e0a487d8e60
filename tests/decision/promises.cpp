/// Checks of the promises against what members hold in the end.
#include "callers.hpp"

#include <algorithm>
#include <sstream>

namespace bronzespar::test {

namespace {

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ';');)
    Parts.push_back(Part);
  return Parts;
}

long countIn(const std::vector<std::string> &Parts, const std::string &Part) {
  return std::count(Parts.begin(), Parts.end(), Part);
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
                        std::vector<std::string> &Found) const {
  const auto Parts = split(Call.Answer.Value);
  for (const std::string &Expected : Call.ExpectedValues)
    if (countIn(Parts, Expected) != 1)
      Found.push_back("read-your-writes: " + Expected + " missing in " +
                      describe(Call) + " '" + Call.Answer.Value + "'");
  for (const std::string &Part : Parts) {
    const bool Own =
        std::any_of(Calls.begin(), Calls.end(), [&](const call &Other) {
          return Other.Value == Part && Other.Row == Call.Row;
        });
    if (!Own)
      Found.push_back("value of another row: " + describe(Call));
  }
}

void callers::checkWrite(const call &Call,
                         std::vector<std::string> &Found) const {
  const fake_member *Primary = Fleet.primary();
  const auto Parts = split(readRow(Primary->Log, Call.Row));
  const long Times = countIn(Parts, Call.Value);
  if (Times > 1)
    Found.push_back("ran twice: " + describe(Call));
  if (!Call.Answered)
    return;
  if (Call.Answer.Cause == refusal_cause::None && Times != 1)
    Found.push_back("acknowledged and lost: " + describe(Call));
  if (Call.Answer.Outcome == run_outcome::NotRun && Times != 0)
    Found.push_back("refused as not run, but ran: " + describe(Call));
}

void callers::checkTransactions(std::vector<std::string> &Found) const {
  const fake_member *Primary = Fleet.primary();
  for (const call &Commit : Calls) {
    if (Commit.Kind != statement_kind::Commit || !Commit.Answered)
      continue;
    const auto Parts = split(readRow(Primary->Log, Commit.Row));
    const bool Applied = !Parts.empty();
    if (Commit.Answer.Cause == refusal_cause::None && !Applied)
      Found.push_back("committed and lost: " + describe(Commit));
    if (Commit.Answer.Outcome == run_outcome::NotRun && Applied)
      Found.push_back("commit refused, but ran: " + describe(Commit));
    const auto Put = split(readRow(Primary->Log, Commit.Row + "b"));
    if (Applied != !Put.empty())
      Found.push_back("half a transaction: " + describe(Commit));
  }
}

std::vector<std::string> callers::violations() {
  std::vector<std::string> Found = Fleet.Violations;
  if (Fleet.primary() == nullptr)
    return {"no primary in the end"};
  for (const auto &[Id, Member] : Fleet.Members)
    Found.insert(Found.end(), Member.Violations.begin(),
                 Member.Violations.end());
  for (const call &Call : Calls) {
    if (!Call.Answered && !Call.EntryHostDied)
      Found.push_back("not answered: " + describe(Call));
    const bool Success = Call.Answer.Cause == refusal_cause::None;
    if (Call.TransactionNumber != 0)
      continue;
    if (Call.Kind == statement_kind::Append)
      checkWrite(Call, Found);
    if (Call.Kind == statement_kind::Read && Call.Answered && Success)
      checkRead(Call, Found);
  }
  checkTransactions(Found);
  return Found;
}

} // namespace bronzespar::test
