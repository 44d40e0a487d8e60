/// A fleet whose hosts learn of versions of the settings through watches,
/// watch sources and relays, on virtual time. Each host runs the product's
/// watch, gateway and host list; the store, the links and the clock are
/// simulated. Every host in touch is checked: it must act on each version
/// within the deadline, have a proof of that age, also while no version is
/// written, and never go back. No host may claim to be more current than it is.
/// In some runs the store comes back from an older copy; then a version counts
/// as confirmed if the store still has it, or when it was written again.
#pragma once

#include <serve/relay_table.hpp>
#include <serve/store_client.hpp>
#include <serve/store_gateway.hpp>

#include <bronzespar/proxy/host.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace settings_test {

using namespace bronzespar;

/// A host in touch acts on a version within this time after its confirmation.
inline constexpr duration SettingsDeadline = 3s;
/// A host is in touch when it has been undisturbed for this long.
inline constexpr duration ContactPeriod = 4s;
/// Added to the deadline while the store has been disturbed recently.
inline constexpr duration UnstableStoreAllowance = 12s;

/// \brief Events on virtual time; those of one instant run in order.
struct event_queue {
  struct timed_event {
    instant At{};
    std::uint64_t Number = 0;
    std::function<void()> Run;
    bool operator<(const timed_event &Other) const noexcept {
      return At != Other.At ? At > Other.At : Number > Other.Number;
    }
  };
  instant Now = instant(1000s);
  std::uint64_t LastNumber = 0;
  std::priority_queue<timed_event> Events;

  void at(instant When, std::function<void()> Run);
  void runUntil(instant End);
};

/// \brief The platform's store: items, their history, and waiting watches.
struct simulated_store {
  using answer_function = std::function<void(platform::http_answer)>;
  struct waiting_watch {
    std::string Prefix;
    std::uint64_t After = 0;
    instant Deadline{};
    answer_function Done;
  };
  struct past_change {
    std::uint64_t Revision = 0;
    platform::store_change Change;
    instant At{};
  };
  event_queue &Queue;
  std::map<std::string, proxy::store_record> Items;
  std::deque<past_change> History;
  std::vector<waiting_watch> Watches;
  std::uint64_t Revision = 1;
  std::uint64_t HistoryFrom = 0; ///< Earlier changes are forgotten.
  std::size_t Calls = 0;
  std::uint64_t Era = 0;

  void write(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// Answers a call, at once or when a watch's wait is over.
  void handle(const platform::http_call &Call, const answer_function &Done);
  void endOverdueWatches();
  /// Ends all watches without an answer.
  void endWatches();
  /// Forgets all changes after a moment, and begins the next era.
  void restore(instant CopiedAt);

private:
  [[nodiscard]] platform::http_answer answerWith(unsigned Status,
                                                 std::string Body) const;
  void record(const platform::store_change &Change);
  [[nodiscard]] std::optional<platform::http_answer>
  changesAfter(const std::string &Prefix, std::uint64_t After) const;
};

/// \brief A connection that may go silent: what is sent on it is lost until it
/// is closed and another one opened.
struct simulated_connection {
  bool Silent = false;
  std::uint64_t Generation = 0; ///< Increases when it is opened anew.
  std::uint64_t Received = 0;   ///< Messages, begun or complete.
};

/// \brief A connection to the store, which carries one call at a time.
struct simulated_store_link {
  struct pending_call {
    platform::http_call Call;
    platform::http_callback Done;
  };
  simulated_connection Connection;
  std::deque<pending_call> Calls;
  bool Busy = false;
  std::uint64_t CallNumber = 0; ///< Of the call under way.
};

enum class refusal { TooMany, Reset, Silence };

struct simulated_host {
  std::string Name;
  std::string DataCentre;
  endpoint Where;
  double LinkMbps = 0;
  unsigned Incarnation = 0;
  bool Running = false;
  instant SuspendedUntil{};
  instant StoreCutUntil{}; ///< Neither side hears the other.
  instant RefusedUntil{};  ///< The store turns the host away.
  refusal Refusal = refusal::TooMany;
  instant SlowUntil{};
  instant LossyUntil{}; ///< Much of what it and the store send is held up.

  instant UndisturbedSince{};
  instant SendsAt{};         ///< When its link is free to send.
  instant ReceivesAt{};      ///< When its link is free to receive.
  std::uint64_t Version = 0; ///< That it acts on.
  std::uint64_t Era = 0;     ///< Of the store, as its decisions were told.
  instant ProvenAt{}; ///< It claims to have all versions confirmed before.

  std::vector<std::shared_ptr<simulated_store_link>> StoreLinks;
  std::map<endpoint, simulated_connection> PeerLinks;
  serve::relay_table Relays;
  proxy::host_pointer Host;
  std::unique_ptr<serve::store_gateway> Gateway;
  std::unique_ptr<serve::store_client> Store;
};

struct simulated_settings {
  /// \param RestoresStore The store comes back from older copies, after
  /// outages.
  explicit simulated_settings(unsigned Seed, bool RestoresStore = false);

  /// Runs disturbances and versions, then a calm end.
  void run();

  event_queue Queue;
  simulated_store Store{Queue, {}, {}, {}, 1, 0, 0};
  std::map<std::string, simulated_host> Hosts;
  std::vector<std::string> Violations;
  std::vector<std::string> Trace;
  std::size_t Versions = 0;
  bool TracesCalls = false;
  std::size_t Restores = 0;

private:
  struct version {
    std::uint64_t Number = 0;
    instant ConfirmedAt{};
  };

  [[nodiscard]] double draw() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  [[nodiscard]] duration drawSpan(duration Least, duration Most);
  [[nodiscard]] simulated_host &drawHost();
  /// Runs a function in a host's process: later while it is suspended, never
  /// if it ends before.
  void post(simulated_host &Host, duration Delay, std::function<void()> Run);
  void trace(const std::string &Text);

  void startHost(simulated_host &Host);
  void stopHost(simulated_host &Host);
  void restartHost(simulated_host &Host, bool Moves);
  void takeEvent(simulated_host &Host, proxy::event Event);
  [[nodiscard]] serve::gateway_links makeLinks(simulated_host &Host);
  /// Adds a watch of the document and its end to the trace.
  void traceCall(const simulated_host &Host, const std::string &Whom,
                 const platform::http_call &Call,
                 platform::http_callback &Done);
  void nextCall(simulated_host &Host,
                const std::shared_ptr<simulated_store_link> &Link);
  void endCall(const std::shared_ptr<simulated_store_link> &Link,
               std::uint64_t Number, platform::http_answer Answer, bool Closes);
  void sendToStore(simulated_host &Host, const platform::http_call &Call,
                   const simulated_store::answer_function &Done);
  void relay(simulated_host &From, const endpoint &Peer,
             const platform::http_call &Call, serve::relay_callback Done);
  void tick(simulated_host &Host);
  void renew(simulated_host &Host);
  void changeRecord(simulated_host &Host);

  /// Writes to the store, after its outage if there is one.
  void whenStoreIsUp(std::function<void()> Write);
  void writeRecord(simulated_host &Host);
  void scheduleRestores();
  void beginOutage();
  void restoreStore(instant CopiedAt);
  /// Writes what was lost again: the operators' document, and hosts' records.
  void rewriteLost();
  void writeVersion(std::size_t Bytes);
  void scheduleVersions();
  void disturb();
  /// One host, or about a third of them.
  [[nodiscard]] std::vector<simulated_host *> drawHosts();
  void silenceConnections();

  void disturbed(simulated_host &Host, instant Until);
  void check();
  /// The newest version that was confirmed before.
  [[nodiscard]] std::uint64_t confirmedBefore(instant At) const;
  void violate(const simulated_host &Host, const std::string &Text);

  std::mt19937 Random;
  std::vector<version> Confirmed;
  instant StoreStableSince{};
  instant End{};
  std::uint64_t LastRelay = 0;
  bool RestoresStore = false;
  instant StoreDownUntil{};
  refusal Outage = refusal::Reset;
  std::uint64_t LastVersion = 0;
  std::string LastDocument; ///< Of LastVersion.
};

} // namespace settings_test
