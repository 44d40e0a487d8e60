/// What a host does when the store came back from an older copy: changes that
/// it confirmed may be gone, and all leases are.
#include "parts.hpp"

namespace bronzespar::proxy {

void storeRestored(step_context &Step, const events::store_restored &Event) {
  if (Event.Era <= Step.State.StoreEra)
    return;
  logLine(Step, "store.era",
          {{"old", std::to_string(Step.State.StoreEra)},
           {"new", std::to_string(Event.Era)}});
  Step.State.StoreEra = Event.Era;
}

} // namespace bronzespar::proxy
