/// The network's control port: faults between zones.
#include "network.hpp"

#include "standin/fault_messages.hpp"
#include "standin/messages_json.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

leaf::result<void> checkZone(const network &Network, const std::string &Name) {
  if (knowsZone(Network.Cuts, Name))
    return {};
  return leaf::new_error(standin_fault{"unknown zone '" + Name + "'"});
}

leaf::result<void> applyFault(const network_ptr &Network,
                              const std::string &Body) {
  BOOST_LEAF_AUTO(Order, fromJson<network_fault_order>(Body));
  const auto Kind = enumFromKebab<network_fault_kind>(Order.Kind);
  if (!Kind)
    return leaf::new_error(standin_fault{"unknown fault '" + Order.Kind + "'"});
  if (auto Checked = checkZone(*Network, Order.From); !Checked)
    return Checked.error();
  if (auto Checked = checkZone(*Network, Order.To); !Checked)
    return Checked.error();
  const zone_direction Pattern{Order.From, Order.To};
  switch (*Kind) {
  case network_fault_kind::None:
    healDirections(Network->Cuts, Pattern);
    resumeRelays(Network);
    break;
  case network_fault_kind::Cut:
    cutDirections(Network->Cuts, Pattern);
    break;
  case network_fault_kind::Silence:
    silenceRelays(Network, Pattern);
    break;
  }
  return {};
}

leaf::result<void> dispatch(const network_ptr &Network,
                            const http_connection_ptr &Connection,
                            const http_request &Request) {
  if (Request.Method != "POST" || Request.Path != "/fault") {
    sendError(Connection, 404, "only POST /fault is served here");
    return {};
  }
  if (auto Checked = applyFault(Network, Request.Body); !Checked)
    return Checked.error();
  sendAnswer(Connection, 200, "{}");
  return {};
}

} // namespace

void startControl(const network_ptr &Network, const endpoint &Where) {
  http_service Service;
  Service.Handle = [Network](const http_connection_ptr &Connection,
                             const http_request &Request) {
    leaf::try_handle_all(
        [&] { return dispatch(Network, Connection, Request); },
        [&](const standin_fault &Fault) {
          sendError(Connection, 400, Fault.Reason);
        },
        [&]() { sendError(Connection, 400, "malformed request"); });
  };
  Network->Control =
      startServer(Network->Context, Where, {}, std::move(Service));
}

} // namespace bronzespar::standin
