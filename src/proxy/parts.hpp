/// What the parts of the session host ask of each other.
#pragma once

#include "state.hpp"

#include <initializer_list>

namespace bronzespar::proxy {

// Sessions of callers (sessions.cpp).
void openSession(step_context &Step, events::session_opened &&What);
void acceptStatement(step_context &Step, events::statement_arrived &&What);
void closeSession(step_context &Step, session_number Number);
/// \brief Ends the transaction of a session whose target work is lost.
void failTransaction(step_context &Step, caller_session &Session);
/// \brief Runs statements that arrived while another was outstanding.
void drainBacklog(step_context &Step, caller_session &Session);
void endIdleTransactions(step_context &Step);

/// \brief Begins a transaction of a caller or of another host's session.
void openTransaction(caller_session &Session, session_route Route,
                     bool IsReadOnly, instant Now);
/// \brief Answers the statement that is outstanding, wherever its caller is.
void answerSession(step_context &Step, const caller_session &Session,
                   answer Answer);

// Requests (requests.cpp).
/// \brief Sends a request on its transaction's connection or lets it wait.
void launchRequest(step_context &Step, caller_session &Session,
                   target_request Request);
void startRequest(step_context &Step, caller_session &Session, std::string Id,
                  statement Statement);
/// \brief Answers the caller and forgets the request.
void finishRequest(step_context &Step, target_request &Request, answer Answer);
/// \brief An attempt ended without an answer that can be passed on.
/// \param NotRun The statement is proved not to have been run.
void attemptFailed(step_context &Step, target_request &Request,
                   answer_code Code, bool NotRun);
void requestAnswered(step_context &Step, target_connection &Connection,
                     answer &&Answer);
void expireRequests(step_context &Step);

// Placement of waiting requests (placement.cpp).
void placeWaiting(step_context &Step);
[[nodiscard]] std::optional<log_position>
requiredReadPosition(const host &State, const target_request &Request,
                     instant Now);

// Owners of targets' connections (owners.cpp).
/// \brief Whether one host owns each target's connections, since there are too
/// few for every host and account.
[[nodiscard]] bool areConnectionsOwned(const host &State,
                                       const std::string &Group);
/// \brief The host to ask for a target, or nothing when it is this host.
[[nodiscard]] std::optional<endpoint>
remoteOwner(const host &State, target_view &Target, instant Now);
/// \brief Whether this host owns a target, silent owners apart.
[[nodiscard]] bool ownsTarget(const host &State, target_view &Target);
void forwardRequest(step_context &Step, target_view &Target,
                    const endpoint &Owner, target_request &Request,
                    std::optional<log_position> NotBefore);
void forwardNext(step_context &Step, target_connection &Connection,
                 target_request &Request);
void forwardRequested(step_context &Step, events::forward_requested &&What);
void forwardEnded(step_context &Step, const forward_origin &Origin);
/// \brief Forgets a forwarded session that has nothing open.
void closeIdleForward(step_context &Step, caller_session &Session);
void peerLost(step_context &Step, const std::string &Link);
/// \brief Stops asking owners that let a statement wait without any answer.
void detectSilentOwner(step_context &Step, const target_connection &Connection);
/// \brief Ends connections to owners that have been silent for long.
void disconnectSilentOwners(step_context &Step);

// Connections to targets (connections.cpp).
/// \brief Forgets a connection whose far end is told by an effect or gone.
void forgetConnection(step_context &Step, connection_number Number);
/// \brief Has the adapters end a connection; it stays in the state.
void requestClose(step_context &Step, const target_connection &Connection);
void dialTarget(step_context &Step, target_view &Target,
                const std::string &Account);
void beginAttempt(step_context &Step, target_connection &Connection,
                  target_request &Request,
                  std::optional<log_position> NotBefore);
void continueTransaction(step_context &Step, target_connection &Connection,
                         target_request &Request);
void rollBackOnTarget(step_context &Step, target_connection &Connection);
void closeConnection(step_context &Step, connection_number Number);
void targetReady(step_context &Step, const events::target_ready &What);
void targetRefused(step_context &Step, const events::target_refused &What);
void targetAnswered(step_context &Step, events::target_answered &&What);
void targetLost(step_context &Step, connection_number Number);
/// \brief Closes a target's connections; what they carried is taken for lost.
/// \param OnlyInUse Those that are idle or being made stay.
void failConnections(step_context &Step, const std::string &Target,
                     bool OnlyInUse);
void superviseConnections(step_context &Step);

// Settings and targets (listing.cpp).
void adoptSettings(step_context &Step, proxy_settings &&Settings);
void adoptTargets(step_context &Step, std::vector<target_entry> &&Targets);
void dropAbsentTargets(step_context &Step);

// The host's lease, records and the use of primaries (primaries.cpp).
[[nodiscard]] bool mayUsePrimary(const host &State, const std::string &Group,
                                 instant Now);
void superviseLease(step_context &Step);
void leaseAnswered(step_context &Step, const events::lease_answered &What);
void recordChanged(step_context &Step, const store_record &Record);
void recordRemoved(step_context &Step, const std::string &Key);
void recordsRead(step_context &Step, const events::records_read &What);
void changeEnded(step_context &Step, const events::change_ended &What);
void noteReachability(step_context &Step, target_view &Target, bool Answered);

// Use of primaries while the store is away (electors.cpp).
/// Use of a primary without the store ends after this, so that a promotion
/// need not wait for electors that are gone.
inline constexpr duration MaxUseWithoutStore = std::chrono::seconds(10);
/// What an elector vouches is void after this; a host that stops using a
/// primary waits as long before it says so.
inline constexpr duration VoteLifetime = std::chrono::milliseconds(1000);
/// \brief Whether enough electors vouch for the group's record.
[[nodiscard]] bool hasElectorQuorum(const host &State, const group_state &Group,
                                    instant Now);
void superviseElectors(step_context &Step);
void voteRequested(step_context &Step, const events::vote_requested &What);
void voteReceived(step_context &Step, const vote &Given);
/// \brief Hosts that are to vouch for a record written now.
[[nodiscard]] std::vector<std::string> chooseElectors(const host &State,
                                                      instant Now);
/// \brief Whether a record's electors have been too few for long.
[[nodiscard]] bool areElectorsStale(const host &State, group_state &Group,
                                    instant Now);
/// \brief Whether no host that is not listed can rely on electors any more.
[[nodiscard]] bool haveExpiredHostsStopped(const host &State, instant Now);
/// \brief Whether no host can find enough electors that do not know of the
/// closed record.
[[nodiscard]] bool haveElectorsAcknowledged(const host &State,
                                            const std::string &Group);

// Duty to order promotions (duty.cpp, promotion.cpp).
void superviseCoordinatorRole(step_context &Step);
[[nodiscard]] bool coordinatorChangeEnded(step_context &Step,
                                          const events::change_ended &What);
[[nodiscard]] bool isCoordinator(const host &State, instant Now);
void supervisePromotions(step_context &Step);
[[nodiscard]] bool promotionChangeEnded(step_context &Step,
                                        const events::change_ended &What);
void targetProbed(step_context &Step, const events::target_probed &What);
void promotionAnswered(step_context &Step,
                       const events::promotion_answered &What);

// Rates (rates.cpp).
[[nodiscard]] bool admitOperation(step_context &Step,
                                  const std::string &Account);
/// \brief Time until an operation that found no token is worth another try.
[[nodiscard]] duration untilNextToken(const host &State,
                                      const std::string &Account, instant Now);
/// \brief Whether this host is about to earn tokens, so that waiting helps.
[[nodiscard]] bool isAboutToRefill(const host &State, instant Now);
void requestTokens(step_context &Step);
void tokensRequested(step_context &Step, const events::tokens_requested &What);
void tokensGranted(step_context &Step, const events::tokens_granted &What);
void redistributeRates(step_context &Step);

// Stopping and readiness (stopping.cpp).
void requestStop(step_context &Step);
void superviseStop(step_context &Step);
void updateReadiness(step_context &Step);
void isolationChanged(step_context &Step, bool Isolated);
/// \brief Hands callers over while this host can serve nothing.
void superviseIsolation(step_context &Step);

/// \brief Writes a log line.
void logLine(step_context &Step, std::string_view Event,
             std::initializer_list<effects::log_field> Fields);
/// \brief When a refused caller may try again, as the end of a refusal's text.
[[nodiscard]] std::string retryAfterText(duration Wait);
/// \brief The part of a lease or vouch that is relied on; the rest covers the
/// lateness of timers.
[[nodiscard]] duration withSafetyMargin(duration Length) noexcept;
/// \brief Age of an instant, in milliseconds, as text.
[[nodiscard]] std::string elapsedMsText(instant Then, instant Now);

} // namespace bronzespar::proxy
