/// Watches of the stand-in platform.
#include "platform.hpp"

#include "standin/etcd_answers.hpp"

namespace bronzespar::standin {

namespace {

void sendEvents(const platform &Platform, open_watch &Watch) {
  const std::int64_t Revision = Platform.Store.Revision;
  if (Watch.Next > Revision)
    return;
  const auto Events = eventsSince(Platform.Store, Watch.Asked.Keys, Watch.Next);
  Watch.Next = Revision + 1;
  if (!Events.empty())
    sendChunk(Watch.Connection, watchEventsText(Revision, Events));
}

} // namespace

void openWatch(const platform_ptr &Platform,
               const http_connection_ptr &Connection,
               const watch_request &Asked) {
  const std::int64_t Revision = Platform->Store.Revision;
  const std::int64_t Start =
      Asked.StartRevision > 0 ? Asked.StartRevision : Revision + 1;
  beginStream(Connection);
  sendChunk(Connection, watchCreatedText(Revision));
  if (Start <= Platform->Store.Compacted) {
    sendChunk(Connection,
              watchCompactedText(Revision, Platform->Store.Compacted));
    return;
  }
  Platform->Watches.push_back({Connection, Asked, Start});
  sendEvents(*Platform, Platform->Watches.back());
}

void notifyWatches(platform &Platform) {
  for (open_watch &Watch : Platform.Watches)
    sendEvents(Platform, Watch);
}

void sendProgress(platform &Platform) {
  for (const open_watch &Watch : Platform.Watches) {
    if (Watch.Asked.ProgressNotify)
      sendChunk(Watch.Connection, watchProgressText(Platform.Store.Revision));
  }
}

} // namespace bronzespar::standin
