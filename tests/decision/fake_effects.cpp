/// Performs the effects that hosts emit on the fake fleet, one function for
/// each kind of effect.
#include "fake_fleet.hpp"

namespace bronzespar::test {

namespace {

constexpr duration NetworkDelay = 1ms;
constexpr duration StatementTime = 2ms;
constexpr duration ConnectTime = 12ms;
constexpr duration ControlTimeout = 100ms;
constexpr duration LateAnswerDelay = 600ms;

} // namespace

struct fake_fleet::effect_performer {
  fake_fleet &Fleet;
  fake_host &Host;

  [[nodiscard]] const host_id &self() const { return Host.Settings.Id; }

  void operator()(const effects::answer_caller &Effect) const {
    if (Fleet.OnAnswer)
      Fleet.OnAnswer(self(), Effect.Answer, Effect.Caller);
  }

  void operator()(const effects::open_connection &Effect) const {
    Host.OpenConnections[Effect.Connection] = Effect.Target;
    Fleet.checkLimits(Host, Effect.Target);
    Fleet.schedule(ConnectTime, [Fleet = &Fleet, Id = self(), Effect] {
      Fleet->connect(Id, Effect.Connection, Effect.Target);
    });
  }

  void operator()(const effects::send_statement &Effect) const {
    const auto Found = Host.OpenConnections.find(Effect.Connection);
    if (Found == Host.OpenConnections.end())
      return; // The host has yet to receive the disconnect event.
    const target_id Target = Found->second;
    Host.OutstandingStatements[Effect.Connection] = Target;
    Fleet.checkLimits(Host, Target);
    Fleet.schedule(NetworkDelay + StatementTime, [Fleet = &Fleet, Id = self(),
                                                  Target, Effect] {
      Fleet->runOnMember(Id, Effect.Connection, Target, Effect.Request);
    });
  }

  void operator()(const effects::close_connection &Effect) const {
    const auto Found = Host.OpenConnections.find(Effect.Connection);
    if (Found == Host.OpenConnections.end())
      return;
    const target_id Target = Found->second;
    Host.OpenConnections.erase(Effect.Connection);
    Host.OutstandingStatements.erase(Effect.Connection);
    Fleet.schedule(
        NetworkDelay,
        [Fleet = &Fleet, Key = std::pair(self(), Effect.Connection), Target] {
          Fleet->Members.at(Target).Connections.erase(Key);
        });
  }

  void operator()(const effects::watch_member &Effect) const {
    Fleet.Watches.insert({self(), Effect.Target});
    Fleet.ReportedAt[{self(), Effect.Target}] = Fleet.Now;
  }
  void operator()(const effects::unwatch_member &Effect) const {
    Fleet.Watches.erase({self(), Effect.Target});
  }

  void operator()(const effects::send_control_command &Effect) const {
    Fleet.schedule(NetworkDelay, [Fleet = &Fleet, Id = self(), Effect] {
      Fleet->controlMember(Id, Effect);
    });
  }

  void operator()(const effects::connect_peer &Effect) const {
    Fleet.scheduleEvent(self(), events::peer_connected{Effect.Host},
                        NetworkDelay);
  }
  void operator()(const effects::disconnect_peer &) const {}

  void operator()(const effects::send_peer_message &Effect) const {
    if (Fleet.canReach(self(), Effect.Host))
      Fleet.scheduleEvent(Effect.Host,
                          events::peer_message_arrived{self(), Effect.Message},
                          NetworkDelay);
  }

  void operator()(const effects::call_platform &Effect) const {
    Fleet.callPlatform(self(), Effect);
  }

  void operator()(const effects::record_trace &Effect) const {
    duration Sum{};
    for (const trace_span &Span : Effect.Trace.Spans)
      Sum += Span.Duration;
    if (Sum != Effect.Trace.Total)
      Fleet.Violations.push_back("spans do not add up to the total");
  }

  void operator()(const effects::set_ready &Effect) const {
    Host.Ready = Effect.Ready;
  }
  void operator()(const effects::stop_process &) const { Host.Stopped = true; }
  void operator()(const effects::answer_explain &Effect) const {
    Host.ExplainAnswers.push_back(Effect);
  }
  void operator()(const effects::answer_status &Effect) const {
    Host.Status = Effect.Json;
  }
  void operator()(const effects::write_log &) const {}
};

void fake_fleet::perform(fake_host &Host, const effect &Effect) {
  std::visit(effect_performer{*this, Host}, Effect);
}

void fake_fleet::connect(const host_id &Id, connection_ref Connection,
                         const target_id &Target) {
  fake_host &Host = Hosts.at(Id);
  fake_member &Member = Members.at(Target);
  if (Member.Partitioned || Host.Dead ||
      Host.OpenConnections.count(Connection) == 0)
    return;
  if (Member.Connections.size() >= Member.Settings.Connections) {
    Host.OpenConnections.erase(Connection);
    scheduleEvent(Id,
                  events::target_disconnected{
                      Connection, events::connection_fault::ConnectFailed},
                  NetworkDelay);
    return;
  }
  Member.Connections[{Id, Connection}] = fake_connection();
  scheduleEvent(Id, events::target_connected{Connection}, duration{});
}

void fake_fleet::runOnMember(const host_id &Id, connection_ref Connection,
                             const target_id &Target,
                             const target_request &Request) {
  fake_member &Member = Members.at(Target);
  const auto Found = Member.Connections.find({Id, Connection});
  if (Member.Partitioned || Found == Member.Connections.end() ||
      Found->second.Unresponsive)
    return;
  if (Member.Frozen) {
    DeferredRequests[Target].push_back([this, Id, Connection, Target, Request] {
      runOnMember(Id, Connection, Target, Request);
    });
    return;
  }
  const answer_fault Fault = NextAnswerFault;
  NextAnswerFault = answer_fault::None;
  if (Fault != answer_fault::LostBeforeRun)
    answer(Id, Connection, runStatement(Member, Found->second, Request), Fault);
  if (Fault == answer_fault::LostBeforeRun ||
      Fault == answer_fault::LostAfterRun)
    disconnect(Id, Connection, Target);
}

void fake_fleet::disconnect(const host_id &Id, connection_ref Connection,
                            const target_id &Target) {
  Members.at(Target).Connections.erase({Id, Connection});
  fake_host &Host = Hosts.at(Id);
  Host.OpenConnections.erase(Connection);
  Host.OutstandingStatements.erase(Connection);
  scheduleEvent(
      Id,
      events::target_disconnected{Connection, events::connection_fault::Closed},
      NetworkDelay);
}

void fake_fleet::answer(const host_id &Id, connection_ref Connection,
                        target_answer Answer, answer_fault Fault) {
  if (Fault == answer_fault::LostAfterRun)
    return;
  if (Fault == answer_fault::WrongId)
    Answer.Id = "another";
  const duration Delay =
      Fault == answer_fault::Late ? LateAnswerDelay : NetworkDelay;
  const auto Deliver = [this, Id, Connection, Answer] {
    fake_host &Host = Hosts.at(Id);
    if (Host.OpenConnections.count(Connection) == 0)
      return;
    Host.OutstandingStatements.erase(Connection);
    scheduleEvent(Id, events::target_answered{Connection, Answer}, duration{});
  };
  schedule(Delay, Deliver);
  if (Fault == answer_fault::Twice)
    schedule(Delay + NetworkDelay, Deliver);
}

void fake_fleet::controlMember(const host_id &Id,
                               const effects::send_control_command &Effect) {
  fake_member &Member = Members.at(Effect.Target);
  events::control_command_finished Event;
  Event.Target = Effect.Target;
  Event.Request = Effect.Request;
  if (Member.Partitioned || Member.Frozen) {
    scheduleEvent(Id, Event, ControlTimeout);
    return;
  }
  Event.Answered = true;
  Event.Answer = applyControl(Member, Effect.Request);
  Event.Answer.Report = makeReport(Member, Now);
  scheduleEvent(Id, Event, NetworkDelay);
}

void fake_fleet::callPlatform(const host_id &Id,
                              const effects::call_platform &Effect) {
  events::platform_answered Event{Effect.Ref, {}};
  if (PlatformDown) {
    scheduleEvent(Id, Event, PlatformDelay);
    return;
  }
  platform_answer &Answer = Event.Answer;
  Answer.Status = platform_status::Done;
  if (const auto *Get = std::get_if<platform_get>(&Effect.Call)) {
    const auto Found = Store.find(Get->Key);
    if (Found != Store.end())
      Answer.Entries.push_back(Found->second);
  }
  if (const auto *Swap = std::get_if<platform_compare_and_swap>(&Effect.Call)) {
    platform_entry &Entry = Store[Swap->Key];
    if (Entry.ModRevision == Swap->ModRevision)
      Entry = {Swap->Key, Swap->Value, ++StoreRevision};
    else
      Answer.Status = platform_status::Conflict;
    Answer.Entries.push_back(Entry);
  }
  if (PlatformLosesAnswers)
    Answer = {platform_status::Unknown, {}, 0, {}};
  scheduleEvent(Id, Event, PlatformDelay);
}

} // namespace bronzespar::test
