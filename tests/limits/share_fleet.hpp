/// Simulation of a small fleet of rate limiters in virtual time. The simulated
/// links between hosts lose, delay and duplicate messages.
#pragma once

#include <bronzespar/rate_shares.hpp>

#include <algorithm>
#include <cstdint>
#include <queue>
#include <random>
#include <vector>

namespace bronzespar::share_test {

struct in_flight_message {
  instant ArrivesAt{};
  std::size_t From = 0;
  std::size_t To = 0;
  peer_message Message;

  bool operator>(const in_flight_message &Other) const {
    return ArrivesAt > Other.ArrivesAt;
  }
};

struct test_host {
  host_settings Settings;
  rate_share_state State;
  instant PausedUntil{};
  double Owed = 0; ///< Fraction of the next request.
};

/// A simulated fleet. AdmittedAt holds the times of all admissions, in order.
struct fleet {
  fleet_settings Settings;
  std::vector<test_host> Hosts;
  std::priority_queue<in_flight_message, std::vector<in_flight_message>,
                      std::greater<>>
      InFlight;
  std::mt19937_64 Random;
  instant Now{};
  std::vector<instant> AdmittedAt;
  std::size_t Refused = 0;
  std::uint64_t NextTicket = 1;
  data_centre_id IsolatedDataCentre;
  double LossProbability = 0;
  double DuplicateProbability = 0;
  duration MaxDelay = 2ms;
  duration MaxWait = 50ms;

  fleet(fleet_settings FleetSettings, std::uint64_t Seed)
      : Settings(std::move(FleetSettings)), Random(Seed) {
    for (const data_centre_settings &DataCentre : Settings.DataCentres) {
      for (std::uint32_t Slot = 0; Slot < DataCentre.Hosts; ++Slot) {
        test_host Host;
        Host.Settings.DataCentre = DataCentre.Id;
        Host.Settings.Slot = Slot;
        configureShares(Host.State, Settings, Host.Settings, Now);
        Hosts.push_back(std::move(Host));
      }
    }
  }

  void isolate(const data_centre_id &DataCentre) {
    IsolatedDataCentre = DataCentre;
  }

  void pause(std::size_t Host, duration Span) {
    Hosts[Host].PausedUntil = Now + Span;
  }

  /// Pauses a random host, or restarts one with an empty state.
  void pauseOrRestartRandomHost() {
    const std::size_t Host = Random() % Hosts.size();
    if (Random() % 2 == 0)
      return pause(Host, duration(Random() % 1'500'000));
    Hosts[Host].State = {};
    configureShares(Hosts[Host].State, Settings, Hosts[Host].Settings, Now);
  }

  template <class RateOf> void run(duration Span, RateOf &&RequestRate) {
    constexpr duration Step = 1ms;
    const instant End = Now + Span;
    while (Now < End) {
      Now += Step;
      deliver();
      for (std::size_t Host = 0; Host < Hosts.size(); ++Host)
        stepHost(Host, RequestRate(Host) * toSeconds(Step));
    }
  }

  /// Maximum number of admissions above burst + rate * length of any interval.
  /// The limit is kept if it is at most 0.
  [[nodiscard]] double maxExcessOverRate(double Rate, double Burst) const {
    // The worst interval that ends at an admission starts at the one for which
    // Index - Rate * time was lowest.
    double LowestStart = 0;
    double MaxExcess = -Burst;
    bool IsFirst = true;
    for (std::size_t Index = 0; Index < AdmittedAt.size(); ++Index) {
      const double TokensAdded =
          Rate * toSeconds(AdmittedAt[Index] - instant{});
      const double Before = static_cast<double>(Index) - TokensAdded;
      LowestStart = IsFirst ? Before : std::min(LowestStart, Before);
      IsFirst = false;
      MaxExcess = std::max(MaxExcess, Before + 1 - LowestStart - Burst);
    }
    constexpr double RoundingTolerance = 1e-6;
    return MaxExcess - RoundingTolerance;
  }

private:
  void deliver() {
    while (!InFlight.empty() && InFlight.top().ArrivesAt <= Now) {
      in_flight_message Delivery = InFlight.top();
      InFlight.pop();
      test_host &Host = Hosts[Delivery.To];
      if (Host.PausedUntil > Now) { // The message waits in the socket.
        Delivery.ArrivesAt = Host.PausedUntil;
        InFlight.push(std::move(Delivery));
        continue;
      }
      receive(Delivery);
    }
  }

  void receive(const in_flight_message &Delivery) {
    test_host &Host = Hosts[Delivery.To];
    if (const auto *Request = std::get_if<share_demand>(&Delivery.Message))
      return send(Delivery.To, Delivery.From,
                  answerTokenRequest(Host.State, *Request, Now));
    applyGrant(Host.State, Hosts[Delivery.From].State.Self,
               std::get<share_grant>(Delivery.Message), Now);
  }

  void stepHost(std::size_t Index, double MeanArrivals) {
    test_host &Host = Hosts[Index];
    if (Host.PausedUntil > Now)
      return;
    std::poisson_distribution<int> Count(MeanArrivals);
    for (int Left = MeanArrivals > 0 ? Count(Random) : 0; Left > 0; --Left)
      recordAdmission(admitRequest(Host.State, account_id("kava"), NextTicket++,
                                   MaxWait, Now));
    for (const resolved_admission &Resolved :
         takeResolvedAdmissions(Host.State, Now))
      recordAdmission(Resolved.Result);
    for (const outgoing_token_request &Outgoing :
         planTokenRequests(Host.State, Now))
      send(Index, hostInSlot(Outgoing.RefillSlot), Outgoing.Request);
  }

  void recordAdmission(const admission &Result) {
    if (Result.Kind == admission_kind::Admitted)
      AdmittedAt.push_back(Now);
    if (Result.Kind == admission_kind::Refused)
      ++Refused;
  }

  std::size_t hostInSlot(const host_slot &Slot) const {
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      if (Hosts[Index].State.Self == Slot)
        return Index;
    }
    return 0;
  }

  bool isPartitioned(std::size_t From, std::size_t To) const {
    const auto &Left = Hosts[From].Settings.DataCentre;
    const auto &Right = Hosts[To].Settings.DataCentre;
    return Left != Right &&
           (Left == IsolatedDataCentre || Right == IsolatedDataCentre);
  }

  double randomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  void send(std::size_t From, std::size_t To, const peer_message &Message) {
    if (isPartitioned(From, To) || randomFraction() < LossProbability)
      return;
    const auto MaxMicroseconds = static_cast<std::uint64_t>(MaxDelay.count());
    const duration Delay(1 + Random() % MaxMicroseconds);
    InFlight.push({Now + Delay, From, To, Message});
    if (randomFraction() < DuplicateProbability)
      InFlight.push({Now + Delay + Delay, From, To, Message});
  }
};

} // namespace bronzespar::share_test
