/// Silence of connections between hosts.
#include <bronzespar/proxy/link_watch.hpp>

namespace bronzespar::proxy {

namespace {

/// A host answers requests for tokens and votes at once, and reports on
/// statements every 70 ms; its event loop may be late by a few ticks.
constexpr duration SilenceTimeout = std::chrono::milliseconds(120);
/// A host that does not answer a check in time is slow or lost.
constexpr duration CheckTimeout = std::chrono::milliseconds(1000);

/// Ends the wait for an answer once something has arrived.
void look(link_watch &Watch, std::uint64_t ReceivedBytes) {
  if (ReceivedBytes == Watch.KnownBytes)
    return;
  Watch.KnownBytes = ReceivedBytes;
  Watch.WaitingSince.reset();
}

} // namespace

void noteRequest(link_watch &Watch, std::uint64_t ReceivedBytes, instant Now) {
  look(Watch, ReceivedBytes);
  if (!Watch.WaitingSince)
    Watch.WaitingSince = Now;
}

bool mayCheck(const link_watch &Watch, instant Now) noexcept {
  return Watch.CheckNumber == 0 && Now >= Watch.CheckedAt + CheckTimeout;
}

bool needsCheck(link_watch &Watch, std::uint64_t ReceivedBytes, instant Now) {
  look(Watch, ReceivedBytes);
  return Watch.WaitingSince && Now >= *Watch.WaitingSince + SilenceTimeout &&
         mayCheck(Watch, Now);
}

void beginCheck(link_watch &Watch, std::uint64_t ReceivedBytes,
                std::uint64_t Number, instant Now) {
  Watch.CheckNumber = Number;
  Watch.CheckedAt = Now;
  Watch.BytesAtCheck = ReceivedBytes;
}

bool isShownLost(link_watch &Watch, std::uint64_t ReceivedBytes,
                 std::uint64_t AnsweredNumber) {
  if (Watch.CheckNumber == 0 || Watch.CheckNumber != AnsweredNumber)
    return false;
  Watch.CheckNumber = 0;
  return ReceivedBytes == Watch.BytesAtCheck;
}

bool isCheckOverdue(const link_watch &Watch, instant Now) noexcept {
  return Watch.CheckNumber != 0 && Now >= Watch.CheckedAt + CheckTimeout;
}

} // namespace bronzespar::proxy
