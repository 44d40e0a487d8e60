/// Callers that roam between hosts, and the checks of what was promised them.
#pragma once

#include "fake_fleet.hpp"

namespace bronzespar::test {

/// One request as its caller saw it.
struct call {
  int Session = 0;
  statement_kind Kind = statement_kind::Read;
  std::string Row;
  std::string Value;
  std::string IdempotencyKey;
  bool HasMaxAge = false;
  int TransactionNumber = 0; ///< 0 outside transactions.
  host_id Host;
  bool Answered = false;
  bool EntryHostDied = false;
  caller_answer Answer;
  /// Values of the session's row acknowledged before this request was sent.
  std::vector<std::string> ExpectedValues;
};

/// Sessions that send one request after another.
struct callers {
  callers(fake_fleet &TestedFleet, int Sessions, int CallsEach);

  /// True once each session has sent all its requests and heard of them.
  [[nodiscard]] bool isDone() const;
  /// Checks the promises against the final logs.
  [[nodiscard]] std::vector<std::string> violations();
  [[nodiscard]] std::size_t countSucceeded() const;
  /// Closes requests whose entry host is dead.
  void hostDied(const host_id &Host);

  std::vector<call> Calls;

private:
  struct session {
    int Number = 0;
    int CallsLeft = 0;
    std::string Token;
    std::string TransactionId;
    int Transaction = 0; ///< Number of the open one, 0 for none.
    int TransactionStep = 0;
    std::vector<std::string> Acknowledged;
    std::vector<std::string> InTransaction;
  };

  void sendNext(int Number);
  call makeCall(session &Session);
  call makeTransactionCall(session &Session);
  void send(session &Session, call Call);
  void answered(const host_id &Host, const caller_answer &Answer,
                caller_ref Caller);
  void updateSession(session &Session, call &Call);
  void checkWrites(std::vector<std::string> &Found);
  void checkWrite(const call &Call, std::vector<std::string> &Found) const;
  void checkTransactions(std::vector<std::string> &Found) const;
  void checkRead(const call &Call, std::vector<std::string> &Found) const;

  fake_fleet &Fleet;
  std::vector<session> Sessions;
  int NextValue = 1;
  int NextTransaction = 1;
};

} // namespace bronzespar::test
