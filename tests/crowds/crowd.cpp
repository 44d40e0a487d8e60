/// Sending without blocking.
#include "crowd.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace bronzespar::crowds {

namespace {

/// The host takes no more when no connection took anything for so many turns.
constexpr int IdleTurns = 100;
constexpr auto IdleTurnDelay = std::chrono::milliseconds(20);

/// \returns Whether anything was sent.
bool pushOnce(crowd_member &Member, std::string_view Text,
              std::size_t PieceBytes) {
  if (Member.Ended || Member.Sent == Text.size())
    return false;
  const std::size_t Size = std::min(PieceBytes, Text.size() - Member.Sent);
  const ssize_t Sent = ::send(Member.Socket.get(), Text.data() + Member.Sent,
                              Size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Sent < 0)
    Member.Ended = errno != EAGAIN && errno != EWOULDBLOCK;
  else
    Member.Sent += static_cast<std::size_t>(Sent);
  return Sent > 0;
}

} // namespace

crowd gather(std::size_t Count, std::uint16_t Port) {
  crowd Crowd;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    descriptor Socket = dial(Port);
    if (Socket.isOpen())
      Crowd.push_back({std::move(Socket)});
  }
  return Crowd;
}

void pushText(crowd &Crowd, std::string_view Text, std::size_t PieceBytes) {
  for (crowd_member &Member : Crowd)
    Member.Sent = 0;
  int Idle = 0;
  while (Idle < IdleTurns) {
    bool Progress = false;
    for (crowd_member &Member : Crowd)
      Progress = pushOnce(Member, Text, PieceBytes) || Progress;
    const bool Done =
        std::all_of(Crowd.begin(), Crowd.end(), [&](const crowd_member &Each) {
          return Each.Ended || Each.Sent == Text.size();
        });
    if (Done)
      return;
    Idle = Progress ? 0 : Idle + 1;
    if (!Progress)
      std::this_thread::sleep_for(IdleTurnDelay);
  }
}

} // namespace bronzespar::crowds
