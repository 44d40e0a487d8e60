/// Meters in the Prometheus text format.
#include "meters.hpp"

#include <sstream>

namespace bronzespar::serve {

namespace {

constexpr unsigned LatencyBins = 36;
constexpr double MinLatencyMs = 0.25;
constexpr double MaxLatencyMs = 8000;

void addLatency(std::map<std::string, latency_meter> &Meters,
                const std::string &Name, double Milliseconds) {
  const auto [Found, IsNew] = Meters.try_emplace(Name);
  if (IsNew)
    Found->second.Histogram = latency_histogram(
        std::tuple(latency_axis(LatencyBins, MinLatencyMs, MaxLatencyMs)));
  Found->second.Histogram(Milliseconds);
  Found->second.SumMs += Milliseconds;
  Found->second.Count += 1;
}

void writeCounts(std::ostream &Out, const char *Name, const char *Label,
                 const std::map<std::pair<std::string, std::string>,
                                std::uint64_t> &Counts) {
  for (const auto &[Key, Count] : Counts)
    Out << Name << '{' << Label << "=\"" << Key.first << "\",code=\""
        << Key.second << "\"} " << Count << '\n';
}

void writeLatencies(std::ostream &Out, const char *Metric, const char *Label,
                    const std::map<std::string, latency_meter> &Meters) {
  for (const auto &[Name, Meter] : Meters) {
    std::uint64_t CumulativeCount = Meter.Histogram.at(-1);
    for (int Bin = 0; Bin < static_cast<int>(LatencyBins); ++Bin) {
      CumulativeCount += Meter.Histogram.at(Bin);
      Out << Metric << "_bucket{" << Label << "=\"" << Name << "\",le=\""
          << Meter.Histogram.axis().bin(Bin).upper() << "\"} "
          << CumulativeCount << '\n';
    }
    Out << Metric << "_sum{" << Label << "=\"" << Name << "\"} " << Meter.SumMs
        << '\n';
    Out << Metric << "_count{" << Label << "=\"" << Name << "\"} "
        << Meter.Count << '\n';
  }
}

} // namespace

void countOutcome(meters &Meters,
                  const proxy::effects::record_outcome &Outcome) {
  const std::string Class(Outcome.Class);
  const std::string Code(enumName(Outcome.Code));
  Meters.Outcomes[{Class, Code}] += 1;
  Meters.Accounts[{Outcome.Account, Code}] += 1;
  const double Milliseconds = toMilliseconds(Outcome.Latency);
  addLatency(Meters.Latencies, Class, Milliseconds);
  addLatency(Meters.AccountLatencies, Outcome.Account, Milliseconds);
}

void countProofAge(meters &Meters, duration Age) {
  addLatency(Meters.ProofAges, "settings", toMilliseconds(Age));
}

std::string formatMeters(const meters &Meters) {
  std::ostringstream Out;
  writeCounts(Out, "bronzespar_statements_total", "class", Meters.Outcomes);
  writeCounts(Out, "bronzespar_account_statements_total", "account",
              Meters.Accounts);
  for (const auto &[Name, Count] : Meters.Events)
    Out << "bronzespar_events_total{event=\"" << Name << "\"} " << Count
        << '\n';
  for (const auto &[Kind, Count] : Meters.StoreCalls)
    Out << "bronzespar_store_calls_total{call=\"" << Kind << "\"} " << Count
        << '\n';
  writeLatencies(Out, "bronzespar_latency_ms", "class", Meters.Latencies);
  writeLatencies(Out, "bronzespar_latency_ms", "account",
                 Meters.AccountLatencies);
  writeLatencies(Out, "bronzespar_proof_age_ms", "of", Meters.ProofAges);
  return Out.str();
}

} // namespace bronzespar::serve
