/// Control port: faults, leaving, and the state for checkers.
#include "member.hpp"

#include "standin/fault_messages.hpp"
#include "standin/messages_json.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

void setCut(const member_ptr &Member, bool Cut) {
  const bool WasCut = std::exchange(Member->Cut, Cut);
  for (const http_server_ptr &Server :
       {Member->Statements, Member->Maintenance, Member->Replication}) {
    if (Cut)
      pauseServer(*Server);
    else
      resumeServer(Server);
  }
  if (WasCut && !Cut)
    resumePulling(Member);
}

void setLag(const member_ptr &Member, std::chrono::milliseconds Lag) {
  Member->Lag = Lag;
  applyLag(Member);
}

void silence(const member_ptr &Member) {
  for (const http_server_ptr &Server :
       {Member->Statements, Member->Maintenance, Member->Replication})
    silenceConnections(*Server);
  silencePulling(Member);
}

leaf::result<void> applyFault(const member_ptr &Member,
                              const target_fault_order &Order) {
  const auto Kind = enumFromKebab<target_fault_kind>(Order.Kind);
  if (!Kind)
    return leaf::new_error(standin_fault{"unknown fault '" + Order.Kind + "'"});
  switch (*Kind) {
  case target_fault_kind::None:
    setLag(Member, Member->Costs.Lag);
    setCut(Member, false);
    break;
  case target_fault_kind::Cut:
    setCut(Member, true);
    break;
  case target_fault_kind::SilentConnections:
    silence(Member);
    break;
  case target_fault_kind::Lag:
    setLag(Member, std::chrono::milliseconds(Order.LagMs));
    break;
  }
  return {};
}

void applyLeaving(const member_ptr &Member, bool Leaving) {
  if (Leaving && !Member->Leaving)
    Member->LeavingSince = std::chrono::steady_clock::now();
  Member->Leaving = Leaving;
  stateChanged(Member);
}

std::string stateText(const member &Member) {
  member_state State = describeLog(Member.Log);
  State.Leaving = Member.Leaving;
  State.Connections = openConnections(*Member.Statements);
  State.Counts = Member.Counts;
  return toJson(State);
}

leaf::result<void> dispatch(const member_ptr &Member,
                            const http_connection_ptr &Connection,
                            const http_request &Request) {
  const std::string Name = Request.Method + " " + Request.Path;
  if (Name == "GET /state") {
    sendAnswer(Connection, 200, stateText(*Member));
    return {};
  }
  if (Name == "POST /fault") {
    BOOST_LEAF_AUTO(Order, fromJson<target_fault_order>(Request.Body));
    if (auto Checked = applyFault(Member, Order); !Checked)
      return Checked.error();
  } else if (Name == "POST /leaving") {
    BOOST_LEAF_AUTO(Order, fromJson<leaving_order>(Request.Body));
    applyLeaving(Member, Order.Leaving);
  } else {
    sendError(Connection, 404, "unknown request " + Name);
    return {};
  }
  sendAnswer(Connection, 200, "{}");
  return {};
}

} // namespace

void startControl(const member_ptr &Member, const endpoint &Where) {
  http_service Service;
  Service.Handle = [Member](const http_connection_ptr &Connection,
                            const http_request &Request) {
    leaf::try_handle_all(
        [&] { return dispatch(Member, Connection, Request); },
        [&](const standin_fault &Fault) {
          sendError(Connection, 400, Fault.Reason);
        },
        [&]() { sendError(Connection, 400, "malformed request"); });
  };
  Member->Control = startServer(Member->Context, Where, {}, std::move(Service));
}

} // namespace bronzespar::standin
