/// Implements histograms and counters of finished requests with
/// Boost.Histogram.
#include <bronzespar/observe/metrics.hpp>

#include <boost/histogram.hpp>

#include <array>
#include <cstdio>
#include <map>
#include <tuple>

namespace bronzespar {

namespace {

namespace bh = boost::histogram;

/// Upper bounds of the latency buckets, in seconds.
constexpr std::array<double, 19> BucketBounds{
    0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015,
    0.02,   0.03,    0.05,   0.1,   0.25,  0.5,   1,     2.5,    5};

constexpr const char *OverflowAccount = "other";
constexpr const char *TotalStage = "total";

using histogram = decltype(bh::make_histogram_with(
    bh::dense_storage<std::uint64_t>(), bh::axis::variable<double>()));

struct latency_series {
  /// Values below the first bound and from the last bound upwards fall into the
  /// axis' underflow and overflow bins.
  histogram Buckets =
      bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                              bh::axis::variable<double>(BucketBounds));
  double SumSeconds = 0;
};

struct series_key {
  std::string Account;
  std::string Class;
  std::string Stage;

  auto operator<=>(const series_key &) const = default;
};

std::string escapeLabel(const std::string &Text) {
  std::string Escaped;
  for (const char Character : Text) {
    if (Character == '\n') {
      Escaped += "\\n";
      continue;
    }
    if (Character == '\\' || Character == '"')
      Escaped += '\\';
    Escaped += Character;
  }
  return Escaped;
}

std::string label(const char *Name, const std::string &Value) {
  return std::string(Name) + "=\"" + escapeLabel(Value) + '"';
}

std::string number(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.9g", Value);
  return Text;
}

std::string lowerCase(std::string_view Name) {
  std::string Text(Name);
  for (char &Character : Text)
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  return Text;
}

constexpr const char *LatencyName = "bronzespar_request_stage_seconds";

void renderBucket(std::string &Text, const std::string &Labels,
                  const std::string &Bound, std::uint64_t Count) {
  Text += std::string(LatencyName) + "_bucket{" + Labels + ",le=\"" + Bound +
          "\"} " + std::to_string(Count) + '\n';
}

void renderSeries(std::string &Text, const series_key &Key,
                  const latency_series &Series) {
  const std::string Labels = label("account", Key.Account) + ',' +
                             label("class", Key.Class) + ',' +
                             label("stage", Key.Stage);
  std::uint64_t Count = 0;
  int Bin = -1; // underflow bin, below the first bound
  for (const double Bound : BucketBounds) {
    Count += Series.Buckets.at(Bin);
    renderBucket(Text, Labels, number(Bound), Count);
    ++Bin;
  }
  Count += Series.Buckets.at(Bin);
  renderBucket(Text, Labels, "+Inf", Count);
  Text += std::string(LatencyName) + "_sum{" + Labels + "} " +
          number(Series.SumSeconds) + '\n';
  Text += std::string(LatencyName) + "_count{" + Labels + "} " +
          std::to_string(Count) + '\n';
}

} // namespace

struct metrics_registry::impl {
  std::size_t MaxSeries = 0;
  std::map<series_key, latency_series> Latencies;
  std::map<std::pair<run_outcome, refusal_cause>, std::uint64_t> Finished;
  std::uint64_t Attempts = 0;

  latency_series &series(series_key Key) {
    const auto Known = Latencies.find(Key);
    if (Known != Latencies.end())
      return Known->second;
    if (Latencies.size() >= MaxSeries) {
      Key.Account = OverflowAccount;
      Key.Class = OverflowAccount;
      Key.Stage = OverflowAccount;
    }
    return Latencies[std::move(Key)];
  }

  void add(const request_trace &Trace, std::string Stage, duration Span) {
    latency_series &Series =
        series({Trace.Account.Value, lowerCase(enumName(Trace.Class)),
                std::move(Stage)});
    Series.Buckets(toSeconds(Span));
    Series.SumSeconds += toSeconds(Span);
  }
};

metrics_registry::metrics_registry(std::size_t MaxSeries)
    : Impl(std::make_unique<impl>()) {
  Impl->MaxSeries = MaxSeries;
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::record(const request_trace &Trace) {
  ++Impl->Finished[{Trace.Outcome, Trace.Cause}];
  Impl->Attempts += Trace.Attempts;
  for (const trace_span &Span : Trace.Spans)
    Impl->add(Trace, lowerCase(enumName(Span.Stage)), Span.Duration);
  Impl->add(Trace, TotalStage, Trace.Total);
}

std::string metrics_registry::render() const {
  std::string Text;
  Text += "# HELP bronzespar_requests_total Finished requests.\n"
          "# TYPE bronzespar_requests_total counter\n";
  for (const auto &[Key, Count] : Impl->Finished) {
    Text += "bronzespar_requests_total{" +
            label("outcome", std::string(enumName(Key.first))) + ',' +
            label("cause", std::string(enumName(Key.second))) + "} " +
            std::to_string(Count) + '\n';
  }
  Text += "# HELP bronzespar_attempts_total Statements sent to targets.\n"
          "# TYPE bronzespar_attempts_total counter\n"
          "bronzespar_attempts_total " +
          std::to_string(Impl->Attempts) + '\n';
  Text += std::string("# HELP ") + LatencyName +
          " Time of requests in each stage.\n# TYPE " + LatencyName +
          " histogram\n";
  for (const auto &[Key, Series] : Impl->Latencies)
    renderSeries(Text, Key, Series);
  return Text;
}

} // namespace bronzespar
