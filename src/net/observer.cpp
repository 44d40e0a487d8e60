/// The logging duty.
#include "observer.hpp"

namespace bronzespar {

namespace {

constexpr duration FlushInterval = 1s;

} // namespace

observer::observer(boost::asio::io_context &Loop, const std::string &LogLevel,
                   std::function<void(metrics_rendered &&)> Taker)
    : Journal(LogLevel), FlushTimer(Loop), Answer(std::move(Taker)) {
  flushLater();
}

observer::~observer() { Journal.flushCounts(std::chrono::system_clock::now()); }

void observer::take(const observation &Observation) {
  std::visit([this](const auto &Kind) { take(Kind); }, Observation);
}

void observer::take(const effects::write_log &Entry) {
  Journal.write(Entry, std::chrono::system_clock::now());
}

void observer::take(const effects::record_trace &Effect) {
  Metrics.record(Effect.Trace);
  Journal.write(requestEntry(Effect.Trace), std::chrono::system_clock::now());
}

void observer::take(const metrics_asked &Asked) {
  Answer({Asked.Caller, Metrics.render()});
}

void observer::flushLater() {
  FlushTimer.start(FlushInterval, [this] {
    Journal.flushCounts(std::chrono::system_clock::now());
    flushLater();
  });
}

} // namespace bronzespar
