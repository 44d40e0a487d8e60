/// The daemon: makes the duties, joins them by rings, and stops them in order.
#include <bronzespar/net/daemon.hpp>

#include "caller_server.hpp"
#include "clock.hpp"
#include "duty_thread.hpp"
#include "effect_outlet.hpp"
#include "member_watch.hpp"
#include "observer.hpp"
#include "peer_links.hpp"
#include "platform_client.hpp"
#include "target_links.hpp"

#include <bronzespar/host_state.hpp>
#include <bronzespar/state_chart.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <future>

namespace bronzespar {

namespace {

namespace asio = boost::asio;

/// Events are sent at least every 5 ms (events::tick).
constexpr duration TickInterval = 3ms;
/// Requests that may wait for the decisions before callers are refused.
constexpr std::size_t CallerRing = 1024;
constexpr std::size_t EventRing = 8192;
constexpr std::size_t EffectRing = 8192;
constexpr std::size_t ObservationRing = 16384;
constexpr std::size_t MetricsRing = 64;

std::uint64_t wallMilliseconds() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count());
}

std::string requestIdPrefix(const host_id &Host, std::uint64_t Incarnation) {
  char Start[20];
  std::snprintf(Start, sizeof Start, "%llx",
                static_cast<unsigned long long>(Incarnation));
  return Host.Value + '-' + Start + '-';
}

/// Stops the callers' duty once all effects before it are carried out.
struct stop_callers {};

using caller_effect =
    std::variant<effects::answer_caller, effects::answer_explain,
                 effects::answer_status, effects::set_ready, stop_callers>;
using target_effect =
    std::variant<effects::open_connection, effects::send_statement,
                 effects::close_connection, effects::watch_member,
                 effects::unwatch_member, effects::send_control_command>;
using peer_effect =
    std::variant<effects::connect_peer, effects::disconnect_peer,
                 effects::send_peer_message>;

class daemon {
public:
  daemon(const daemon_options &Options, std::uint64_t Start,
         host_state_ptr Decider);

  /// \returns False when it cannot listen.
  [[nodiscard]] bool run(const std::function<void()> &Listening);

private:
  [[nodiscard]] bool listen();
  void stopThreads();
  void tickLater();
  void awaitSignal();
  void decide(const event &Event);

  void dispatch(effects::answer_caller &&Effect) {
    ToCallers.push(std::move(Effect));
  }
  void dispatch(effects::answer_explain &&Effect) {
    ToCallers.push(std::move(Effect));
  }
  void dispatch(effects::answer_status &&Effect) {
    ToCallers.push(std::move(Effect));
  }
  void dispatch(effects::set_ready &&Effect) { ToCallers.push(Effect); }
  void dispatch(effects::stop_process &&) { ToCallers.push(stop_callers{}); }
  void dispatch(effects::open_connection &&Effect) {
    ToTargets.push(std::move(Effect));
  }
  void dispatch(effects::send_statement &&Effect) {
    ToTargets.push(std::move(Effect));
  }
  void dispatch(effects::close_connection &&Effect) { ToTargets.push(Effect); }
  void dispatch(effects::watch_member &&Effect) {
    ToTargets.push(std::move(Effect));
  }
  void dispatch(effects::unwatch_member &&Effect) {
    ToTargets.push(std::move(Effect));
  }
  void dispatch(effects::send_control_command &&Effect) {
    ToTargets.push(std::move(Effect));
  }
  void dispatch(effects::connect_peer &&Effect) {
    ToPeers.push(std::move(Effect));
  }
  void dispatch(effects::disconnect_peer &&Effect) {
    ToPeers.push(std::move(Effect));
  }
  void dispatch(effects::send_peer_message &&Effect) {
    ToPeers.push(std::move(Effect));
  }
  void dispatch(effects::call_platform &&Effect) {
    ToPlatform.push(std::move(Effect));
  }
  void dispatch(effects::record_trace &&Effect) {
    ToObserver.push(std::move(Effect));
  }
  void dispatch(effects::write_log &&Effect) {
    ToObserver.push(std::move(Effect));
  }

  caller_outlets callerOutlets();
  void carryOut(caller_effect &&Effect);
  void carryOut(target_effect &&Effect);
  void carryOut(peer_effect &&Effect);

  host_settings Self;
  std::uint64_t Incarnation;

  duty_thread Logging{"logging"};
  duty_thread Decisions{"decisions"};
  duty_thread Targets{"targets"};
  duty_thread Peers{"peers"};
  duty_thread Platform{"platform"};
  duty_thread Callers{"callers"};

  host_state_ptr State;
  effect_list Effects; ///< Of the event being decided; else empty.
  one_shot Tick;
  asio::signal_set Signals;
  std::promise<void> CallersStopped;

  duty_ring<event> FromCallers;
  duty_ring<event> FromTargets;
  duty_ring<event> FromPeers;
  duty_ring<event> FromPlatform;
  effect_outlet<caller_effect> ToCallers;
  effect_outlet<target_effect> ToTargets;
  effect_outlet<peer_effect> ToPeers;
  effect_outlet<effects::call_platform> ToPlatform;
  effect_outlet<observation> ToObserver;
  duty_ring<observation> CallersToObserver;
  duty_ring<observation> PeersToObserver;
  duty_ring<metrics_rendered> ObserverToCallers;

  observer Observer;
  target_links TargetLinks;
  member_watch MemberWatch;
  peer_links PeerLinks;
  platform_client PlatformClient;
  caller_server CallerServer;
};

event_sink sinkInto(duty_ring<event> &Ring) {
  return [&Ring](event &&Event) { Ring.pushWaiting(std::move(Event)); };
}

daemon::daemon(const daemon_options &Options, std::uint64_t Start,
               host_state_ptr Decider)
    : Self(Options.Self), Incarnation(Start), State(std::move(Decider)),
      Tick(Decisions.loop()), Signals(Decisions.loop(), SIGTERM, SIGINT),
      FromCallers(Decisions.loop(), CallerRing,
                  [this](event &&Event) { decide(Event); }),
      FromTargets(Decisions.loop(), EventRing,
                  [this](event &&Event) { decide(Event); }),
      FromPeers(Decisions.loop(), EventRing,
                [this](event &&Event) { decide(Event); }),
      FromPlatform(Decisions.loop(), EventRing,
                   [this](event &&Event) { decide(Event); }),
      ToCallers(
          Callers.loop(), EffectRing,
          [this](caller_effect &&Effect) { carryOut(std::move(Effect)); }),
      ToTargets(
          Targets.loop(), EffectRing,
          [this](target_effect &&Effect) { carryOut(std::move(Effect)); }),
      ToPeers(Peers.loop(), EffectRing,
              [this](peer_effect &&Effect) { carryOut(std::move(Effect)); }),
      ToPlatform(Platform.loop(), EffectRing,
                 [this](const effects::call_platform &Effect) {
                   PlatformClient.carryOut(Effect);
                 }),
      ToObserver(Logging.loop(), ObservationRing,
                 [this](const observation &Item) { Observer.take(Item); }),
      CallersToObserver(
          Logging.loop(), MetricsRing,
          [this](const observation &Item) { Observer.take(Item); }),
      PeersToObserver(Logging.loop(), ObservationRing,
                      [this](const observation &Item) { Observer.take(Item); }),
      ObserverToCallers(Callers.loop(), MetricsRing,
                        [this](const metrics_rendered &Metrics) {
                          CallerServer.answerMetrics(Metrics.Caller,
                                                     Metrics.Text);
                        }),
      Observer(Logging.loop(), Self.LogLevel,
               [this](metrics_rendered &&Metrics) {
                 ObserverToCallers.pushWaiting(std::move(Metrics));
               }),
      TargetLinks(Targets.loop(), sinkInto(FromTargets)),
      MemberWatch(Targets.loop(), sinkInto(FromTargets)),
      PeerLinks(Peers.loop(), Self, Incarnation, sinkInto(FromPeers),
                [this](effects::write_log &&Entry) {
                  PeersToObserver.pushWaiting(std::move(Entry));
                }),
      PlatformClient(Platform.loop(), Self, Options.Seed,
                     sinkInto(FromPlatform)),
      CallerServer(Callers.loop(), {}, requestIdPrefix(Self.Id, Incarnation),
                   callerOutlets()) {}

caller_outlets daemon::callerOutlets() {
  caller_outlets Outlets;
  Outlets.Offer = [this](event &&Event) { return FromCallers.push(Event); };
  Outlets.Report = sinkInto(FromCallers);
  Outlets.AskMetrics = [this](caller_ref Caller) {
    observation Asked = metrics_asked{Caller};
    return CallersToObserver.push(Asked);
  };
  Outlets.Stopped = [this] { CallersStopped.set_value(); };
  return Outlets;
}

void daemon::carryOut(caller_effect &&Effect) {
  std::visit(
      [this](const auto &Kind) {
        if constexpr (std::is_same_v<std::decay_t<decltype(Kind)>,
                                     stop_callers>)
          CallerServer.stop();
        else
          CallerServer.carryOut(Kind);
      },
      Effect);
}

void daemon::carryOut(target_effect &&Effect) {
  std::visit(
      [this](const auto &Kind) {
        if constexpr (requires { TargetLinks.carryOut(Kind); })
          TargetLinks.carryOut(Kind);
        else
          MemberWatch.carryOut(Kind);
      },
      Effect);
}

void daemon::carryOut(peer_effect &&Effect) {
  std::visit([this](const auto &Kind) { PeerLinks.carryOut(Kind); }, Effect);
}

void daemon::decide(const event &Event) {
  step(*State, Event, presentInstant(), Effects);
  for (effect &Effect : Effects)
    std::visit([this](auto &Kind) { dispatch(std::move(Kind)); }, Effect);
  Effects.clear();
}

void daemon::tickLater() {
  Tick.start(TickInterval, [this] {
    ToCallers.flush();
    ToTargets.flush();
    ToPeers.flush();
    ToPlatform.flush();
    ToObserver.flush();
    decide(events::tick{});
    tickLater();
  });
}

void daemon::awaitSignal() {
  Signals.async_wait([this](const boost::system::error_code &Error, int) {
    if (Error)
      return;
    decide(events::leave_requested{});
    awaitSignal();
  });
}

bool daemon::listen() {
  return PeerLinks.listen(Self.Peers) && CallerServer.listen(Self.Callers);
}

void daemon::stopThreads() {
  FromCallers.close();
  FromTargets.close();
  FromPeers.close();
  FromPlatform.close();
  CallersToObserver.close();
  PeersToObserver.close();
  ObserverToCallers.close();
  // Each duty carries out what was handed to it before its thread stops.
  for (duty_thread *Thread :
       {&Decisions, &Callers, &Platform, &Peers, &Targets, &Logging}) {
    std::promise<void> Drained;
    asio::post(Thread->loop(), [&Drained] { Drained.set_value(); });
    Drained.get_future().wait();
    Thread->stop();
  }
}

bool daemon::run(const std::function<void()> &Listening) {
  if (!listen())
    return false;
  tickLater();
  awaitSignal();
  for (duty_thread *Thread :
       {&Logging, &Decisions, &Targets, &Peers, &Platform, &Callers})
    Thread->start();
  if (Listening)
    Listening();
  CallersStopped.get_future().wait();
  stopThreads();
  return true;
}

boost::leaf::result<host_state_ptr>
startDecisions(const daemon_options &Options, std::uint64_t Incarnation) {
  return boost::leaf::try_handle_some(
      [&] { return makeHostState(Options.Self, Options.Seed, Incarnation); },
      [](const chart_fault &Fault) -> boost::leaf::result<host_state_ptr> {
        return boost::leaf::new_error(
            daemon_fault{daemon_fault_kind::WrongChart, toText(Fault)});
      });
}

} // namespace

boost::leaf::result<void> runDaemon(const daemon_options &Options) {
  const std::uint64_t Incarnation = wallMilliseconds();
  BOOST_LEAF_AUTO(State, startDecisions(Options, Incarnation));
  daemon Daemon(Options, Incarnation, std::move(State));
  if (!Daemon.run(Options.Listening)) {
    return boost::leaf::new_error(
        daemon_fault{daemon_fault_kind::CannotListen,
                     "cannot listen on " + toText(Options.Self.Callers) +
                         " and " + toText(Options.Self.Peers)});
  }
  return {};
}

} // namespace bronzespar
