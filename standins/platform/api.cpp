/// The platform's API port: etcd calls, watches, the host list.
#include "platform.hpp"

#include "standin/etcd_answers.hpp"
#include "standin/etcd_calls.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

/// Room for a value of the limit in Base64, and the call around it.
constexpr std::size_t ApiBodyLimit = 2UL * 1024 * 1024;
constexpr std::chrono::milliseconds HousekeepingInterval{50};
constexpr std::chrono::seconds ProgressInterval{5};

void startWatch(const platform_ptr &Platform,
                const http_connection_ptr &Connection,
                const std::string &Body) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(Asked, parseWatch(Body));
        openWatch(Platform, Connection, Asked);
        return {};
      },
      [&](const standin_fault &Fault) {
        sendAnswer(Connection, 400,
                   etcdErrorText(Fault.Reason, InvalidArgumentCode));
      },
      [&]() {
        sendAnswer(Connection, 400,
                   etcdErrorText("malformed request", InvalidArgumentCode));
      });
}

etcd_answer runCall(const platform_ptr &Platform, const http_request &Request) {
  if (Request.Method == "GET" && Request.Path == "/v1/hosts")
    return {200, seenHostList(Platform->Hosts, now())};
  if (Request.Method != "POST")
    return {404, etcdErrorText("unknown request " + Request.Method + " " +
                                   Request.Path,
                               NotFoundCode)};
  expireLeases(Platform->Store, now());
  etcd_answer Answer =
      callStore(Platform->Store, Request.Path, Request.Body, now());
  notifyWatches(*Platform);
  return Answer;
}

/// Takes effect, then answers or, by a fault, closes.
void runRequest(const platform_ptr &Platform,
                const http_connection_ptr &Connection,
                const http_request &Request) {
  const bool LosesAnswers = Platform->Fault == platform_fault_kind::LoseAnswers;
  if (callName(Request.Path) == "watch" && !LosesAnswers) {
    startWatch(Platform, Connection, Request.Body);
    return;
  }
  etcd_answer Answer = runCall(Platform, Request);
  if (LosesAnswers)
    closeConnection(Connection);
  else
    sendAnswer(Connection, Answer.Status, std::move(Answer.Body));
}

void countCall(platform &Platform, const http_request &Request) {
  std::string Name = callName(Request.Path);
  if (Request.Path == "/v1/hosts")
    Name = "hosts";
  ++Platform.Calls[Name.empty() ? "unknown" : Name];
}

void takeRequest(const platform_ptr &Platform,
                 const http_connection_ptr &Connection,
                 const http_request &Request) {
  countCall(*Platform, Request);
  const duration Delay = Platform->Latency + Platform->Slowness;
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Platform->Context, Delay);
  Timer->async_wait(
      [Platform, Connection, Request, Timer,
       Outages = Platform->Outages](const boost::system::error_code &) {
        if (Outages == Platform->Outages)
          runRequest(Platform, Connection, Request);
      });
}

void keepHouse(const platform_ptr &Platform) {
  expireLeases(Platform->Store, now());
  notifyWatches(*Platform);
  if (now() - Platform->LastProgress >= ProgressInterval) {
    Platform->LastProgress = now();
    sendProgress(*Platform);
  }
  startHousekeeping(Platform);
}

} // namespace

instant now() {
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void startApi(const platform_ptr &Platform, const endpoint &Where) {
  http_limits Limits;
  Limits.BodyBytes = ApiBodyLimit;
  http_service Service;
  Service.Handle = [Platform](const http_connection_ptr &Connection,
                              const http_request &Request) {
    takeRequest(Platform, Connection, Request);
  };
  Service.Closed = [Platform](const http_connection_ptr &Connection) {
    Platform->Watches.remove_if([&Connection](const open_watch &Watch) {
      return Watch.Connection == Connection;
    });
  };
  Platform->Api =
      startServer(Platform->Context, Where, Limits, std::move(Service));
}

void startHousekeeping(const platform_ptr &Platform) {
  Platform->Housekeeping.expires_after(HousekeepingInterval);
  Platform->Housekeeping.async_wait(
      [Platform](const boost::system::error_code &Error) {
        if (!Error)
          keepHouse(Platform);
      });
}

} // namespace bronzespar::standin
