/// Evacuation of data centres: while it is in force, no statement is sent to
/// the targets there.
#include "parts.hpp"

#include <utility>

namespace bronzespar::proxy {

void evacuationsChanged(step_context &Step,
                        events::evacuations_changed &&Event) {
  Step.State.EvacuatedDataCentres = std::move(Event.DataCentres);
}

} // namespace bronzespar::proxy
