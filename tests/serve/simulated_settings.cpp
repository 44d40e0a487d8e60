/// The simulated fleet's hosts and links, its disturbances, and the check.
#include "simulated_settings.hpp"

#include <proxy/records.hpp>
#include <proxy/state.hpp>

#include <algorithm>
#include <utility>

namespace settings_test {

namespace {

constexpr duration OneWay = 1ms;
constexpr duration StoreWork = 4ms;
constexpr duration TickInterval = 20ms;
constexpr duration CheckInterval = 50ms;
constexpr duration RenewalInterval = 500ms;
constexpr duration DisturbedTime = 24s;
constexpr duration CalmTime = 8s;
constexpr unsigned DataCentres = 3;
constexpr unsigned HostsPerDataCentre = 6;
constexpr unsigned FastHosts = 2; ///< Of each data centre.
/// Of the calls of a host with a lossy link.
constexpr double HeldUpShare = 0.6;
constexpr double FastMbps = 200;
constexpr double SlowMbps = 10;
constexpr std::uint16_t FirstPort = 7000;

duration transferTime(std::size_t Bytes, double Mbps) {
  return duration(
      static_cast<duration::rep>(static_cast<double>(Bytes) * 8 / Mbps));
}

std::string formatDocument(std::uint64_t Version, std::size_t Bytes) {
  return R"({"Version":)" + std::to_string(Version) +
         R"(,"Routes":[],"Services":[],"Limits":{},"Padding":")" +
         std::string(Bytes, 'x') + "\"}";
}

} // namespace

simulated_settings::simulated_settings(unsigned Seed, bool RestoresTheStore)
    : Random(Seed), RestoresStore(RestoresTheStore) {
  if (RestoresStore)
    Store.Era = 1;
  for (unsigned Number = 0; Number < DataCentres * HostsPerDataCentre;
       ++Number) {
    const std::string Name = "host-" + std::to_string(Number);
    simulated_host &Host = Hosts[Name];
    Host.Name = Name;
    Host.DataCentre = "dc-" + std::to_string(Number % DataCentres);
    Host.Where = {"10.0.0.1", static_cast<std::uint16_t>(FirstPort + Number)};
    Host.LinkMbps =
        Number / DataCentres < FastHosts ? FastMbps : SlowMbps * (1 + draw());
  }
  writeVersion(1000);
  for (auto &[Name, Host] : Hosts)
    startHost(Host);
}

duration simulated_settings::drawSpan(duration Least, duration Most) {
  return duration(std::uniform_int_distribution<duration::rep>(
      Least.count(), Most.count())(Random));
}

simulated_host &simulated_settings::drawHost() {
  return std::next(Hosts.begin(),
                   static_cast<std::ptrdiff_t>(Random() % Hosts.size()))
      ->second;
}

void simulated_settings::trace(const std::string &Text) {
  Trace.push_back(std::to_string(toSeconds(Queue.Now - instant(1000s))) + ' ' +
                  Text);
}

void simulated_settings::post(simulated_host &Host, duration Delay,
                              std::function<void()> Run) {
  if (Queue.Now < Host.SlowUntil)
    Delay += drawSpan(0ms, 300ms);
  Queue.at(Queue.Now + Delay, [this, &Host, Incarnation = Host.Incarnation,
                               Run = std::move(Run)]() mutable {
    if (!Host.Running || Host.Incarnation != Incarnation)
      return;
    if (Queue.Now < Host.SuspendedUntil)
      post(Host, Host.SuspendedUntil - Queue.Now, std::move(Run));
    else
      Run();
  });
}

void simulated_settings::startHost(simulated_host &Host) {
  Host.Running = true;
  Host.Incarnation += 1;
  Host.Version = 0;
  Host.Era = 0;

  proxy::host_identity Identity;
  Identity.Name = Host.Name;
  Identity.DataCentre = Host.DataCentre;
  Identity.PeerEndpoint = Host.Where;
  Host.Host = proxy::makeHost(Identity);
  const auto Sink = [this, &Host](proxy::event Event) {
    takeEvent(Host, std::move(Event));
  };
  Host.Gateway = std::make_unique<serve::store_gateway>(
      makeLinks(Host), Sink,
      [this, &Host](std::string_view Event,
                    const std::vector<proxy::effects::log_field> &) {
        if (Event != "store.calls")
          trace(Host.Name + ' ' + std::string(Event));
      });
  Host.Store = std::make_unique<serve::store_client>(
      [this, &Host](duration Delay, std::function<void()> Run) {
        post(Host, Delay, std::move(Run));
      },
      Host.Gateway->makeChannels(), Sink,
      [](const std::string &, const std::string &) {},
      [](const proxy::effects::order_promotion &) { return true; },
      [this] { return Queue.Now; });
  Host.Store->setReceiptSink([this, &Host](const proxy::watch_receipt &Receipt,
                                           std::uint64_t Version) {
    if (Receipt.IsProven)
      Host.ProvenAt = Queue.Now - Receipt.ProofAge;
    if (Version != 0 || Receipt.ProofAge > 2500ms)
      trace(Host.Name + " has " + std::to_string(Version) + " via " +
            (Receipt.Via.empty() ? "store" : Receipt.Via) + " proof " +
            std::to_string(toSeconds(Receipt.ProofAge)));
  });
  Host.Gateway->setEraSink(
      [&Host](std::uint64_t Era) { Host.Store->enterEra(Era); });
  Host.Gateway->setWatchServer(
      [&Host](const platform::http_call &Call, platform::http_callback Done) {
        return Host.Store->serveWatch(Call, std::move(Done));
      });
  Host.Store->start();
  whenStoreIsUp([this, &Host] { writeRecord(Host); });
  disturbed(Host, Queue.Now);
  tick(Host);
  renew(Host);
  changeRecord(Host);
}

void simulated_settings::stopHost(simulated_host &Host) {
  Host.Running = false;
  Host.Incarnation += 1;
  Host.Relays.Pending.clear();
  Host.PeerLinks.clear();
  Host.StoreLinks.clear();
  Host.Store.reset();
  Host.Gateway.reset();
  disturbed(Host, instant::max());
}

void simulated_settings::restartHost(simulated_host &Host, bool Moves) {
  stopHost(Host);
  trace(Host.Name + (Moves ? " ends, moves" : " ends"));
  const duration Down = drawSpan(200ms, 3s);
  if (Down > 1s)
    Queue.at(Queue.Now + 1s, [this, &Host] {
      whenStoreIsUp([this, &Host] {
        if (!Host.Running)
          Store.remove("bronzespar/hosts/" + Host.Name);
      });
    });
  if (Moves)
    Host.Where.Port = static_cast<std::uint16_t>(Host.Where.Port + 100);
  Queue.at(Queue.Now + Down, [this, &Host] { startHost(Host); });
}

void simulated_settings::takeEvent(simulated_host &Host, proxy::event Event) {
  // A restored store shows an older version, which the host must not act on.
  if (auto *Changed = std::get_if<proxy::events::settings_changed>(&Event);
      Changed != nullptr && Restores == 0 &&
      Changed->Settings.Version < Host.Version)
    Violations.push_back(Host.Name + " is told to go back to version " +
                         std::to_string(Changed->Settings.Version));
  if (const auto *Restored =
          std::get_if<proxy::events::store_restored>(&Event)) {
    if (Restored->Era <= Host.Era)
      violate(Host, "is told of an era again");
    Host.Era = Restored->Era;
  }
  proxy::effect_list Effects;
  proxy::step(*Host.Host, std::move(Event), Queue.Now, Effects);
  const std::uint64_t Version =
      Host.Host->Settings ? Host.Host->Settings->Version : 0;
  if (Version < Host.Version)
    Violations.push_back(Host.Name + " goes back to version " +
                         std::to_string(Version));
  Host.Version = Version;
  for (const proxy::effect &Effect : Effects) {
    if (const auto *Relays =
            std::get_if<proxy::effects::set_store_relays>(&Effect))
      Host.Gateway->setRelays(Relays->Relays);
    if (const auto *Sources =
            std::get_if<proxy::effects::set_watch_sources>(&Effect))
      Host.Gateway->setWatchSources(Sources->Sources);
  }
}

serve::gateway_links simulated_settings::makeLinks(simulated_host &Host) {
  serve::gateway_links Links;
  Links.OpenStoreLink = [this, &Host] {
    auto Link = std::make_shared<simulated_store_link>();
    Host.StoreLinks.push_back(Link);
    return serve::store_link{
        [this, &Host, Link](platform::http_call Call,
                            platform::http_callback Done) {
          traceCall(Host, "asks store", Call, Done);
          Link->Calls.push_back({std::move(Call), std::move(Done)});
          if (!Link->Busy)
            nextCall(Host, Link);
        },
        [this, &Host, Link] {
          if (Link->Busy && Link->Calls.front().Call.IsLongPoll)
            post(Host, 0ms, [this, Link, Number = Link->CallNumber] {
              endCall(Link, Number, {}, true);
            });
        }};
  };
  Links.CallStoreOnce = [this, &Host](platform::http_call Call,
                                      platform::http_callback Done) {
    traceCall(Host, "asks store anew", Call, Done);
    auto Link = std::make_shared<simulated_store_link>();
    Link->Calls.push_back({std::move(Call), std::move(Done)});
    nextCall(Host, Link);
  };
  Links.Relay = [this, &Host](const endpoint &Peer,
                              const platform::http_call &Call,
                              serve::relay_callback Done) {
    relay(Host, Peer, Call, std::move(Done));
  };
  Links.AbandonWatches = [&Host] { serve::abandonWatches(Host.Relays); };
  Links.Now = [this] { return Queue.Now; };
  return Links;
}

void simulated_settings::traceCall(const simulated_host &Host,
                                   const std::string &Whom,
                                   const platform::http_call &Call,
                                   platform::http_callback &Done) {
  if (!TracesCalls || !Call.IsLongPoll ||
      Call.Path.find("Prefix=op/") == std::string::npos)
    return;
  trace(Host.Name + ' ' + Whom);
  Done = [this, &Host, Whom,
          Done = std::move(Done)](platform::http_answer Answer) {
    trace(Host.Name + ' ' + Whom + ": " + std::to_string(Answer.Status) +
          " bytes " + std::to_string(Answer.Body.size()));
    Done(std::move(Answer));
  };
}

void simulated_settings::nextCall(
    simulated_host &Host, const std::shared_ptr<simulated_store_link> &Link) {
  if (Link->Calls.empty())
    return;
  Link->Busy = true;
  const std::uint64_t Number = ++Link->CallNumber;
  const platform::http_call &Call = Link->Calls.front().Call;
  post(Host, Call.Timeout,
       [this, Link, Number] { endCall(Link, Number, {}, true); });
  if (Link->Connection.Silent)
    return;
  const std::uint64_t Generation = Link->Connection.Generation;
  sendToStore(Host, Call,
              [this, Link, Number, Generation](platform::http_answer Answer) {
                if (Link->Connection.Silent ||
                    Link->Connection.Generation != Generation)
                  return;
                endCall(Link, Number, std::move(Answer), false);
              });
}

void simulated_settings::endCall(
    const std::shared_ptr<simulated_store_link> &Link, std::uint64_t Number,
    platform::http_answer Answer, bool Closes) {
  if (!Link->Busy || Link->CallNumber != Number)
    return;
  if (Closes || Answer.Status == 0) {
    Link->Connection.Silent = false;
    Link->Connection.Generation += 1;
  }
  const simulated_store_link::pending_call Ended =
      std::move(Link->Calls.front());
  Link->Calls.pop_front();
  Link->Busy = false;
  Ended.Done(std::move(Answer));
  if (Link->Busy || Link->Calls.empty())
    return;
  for (auto &[Name, Host] : Hosts)
    if (std::find(Host.StoreLinks.begin(), Host.StoreLinks.end(), Link) !=
        Host.StoreLinks.end())
      nextCall(Host, Link);
}

void simulated_settings::sendToStore(
    simulated_host &Host, const platform::http_call &Call,
    const simulated_store::answer_function &Done) {
  if (Queue.Now < Host.StoreCutUntil)
    return;
  if (Queue.Now < Host.LossyUntil && draw() < HeldUpShare)
    return;
  const bool IsDown = Queue.Now < StoreDownUntil;
  if (IsDown || Queue.Now < Host.RefusedUntil) {
    const refusal Refusal = IsDown ? Outage : Host.Refusal;
    platform::http_answer Answer;
    if (Refusal == refusal::TooMany) {
      Answer.Status = 429U;
      Answer.Era = Store.Era;
    }
    if (Refusal != refusal::Silence)
      post(Host, 2 * OneWay + StoreWork, [Done, Answer] { Done(Answer); });
    return;
  }
  Queue.at(Queue.Now + OneWay + StoreWork, [this, &Host, Call, Done,
                                            Incarnation = Host.Incarnation] {
    if (Queue.Now < StoreDownUntil)
      return;
    Store.handle(
        Call, [this, &Host, Done, Incarnation](platform::http_answer Answer) {
          if (Host.Incarnation != Incarnation ||
              Queue.Now < Host.StoreCutUntil || Queue.Now < Host.RefusedUntil)
            return;
          Host.ReceivesAt = std::max(Queue.Now, Host.ReceivesAt) +
                            transferTime(Answer.Body.size(), Host.LinkMbps);
          post(Host, Host.ReceivesAt - Queue.Now + OneWay,
               [Done, Answer = std::move(Answer)] { Done(Answer); });
        });
  });
}

void simulated_settings::relay(simulated_host &From, const endpoint &Peer,
                               const platform::http_call &Call,
                               serve::relay_callback Done) {
  const std::uint64_t Number = ++LastRelay;
  if (TracesCalls && Call.IsLongPoll &&
      Call.Path.find("Prefix=op/") != std::string::npos)
    trace(From.Name + " asks " + toText(Peer) + " for " +
          std::to_string(toSeconds(Call.Timeout)));

  const simulated_connection &Link = From.PeerLinks[Peer];
  serve::addRelay(From.Relays, Number, toText(Peer), Link.Received, Call,
                  Queue.Now, std::move(Done));

  const std::uint64_t Generation = Link.Generation;
  const auto Found =
      std::find_if(Hosts.begin(), Hosts.end(), [&](const auto &Entry) {
        return Entry.second.Where == Peer;
      });
  if (Link.Silent || Found == Hosts.end())
    return;
  simulated_host &To = Found->second;
  if (!To.Running) {
    post(From, 2 * OneWay,
         [&From, Peer] { serve::failRelaysOf(From.Relays, toText(Peer)); });
    return;
  }
  post(To, OneWay,
       [this, &From, &To, Peer, Number, Generation, Call,
        Incarnation = From.Incarnation] {
         To.Gateway->relayFor(Call, [this, &From, &To, Peer, Number, Generation,
                                     Incarnation](serve::relay_answer Answer) {
           if (From.Incarnation != Incarnation)
             return;
           Answer.Answer.Via = toText(Peer);
           const duration Sending =
               transferTime(Answer.Answer.Body.size(), To.LinkMbps);
           To.SendsAt = std::max(Queue.Now, To.SendsAt) + Sending;
           From.ReceivesAt = std::max(To.SendsAt, From.ReceivesAt);
           const auto Arrives = [&From, Peer, Generation] {
             simulated_connection &Back = From.PeerLinks[Peer];
             if (Back.Silent || Back.Generation != Generation)
               return false;
             Back.Received += 1;
             return true;
           };
           const duration Received = From.ReceivesAt - Queue.Now + OneWay;
           post(From, Received - Sending, [Arrives] { (void)Arrives(); });
           post(From, Received,
                [&From, Number, Arrives, Answer = std::move(Answer)] {
                  if (Arrives())
                    serve::finishRelay(From.Relays, Number, Answer);
                });
         });
       });
}

void simulated_settings::tick(simulated_host &Host) {
  Host.Gateway->checkIsolation(Queue.Now);
  const auto Received = [&Host](const std::string &Name) {
    return Host.PeerLinks[*parseEndpoint(Name)].Received;
  };
  for (const std::string &Name :
       serve::expireRelays(Host.Relays, Queue.Now, Received)) {
    simulated_connection &Link = Host.PeerLinks[*parseEndpoint(Name)];
    Link = {false, Link.Generation + 1, 0};
    serve::failRelaysOf(Host.Relays, Name);
  }

  Host.Store->answerOverduePeers();
  post(Host, TickInterval, [this, &Host] { tick(Host); });
}

void simulated_settings::renew(simulated_host &Host) {
  Host.Store->carryOut(proxy::effects::renew_lease{1});
  post(Host, RenewalInterval, [this, &Host] { renew(Host); });
}

/// Calls on this channel are rare, so that its connection may have gone silent
/// long before one is made.
void simulated_settings::changeRecord(simulated_host &Host) {
  post(Host, drawSpan(2s, 15s), [this, &Host] {
    Host.Store->carryOut(proxy::effects::change_records{});
    changeRecord(Host);
  });
}

void simulated_settings::writeVersion(std::size_t Bytes) {
  Versions += 1;
  LastVersion = 10 * Versions + Random() % 10;
  LastDocument = formatDocument(LastVersion, Bytes);
  Confirmed.push_back({LastVersion, Queue.Now});
  trace("version " + std::to_string(LastVersion) + " bytes " +
        std::to_string(Bytes));
  Store.write("op/config", LastDocument);
}

void simulated_settings::scheduleVersions() {
  const instant DisturbedUntil = End - CalmTime;
  instant At = Queue.Now;
  while (At < DisturbedUntil) {
    At += drawSpan(200ms, 4s);
    const bool IsLarge = draw() < 0.15;
    const unsigned Burst = !IsLarge && draw() < 0.3 ? 4 : 1;
    for (unsigned Number = 0; Number < Burst; ++Number) {
      const auto Bytes = static_cast<std::size_t>((IsLarge ? 100'000 : 2'000) +
                                                  8'000 * draw());
      Queue.at(At, [this, Bytes] {
        whenStoreIsUp([this, Bytes] { writeVersion(Bytes); });
      });
      At += drawSpan(50ms, 300ms);
    }
  }
}

void simulated_settings::disturbed(simulated_host &Host, instant Until) {
  Host.UndisturbedSince = std::max(Host.UndisturbedSince, Until);
  if (Until != instant::max() && Host.UndisturbedSince == instant::max())
    Host.UndisturbedSince = Until;
}

/// Some connections go silent; for the check, those of all hosts count as
/// reset.
void simulated_settings::silenceConnections() {
  trace("connections go silent");
  const double Share = 0.2 + 0.6 * draw();
  for (auto &[Name, Host] : Hosts) {
    for (const auto &Link : Host.StoreLinks)
      Link->Connection.Silent = Link->Connection.Silent || draw() < Share;
    for (auto &[Peer, Link] : Host.PeerLinks)
      Link.Silent = Link.Silent || draw() < Share;
    disturbed(Host, Queue.Now);
  }
}

std::vector<simulated_host *> simulated_settings::drawHosts() {
  if (draw() < 0.6)
    return {&drawHost()};
  std::vector<simulated_host *> Some;
  for (auto &[Name, Host] : Hosts)
    if (draw() < 0.3)
      Some.push_back(&Host);
  return Some;
}

void simulated_settings::disturb() {
  if (Queue.Now >= End - CalmTime)
    return;
  const double Kind = draw();
  simulated_host &Host = drawHost();
  const instant Until = Queue.Now + drawSpan(300ms, 5s);
  if (Kind < 0.08) {
    silenceConnections();
  } else if (Kind < 0.25) {
    for (simulated_host *Suspended : drawHosts()) {
      trace(Suspended->Name + " is suspended");
      Suspended->SuspendedUntil = Until;
      disturbed(*Suspended, Until);
    }
  } else if (Kind < 0.38) {
    for (simulated_host *Lossy : drawHosts()) {
      trace(Lossy->Name + " has a lossy link");
      Lossy->LossyUntil = Until;
      disturbed(*Lossy, Until);
    }
  } else if (Kind < 0.5 && Host.Running) {
    restartHost(Host, draw() < 0.5);
  } else if (Kind < 0.65 && Host.Running) {
    trace(Host.Name + " is cut off from the store");
    Host.StoreCutUntil = Until;
    disturbed(Host, Until);
  } else if (Kind < 0.8 && Host.Running) {
    trace(Host.Name + " is slow");
    Host.SlowUntil = Until;
    disturbed(Host, Until);
  } else if (Kind < 0.85) {
    trace("the store refuses hosts");
    StoreStableSince = std::max(StoreStableSince, Until);
    const auto Refusal = static_cast<refusal>(Random() % 3);
    for (auto &[Name, Refused] : Hosts)
      if (draw() < 0.4) {
        Refused.RefusedUntil = Until;
        Refused.Refusal = Refusal;
      }
  } else if (Kind < 0.9) {
    trace("the store forgets its history");
    Store.HistoryFrom = Store.Revision;
    StoreStableSince = std::max(StoreStableSince, Queue.Now);
  }
  Queue.at(Queue.Now + drawSpan(200ms, 2500ms), [this] { disturb(); });
}

std::uint64_t simulated_settings::confirmedBefore(instant At) const {
  std::uint64_t Newest = 0;
  for (const version &Each : Confirmed)
    if (Each.ConfirmedAt < At)
      Newest = Each.Number;
  return Newest;
}

void simulated_settings::violate(const simulated_host &Host,
                                 const std::string &Text) {
  const std::string Line =
      Host.Name + " with version " + std::to_string(Host.Version) + ' ' + Text;
  trace(Line);
  Violations.push_back(std::to_string(toSeconds(Queue.Now - instant(1000s))) +
                       ' ' + Line);
}

void simulated_settings::check() {
  const bool IsStoreStable = Queue.Now >= StoreStableSince + ContactPeriod;
  const duration Allowed =
      SettingsDeadline +
      (IsStoreStable ? duration::zero() : duration(UnstableStoreAllowance));
  const std::uint64_t Required = confirmedBefore(Queue.Now - Allowed);
  for (const auto &[Name, Host] : Hosts) {
    // A host that has no settings yet refuses all sessions as busy.
    if (!Host.Running || Host.Version == 0)
      continue;
    if (Host.Version < confirmedBefore(Host.ProvenAt))
      violate(Host, "claims more than it knows");
    const bool IsInTouch = Host.UndisturbedSince != instant::max() &&
                           Queue.Now >= Host.UndisturbedSince + ContactPeriod;
    if (IsInTouch && Host.Version < Required)
      violate(Host, "lacks version " + std::to_string(Required));
    else if (IsInTouch && Host.ProvenAt < Queue.Now - Allowed)
      violate(Host,
              "has no proof since " +
                  std::to_string(toSeconds(Host.ProvenAt - instant(1000s))));
  }

  if (Queue.Now < End && Violations.empty())
    Queue.at(Queue.Now + CheckInterval, [this] { check(); });
}

void simulated_settings::run() {
  End = Queue.Now + 5s + DisturbedTime + CalmTime;
  scheduleVersions();
  if (RestoresStore)
    scheduleRestores();
  Queue.at(Queue.Now + 5s, [this] { disturb(); });
  check();
  for (instant At = Queue.Now; At < End; At += 10ms)
    Queue.at(At, [this] { Store.endOverdueWatches(); });
  while (Queue.Now < End && Violations.empty())
    Queue.runUntil(Queue.Now + 100ms);
}

} // namespace settings_test
