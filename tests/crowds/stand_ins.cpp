/// Calls of the store, statements of the target.
#include "stand_ins.hpp"

#include <bronzespar/base64.hpp>

#include <chrono>
#include <cstdlib>

namespace bronzespar::crowds {

namespace {

namespace json = boost::json;

constexpr std::string_view HeaderEnd = "\r\n\r\n";

std::string queryField(const std::string &Target, const std::string &Name) {
  const std::size_t Found = Target.find(Name + '=');
  if (Found == std::string::npos)
    return {};
  const std::size_t Start = Found + Name.size() + 1;
  return Target.substr(Start, Target.find('&', Start) - Start);
}

std::uint64_t numberIn(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

std::string textOf(const json::value &Value) {
  return {Value.as_string().data(), Value.as_string().size()};
}

std::size_t bodySize(const std::string &Head) {
  const std::size_t Found = Head.find("Content-Length: ");
  return Found == std::string::npos ? 0 : numberIn(Head.substr(Found + 16));
}

} // namespace

stand_in_store::stand_in_store()
    : Http([this](int Socket) { serve(Socket); }) {}

stand_in_store::~stand_in_store() {
  const std::lock_guard Lock(Guard);
  Stopping = true;
  Changed.notify_all();
}

void stand_in_store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(Guard);
  Revision += 1;
  write(Key, {encodeBase64(Value), Revision, 0});
  Changed.notify_all();
}

void stand_in_store::serve(int Socket) {
  std::string Buffer;
  while (true) {
    std::size_t End = 0;
    while ((End = Buffer.find(HeaderEnd)) == std::string::npos)
      if (!receiveInto(Socket, Buffer))
        return;
    const std::string Head = Buffer.substr(0, End + HeaderEnd.size());
    const std::size_t Size = Head.size() + bodySize(Head);
    while (Buffer.size() < Size)
      if (!receiveInto(Socket, Buffer))
        return;
    const std::size_t Blank = Head.find(' ');
    const std::string Target =
        Head.substr(Blank + 1, Head.find(' ', Blank + 1) - Blank - 1);
    const answer Answer =
        answerTo(Head.substr(0, Blank), Target,
                 Buffer.substr(Head.size(), Size - Head.size()));
    Buffer.erase(0, Size);
    const std::string Body = json::serialize(Answer.Body);
    if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Answer.Status) +
                             " Answer\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body))
      return;
  }
}

stand_in_store::answer stand_in_store::answerTo(const std::string &Method,
                                                const std::string &Target,
                                                const std::string &Body) {
  const std::string Path = Target.substr(0, Target.find('?'));
  if (Path == "/v1/kv-range")
    return range(queryField(Target, "Prefix"));
  if (Path == "/v1/kv-watch")
    return watch(queryField(Target, "Prefix"),
                 numberIn(queryField(Target, "after")),
                 numberIn(queryField(Target, "WaitMs")));
  if (Path == "/v1/kv-txn")
    return change(json::parse(Body).as_object());
  if (Path == "/v1/kv-lease") {
    const std::lock_guard Lock(Guard);
    json::object Granted = json::parse(Body).as_object();
    Granted["Lease"] = ++LastLease;
    return {200, Granted};
  }
  if (Method == "DELETE")
    return endLease(numberIn(Path.substr(Path.rfind('/') + 1)));
  return {200, {{"TtlMs", 5000}}}; // A renewal, or an order to promote.
}

json::object stand_in_store::itemJson(const std::string &Key) const {
  const item &Item = Items.at(Key);
  return {{"Key", Key},
          {"Value", Item.Value},
          {"Revision", Item.Revision},
          {"CreateRevision", Item.Revision},
          {"Lease", Item.Lease}};
}

stand_in_store::answer stand_in_store::range(const std::string &Prefix) {
  const std::lock_guard Lock(Guard);
  json::array Found;
  for (const auto &[Key, Item] : Items)
    if (Key.starts_with(Prefix))
      Found.push_back(itemJson(Key));
  return {200,
          {{"items", Found}, {"MorePages", false}, {"CurrentRev", Revision}}};
}

json::array stand_in_store::eventsAfter(const std::string &Prefix,
                                        std::uint64_t After) const {
  json::array Events;
  for (const auto &[Key, Item] : Items)
    if (Key.starts_with(Prefix) && Item.Revision > After)
      Events.push_back(itemJson(Key));
  for (const auto &[Key, RemovedAt] : Removed)
    if (Key.starts_with(Prefix) && RemovedAt > After)
      Events.push_back(json::object{
          {"Key", Key}, {"Revision", RemovedAt}, {"Tombstone", true}});
  return Events;
}

stand_in_store::answer stand_in_store::watch(const std::string &Prefix,
                                             std::uint64_t After,
                                             std::uint64_t WaitMs) {
  std::unique_lock Lock(Guard);
  Changed.wait_for(Lock, std::chrono::milliseconds(WaitMs), [&] {
    return Stopping || !eventsAfter(Prefix, After).empty();
  });
  return {200,
          {{"events", eventsAfter(Prefix, After)}, {"CurrentRev", Revision}}};
}

stand_in_store::answer stand_in_store::change(const json::object &Change) {
  const std::lock_guard Lock(Guard);
  bool Holds = true;
  json::array Current;
  for (const json::value &Row : Change.at("Expected").as_array()) {
    const std::string Key = textOf(Row.at("Key"));
    const auto Found = Items.find(Key);
    const std::uint64_t Now = Found == Items.end() ? 0 : Found->second.Revision;
    Holds = Holds && Now == Row.at("Revision").to_number<std::uint64_t>();
    if (Found != Items.end())
      Current.push_back(itemJson(Key));
  }
  if (!Holds)
    return {412, {{"items", Current}, {"CurrentRev", Revision}}};
  Revision += 1;
  for (const json::value &Row : Change.at("Writes").as_array()) {
    const json::value *Lease = Row.as_object().if_contains("Lease");
    write(textOf(Row.at("Key")),
          {textOf(Row.at("Value")), Revision,
           Lease == nullptr ? 0 : Lease->to_number<std::uint64_t>()});
  }
  for (const json::value &Key : Change.at("Deletes").as_array())
    erase(textOf(Key));
  Changed.notify_all();
  return {200, {{"Revision", Revision}}};
}

stand_in_store::answer stand_in_store::endLease(std::uint64_t Lease) {
  const std::lock_guard Lock(Guard);
  Revision += 1;
  std::vector<std::string> Bound;
  for (const auto &[Key, Item] : Items)
    if (Item.Lease == Lease)
      Bound.push_back(Key);
  for (const std::string &Key : Bound)
    erase(Key);
  Changed.notify_all();
  return {200, {{"Revision", Revision}}};
}

void stand_in_store::write(const std::string &Key, item Item) {
  Removed.erase(Key);
  Items[Key] = std::move(Item);
}

void stand_in_store::erase(const std::string &Key) {
  if (Items.erase(Key) > 0)
    Removed[Key] = Revision;
}

stand_in_target::stand_in_target()
    : Lines([this](int Socket) { serve(Socket); }) {}

void stand_in_target::serve(int Socket) {
  std::string Buffer;
  char State = 'I';
  while (true) {
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n")) == std::string::npos)
      if (!receiveInto(Socket, Buffer))
        return;
    const std::string Line = Buffer.substr(0, End);
    Buffer.erase(0, End + 2);
    std::string Out;
    if (Line.starts_with("QUERY")) {
      const auto Has = [&Line](std::string_view Word) {
        return Line.find(Word) != std::string::npos;
      };
      while (IsHeld && Has(" WRITE "))
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      if (Has(" BEGIN"))
        State = 'T';
      else if (Has(" COMMIT") || Has(" ROLLBACK"))
        State = 'I';
      else if (Has(" STATUS"))
        Out = "ROW primary 1 1.1 0 0 2 1\r\n";
      else if (Has(" READ large"))
        for (std::size_t Row = 0; Row < LargeRows; ++Row)
          Out += "ROW " + std::string(LargeRowBytes, 'r') + "\r\n";
      else if (Has(" READ "))
        Out = "ROW small\r\n";
      Out += "COMPLETE 1.2\r\n";
    }
    Out += std::string("READY ") + State + " 1.1\r\n";
    if (!sendAll(Socket, Out))
      return;
  }
}

} // namespace bronzespar::crowds
