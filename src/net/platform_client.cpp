/// The platform: calls, settings watch and host list.
#include "platform_client.hpp"

#include "settings_watch.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <unordered_map>

namespace bronzespar {

namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr duration ListInterval = 1s;
constexpr duration LongestListPause = 4s;

platform_answer readAnswer(const platform_call &Call,
                           const platform_reply &Reply) {
  platform_answer Lost;
  Lost.Status =
      Reply.Sent ? platform_status::Unknown : platform_status::Unreachable;
  if (!Reply.Answered)
    return Lost;
  return boost::leaf::try_handle_all(
      [&] { return decodePlatformAnswer(Call, Reply.Body); },
      [&] { return Lost; });
}

std::optional<std::vector<listed_host>> readHosts(const platform_reply &Reply) {
  using hosts = std::vector<listed_host>;
  if (!Reply.Answered)
    return std::nullopt;
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<hosts>> {
        BOOST_LEAF_AUTO(Hosts, decodeHostList(Reply.Body));
        return std::optional<hosts>(std::move(Hosts));
      },
      [] { return std::optional<hosts>{}; });
}

} // namespace

struct platform_client::impl {
  impl(asio::io_context &EventLoop, const host_settings &Host,
       std::uint64_t Seed, event_sink Sink)
      : Loop(EventLoop), Self(Host), Report(std::move(Sink)),
        ListPauses(ListInterval, LongestListPause, Seed + 1),
        ListTimer(EventLoop), Settings(EventLoop, Self, Seed, Report) {
    listHosts();
  }

  asio::io_context &Loop;
  host_settings Self;
  event_sink Report;
  backoff ListPauses;
  one_shot ListTimer;
  std::size_t Preferred = 0; ///< Endpoint of the platform to use.
  settings_watch Settings;
  std::unique_ptr<platform_exchange> ListCall;
  std::unordered_map<platform_ref, std::unique_ptr<platform_exchange>> Calls;

  void listHosts() {
    ListCall = std::make_unique<platform_exchange>(
        Loop, Self.Platform, Preferred, http_request{"/v1/hosts", {}},
        [this](const platform_reply &Reply) { takeHosts(Reply); });
  }

  void takeHosts(const platform_reply &Reply) {
    auto Hosts = readHosts(Reply);
    duration Pause = ListInterval;
    if (Hosts) {
      ListPauses.succeed();
      Report(events::hosts_listed{std::move(*Hosts)});
    } else {
      Pause = ListPauses.next();
    }
    ListTimer.start(Pause, [this] { listHosts(); });
  }

  void call(const effects::call_platform &Effect) {
    platform_request Request = encodePlatformCall(Effect.Call);
    Calls[Effect.Ref] = std::make_unique<platform_exchange>(
        Loop, Self.Platform, Preferred,
        http_request{std::move(Request.Path), std::move(Request.Body)},
        [this, Effect](const platform_reply &Reply) {
          const auto Finished = Calls.extract(Effect.Ref);
          Report(events::platform_answered{Effect.Ref,
                                           readAnswer(Effect.Call, Reply)});
        });
  }
};

platform_client::platform_client(asio::io_context &Loop,
                                 const host_settings &Self, std::uint64_t Seed,
                                 event_sink Report)
    : Impl(std::make_unique<impl>(Loop, Self, Seed, std::move(Report))) {}

platform_client::~platform_client() = default;

void platform_client::carryOut(const effects::call_platform &Effect) {
  Impl->call(Effect);
}

} // namespace bronzespar
