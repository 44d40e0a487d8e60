/// The platform's control port: faults, the host list, call counts.
#include "platform.hpp"

#include "standin/json_text.hpp"
#include "standin/messages_json.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

void setFault(const platform_ptr &Platform, platform_fault_kind Kind,
              duration Slowness) {
  Platform->Fault = Kind;
  Platform->Slowness =
      Kind == platform_fault_kind::Slow ? Slowness : duration::zero();
  if (Kind == platform_fault_kind::Outage) {
    ++Platform->Outages;
    closeServer(*Platform->Api);
    return;
  }
  reopenServer(Platform->Api);
}

leaf::result<void> applyFault(const platform_ptr &Platform,
                              const std::string &Body) {
  BOOST_LEAF_AUTO(Order, fromJson<platform_fault_order>(Body));
  const auto Kind = enumFromKebab<platform_fault_kind>(Order.Kind);
  if (!Kind)
    return leaf::new_error(standin_fault{"unknown fault '" + Order.Kind + "'"});
  setFault(Platform, *Kind, std::chrono::milliseconds(Order.SlowMs));
  return {};
}

leaf::result<void> applyHosts(platform &Platform, const std::string &Body) {
  BOOST_LEAF_AUTO(Text, checkHostList(Body));
  replaceHostList(Platform.Hosts, std::move(Text), now(), Platform.ListLag);
  return {};
}

std::string callsText(const platform &Platform) {
  auto Counts = Platform.Calls;
  Counts["watches_open"] = Platform.Watches.size();
  return countsText(Counts);
}

leaf::result<void> dispatch(const platform_ptr &Platform,
                            const http_connection_ptr &Connection,
                            const http_request &Request) {
  const std::string Name = Request.Method + " " + Request.Path;
  if (Name == "GET /calls") {
    sendAnswer(Connection, 200, callsText(*Platform));
    return {};
  }
  if (Name == "POST /fault") {
    if (auto Checked = applyFault(Platform, Request.Body); !Checked)
      return Checked.error();
  } else if (Name == "POST /hosts") {
    if (auto Checked = applyHosts(*Platform, Request.Body); !Checked)
      return Checked.error();
  } else {
    sendError(Connection, 404, "unknown request " + Name);
    return {};
  }
  sendAnswer(Connection, 200, "{}");
  return {};
}

} // namespace

void startControl(const platform_ptr &Platform, const endpoint &Where) {
  http_service Service;
  Service.Handle = [Platform](const http_connection_ptr &Connection,
                              const http_request &Request) {
    leaf::try_handle_all(
        [&] { return dispatch(Platform, Connection, Request); },
        [&](const standin_fault &Fault) {
          sendError(Connection, 400, Fault.Reason);
        },
        [&]() { sendError(Connection, 400, "malformed request"); });
  };
  Platform->Control =
      startServer(Platform->Context, Where, {}, std::move(Service));
}

} // namespace bronzespar::standin
