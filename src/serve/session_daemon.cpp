/// Event loop of a session host.
#include "session_daemon.hpp"

#include "callers.hpp"
#include "journal.hpp"
#include "meters.hpp"
#include "peer_links.hpp"
#include "store_gateway.hpp"
#include "targets.hpp"
#include "text_server.hpp"

#include <platform/node_file.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <deque>
#include <optional>

namespace bronzespar::serve {

namespace {

namespace asio = boost::asio;
namespace effects = proxy::effects;

/// Resolution of all deadlines; a shorter interval costs more processor time.
constexpr duration TickInterval = std::chrono::milliseconds(20);

constexpr unsigned StatusReady = 200;
constexpr unsigned StatusNotReady = 503;
constexpr unsigned StatusUnknownPath = 404;

struct session_daemon {
  session_daemon(const serve_settings &Settings,
                 std::function<std::string()> RereadSettings)
      : Reread(std::move(RereadSettings)),
        LateProofAge(Settings.SettingsDeadline * 6 / 10),
        Memory(Io, Settings.MemoryMb,
               [this](proxy::client_holder Holder, std::size_t Bytes) {
                 closeHolder(Holder, Bytes);
               }),
        Host(proxy::makeHost(Settings.Identity)), TickTimer(Io), Signals(Io),
        Limits(proxy::makeConnectionLimits(Settings.MaxDescriptors)),
        Callers(Io, Settings.Callers, sink(), Memory, Limits.Callers,
                [this](std::string_view Event) { writeLog(Event, {}); }),
        Targets(Io, sink()),
        Peers(
            Io, Settings.Identity.PeerEndpoint, sink(),
            [this](platform::http_call Call, relay_callback Done) {
              Gateway.relayFor(std::move(Call), std::move(Done));
            },
            [this](const std::string &Link, std::size_t Bytes) {
              writeLog("peer.invalid",
                       {{"link", Link}, {"bytes", std::to_string(Bytes)}});
            }),
        Gateway(makeGatewayLinks(Io, Settings.Store, Settings.PromotionEndpoint,
                                 Peers),
                sink(),
                [this](std::string_view Event,
                       std::vector<effects::log_field> Fields) {
                  writeLog(Event, std::move(Fields));
                }),
        Store(
            makeScheduler(Io), Gateway.makeChannels(), sink(),
            [this](const std::string &Key, const std::string &Fault) {
              writeLog("store.unusable", {{"key", Key}, {"fault", Fault}});
            },
            [this](const effects::order_promotion &Order) {
              return proxy::mayOrder(*Host, Order, bootNow());
            },
            bootNow, Settings.SettingsDeadline),
        Readiness(
            Io, Settings.Readiness,
            [this](const std::string &Path) { return answerReadiness(Path); },
            Limits.Monitors),
        Metrics(
            Io, Settings.Metrics,
            [this](const std::string &) {
              Meters.StoreCalls = Gateway.callCounts();
              return text_answer{StatusReady, formatMeters(Meters)};
            },
            Limits.Monitors) {
    Peers.limitUnproven(
        Memory, Limits.UnprovenPeers,
        [this](std::string_view Event) { writeLog(Event, {}); });
    Log.Host = Settings.Identity.Name;
    Gateway.setWatchServer(
        [this](const platform::http_call &Call, platform::http_callback Done) {
          return Store.serveWatch(Call, std::move(Done));
        });
    Gateway.setEraSink([this](std::uint64_t Era) { Store.enterEra(Era); });
    Store.setReceiptSink(
        [this](const proxy::watch_receipt &Receipt, std::uint64_t Version) {
          recordReceipt(Receipt, Version);
        });
  }

  event_sink sink() {
    return [this](proxy::event Event) { post(std::move(Event)); };
  }

  void recordReceipt(const proxy::watch_receipt &Receipt,
                     std::uint64_t Version) {
    if (Version == 0) {
      if (Receipt.IsProven)
        countProofAge(Meters, Receipt.ProofAge);
      if (Receipt.IsProven && Receipt.ProofAge < LateProofAge)
        return;
    }
    writeLog(
        Version == 0 ? "settings.unproved" : "settings.received",
        {{"version", std::to_string(Version)},
         {"via", Receipt.Via.empty() ? "store" : Receipt.Via},
         {"hops", std::to_string(Receipt.Hops)},
         {"proof_ms", Receipt.IsProven ? std::to_string(static_cast<int>(
                                             toMilliseconds(Receipt.ProofAge)))
                                       : "none"}});
  }

  /// Ends a connection because clients hold too much memory together.
  void closeHolder(proxy::client_holder Holder, std::size_t Bytes) {
    writeLog("memory.exceeded",
             {{"client", std::string(enumName(Holder.Kind))},
              {"number", std::to_string(Holder.Number)},
              {"bytes", std::to_string(Bytes)},
              {"held_bytes", std::to_string(Memory.budget().Held)}});
    if (Holder.Kind == proxy::client_kind::Caller)
      Callers.cutOff(Holder.Number, "caller.oversized");
    else
      Peers.cutOff(Holder.Number, "peer.oversized");
  }

  /// Once a second.
  void sweepClients() {
    if (bootNow() < NextSweep)
      return;
    NextSweep = bootNow() + caller_listener::SweepInterval;
    Callers.sweep();
    Peers.sweepUnproven();
  }

  text_answer answerReadiness(const std::string &Path) const {
    if (Path != platform::ReadinessPath)
      return {StatusUnknownPath, "no such path\n"};
    return {Ready ? StatusReady : StatusNotReady, {}};
  }

  /// Steps the host's state machine and carries out its effects. An event that
  /// is raised meanwhile is queued and handled afterwards.
  void post(proxy::event Event) {
    Events.push_back(std::move(Event));
    if (Stepping)
      return;
    Stepping = true;
    while (!Events.empty()) {
      proxy::event Next = std::move(Events.front());
      Events.pop_front();
      Effects.clear();
      proxy::step(*Host, std::move(Next), bootNow(), Effects);
      for (const proxy::effect &Effect : Effects)
        std::visit([this](const auto &Value) { carryOut(Value); }, Effect);
    }
    Stepping = false;
  }

  void carryOut(const effects::accept_session &E) { Callers.carryOut(E); }
  void carryOut(const effects::refuse_session &E) { Callers.carryOut(E); }
  void carryOut(const effects::answer_caller &E) { Callers.carryOut(E); }
  void carryOut(const effects::close_session &E) { Callers.carryOut(E); }
  void carryOut(const effects::open_target &E) { Targets.carryOut(E); }
  void carryOut(const effects::send_target &E) { Targets.carryOut(E); }
  void carryOut(const effects::close_target &E) { Targets.carryOut(E); }
  void carryOut(const effects::probe_target &E) { Targets.carryOut(E); }
  void carryOut(const effects::change_records &E) { Store.carryOut(E); }
  void carryOut(const effects::read_records &E) { Store.carryOut(E); }
  void carryOut(const effects::grant_lease &E) { Store.carryOut(E); }
  void carryOut(const effects::renew_lease &E) { Store.carryOut(E); }
  void carryOut(const effects::revoke_lease &E) { Store.carryOut(E); }
  void carryOut(const effects::order_promotion &E) { Store.carryOut(E); }
  void carryOut(const effects::forward &E) { Peers.carryOut(E); }
  void carryOut(const effects::end_forward &E) { Peers.carryOut(E); }
  void carryOut(const effects::answer_forward &E) { Peers.carryOut(E); }
  void carryOut(const effects::report_pending &E) { Peers.carryOut(E); }
  void carryOut(const effects::announce_stop &E) { Peers.carryOut(E); }
  void carryOut(const effects::check_peer &E) { Peers.carryOut(E); }
  void carryOut(const effects::drop_peer &E) { Peers.carryOut(E); }
  void carryOut(const effects::request_vote &E) { Peers.carryOut(E); }
  void carryOut(const effects::send_vote &E) { Peers.carryOut(E); }
  void carryOut(const effects::request_position &E) { Peers.carryOut(E); }
  void carryOut(const effects::send_position &E) { Peers.carryOut(E); }
  void carryOut(const effects::request_tokens &E) { Peers.carryOut(E); }
  void carryOut(const effects::grant_tokens &E) { Peers.carryOut(E); }
  void carryOut(const effects::set_store_relays &E) {
    Gateway.setRelays(E.Relays);
  }
  void carryOut(const effects::set_watch_sources &E) {
    Gateway.setWatchSources(E.Sources);
  }
  void carryOut(const effects::set_ready &E) { Ready = E.Ready; }
  void carryOut(const effects::write_log &E) {
    Meters.Events[E.Event] += 1;
    addLine(Log, E, bootNow());
  }
  void carryOut(const effects::record_outcome &E) { countOutcome(Meters, E); }
  void carryOut(const effects::stop_process &E) {
    EndBy = E.EndBy;
    Callers.stopAccepting();
    endWhenDrained();
  }

  /// Ends the process when the last answers were received, or it is time.
  void endWhenDrained() {
    if (!EndBy || (!Callers.isDrained() && bootNow() < *EndBy))
      return;
    // After the handlers that are queued now.
    asio::post(Io, [this] { Io.stop(); });
  }

  void writeLog(std::string_view Event,
                std::vector<effects::log_field> Fields) {
    carryOut(effects::write_log{Event, std::move(Fields)});
  }

  void tick() {
    TickTimer.expires_after(TickInterval);
    TickTimer.async_wait([this](const boost::system::error_code &Cancelled) {
      if (Cancelled)
        return;
      post(proxy::events::tick{});
      sweepClients();
      Gateway.checkIsolation(bootNow());
      Gateway.reportCalls(bootNow());
      Peers.supervise(bootNow());
      Store.answerOverduePeers();
      endWhenDrained();
      flushLines(Log);
      tick();
    });
  }

  void awaitSignal() {
    Signals.async_wait(
        [this](const boost::system::error_code &Cancelled, int Number) {
          if (Cancelled)
            return;
          if (Number == SIGHUP)
            writeLog("settings.reread", {{"result", Reread()}});
          else
            post(proxy::events::stop_requested{});
          awaitSignal();
        });
  }

  int run() {
    setOutputNonBlocking();
    Signals.add(SIGTERM);
    Signals.add(SIGINT);
    Signals.add(SIGHUP);
    writeLog("host.started", {{"version", BRONZESPAR_VERSION}});
    awaitSignal();
    Callers.start();
    Peers.start();
    Readiness.start();
    Metrics.start();
    Store.start();
    tick();
    Io.run();
    flushLines(Log);
    return 0;
  }

  std::function<std::string()> Reread;
  duration LateProofAge; ///< An answer with an older proof is logged.

  /// Outlives the connections, the last of which end with Io.
  client_memory Memory;
  asio::io_context Io{1};
  proxy::host_pointer Host;
  std::deque<proxy::event> Events;
  proxy::effect_list Effects;
  bool Stepping = false;
  bool Ready = false;
  std::optional<instant> EndBy; ///< Set once the process is to end.
  journal Log;
  meters Meters;
  asio::steady_timer TickTimer;
  asio::signal_set Signals;
  instant NextSweep{};
  proxy::connection_limits Limits;
  caller_listener Callers;
  target_links Targets;
  peer_links Peers;
  store_gateway Gateway;
  store_client Store;
  text_server Readiness;
  text_server Metrics;
};

} // namespace

int runSessionDaemon(const serve_settings &Settings,
                     std::function<std::string()> Reread) {
  session_daemon Daemon(Settings, std::move(Reread));
  return Daemon.run();
}

} // namespace bronzespar::serve
