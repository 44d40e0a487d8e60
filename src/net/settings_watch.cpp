/// Watch of the settings key in the platform's store.
#include "settings_watch.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace bronzespar {

namespace {

using namespace std::chrono_literals;

constexpr duration ShortestPause = 100ms;
constexpr duration LongestPause = 2s;
constexpr duration DialTimeout = 500ms;
/// How long a silent watch may hide a change.
constexpr duration CheckInterval = 2s;

/// The key's version; nothing when the answer cannot be used.
std::optional<std::optional<versioned_value>>
readRange(const platform_reply &Reply) {
  using value = std::optional<versioned_value>;
  if (!Reply.Answered)
    return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<value>> {
        BOOST_LEAF_AUTO(Value, decodeRange(Reply.Body));
        return std::optional<value>(std::move(Value));
      },
      [] { return std::optional<value>{}; });
}

std::optional<std::vector<versioned_value>>
readChanges(const std::string &Object) {
  using values = std::vector<versioned_value>;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<values>> {
        BOOST_LEAF_AUTO(Values, decodeWatchEvent(Object));
        return std::optional<values>(std::move(Values));
      },
      [] { return std::optional<values>{}; });
}

} // namespace

settings_watch::settings_watch(boost::asio::io_context &EventLoop,
                               const host_settings &Host, std::uint64_t Seed,
                               const event_sink &Sink)
    : Loop(EventLoop), Self(Host), Report(Sink),
      Pauses(ShortestPause, LongestPause, Seed), Retry(EventLoop),
      CheckTimer(EventLoop) {
  read();
}

void settings_watch::read() {
  Stream.reset();
  CheckTimer.stop();
  Call = std::make_unique<platform_exchange>(
      Loop, Self.Platform, Preferred,
      http_request{"/v3/kv/range", encodeRange(Self.SettingsKey, false)},
      [this](const platform_reply &Reply) { takeRead(Reply); });
}

void settings_watch::takeRead(const platform_reply &Reply) {
  auto Value = readRange(Reply);
  if (!Value) {
    retry();
    return;
  }
  Pauses.succeed();
  const std::int64_t Revision = *Value ? (*Value)->ModRevision : 0;
  if (*Value)
    deliver(std::move(**Value));
  watch(Revision + 1);
}

void settings_watch::watch(std::int64_t StartRevision) {
  Stream = std::make_unique<http_stream>(
      Loop, Self.Platform[Preferred],
      http_request{"/v3/watch", encodeWatch(Self.SettingsKey, StartRevision)},
      DialTimeout,
      http_stream::handlers{
          [this](const std::string &Object) { takeChange(Object); },
          [this] { retry(); }});
  checkLater();
}

void settings_watch::takeChange(const std::string &Object) {
  auto Values = readChanges(Object);
  if (!Values) {
    retry();
    return;
  }
  for (versioned_value &Value : *Values)
    deliver(std::move(Value));
}

void settings_watch::checkLater() {
  CheckTimer.start(CheckInterval, [this] { check(); });
}

void settings_watch::check() {
  Call = std::make_unique<platform_exchange>(
      Loop, Self.Platform, Preferred,
      http_request{"/v3/kv/range", encodeRange(Self.SettingsKey, true)},
      [this](const platform_reply &Reply) { takeCheck(Reply); });
}

void settings_watch::takeCheck(const platform_reply &Reply) {
  const auto Value = readRange(Reply);
  if (!Value)
    retry();
  else if (*Value && (*Value)->Version > Delivered)
    read();
  else
    checkLater();
}

/// Versions only grow; an old one may come again after a new read.
void settings_watch::deliver(versioned_value Value) {
  if (Value.Version <= Delivered || Value.Value.empty())
    return;
  Delivered = Value.Version;
  Report(events::settings_read{static_cast<settings_revision>(Value.Version),
                               std::move(Value.Value)});
}

void settings_watch::retry() {
  Stream.reset();
  CheckTimer.stop();
  Retry.start(Pauses.next(), [this] { read(); });
}

} // namespace bronzespar
