/// Memory of clients.
#include <bronzespar/proxy/memory_budget.hpp>

namespace bronzespar::proxy {

namespace {

constexpr std::size_t ClientsPart = 4; ///< Divides the machine's memory.

} // namespace

memory_budget makeMemoryBudget(std::size_t MachineMb) {
  memory_budget Budget;
  Budget.Limit = (MachineMb << 20U) / ClientsPart;
  return Budget;
}

void changeHeld(memory_budget &Budget, client_holder Holder,
                const held_memory &Before, const held_memory &Now) {
  Budget.Held += Now.Bytes;
  Budget.Held -= Before.Bytes;
  if (Before.Bytes >= memory_budget::LargeBytes)
    Budget.Large.erase({Before.IsOutOfStep, Before.Bytes, Holder});
  if (Now.Bytes >= memory_budget::LargeBytes)
    Budget.Large.insert({Now.IsOutOfStep, Now.Bytes, Holder});
}

std::optional<client_holder> chooseClosed(const memory_budget &Budget) {
  const bool IsKept = Budget.Limit == 0 || Budget.Held <= Budget.Limit;
  if (IsKept || Budget.Large.empty())
    return std::nullopt;
  return Budget.Large.rbegin()->Holder;
}

} // namespace bronzespar::proxy
