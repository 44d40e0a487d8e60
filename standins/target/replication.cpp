/// Replication port: replicas pull entries here.
#include "member.hpp"

#include "standin/messages_json.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

/// Room for the entries' own JSON.
constexpr std::size_t PullBodyLimit = 1024UL * 1024;
constexpr std::uint32_t LongestPullWaitMs = 1000;

void sendPull(const withheld_request<pull_request> &Withheld,
              pull_answer Answer) {
  const auto Held = std::chrono::steady_clock::now() - Withheld.Since;
  Answer.HeldUs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<duration>(Held).count());
  sendAnswer(Withheld.Connection, 200, toJson(Answer));
}

void boundPull(const member_ptr &Member,
               const withheld_request<pull_request> &Withheld) {
  Withheld.Bound->async_wait(
      [Member, Bound = Withheld.Bound](const boost::system::error_code &Error) {
        if (Error)
          return;
        const auto Found = std::find_if(
            Member->Pulls.begin(), Member->Pulls.end(),
            [&Bound](const auto &Other) { return Other.Bound == Bound; });
        if (Found == Member->Pulls.end())
          return;
        sendPull(*Found, answerPull(Member->Log, Found->Asked));
        Member->Pulls.erase(Found);
      });
}

void takePull(const member_ptr &Member, const http_connection_ptr &Connection,
              const pull_request &Asked) {
  const auto Wait =
      std::chrono::milliseconds(std::min(Asked.WaitMs, LongestPullWaitMs));
  withheld_request<pull_request> Withheld{
      Connection, Asked, std::chrono::steady_clock::now(),
      std::make_shared<boost::asio::steady_timer>(Member->Context, Wait)};
  pull_answer Answer = answerPull(Member->Log, Asked);
  if (!mayWithhold(Answer, Asked)) {
    sendPull(Withheld, std::move(Answer));
    return;
  }
  boundPull(Member, Withheld);
  Member->Pulls.push_back(std::move(Withheld));
}

void handleRequest(const member_ptr &Member,
                   const http_connection_ptr &Connection,
                   const http_request &Request) {
  if (Request.Method != "POST" || Request.Path != "/pull") {
    sendError(Connection, 404, "only POST /pull is served here");
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(Asked, fromJson<pull_request>(Request.Body));
        takePull(Member, Connection, Asked);
        return {};
      },
      [&](const standin_fault &Fault) {
        sendError(Connection, 400, Fault.Reason);
      },
      [&]() { sendError(Connection, 400, "malformed request"); });
}

} // namespace

void answerPulls(const member_ptr &Member) {
  for (auto Next = Member->Pulls.begin(); Next != Member->Pulls.end();) {
    const auto Withheld = Next++;
    pull_answer Answer = answerPull(Member->Log, Withheld->Asked);
    if (mayWithhold(Answer, Withheld->Asked))
      continue;
    sendPull(*Withheld, std::move(Answer));
    Member->Pulls.erase(Withheld);
  }
}

void startReplication(const member_ptr &Member) {
  http_limits Limits;
  Limits.BodyBytes = PullBodyLimit;
  http_service Service;
  Service.Handle = [Member](const http_connection_ptr &Connection,
                            const http_request &Request) {
    handleRequest(Member, Connection, Request);
  };
  Service.Closed = [Member](const http_connection_ptr &Connection) {
    Member->Pulls.remove_if([&Connection](const auto &Withheld) {
      return Withheld.Connection == Connection;
    });
  };
  Member->Replication =
      startServer(Member->Context, Member->Plan.Self.Replication, Limits,
                  std::move(Service));
}

} // namespace bronzespar::standin
