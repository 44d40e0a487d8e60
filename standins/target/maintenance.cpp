/// Maintenance port: reports by long poll and the coordinator's commands.
#include "member.hpp"

#include "standin/messages_json.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <limits>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint32_t LongestReportWaitMs = 60'000;

std::uint32_t heardAgeMs(const member &Member) {
  constexpr std::uint32_t Never = std::numeric_limits<std::uint32_t>::max();
  if (!Member.Link.HeardAt)
    return Never;
  const auto Age = std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - *Member.Link.HeardAt);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Age.count(), 0, Never));
}

bool differs(const member &Member, const report_request &Asked) {
  return Member.Log.Term != Asked.KnownTerm ||
         lastPosition(Member.Log) != Asked.KnownPosition;
}

void sendReport(const member &Member, const http_connection_ptr &Connection) {
  sendAnswer(Connection, 200, toJson(describeMember(Member)));
}

/// Answers one withheld request when its time is over.
void boundReport(const member_ptr &Member,
                 const withheld_request<report_request> &Withheld) {
  Withheld.Bound->async_wait(
      [Member, Bound = Withheld.Bound](const boost::system::error_code &Error) {
        if (Error)
          return;
        const auto Found = std::find_if(
            Member->Reports.begin(), Member->Reports.end(),
            [&Bound](const auto &Other) { return Other.Bound == Bound; });
        if (Found == Member->Reports.end())
          return;
        sendReport(*Member, Found->Connection);
        Member->Reports.erase(Found);
      });
}

void takeReport(const member_ptr &Member, const http_connection_ptr &Connection,
                const report_request &Asked) {
  const std::uint32_t WaitMs = std::min(Asked.WaitMs, LongestReportWaitMs);
  if (WaitMs == 0 || differs(*Member, Asked)) {
    sendReport(*Member, Connection);
    return;
  }
  const auto Bound = std::make_shared<boost::asio::steady_timer>(
      Member->Context, std::chrono::milliseconds(WaitMs));
  Member->Reports.push_back(
      {Connection, Asked, std::chrono::steady_clock::now(), Bound});
  boundReport(Member, Member->Reports.back());
}

void takeControl(const member_ptr &Member,
                 const http_connection_ptr &Connection,
                 const control_request &Request) {
  const std::uint64_t Term = Member->Log.Term;
  const member_role Role = Member->Log.Role;
  const std::string Primary = Member->Log.Primary;
  control_answer Answer;
  Answer.Granted = applyControl(Member->Log, Request);
  const bool Changed = Term != Member->Log.Term || Role != Member->Log.Role ||
                       Primary != Member->Log.Primary;
  if (Changed)
    restartPulling(Member);
  Answer.Report = describeMember(*Member);
  sendAnswer(Connection, 200, toJson(Answer));
  if (Changed)
    stateChanged(Member);
}

leaf::result<void> dispatch(const member_ptr &Member,
                            const http_connection_ptr &Connection,
                            const http_request &Request) {
  if (Request.Method == "POST" && Request.Path == "/report") {
    BOOST_LEAF_AUTO(Asked, fromJson<report_request>(Request.Body));
    takeReport(Member, Connection, Asked);
    return {};
  }
  if (Request.Method == "POST" && Request.Path == "/control") {
    BOOST_LEAF_AUTO(Command, fromJson<control_request>(Request.Body));
    if (Command.Coordinator.empty())
      return leaf::new_error(standin_fault{"Coordinator is missing"});
    takeControl(Member, Connection, Command);
    return {};
  }
  sendError(Connection, 404, "only POST /report and POST /control are served");
  return {};
}

} // namespace

member_report describeMember(const member &Member) {
  member_report Report;
  Report.Target = Member.Log.Target;
  Report.Role = Member.Log.Role;
  Report.Term = Member.Log.Term;
  Report.Position = lastPosition(Member.Log);
  Report.Primary = Member.Log.Primary;
  Report.Leaving = Member.Leaving;
  if (Report.Role == member_role::Primary) {
    Report.PrimaryPosition = Report.Position;
    return Report;
  }
  Report.PrimaryPosition = Member.Link.PrimaryPosition;
  Report.HeardAgeMs = heardAgeMs(Member);
  return Report;
}

void answerReports(const member_ptr &Member) {
  const auto Withheld = std::exchange(Member->Reports, {});
  for (const auto &Report : Withheld)
    sendReport(*Member, Report.Connection);
}

void startMaintenance(const member_ptr &Member) {
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
  Service.Closed = [Member](const http_connection_ptr &Connection) {
    Member->Reports.remove_if([&Connection](const auto &Report) {
      return Report.Connection == Connection;
    });
  };
  Member->Maintenance = startServer(
      Member->Context, Member->Plan.Self.Maintenance, {}, std::move(Service));
}

} // namespace bronzespar::standin
