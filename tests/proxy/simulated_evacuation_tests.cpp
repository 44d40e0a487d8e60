/// Data centres of a simulated fleet are evacuated and taken back under random
/// disturbances of its hosts, its store and its targets.
#include "simulated_runs.hpp"

#include <proxy/state.hpp>

#include <memory>

using namespace session_test;

namespace {

/// A host's watch of the operators' keys was proven within this time.
constexpr duration MostProofAge = 2500ms;
/// From the confirmation to the end of all use, by hosts that know of it.
constexpr duration EndOfUse = 4s;

/// What the operators of a fleet ask for.
struct evacuation_plan {
  std::string DataCentre; ///< The evacuated one, or empty.
  instant ConfirmedAt{};
  std::size_t Begun = 0;
};

/// Notes what a host that knows of the evacuation sends after its end of use.
void checkSent(simulated_fleet &Fleet, const evacuation_plan &Plan,
               const std::string &Name, const effects::send_target &Sent) {
  const host &State = *Fleet.Hosts.at(Name).Host;
  const target_connection *Connection =
      findIn(State.Connections, Sent.Connection);
  if (Connection == nullptr || Plan.DataCentre.empty() ||
      Fleet.Now <= Plan.ConfirmedAt + EndOfUse ||
      Fleet.DataCentres.at(Connection->Target) != Plan.DataCentre ||
      !State.Evacuations.contains(Plan.DataCentre))
    return;
  Fleet.report(Name + " sends to " + Connection->Target + " in evacuated " +
               Plan.DataCentre);
}

void placeTargets(simulated_reads &Reads,
                  const std::shared_ptr<evacuation_plan> &Plan) {
  simulated_fleet &Fleet = Reads.Fleet;
  *Plan = {};
  Fleet.DataCentres = {{"a", "suva"}, {"b", "nadi"}, {"c", "lautoka"}};
  Fleet.announceTargets();
  Fleet.OnEffect = [&Fleet, Plan, Next = Fleet.OnEffect](
                       const std::string &Name, const effect &Effect) {
    if (const auto *Sent = std::get_if<effects::send_target>(&Effect))
      checkSent(Fleet, *Plan, Name, *Sent);
    Next(Name, Effect);
  };
}

/// Tells the hosts whose watches deliver something.
void tellHosts(simulated_fleet &Fleet, const evacuation_plan &Plan) {
  events::evacuations_changed Event;
  if (!Plan.DataCentre.empty())
    Event.DataCentres = {Plan.DataCentre};
  for (const auto &[Name, Simulated] : Fleet.Hosts) {
    if (Fleet.Now <
        std::max(Simulated.SuspendedUntil,
                 std::max(Simulated.WatchSilentUntil, Fleet.StoreDownUntil)))
      continue;
    Event.MaxAge =
        Fleet.Now - Plan.ConfirmedAt + Fleet.drawSpan(0ms, MostProofAge);
    Fleet.send(Name, Event);
  }
}

/// Evacuates the data centre of the primary for about two thirds of the time.
void disturb(simulated_reads &Reads, evacuation_plan &Plan, int Second) {
  simulated_fleet &Fleet = Reads.Fleet;
  if (Second % 12 == 1) {
    Plan.DataCentre = Fleet.DataCentres.at(Fleet.Leader);
    Plan.ConfirmedAt = Fleet.Now;
    Plan.Begun += 1;
  } else if (Second % 12 == 9) {
    Plan.DataCentre.clear();
    Plan.ConfirmedAt = Fleet.Now;
  }
  tellHosts(Fleet, Plan);
}

} // namespace

TEST_CASE("No host that knows of an evacuation sends to its targets after the "
          "end of use, on random schedules") {
  for (const bool Owned : {false, true}) {
    const auto Evacuation = std::make_shared<evacuation_plan>();
    const auto Second = std::make_shared<int>(0);
    std::size_t Begun = 0;
    run_plan Plan;
    Plan.FirstSeed = 1;
    Plan.Seeds = 6;
    Plan.Owned = Owned;
    Plan.Prepare = [&](simulated_reads &Reads) {
      *Second = 0;
      placeTargets(Reads, Evacuation);
    };
    Plan.Disturb = [&](simulated_reads &Reads) {
      disturb(Reads, *Evacuation, (*Second)++);
      Begun += Evacuation->Begun;
    };
    const run_totals Totals = runFleets(Plan);
    CHECK(Begun > 0);
    CHECK(Totals.Promotions > 0);
    CHECK(Totals.Commits > 0);
  }
}
