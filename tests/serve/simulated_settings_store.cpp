/// The store and the event queue of the simulated fleet.
#include "simulated_settings.hpp"

#include <algorithm>
#include <utility>

namespace settings_test {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusHistoryLost = 410;

/// Value of a field of a query, or an empty text.
std::string queryField(const std::string &Path, const std::string &Name) {
  const std::size_t Begin = Path.find(Name + '=');
  if (Begin == std::string::npos)
    return {};
  const std::size_t Value = Begin + Name.size() + 1;
  return Path.substr(Value, Path.find('&', Value) - Value);
}

/// A range's answer has the form of a watch's, under other names.
std::string formatRange(const platform::watch_page &Page) {
  std::string Body = platform::formatWatch(Page);
  Body.replace(Body.find("\"events\""), 8, "\"MorePages\":false,\"items\"");
  return Body;
}

} // namespace

void event_queue::at(instant When, std::function<void()> Run) {
  Events.push({When, ++LastNumber, std::move(Run)});
}

void event_queue::runUntil(instant End) {
  while (!Events.empty() && Events.top().At <= End) {
    const timed_event Next = Events.top();
    Events.pop();
    Now = std::max(Now, Next.At);
    Next.Run();
  }
  Now = End;
}

void simulated_store::write(const std::string &Key, const std::string &Value) {
  Items[Key] = {Key, Value, Revision + 1, 0};
  record({Items[Key], false});
}

void simulated_store::remove(const std::string &Key) {
  if (Items.erase(Key) > 0)
    record({{Key, {}, Revision + 1, 0}, true});
}

platform::http_answer simulated_store::answerWith(unsigned Status,
                                                  std::string Body) const {
  platform::http_answer Answer{Status, std::move(Body)};
  Answer.Era = Era;
  return Answer;
}

void simulated_store::endWatches() {
  std::vector<waiting_watch> Waiting;
  Waiting.swap(Watches);
  for (waiting_watch &Watch : Waiting)
    Watch.Done({});
}

void simulated_store::restore(instant CopiedAt) {
  Watches.clear();
  while (!History.empty() && History.back().At > CopiedAt)
    History.pop_back();
  Revision = History.empty() ? 1 : History.back().Revision;
  HistoryFrom = std::min(HistoryFrom, Revision);
  Items.clear();
  for (const past_change &Each : History)
    if (Each.Change.Removed)
      Items.erase(Each.Change.Record.Key);
    else
      Items[Each.Change.Record.Key] = Each.Change.Record;
  Era += 1;
}

void simulated_store::record(const platform::store_change &Change) {
  Revision += 1;
  History.push_back({Revision, Change, Queue.Now});
  std::vector<waiting_watch> Waiting;
  Waiting.swap(Watches);
  for (waiting_watch &Watch : Waiting)
    if (Change.Record.Key.starts_with(Watch.Prefix))
      Watch.Done(*changesAfter(Watch.Prefix, Watch.After));
    else
      Watches.push_back(std::move(Watch));
}

std::optional<platform::http_answer>
simulated_store::changesAfter(const std::string &Prefix,
                              std::uint64_t After) const {
  platform::watch_page Page;
  Page.Revision = Revision;
  std::map<std::string, platform::store_change> Latest;
  for (const past_change &Each : History)
    if (Each.Revision > After && Each.Change.Record.Key.starts_with(Prefix))
      Latest[Each.Change.Record.Key] = Each.Change;
  for (auto &[Key, Change] : Latest)
    Page.Changes.push_back(std::move(Change));
  if (Page.Changes.empty())
    return std::nullopt;
  return answerWith(StatusOk, platform::formatWatch(Page));
}

void simulated_store::handle(const platform::http_call &Call,
                             const answer_function &Done) {
  Calls += 1;
  const std::string Prefix = queryField(Call.Path, "Prefix");
  if (Call.Path.starts_with("/v1/kv-range")) {
    platform::watch_page Page;
    Page.Revision = Revision;
    for (const auto &[Key, Item] : Items)
      if (Key.starts_with(Prefix))
        Page.Changes.push_back({Item, false});
    Done(answerWith(StatusOk, formatRange(Page)));
    return;
  }
  if (!Call.Path.starts_with("/v1/kv-watch")) {
    Done(answerWith(StatusOk, R"({"Lease":1,"TtlMs":2000,"Revision":1})"));
    return;
  }
  const std::uint64_t After = std::stoull(queryField(Call.Path, "after"));
  if (After < HistoryFrom || After > Revision) {
    Done(answerWith(StatusHistoryLost, {}));
    return;
  }
  if (const auto Answer = changesAfter(Prefix, After)) {
    Done(*Answer);
    return;
  }
  const auto Wait =
      std::chrono::milliseconds(std::stoll(queryField(Call.Path, "WaitMs")));
  Watches.push_back({Prefix, After, Queue.Now + Wait, Done});
}

void simulated_store::endOverdueWatches() {
  std::vector<waiting_watch> Waiting;
  Waiting.swap(Watches);
  for (waiting_watch &Watch : Waiting) {
    if (Watch.Deadline > Queue.Now) {
      Watches.push_back(std::move(Watch));
      continue;
    }
    platform::watch_page Page;
    Page.Revision = Revision;
    Watch.Done(answerWith(StatusOk, platform::formatWatch(Page)));
  }
}

} // namespace settings_test
