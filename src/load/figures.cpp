/// Figures of a run.
#include <load/figures.hpp>

#include <algorithm>
#include <cmath>

namespace bronzespar::load {

namespace {

using request_list = std::vector<const request_record *>;

request_list ofAccount(const history &History, std::uint32_t Account) {
  request_list Requests;
  for (const request_record &Request : History) {
    if (Request.Account == Account)
      Requests.push_back(&Request);
  }
  std::stable_sort(Requests.begin(), Requests.end(),
                   [](const request_record *Left, const request_record *Right) {
                     return Left->SentAt < Right->SentAt;
                   });
  return Requests;
}

/// Exact token bucket over the caller's own sends.
struct send_bucket {
  rate_limit Limit;
  double Tokens = 0;
  instant FilledAt{};

  void fill(instant Now) {
    Tokens = std::min(Limit.Burst,
                      Tokens + toSeconds(Now - FilledAt) * Limit.RatePerSecond);
    FilledAt = Now;
  }
};

send_bucket fullBucket(const rate_limit &Limit, const request_list &Requests) {
  return {Limit, Limit.Burst, Requests.front()->SentAt};
}

std::uint64_t countEntitled(const request_list &Requests,
                            const rate_limit &Limit) {
  send_bucket Bucket = fullBucket(Limit, Requests);
  std::uint64_t Entitled = 0;
  for (const request_record *Request : Requests) {
    Bucket.fill(Request->SentAt);
    if (Bucket.Tokens < 1)
      continue;
    Bucket.Tokens -= 1;
    ++Entitled;
  }
  return Entitled;
}

/// A refusal is wrongful if a whole token was left by the requests before it:
/// those served and those wrongly refused, which should have been served.
std::uint64_t countWronglyRefused(const request_list &Requests,
                                  const rate_limit &Limit) {
  send_bucket Bucket = fullBucket(Limit, Requests);
  std::uint64_t Wrongly = 0;
  for (const request_record *Request : Requests) {
    Bucket.fill(Request->SentAt);
    const bool Refused = Request->End == request_end::Refused;
    if (Refused && Bucket.Tokens < 1)
      continue;
    Bucket.Tokens -= 1;
    Wrongly += Refused ? 1 : 0;
  }
  return Wrongly;
}

void countEnds(account_figures &Figures, const request_list &Requests) {
  for (const request_record *Request : Requests) {
    ++Figures.Requests;
    if (Request->End == request_end::Served) {
      ++Figures.Served;
      if (Request->DoneAt - Request->SentAt <= Request->Deadline)
        ++Figures.ServedInTime;
    } else if (Request->End == request_end::Unknown) {
      ++Figures.Unknown;
    } else {
      ++Figures.Refused;
    }
  }
}

account_figures computeAccount(const request_list &Requests,
                               const rate_limit &Limit) {
  account_figures Figures;
  if (Requests.empty())
    return Figures;
  countEnds(Figures, Requests);
  Figures.Entitled = countEntitled(Requests, Limit);
  Figures.WronglyRefused = countWronglyRefused(Requests, Limit);
  return Figures;
}

std::optional<double> replicaShare(const history &History) {
  std::uint64_t Reads = 0;
  std::uint64_t ByReplica = 0;
  for (const request_record &Request : History) {
    if (Request.Kind != statement_kind::Read || Request.InTransaction ||
        Request.End != request_end::Served)
      continue;
    ++Reads;
    if (Request.Role == "replica" || Request.Role == "Replica")
      ++ByReplica;
  }
  if (Reads == 0)
    return std::nullopt;
  return static_cast<double>(ByReplica) / static_cast<double>(Reads);
}

/// Longest time without an acknowledged write that overlaps the fault.
double longestGapMs(const history &History, const std::string &Group,
                    const fault_span &Fault) {
  std::vector<instant> Acknowledged;
  instant End = Fault.Until;
  for (const request_record &Request : History) {
    End = std::max(End, Request.DoneAt);
    if (Request.Group == Group && !Request.Writes.empty() &&
        Request.End == request_end::Served)
      Acknowledged.push_back(Request.DoneAt);
  }
  Acknowledged.push_back(End);
  std::sort(Acknowledged.begin(), Acknowledged.end());
  duration Longest{};
  for (std::size_t Next = 1; Next < Acknowledged.size(); ++Next) {
    const instant From = Acknowledged[Next - 1];
    const instant To = Acknowledged[Next];
    if (To > Fault.From && From < Fault.Until)
      Longest = std::max(Longest, To - From);
  }
  return toMilliseconds(Longest);
}

std::optional<double> failoverGap(const history &History,
                                  const std::optional<fault_span> &Fault) {
  std::optional<double> Longest;
  if (!Fault)
    return Longest;
  for (const std::string &Group : Fault->Groups) {
    Longest =
        std::max(Longest.value_or(0), longestGapMs(History, Group, *Fault));
  }
  return Longest;
}

void computeLatencies(run_figures &Figures, const history &History) {
  std::vector<double> Latencies;
  for (const request_record &Request : History) {
    if (Request.End == request_end::Served)
      Latencies.push_back(toMilliseconds(Request.DoneAt - Request.SentAt));
  }
  std::sort(Latencies.begin(), Latencies.end());
  Figures.P50Ms = percentile(Latencies, 0.50);
  Figures.P99Ms = percentile(Latencies, 0.99);
}

} // namespace

double account_figures::share() const noexcept {
  if (Entitled == 0)
    return 1;
  return std::min(1.0, static_cast<double>(ServedInTime) /
                           static_cast<double>(Entitled));
}

double percentile(const std::vector<double> &Values, double Part) {
  if (Values.empty())
    return 0;
  const double Place = std::ceil(Part * static_cast<double>(Values.size()));
  const auto Index = static_cast<std::size_t>(std::max(Place, 1.0)) - 1;
  return Values[std::min(Index, Values.size() - 1)];
}

run_figures computeFigures(const history &History,
                           const std::vector<rate_limit> &Limits,
                           const std::optional<fault_span> &Fault) {
  run_figures Figures;
  std::uint64_t WronglyRefused = 0;
  for (std::uint32_t Account = 0; Account < Limits.size(); ++Account) {
    Figures.Accounts.push_back(
        computeAccount(ofAccount(History, Account), Limits[Account]));
    const account_figures &Latest = Figures.Accounts.back();
    WronglyRefused += Latest.WronglyRefused;
    Figures.WorstAccountShare =
        std::min(Figures.WorstAccountShare, Latest.share());
  }
  account_figures All;
  request_list Requests;
  for (const request_record &Request : History)
    Requests.push_back(&Request);
  countEnds(All, Requests);
  Figures.Requests = All.Requests;
  Figures.Served = All.Served;
  Figures.Refused = All.Refused;
  Figures.Unknown = All.Unknown;
  if (All.Requests > 0) {
    Figures.WrongfulRefusals =
        static_cast<double>(WronglyRefused) / static_cast<double>(All.Requests);
  }
  Figures.ReplicaReadShare = replicaShare(History);
  Figures.FailoverGapMs = failoverGap(History, Fault);
  computeLatencies(Figures, History);
  return Figures;
}

} // namespace bronzespar::load
