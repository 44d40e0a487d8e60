/// The replica's side of replication: pulls from the primary and makes entries
/// visible after the lag.
#include "member.hpp"

#include "standin/messages_json.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace bronzespar::standin {

namespace leaf = boost::leaf;

namespace {

/// An idle primary answers this often, so that a replica can prove its age.
constexpr std::uint32_t PullWaitMs = 20;
constexpr std::chrono::milliseconds PullTimeout{1000};
constexpr std::chrono::milliseconds RetryDelay{50};

void pull(const member_ptr &Member);
void scheduleApply(const member_ptr &Member);

bool isReplica(const member &Member) {
  return Member.Log.Role == member_role::Replica;
}

pull_request nextPull(const member &Member) {
  pull_request Request{Member.Log.Target, Member.Log.Term, termEnds(Member.Log),
                       PullWaitMs};
  for (const delayed_pull &Delayed : Member.Link.Delayed)
    extendTermEnds(Request.TermEnds, Delayed.Answer.Entries);
  return Request;
}

void pullLater(const member_ptr &Member, std::chrono::milliseconds Delay) {
  Member->Link.RetryTimer->expires_after(Delay);
  Member->Link.RetryTimer->async_wait(
      [Member](const boost::system::error_code &Error) {
        if (!Error)
          pull(Member);
      });
}

/// Makes the oldest delayed pull visible.
void applyOldest(const member_ptr &Member) {
  replica_link &Link = Member->Link;
  const delayed_pull Oldest = std::move(Link.Delayed.front());
  Link.Delayed.pop_front();
  const log_position Before = lastPosition(Member->Log);
  if (!applyPull(Member->Log, Oldest.Answer)) {
    restartPulling(Member);
    return;
  }
  Link.PrimaryPosition = Oldest.Answer.Position;
  Link.HeardAt = Oldest.HeardAt;
  if (lastPosition(Member->Log) != Before)
    stateChanged(Member);
  scheduleApply(Member);
}

void scheduleApply(const member_ptr &Member) {
  replica_link &Link = Member->Link;
  if (Link.Delayed.empty())
    return;
  Link.ApplyTimer->expires_at(Link.Delayed.front().Arrived + Member->Lag);
  Link.ApplyTimer->async_wait([Member](const boost::system::error_code &Error) {
    if (!Error && !Member->Link.Delayed.empty())
      applyOldest(Member);
  });
}

void takeAnswer(const member_ptr &Member, delayed_pull Arrived) {
  Member->Link.Delayed.push_back(std::move(Arrived));
  if (Member->Link.Delayed.size() == 1)
    scheduleApply(Member);
  pull(Member);
}

/// \returns The answer, or nothing when the primary refused or made no sense.
std::optional<pull_answer> readAnswer(const std::optional<std::string> &Body) {
  if (!Body)
    return std::nullopt;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<pull_answer>> {
        BOOST_LEAF_AUTO(Answer, fromJson<pull_answer>(*Body));
        if (!Answer.Accepted)
          return std::optional<pull_answer>();
        return std::optional<pull_answer>(std::move(Answer));
      },
      []() { return std::optional<pull_answer>(); });
}

void pullAnswered(const member_ptr &Member, steady_time SentAt,
                  const std::optional<std::string> &Body) {
  std::optional<pull_answer> Answer = readAnswer(Body);
  if (!Answer) {
    pullLater(Member, RetryDelay);
    return;
  }
  const auto HeardAt = SentAt + std::chrono::microseconds(Answer->HeldUs);
  delayed_pull Arrived{std::chrono::steady_clock::now(), HeardAt,
                       std::move(*Answer)};
  if (Member->Cut) {
    Member->Link.HeldByCut = std::move(Arrived);
    return;
  }
  takeAnswer(Member, std::move(Arrived));
}

void pull(const member_ptr &Member) {
  if (!isReplica(*Member))
    return;
  if (Member->Cut) {
    pullLater(Member, RetryDelay);
    return;
  }
  const std::uint64_t Generation = Member->Link.Generation;
  const steady_time SentAt = std::chrono::steady_clock::now();
  postJson(
      Member->Link.Client, "/pull", toJson(nextPull(*Member)), PullTimeout,
      [Member, Generation, SentAt](const std::optional<std::string> &Body) {
        if (Generation == Member->Link.Generation)
          pullAnswered(Member, SentAt, Body);
      });
}

void stopPulling(replica_link &Link) {
  ++Link.Generation;
  Link.Delayed.clear();
  Link.HeldByCut.reset();
  Link.ApplyTimer->cancel();
  Link.RetryTimer->cancel();
  if (Link.Client)
    closeClient(Link.Client);
  Link.Client = nullptr;
}

} // namespace

void restartPulling(const member_ptr &Member) {
  replica_link &Link = Member->Link;
  stopPulling(Link);
  if (!isReplica(*Member))
    return;
  const auto Where = replicationAddress(Member->Plan, Member->Log.Primary,
                                        Member->Log.PrimaryAddress);
  if (!Where)
    return;
  Link.Client = makeClient(Member->Context, *Where);
  pull(Member);
}

void resumePulling(const member_ptr &Member) {
  std::optional<delayed_pull> Held =
      std::exchange(Member->Link.HeldByCut, std::nullopt);
  if (Held)
    takeAnswer(Member, std::move(*Held));
}

void silencePulling(const member_ptr &Member) {
  replica_link &Link = Member->Link;
  if (!Link.Client)
    return;
  ++Link.Generation;
  closeClient(Link.Client);
  const auto Where = replicationAddress(Member->Plan, Member->Log.Primary,
                                        Member->Log.PrimaryAddress);
  if (!Where)
    return;
  Link.Client = makeClient(Member->Context, *Where);
  pullLater(Member, PullTimeout);
}

void applyLag(const member_ptr &Member) { scheduleApply(Member); }

} // namespace bronzespar::standin
