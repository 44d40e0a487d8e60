/// Check of rate and burst over all spans of time of a history.
#include <load/checker.hpp>

#include <algorithm>
#include <limits>

namespace bronzespar::load {

namespace {

/// Rounding of sums over a whole run, in requests.
constexpr double RoundingSlack = 1e-6;

/// \brief Maximum over a sequence under addition to suffixes, as a segment
/// tree.
class suffix_maximum {
public:
  explicit suffix_maximum(std::size_t Count) {
    while (Leaves < Count)
      Leaves *= 2;
    Best.assign(2 * Leaves, -std::numeric_limits<double>::infinity());
    Added.assign(2 * Leaves, 0);
  }

  /// Gives a place its first value, beside what was added to it before.
  void activate(std::size_t Place, double Value) {
    std::size_t Node = Place + Leaves;
    Best[Node] = Value + Added[Node];
    update(Node);
  }

  /// Adds to all places from First on.
  void addFrom(std::size_t First, double Value) {
    std::size_t Left = First + Leaves;
    std::size_t Right = 2 * Leaves;
    for (; Left < Right; Left /= 2, Right /= 2) {
      if (Left % 2 == 1)
        addTo(Left++, Value);
      if (Right % 2 == 1)
        addTo(--Right, Value);
    }
    update(First + Leaves);
    update(2 * Leaves - 1);
  }

  [[nodiscard]] double best() const { return Best[1]; }

private:
  void addTo(std::size_t Node, double Value) {
    Best[Node] += Value;
    Added[Node] += Value;
  }

  void update(std::size_t Node) {
    for (Node /= 2; Node >= 1; Node /= 2)
      Best[Node] = std::max(Best[2 * Node], Best[2 * Node + 1]) + Added[Node];
  }

  std::size_t Leaves = 1;
  std::vector<double> Best;  ///< Of a node's places, its own addition included.
  std::vector<double> Added; ///< Pending for all places of a node.
};

struct served_span {
  double From = 0; ///< Seconds.
  double To = 0;
  std::size_t Rank = 0; ///< In order of To.
};

void rankByEnd(std::vector<served_span> &Spans) {
  std::sort(Spans.begin(), Spans.end(),
            [](const served_span &Left, const served_span &Right) {
              return Left.To < Right.To;
            });
  for (std::size_t Rank = 0; Rank < Spans.size(); ++Rank)
    Spans[Rank].Rank = Rank;
}

/// Largest excess of any span of time over its allowance, in requests.
double largestExcess(std::vector<served_span> Spans, const rate_limit &Limit) {
  rankByEnd(Spans);
  std::vector<double> Ends;
  Ends.reserve(Spans.size());
  for (const served_span &Span : Spans)
    Ends.push_back(Span.To);
  std::sort(Spans.begin(), Spans.end(),
            [](const served_span &Left, const served_span &Right) {
              return Left.From > Right.From;
            });
  suffix_maximum Maximum(Spans.size());
  double Worst = -std::numeric_limits<double>::infinity();
  for (const served_span &Span : Spans) {
    Maximum.activate(Span.Rank, -Limit.RatePerSecond * Ends[Span.Rank]);
    Maximum.addFrom(Span.Rank, 1);
    Worst = std::max(Worst, Maximum.best() + Limit.RatePerSecond * Span.From);
  }
  return Worst - Limit.Burst;
}

} // namespace

violation_list checkRates(const history &History,
                          const std::vector<rate_limit> &Limits) {
  std::vector<std::vector<served_span>> Served(Limits.size());
  for (const request_record &Request : History) {
    if (Request.End == request_end::Served && Request.Account < Limits.size()) {
      Served[Request.Account].push_back(
          {toSeconds(Request.SentAt.time_since_epoch()),
           toSeconds(Request.DoneAt.time_since_epoch()), 0});
    }
  }
  violation_list Found;
  for (std::size_t Account = 0; Account < Limits.size(); ++Account) {
    if (Served[Account].empty())
      continue;
    const double Excess = largestExcess(Served[Account], Limits[Account]);
    if (Excess > RoundingSlack) {
      Found.push_back(
          {promise::RateAndBurst, "account " + std::to_string(Account) +
                                      " was served " + std::to_string(Excess) +
                                      " requests above its rate and burst"});
    }
  }
  return Found;
}

} // namespace bronzespar::load
