/// One request to the platform. Each uses a connection of its own: calls are
/// few, and an old connection may have gone silent.
#include "platform_call.hpp"

namespace bronzespar {

namespace {

using namespace std::chrono_literals;

constexpr duration DialTimeout = 500ms;
constexpr duration AnswerTimeout = 2s;
constexpr unsigned StatusOk = 200;

} // namespace

platform_exchange::platform_exchange(
    boost::asio::io_context &EventLoop, const std::vector<endpoint> &Platform,
    std::size_t &LastGood, http_request Wanted,
    std::function<void(platform_reply)> Handler)
    : Loop(EventLoop), Endpoints(Platform), Preferred(LastGood),
      Request(std::move(Wanted)), Done(std::move(Handler)) {
  tryNext();
}

void platform_exchange::tryNext() {
  Link = std::make_unique<http_connection>(Loop, Endpoints[Preferred]);
  ++Tried;
  Link->dial(DialTimeout, [this](bool Connected) {
    if (Connected) {
      send();
      return;
    }
    Preferred = (Preferred + 1) % Endpoints.size();
    if (Tried < Endpoints.size()) {
      tryNext();
      return;
    }
    const auto Handler = std::move(Done); // may destroy this exchange
    Handler({});
  });
}

void platform_exchange::send() {
  Link->exchange(Request, AnswerTimeout, [this](http_reply Reply) {
    platform_reply Result;
    Result.Sent = true;
    Result.Answered =
        Reply.Fault == exchange_fault::None && Reply.Status == StatusOk;
    Result.Body = std::move(Reply.Body);
    if (!Result.Answered)
      Preferred = (Preferred + 1) % Endpoints.size();
    const auto Handler = std::move(Done); // may destroy this exchange
    Handler(std::move(Result));
  });
}

} // namespace bronzespar
