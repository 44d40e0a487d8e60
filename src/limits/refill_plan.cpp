/// Choosing an account's refill slots and dividing its rate and burst between
/// them.
#include <bronzespar/rate_shares.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace bronzespar {

namespace {

/// The tokens added during the validity are taken off the burst, so it is no
/// longer than a few round trips between data centres.
constexpr duration MaxTokenValidity = 50ms;
/// A refill slot with less burst seldom has a whole token to grant.
constexpr double MinBurstPerSlot = 2; // tokens
constexpr std::uint32_t MaxSlotsPerDataCentre = 2;
/// Maximum error of a host's clock rate. Refill slots refill that much slower.
constexpr double MaxClockDrift = 0.001;
/// Maximum part of the burst above one token that may be taken off for the
/// token validity.
constexpr double MaxValidityBurstFraction = 0.5;

duration tokenValidityFor(const account_settings &Account) {
  const double SpareTokens = (Account.Burst - 1) * MaxValidityBurstFraction;
  const double Seconds = SpareTokens / Account.RatePerSecond;
  const duration MaxByBurst(
      static_cast<duration::rep>(std::floor(std::min(Seconds, 1.0) * 1e6)));
  return std::min(MaxByBurst, MaxTokenValidity);
}

std::uint32_t slotsPerDataCentre(double Burst, std::size_t DataCentres) {
  const double MaxCount =
      Burst / (MinBurstPerSlot * static_cast<double>(DataCentres));
  const auto Count = static_cast<std::uint32_t>(
      std::min(MaxCount, static_cast<double>(MaxSlotsPerDataCentre)));
  return std::max<std::uint32_t>(Count, 1);
}

void addRefillSlots(std::vector<host_slot> &Slots, const account_id &Account,
                    const data_centre_settings &DataCentre,
                    std::uint32_t Count) {
  const std::string HashKey = Account.Value + '@' + DataCentre.Id.Value;
  const std::uint64_t Hash = XXH3_64bits(HashKey.data(), HashKey.size());
  const std::uint32_t First =
      static_cast<std::uint32_t>(Hash % DataCentre.Hosts);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Slots.push_back({DataCentre.Id, (First + Index) % DataCentre.Hosts});
}

} // namespace

refill_plan planRefillSlots(const account_settings &Account,
                            const fleet_settings &Fleet) {
  refill_plan Plan;
  Plan.TokenValidity = tokenValidityFor(Account);
  const double DividedBurst =
      Account.Burst - Account.RatePerSecond * toSeconds(Plan.TokenValidity);
  const std::size_t DataCentres =
      std::max<std::size_t>(Fleet.DataCentres.size(), 1);
  const std::uint32_t PerDataCentre =
      slotsPerDataCentre(DividedBurst, DataCentres);
  for (const data_centre_settings &DataCentre : Fleet.DataCentres)
    addRefillSlots(Plan.RefillSlots, Account.Id, DataCentre,
                   std::min(PerDataCentre, DataCentre.Hosts));
  const double SlotCount =
      static_cast<double>(std::max<std::size_t>(Plan.RefillSlots.size(), 1));
  Plan.RatePerSlot = Account.RatePerSecond * (1 - MaxClockDrift) / SlotCount;
  Plan.BurstPerSlot = DividedBurst / SlotCount;
  return Plan;
}

} // namespace bronzespar
