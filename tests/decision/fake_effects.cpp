/// Performs the effects that hosts emit on the fake fleet, one function for
/// each kind of effect.
#include "fake_fleet.hpp"

namespace bronzespar::test {

namespace {

constexpr duration Hop = 1ms;
constexpr duration StatementTime = 2ms;
constexpr duration ConnectTime = 12ms;
constexpr duration ControlTimeout = 100ms;
constexpr duration LateBy = 600ms;

} // namespace

struct fake_fleet::performer {
  fake_fleet &Fleet;
  fake_host &Host;

  [[nodiscard]] const host_id &self() const { return Host.Settings.Id; }

  void operator()(const effects::answer_caller &Effect) const {
    if (Fleet.OnAnswer)
      Fleet.OnAnswer(self(), Effect.Answer, Effect.Caller);
  }

  void operator()(const effects::open_connection &Effect) const {
    Host.Open[Effect.Connection] = Effect.Target;
    Fleet.checkLimits(Host, Effect.Target);
    Fleet.at(ConnectTime, [Fleet = &Fleet, Id = self(), Effect] {
      Fleet->connect(Id, Effect.Connection, Effect.Target);
    });
  }

  void operator()(const effects::send_statement &Effect) const {
    const auto Found = Host.Open.find(Effect.Connection);
    if (Found == Host.Open.end())
      return; // The host has yet to receive the disconnect event.
    const target_id Target = Found->second;
    Host.Outstanding[Effect.Connection] = Target;
    Fleet.checkLimits(Host, Target);
    Fleet.at(
        Hop + StatementTime, [Fleet = &Fleet, Id = self(), Target, Effect] {
          Fleet->runOnMember(Id, Effect.Connection, Target, Effect.Request);
        });
  }

  void operator()(const effects::close_connection &Effect) const {
    const auto Found = Host.Open.find(Effect.Connection);
    if (Found == Host.Open.end())
      return;
    const target_id Target = Found->second;
    Host.Open.erase(Effect.Connection);
    Host.Outstanding.erase(Effect.Connection);
    Fleet.at(Hop,
             [Fleet = &Fleet, Key = std::pair(self(), Effect.Connection),
              Target] { Fleet->Members.at(Target).Connections.erase(Key); });
  }

  void operator()(const effects::watch_member &Effect) const {
    Fleet.Watches.insert({self(), Effect.Target});
    Fleet.ReportedAt[{self(), Effect.Target}] = Fleet.Now;
  }
  void operator()(const effects::unwatch_member &Effect) const {
    Fleet.Watches.erase({self(), Effect.Target});
  }

  void operator()(const effects::control_member &Effect) const {
    Fleet.at(Hop, [Fleet = &Fleet, Id = self(), Effect] {
      Fleet->controlMember(Id, Effect);
    });
  }

  void operator()(const effects::connect_peer &Effect) const {
    Fleet.send(self(), events::peer_connected{Effect.Host}, Hop);
  }
  void operator()(const effects::disconnect_peer &) const {}

  void operator()(const effects::send_peer &Effect) const {
    if (Fleet.reaches(self(), Effect.Host))
      Fleet.send(Effect.Host,
                 events::peer_message_arrived{self(), Effect.Message}, Hop);
  }

  void operator()(const effects::call_platform &Effect) const {
    Fleet.callPlatform(self(), Effect);
  }

  void operator()(const effects::record_trace &Effect) const {
    duration Sum{};
    for (const trace_span &Span : Effect.Trace.Spans)
      Sum += Span.Span;
    if (Sum != Effect.Trace.Total)
      Fleet.Violations.push_back("spans do not add up to the total");
  }

  void operator()(const effects::set_ready &Effect) const {
    Host.Ready = Effect.Ready;
  }
  void operator()(const effects::stop_process &) const { Host.Stopped = true; }
  void operator()(const effects::answer_explain &Effect) const {
    Host.Explained.push_back(Effect);
  }
  void operator()(const effects::answer_status &Effect) const {
    Host.Status = Effect.Json;
  }
  void operator()(const effects::write_log &) const {}
};

void fake_fleet::perform(fake_host &Host, const effect &Effect) {
  std::visit(performer{*this, Host}, Effect);
}

void fake_fleet::connect(const host_id &Id, connection_ref Connection,
                         const target_id &Target) {
  fake_host &Host = Hosts.at(Id);
  fake_member &Member = Members.at(Target);
  if (Member.Cut || Host.Dead || Host.Open.count(Connection) == 0)
    return;
  if (Member.Connections.size() >= Member.Settings.Connections) {
    Host.Open.erase(Connection);
    send(Id,
         events::target_disconnected{Connection,
                                     events::connection_fault::ConnectFailed},
         Hop);
    return;
  }
  Member.Connections[{Id, Connection}] = fake_connection();
  send(Id, events::target_connected{Connection}, duration{});
}

void fake_fleet::runOnMember(const host_id &Id, connection_ref Connection,
                             const target_id &Target,
                             const target_request &Request) {
  fake_member &Member = Members.at(Target);
  const auto Found = Member.Connections.find({Id, Connection});
  if (Member.Cut || Found == Member.Connections.end() || Found->second.Silent)
    return;
  if (Member.Frozen) {
    FrozenWork[Target].push_back([this, Id, Connection, Target, Request] {
      runOnMember(Id, Connection, Target, Request);
    });
    return;
  }
  const answer_fault Fault = NextAnswer;
  NextAnswer = answer_fault::None;
  if (Fault != answer_fault::LostBefore)
    answer(Id, Connection, runStatement(Member, Found->second, Request), Fault);
  if (Fault == answer_fault::LostBefore || Fault == answer_fault::LostAfterRun)
    disconnect(Id, Connection, Target);
}

void fake_fleet::disconnect(const host_id &Id, connection_ref Connection,
                            const target_id &Target) {
  Members.at(Target).Connections.erase({Id, Connection});
  fake_host &Host = Hosts.at(Id);
  Host.Open.erase(Connection);
  Host.Outstanding.erase(Connection);
  send(
      Id,
      events::target_disconnected{Connection, events::connection_fault::Closed},
      Hop);
}

void fake_fleet::answer(const host_id &Id, connection_ref Connection,
                        target_answer Answer, answer_fault Fault) {
  if (Fault == answer_fault::LostAfterRun)
    return;
  if (Fault == answer_fault::WrongId)
    Answer.Id = "another";
  const duration Delay = Fault == answer_fault::Late ? LateBy : Hop;
  const auto Deliver = [this, Id, Connection, Answer] {
    fake_host &Host = Hosts.at(Id);
    if (Host.Open.count(Connection) == 0)
      return;
    Host.Outstanding.erase(Connection);
    send(Id, events::target_answered{Connection, Answer}, duration{});
  };
  at(Delay, Deliver);
  if (Fault == answer_fault::Twice)
    at(Delay + Hop, Deliver);
}

void fake_fleet::controlMember(const host_id &Id,
                               const effects::control_member &Effect) {
  fake_member &Member = Members.at(Effect.Target);
  events::member_controlled Event;
  Event.Target = Effect.Target;
  Event.Request = Effect.Request;
  if (Member.Cut || Member.Frozen) {
    send(Id, Event, ControlTimeout);
    return;
  }
  Event.Answered = true;
  Event.Answer = control(Member, Effect.Request);
  Event.Answer.Report = reportOf(Member, Now);
  send(Id, Event, Hop);
}

void fake_fleet::callPlatform(const host_id &Id,
                              const effects::call_platform &Effect) {
  events::platform_answered Event{Effect.Ref, {}};
  if (PlatformDown) {
    send(Id, Event, PlatformDelay);
    return;
  }
  platform_answer &Answer = Event.Answer;
  Answer.Status = platform_status::Done;
  if (const auto *Get = std::get_if<platform_get>(&Effect.Call)) {
    const auto Found = Store.find(Get->Key);
    if (Found != Store.end())
      Answer.Entries.push_back(Found->second);
  }
  if (const auto *Swap = std::get_if<platform_swap>(&Effect.Call)) {
    platform_entry &Entry = Store[Swap->Key];
    if (Entry.ModRevision == Swap->ModRevision)
      Entry = {Swap->Key, Swap->Value, ++StoreRevision};
    else
      Answer.Status = platform_status::Conflict;
    Answer.Entries.push_back(Entry);
  }
  if (PlatformLosesAnswers)
    Answer = {platform_status::Unknown, {}, 0, {}};
  send(Id, Event, PlatformDelay);
}

} // namespace bronzespar::test
