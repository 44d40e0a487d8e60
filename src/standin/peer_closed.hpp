/// Whether the other end of a TCP connection has closed.
#pragma once

namespace bronzespar::standin {

/// \brief True when the peer has closed or reset, even if bytes are unread.
[[nodiscard]] bool peerClosed(int Socket) noexcept;

} // namespace bronzespar::standin
