/// Request traces: adding spans and formatting them.
#include <bronzespar/trace.hpp>

#include <cstdio>

namespace bronzespar {

namespace {

std::string lowerFirst(std::string_view Name) {
  std::string Text(Name);
  if (!Text.empty() && Text[0] >= 'A' && Text[0] <= 'Z')
    Text[0] = static_cast<char>(Text[0] - 'A' + 'a');
  return Text;
}

std::string metric(std::string_view Name, duration Span) {
  char Number[32];
  std::snprintf(Number, sizeof Number, "%.3f", toMilliseconds(Span));
  return lowerFirst(Name) + ";dur=" + Number;
}

} // namespace

void addSpan(request_trace &Trace, trace_stage Stage, duration Span) {
  for (trace_span &Existing : Trace.Spans) {
    if (Existing.Stage == Stage) {
      Existing.Duration += Span;
      return;
    }
  }
  Trace.Spans.push_back({Stage, Span});
}

std::string toServerTiming(const request_trace &Trace) {
  std::string Text;
  for (const trace_span &Span : Trace.Spans)
    Text += metric(enumName(Span.Stage), Span.Duration) + ", ";
  return Text + metric("total", Trace.Total);
}

} // namespace bronzespar
