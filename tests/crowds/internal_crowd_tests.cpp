/// Crowds at the ports that other hosts and the monitoring use.
#include "checks.hpp"
#include "crowd.hpp"

using namespace bronzespar::crowds;

namespace {

constexpr std::size_t Whole = std::size_t{256} << 20;

/// A frame's length field, big endian.
std::string lengthField(std::uint32_t Size) {
  std::string Out;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out.push_back(
        static_cast<char>((Size >> static_cast<unsigned>(Shift)) & 0xFFU));
  return Out;
}

} // namespace

TEST_CASE("Frames whose length field is not true", "[false-lengths]") {
  running_host Host;
  crowd Crowd = gather(100, Host.ports().Peers);
  pushText(Crowd, lengthField(8U << 20) + "nothing", Whole);
  checkHolds(Host);
}

TEST_CASE("Large frames that don't end", "[half-frames]") {
  running_host Host;
  crowd Crowd = gather(100, Host.ports().Peers);
  pushText(Crowd, lengthField(1U << 20) + std::string((1U << 20) - 1, 'x'),
           Whole);
  checkHolds(Host);
}

TEST_CASE("Silent connections to the peers' port", "[silent-peers]") {
  running_host Host;
  crowd Crowd = gather(400, Host.ports().Peers);
  pushText(Crowd, "ab", Whole);
  checkHolds(Host);
}

TEST_CASE("Headers without an end at the metrics port", "[endless-headers]") {
  running_host Host;
  crowd Crowd = gather(100, Host.ports().Metrics);
  std::string Text = "GET /metrics HTTP/1.1\r\n";
  for (int Line = 0; Line < 20000; ++Line)
    Text +=
        "X-Line-" + std::to_string(Line) + ": " + std::string(40, 'x') + "\r\n";
  pushText(Crowd, Text, Whole);
  checkHolds(Host);
}

TEST_CASE("Half of a large body at the metrics port", "[half-bodies]") {
  running_host Host;
  crowd Crowd = gather(100, Host.ports().Metrics);
  pushText(Crowd,
           "POST /metrics HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n" +
               std::string(999999, 'x'),
           Whole);
  checkHolds(Host);
}

TEST_CASE("Silent connections to the metrics port", "[silent-metrics]") {
  running_host Host;
  crowd Crowd = gather(400, Host.ports().Metrics);
  pushText(Crowd, "GET /met", Whole);
  checkHolds(Host);
}
