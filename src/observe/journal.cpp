/// Implements the structured log with log4cplus.
#include <bronzespar/observe/journal.hpp>

#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <unordered_map>

namespace bronzespar {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr auto SuppressionWindow = 1s;
constexpr std::size_t MaxTrackedEvents = 256;
constexpr duration SlowRequestThreshold = 100ms;
constexpr std::array<const char *, 7> LevelNames{
    "TRACE", "DEBUG", "INFO", "WARN", "ERROR", "FATAL", "OFF"};

/// log4cplus appender that passes each line to a function.
class sink_appender : public log4cplus::Appender {
public:
  explicit sink_appender(line_sink Function) : Sink(std::move(Function)) {}
  ~sink_appender() override { destructorImpl(); }
  void close() override {}

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    Sink(Event.getMessage());
  }

private:
  line_sink Sink;
};

log4cplus::LogLevel levelOf(effects::log_severity Severity) noexcept {
  switch (Severity) {
  case effects::log_severity::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case effects::log_severity::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case effects::log_severity::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case effects::log_severity::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

/// Formats a time as ISO 8601 with milliseconds, in UTC.
std::string formatTime(journal::wall_time Time) {
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.time_since_epoch())
          .count();
  const std::time_t Seconds = Milliseconds / 1000;
  std::tm UtcTime{};
  gmtime_r(&Seconds, &UtcTime);
  char Text[40];
  const std::size_t Length =
      std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%S", &UtcTime);
  std::snprintf(Text + Length, sizeof Text - Length, ".%03dZ",
                static_cast<int>(Milliseconds % 1000));
  return Text;
}

std::string formatEntry(const effects::write_log &Entry, journal::wall_time Now,
                        std::uint64_t Suppressed) {
  json::object Fields;
  for (const effects::log_field &Field : Entry.Fields)
    Fields[Field.Name] = Field.Value;
  json::object Line{{"time", formatTime(Now)},
                    {"level", enumName(Entry.Severity)},
                    {"event", Entry.Event},
                    {"fields", std::move(Fields)}};
  if (Suppressed > 0)
    Line["suppressed"] = Suppressed;
  return json::serialize(Line);
}

/// Written and suppressed entries of one event. Written counts from
/// WindowStart; Suppressed counts since the last entry that reported it.
struct suppression_count {
  journal::wall_time WindowStart{};
  std::uint32_t Written = 0;
  std::uint64_t Suppressed = 0;
  effects::log_severity Severity = effects::log_severity::Info;
};

/// log4cplus may be initialised only once per process.
void initializeLibrary() { static const log4cplus::Initializer Library; }

std::string instanceName() {
  static std::atomic<unsigned> Count{0};
  return "bronzespar." + std::to_string(++Count);
}

} // namespace

struct journal::impl {
  log4cplus::Logger Logger = log4cplus::Logger::getInstance(
      LOG4CPLUS_STRING_TO_TSTRING(instanceName()));
  std::unordered_map<std::string, suppression_count> SuppressionCounts;

  void openAppender(line_sink Sink) {
    log4cplus::SharedAppenderPtr Appender;
    if (Sink)
      Appender = new sink_appender(std::move(Sink));
    else
      Appender = new log4cplus::ConsoleAppender(true, true);
    Appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    Logger.setAdditivity(false);
    Logger.addAppender(Appender);
  }

  void print(const effects::write_log &Entry, wall_time Now,
             std::uint64_t Suppressed) {
    Logger.log(levelOf(Entry.Severity), formatEntry(Entry, Now, Suppressed));
  }

  void flush(wall_time Now) {
    for (auto &[Event, Count] : SuppressionCounts) {
      if (Count.Suppressed > 0)
        print({Count.Severity, Event, {}}, Now, Count.Suppressed);
      Count.Suppressed = 0;
    }
  }
};

journal::journal(const std::string &Level, line_sink Sink)
    : Impl((initializeLibrary(), std::make_unique<impl>())) {
  Impl->openAppender(std::move(Sink));
  if (!setLevel(Level))
    (void)setLevel("INFO");
}

journal::~journal() { Impl->Logger.removeAllAppenders(); }

bool journal::setLevel(const std::string &Level) {
  if (std::find(LevelNames.begin(), LevelNames.end(), Level) ==
      LevelNames.end())
    return false;
  Impl->Logger.setLogLevel(log4cplus::getLogLevelManager().fromString(Level));
  return true;
}

void journal::write(const effects::write_log &Entry, wall_time Now) {
  if (!Impl->Logger.isEnabledFor(levelOf(Entry.Severity)))
    return;
  if (Impl->SuppressionCounts.size() >= MaxTrackedEvents) {
    Impl->flush(Now);
    Impl->SuppressionCounts.clear();
  }
  suppression_count &Count = Impl->SuppressionCounts[Entry.Event];
  if (Now - Count.WindowStart >= SuppressionWindow) {
    Count.WindowStart = Now;
    Count.Written = 0;
  }
  if (Count.Written >= MaxEntriesPerSecond) {
    ++Count.Suppressed;
    Count.Severity = Entry.Severity;
    return;
  }
  ++Count.Written;
  Impl->print(Entry, Now, std::exchange(Count.Suppressed, 0));
}

void journal::flushCounts(wall_time Now) { Impl->flush(Now); }

effects::write_log requestEntry(const request_trace &Trace) {
  const bool IsRefused = Trace.Cause != refusal_cause::None;
  const bool IsNotable = IsRefused || Trace.Total >= SlowRequestThreshold;
  effects::write_log Entry;
  Entry.Severity =
      IsNotable ? effects::log_severity::Info : effects::log_severity::Debug;
  Entry.Event = IsRefused ? "request refused" : "request served";
  Entry.Fields = {{"id", Trace.Id.Value},
                  {"account", Trace.Account.Value},
                  {"route", Trace.Route.Value},
                  {"class", std::string(enumName(Trace.Class))},
                  {"kind", Trace.Kind},
                  {"entry_host", Trace.EntryHost.Value},
                  {"target", Trace.Target.Value},
                  {"outcome", std::string(enumName(Trace.Outcome))},
                  {"cause", std::string(enumName(Trace.Cause))},
                  {"setting", Trace.Setting},
                  {"revision", std::to_string(Trace.Revision)},
                  {"attempts", std::to_string(Trace.Attempts)},
                  {"timing", toServerTiming(Trace)}};
  return Entry;
}

} // namespace bronzespar
