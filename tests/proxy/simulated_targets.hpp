/// A group of targets on virtual time: each has a log, replicas receive and
/// apply it later, and a promotion rolls back what the new primary lacks.
#pragma once

#include "simulated_fleet.hpp"

#include <deque>
#include <memory>

namespace session_test {

/// \brief A commit of the group; its number is its place in Commits.
struct simulated_commit {
  log_position Position;
  std::string Statement;
  instant At{};
  instant SentAt{};          ///< When a host sent the statement.
  bool AtOldPrimary = false; ///< Another target led already.
};

struct simulated_target {
  std::vector<std::size_t> Log; ///< Numbers of the commits that it received.
  std::size_t Applied = 0;
  std::uint64_t Term = 1;
  bool IsPrimary = false;
  bool IsRunning = true;
  unsigned Incarnation = 1;
  instant DeafUntil{};          ///< It receives nothing.
  instant CutOffUntil{};        ///< It does not reach other targets.
  instant LagsUntil{};          ///< Its ApplyDelay stays until then.
  duration ApplyDelay = 60ms;   ///< From receiving a commit to applying it.
  instant SlowUntil{};          ///< Its answers take up to a second.
  instant NoticesPromotionAt{}; ///< It follows the new primary from then.
};

/// \brief A connection of a host to a target.
struct simulated_connection {
  std::string Host;
  unsigned Process = 0;
  connection_number Number = 0;
  std::string Target;
  unsigned Incarnation = 0; ///< Of the target.
  std::optional<statement_kind> Transaction;
  session_phase Phase = session_phase::Idle;
  std::vector<std::string> Writes; ///< Not committed.
  instant NextArrival{};           ///< A connection keeps order.
  bool IsLost = false;
};

struct simulated_targets {
  simulated_fleet &Fleet;
  std::map<std::string, simulated_target> Targets;
  std::vector<simulated_commit> Commits;
  std::map<std::string, std::size_t> CommitOf; ///< By statement.
  std::map<std::pair<std::string, connection_number>,
           std::shared_ptr<simulated_connection>>
      Connections;
  bool ConfirmedByReplica = false; ///< Before a commit is answered.
  double LostAnswers = 0;          ///< Share of answers that are lost.
  double Busy = 0;                 ///< Share of statements refused as busy.
  instant LastPromotionAt{};
  std::size_t Reads = 0;
  std::size_t ReplicaReads = 0;
  /// Called before a target runs a read.
  std::function<void(const std::string &Id, const std::string &Target)> OnRead;

  explicit simulated_targets(simulated_fleet &Simulated);
  /// \brief Carries out an effect on a connection to a target.
  void carryOut(const std::string &Host, const effect &Effect);
  /// \brief Lets replicas receive; to be called every few milliseconds.
  void replicate();
  /// \brief Cuts a target off from the others.
  void cutOff(const std::string &Target, duration Span);
  void crash(const std::string &Target);
  /// \brief Starts a target that crashed.
  /// \param Kept Part of a replica's log that it still has.
  void restart(const std::string &Target, double Kept);
  /// \brief Whether a target has applied a commit.
  [[nodiscard]] bool holds(const simulated_target &Target,
                           std::size_t Commit) const;
  [[nodiscard]] log_position positionOf(const simulated_target &Target) const;

private:
  void promoted(const std::string &Id);
  void rollBack(simulated_target &Target);
  void receive(const std::string &Id, simulated_target &Replica);
  void dial(const std::string &Host, const effects::open_target &Dial);
  void deliver(const std::shared_ptr<simulated_connection> &Connection,
               const outgoing_statement &Outgoing, instant SentAt);
  /// Breaks a connection; its host hears of that after a delay, and not before
  /// a time.
  void lose(simulated_connection &Connection, instant HeardFrom = {});
  /// Lets what arrives on a cut path arrive after the cut, or breaks the
  /// connection.
  void holdUp(const std::shared_ptr<simulated_connection> &Connection,
              instant Until, std::function<void()> Arrive);
  answer run(simulated_connection &Connection,
             const outgoing_statement &Outgoing, instant SentAt);
  answer_code runRead(const simulated_connection &Connection,
                      const std::string &Id);
  answer_code runWrite(simulated_connection &Connection, const std::string &Id,
                       instant SentAt);
  answer_code runCommit(simulated_connection &Connection, const std::string &Id,
                        instant SentAt);
  void commit(const std::string &Target, const std::string &Statement,
              instant SentAt);
  /// Answers once a replica has received the commit, if that is required.
  void
  answerWhenConfirmed(const std::shared_ptr<simulated_connection> &Connection,
                      const answer &Answer, std::optional<std::size_t> Commit);
  [[nodiscard]] simulated_path
  pathOf(const simulated_connection &Connection) const;
  void sendAnswer(const std::shared_ptr<simulated_connection> &Connection,
                  const answer &Answer);
};

} // namespace session_test
