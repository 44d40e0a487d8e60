/// Formatting of results.
#include <load/report.hpp>

#include <boost/describe/enumerators.hpp>
#include <boost/json.hpp>
#include <boost/mp11/algorithm.hpp>

#include <cctype>
#include <cstdio>
#include <map>

namespace bronzespar::load {

namespace {

namespace json = boost::json;

std::string snakeCase(std::string_view Name) {
  std::string Text;
  for (const char Letter : Name) {
    const auto Code = static_cast<unsigned char>(Letter);
    if (std::isupper(Code) != 0 && !Text.empty())
      Text += '_';
    Text += static_cast<char>(std::tolower(Code));
  }
  return Text;
}

json::object countViolations(const violation_list &Violations) {
  json::object Counts;
  using promises = boost::describe::describe_enumerators<promise>;
  boost::mp11::mp_for_each<promises>([&](auto Described) {
    std::uint64_t Count = 0;
    for (const violation &Violation : Violations)
      Count += Violation.Promise == Described.value ? 1 : 0;
    Counts[snakeCase(Described.name)] = Count;
  });
  return Counts;
}

/// JSON has numbers to six places; more would only be noise.
json::value rounded(double Value) {
  char Text[64];
  std::snprintf(Text, sizeof Text, "%.6f", Value);
  return std::stod(Text);
}

json::value roundedOrNull(const std::optional<double> &Value) {
  return Value ? rounded(*Value) : json::value(nullptr);
}

std::string formatRow(const std::string &Name, const account_figures &Figures) {
  char Text[160];
  std::snprintf(
      Text, sizeof Text, "%-24s %8llu %8llu %8llu %8llu %8.4f %8llu\n",
      Name.c_str(), static_cast<unsigned long long>(Figures.Requests),
      static_cast<unsigned long long>(Figures.Served),
      static_cast<unsigned long long>(Figures.Refused),
      static_cast<unsigned long long>(Figures.Unknown), Figures.share(),
      static_cast<unsigned long long>(Figures.WronglyRefused));
  return Text;
}

std::map<std::string, std::uint64_t> countCauses(const history &History) {
  std::map<std::string, std::uint64_t> Causes;
  for (const request_record &Request : History) {
    if (Request.End != request_end::Served)
      ++Causes[snakeCase(enumName(Request.End)) + ' ' + Request.Cause];
  }
  return Causes;
}

} // namespace

std::string toJson(const run_identity &Run, const run_figures &Figures,
                   const violation_list &Violations) {
  json::object Object;
  Object["place"] = Run.Place;
  Object["seed"] = Run.Seed;
  Object["fault"] = Run.Fault;
  Object["requests"] = Figures.Requests;
  Object["served"] = Figures.Served;
  Object["refused"] = Figures.Refused;
  Object["unknown"] = Figures.Unknown;
  Object["replica_read_share"] = roundedOrNull(Figures.ReplicaReadShare);
  Object["failover_gap_ms"] = roundedOrNull(Figures.FailoverGapMs);
  Object["worst_account_share"] = rounded(Figures.WorstAccountShare);
  Object["wrongful_refusals"] = rounded(Figures.WrongfulRefusals);
  Object["p50_ms"] = rounded(Figures.P50Ms);
  Object["p99_ms"] = rounded(Figures.P99Ms);
  Object["violations"] = countViolations(Violations);
  return json::serialize(Object);
}

std::string toTable(const std::vector<std::string> &Accounts,
                    const run_figures &Figures, const history &History) {
  char Head[160];
  std::snprintf(Head, sizeof Head, "%-24s %8s %8s %8s %8s %8s %8s\n", "account",
                "requests", "served", "refused", "unknown", "share",
                "wrongful");
  std::string Text = Head;
  for (std::size_t Index = 0; Index < Accounts.size(); ++Index)
    Text += formatRow(Accounts[Index], Figures.Accounts[Index]);
  for (const auto &[Cause, Count] : countCauses(History))
    Text += "not served: " + Cause + ": " + std::to_string(Count) + '\n';
  return Text;
}

} // namespace bronzespar::load
