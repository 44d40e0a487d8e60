/// Stand-ins for the platform, the members and the clients.
#include "world.hh"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace world {

namespace {

constexpr const char *Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode64(const std::string &Text) {
  std::string Out;
  unsigned Bits = 0, Held = 0;
  for (const unsigned char Byte : Text) {
    Held = Held << 8 | Byte;
    for (Bits += 8; Bits >= 6; Bits -= 6)
      Out.push_back(Digits[Held >> (Bits - 6) & 63]);
  }
  if (Bits > 0)
    Out.push_back(Digits[Held << (6 - Bits) & 63]);
  while (Out.size() % 4 != 0)
    Out.push_back('=');
  return Out;
}

std::string decode64(const std::string &Text) {
  std::string Out;
  unsigned Bits = 0, Held = 0;
  for (const char Digit : Text) {
    const char *Found = std::find(Digits, Digits + 64, Digit);
    if (Found == Digits + 64)
      break;
    Held = Held << 6 | static_cast<unsigned>(Found - Digits);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Out.push_back(static_cast<char>(Held >> Bits & 255));
    }
  }
  return Out;
}

std::string textField(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value != nullptr && Value->is_string()
             ? std::string(Value->as_string().data(), Value->as_string().size())
             : std::string();
}

unsigned long numberField(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value == nullptr ? 0 : Value->to_number<unsigned long>();
}

const json::array &listField(const json::object &Object, const char *Name) {
  static const json::array Empty;
  const json::value *Value = Object.if_contains(Name);
  return Value != nullptr && Value->is_array() ? Value->as_array() : Empty;
}

std::string formatPosition(const position &Where) {
  return std::to_string(Where.first) + '.' + std::to_string(Where.second);
}

position parsePosition(const std::string &Text) {
  position Out{0, 0};
  std::sscanf(Text.c_str(), "%lu.%lu", &Out.first, &Out.second);
  return Out;
}

std::string takeWord(std::string &Rest) {
  const auto Blank = Rest.find(' ');
  std::string Word = Rest.substr(0, Blank);
  Rest = Blank == std::string::npos ? std::string() : Rest.substr(Blank + 1);
  return Word;
}

std::string escaped(const std::string &Text) {
  std::string Out;
  for (const char Byte : Text)
    if (Byte == '\n')
      Out += "\\n";
    else if (Byte == '\0')
      Out += "\\0";
    else
      Out.push_back(Byte);
  return Out;
}

} // namespace

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

std::string fixed(double Ms) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.1f", Ms);
  return Text;
}

// The store ------------------------------------------------------------------

const item *store::get(const std::string &Key) const {
  const auto Found = Items.find(Key);
  return Found == Items.end() ? nullptr : &Found->second;
}

std::string store::textOf(const std::string &Key) const {
  const item *Item = get(Key);
  return Item == nullptr ? std::string() : decode64(Item->Value);
}

void store::put(const std::string &Key, const json::value &Value) {
  write(Key, encode64(json::serialize(Value)), 0);
  wakeWatches();
}

void store::erase(const std::string &Key) {
  remove(Key);
  wakeWatches();
}

void store::write(const std::string &Key, std::string Base64,
                  unsigned long Lease) {
  item &Item = Items[Key];
  Item.Revision = ++Revision;
  if (Item.Created == 0)
    Item.Created = Revision;
  Item.Value = std::move(Base64);
  Item.Lease = Lease;
  History.push_back({Revision, json::object{{"Key", Key},
                                            {"Value", Item.Value},
                                            {"Revision", Item.Revision},
                                            {"CreateRevision", Item.Created},
                                            {"Lease", Item.Lease}}});
}

void store::remove(const std::string &Key) {
  if (Items.erase(Key) == 0)
    return;
  ++Revision;
  History.push_back({Revision, json::object{{"Key", Key},
                                            {"Revision", Revision},
                                            {"Tombstone", true}}});
}

bool store::conditionHolds(const json::object &Body) const {
  for (const json::value &Row : listField(Body, "Expected")) {
    const item *Item = get(textField(Row.as_object(), "Key"));
    if (numberField(Row.as_object(), "Revision") !=
        (Item == nullptr ? 0 : Item->Revision))
      return false;
  }
  return true;
}

std::pair<unsigned, std::string> store::transact(const json::object &Body) {
  for (const json::value &Row : listField(Body, "Writes")) {
    const unsigned long Lease = numberField(Row.as_object(), "Lease");
    if (Lease != 0 && !Leases.contains(Lease))
      return {404, "{}"};
  }
  if (!conditionHolds(Body))
    return {412, "{\"items\":[]}"};
  for (const json::value &Row : listField(Body, "Writes")) {
    const json::object &Write = Row.as_object();
    write(textField(Write, "Key"), textField(Write, "Value"),
          numberField(Write, "Lease"));
  }
  for (const json::value &Key : listField(Body, "Deletes"))
    remove(std::string(Key.as_string().data(), Key.as_string().size()));
  wakeWatches();
  return {200, json::serialize(json::object{{"Revision", Revision}})};
}

void store::armLease(unsigned long Id) {
  lease &Lease = Leases.at(Id);
  Lease.Timer = std::make_shared<asio::steady_timer>(Sim.Io);
  Lease.Timer->expires_after(std::chrono::milliseconds(Lease.TtlMs));
  Lease.Timer->async_wait([this, Id](boost::system::error_code Cancelled) {
    if (!Cancelled)
      endLease(Id);
  });
}

void store::endLease(unsigned long Id) {
  if (Leases.erase(Id) == 0)
    return;
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items)
    if (Item.Lease == Id)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    remove(Key);
  wakeWatches();
}

bool store::answer(watch &Watch) {
  json::array Events;
  for (const event &Event : History)
    if (Event.Revision > Watch.After &&
        textField(Event.Body, "Key").starts_with(Watch.Prefix))
      Events.push_back(Event.Body);
  if (Events.empty())
    return false;
  Watch.Timer->cancel();
  Watch.Reply(200, json::serialize(json::object{{"events", std::move(Events)},
                                                {"CurrentRev", Revision}}));
  return true;
}

void store::wakeWatches() {
  std::vector<watch> Waiting;
  Waiting.swap(Watches);
  for (watch &Watch : Waiting)
    if (!answer(Watch))
      Watches.push_back(std::move(Watch));
}

void store::handle(const call &Call, reply Reply) {
  const auto Field = [&](const char *Name) {
    const auto Found = Call.Query.find(Name);
    return Found == Call.Query.end() ? std::string() : Found->second;
  };
  // The store takes some milliseconds for an answer.
  const auto Later = [this, Reply](unsigned Status, std::string Body) {
    Sim.after(4, [Reply, Status, Body] { Reply(Status, Body); });
  };
  if (Call.Path == "/v1/kv-range") {
    json::array Out;
    const std::string Prefix = Field("Prefix"), After = Field("after");
    for (const auto &[Key, Item] : Items)
      if (Key.starts_with(Prefix) && Key > After)
        Out.push_back(json::object{{"Key", Key},
                                   {"Value", Item.Value},
                                   {"Revision", Item.Revision},
                                   {"CreateRevision", Item.Created},
                                   {"Lease", Item.Lease}});
    Later(200, json::serialize(json::object{{"items", std::move(Out)},
                                            {"MorePages", false},
                                            {"CurrentRev", Revision}}));
  } else if (Call.Path == "/v1/kv-watch") {
    watch Watch{Field("Prefix"), std::stoul(Field("after")), Later,
                std::make_shared<asio::steady_timer>(Sim.Io)};
    if (answer(Watch))
      return;
    Watch.Timer->expires_after(
        std::chrono::milliseconds(std::stol(Field("WaitMs"))));
    Watch.Timer->async_wait(
        [this, Timer = Watch.Timer.get()](boost::system::error_code Cancelled) {
          if (Cancelled)
            return;
          const auto Found = std::find_if(
              Watches.begin(), Watches.end(),
              [&](const watch &Each) { return Each.Timer.get() == Timer; });
          if (Found == Watches.end())
            return;
          const reply Done = Found->Reply;
          Watches.erase(Found);
          Done(200, json::serialize(json::object{{"events", json::array{}},
                                                 {"CurrentRev", Revision}}));
        });
    Watches.push_back(std::move(Watch));
  } else if (Call.Path == "/v1/kv-txn") {
    const json::object Body = json::parse(Call.Body).as_object();
    const verdict Verdict =
        OnTransaction && conditionHolds(Body) ? OnTransaction(Body) : verdict{};
    if (Verdict.Kind != verdict::Normal)
      Silent.push_back(Reply);
    if (Verdict.Kind == verdict::LostLate) {
      Sim.after(Verdict.LateMs, [this, Body] {
        const auto Result = transact(Body);
        Sim.note("store: the late change is carried out, status " +
                 std::to_string(Result.first));
      });
      return;
    }
    const auto Result = transact(Body);
    if (Verdict.Kind == verdict::Normal)
      Later(Result.first, Result.second);
  } else if (Call.Path == "/v1/kv-lease") {
    const unsigned long Id = ++LastLease;
    const long Ttl = static_cast<long>(
        numberField(json::parse(Call.Body).as_object(), "TtlMs"));
    Leases[Id] = {Ttl, nullptr};
    armLease(Id);
    Later(200, json::serialize(json::object{{"Lease", Id}, {"TtlMs", Ttl}}));
  } else if (Call.Path.starts_with("/v1/kv-keep/")) {
    const unsigned long Id = std::stoul(Call.Path.substr(12));
    if (!Leases.contains(Id)) {
      Later(404, "{}");
      return;
    }
    armLease(Id);
    Later(200, json::serialize(json::object{{"TtlMs", Leases.at(Id).TtlMs}}));
  } else if (Call.Path.starts_with("/v1/kv-lease-end/")) {
    endLease(std::stoul(Call.Path.substr(17)));
    Later(200, "{}");
  } else {
    Later(404, "{}");
  }
}

// HTTP -----------------------------------------------------------------------

namespace {

struct http_session : std::enable_shared_from_this<http_session> {
  http_session(tcp::socket Socket, http_server::handler Handler)
      : Stream(std::move(Socket)), Handle(std::move(Handler)) {}

  void read() {
    Request = {};
    http::async_read(
        Stream, Buffer, Request,
        [Self = shared_from_this()](beast::error_code Failed, std::size_t) {
          if (!Failed)
            Self->requested();
        });
  }

  void requested() {
    call Call;
    Call.Method = std::string(Request.method_string());
    Call.Path = std::string(Request.target());
    Call.Body = Request.body();
    for (const auto &Field : Request)
      Call.Headers[std::string(Field.name_string())] =
          std::string(Field.value());
    const auto Mark = Call.Path.find('?');
    if (Mark != std::string::npos) {
      std::istringstream Fields(Call.Path.substr(Mark + 1));
      Call.Path.resize(Mark);
      for (std::string Each; std::getline(Fields, Each, '&');)
        if (const auto Equals = Each.find('='); Equals != std::string::npos)
          Call.Query[Each.substr(0, Equals)] = Each.substr(Equals + 1);
    }
    Handle(Call,
           [Self = shared_from_this()](unsigned Status, std::string Body) {
             Self->Response = {};
             Self->Response.version(11);
             Self->Response.result(Status);
             Self->Response.set(http::field::content_type, "application/json");
             Self->Response.body() = std::move(Body);
             Self->Response.prepare_payload();
             http::async_write(Self->Stream, Self->Response,
                               [Self](beast::error_code Failed, std::size_t) {
                                 if (!Failed)
                                   Self->read();
                               });
           });
  }

  beast::tcp_stream Stream;
  http_server::handler Handle;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Request;
  http::response<http::string_body> Response;
};

/// A loopback address of this run, so that runs side by side share no ports.
const std::string &ownAddress() {
  static const std::string Address = [] {
    std::random_device Random;
    const auto Part = [&] { return std::to_string(1 + Random() % 250); };
    return "127." + Part() + '.' + Part() + '.' + Part();
  }();
  return Address;
}

tcp::endpoint loopback(unsigned short Port) {
  return {asio::ip::make_address(ownAddress()), Port};
}

/// An acceptor at a free port below those that the kernel gives to connections.
tcp::acceptor freeAcceptor(asio::io_context &Io) {
  static std::mt19937 Random{std::random_device{}()};
  std::uniform_int_distribution<unsigned short> Ports(15000, 31999);
  // Ports that hosts get are free again until the hosts listen there.
  static std::set<unsigned short> Given;
  for (int Try = 0; Try < 1000; ++Try) {
    const unsigned short Port = Ports(Random);
    if (!Given.insert(Port).second)
      continue;
    tcp::acceptor Acceptor(Io, tcp::v4());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    boost::system::error_code Failed;
    Acceptor.bind(loopback(Port), Failed);
    if (!Failed)
      Acceptor.listen(asio::socket_base::max_listen_connections, Failed);
    if (!Failed)
      return Acceptor;
  }
  std::fprintf(stderr, "no free port\n");
  std::exit(2);
}

} // namespace

http_server::http_server(asio::io_context &Io, handler Handler)
    : Acceptor(freeAcceptor(Io)), Handle(std::move(Handler)) {
  accept();
}

void http_server::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Failed)
          std::make_shared<http_session>(std::move(Socket), Handle)->read();
        accept();
      });
}

// Lines ----------------------------------------------------------------------

void line_link::start(std::function<void(const std::string &)> Line,
                      std::function<void()> End) {
  OnLine = std::move(Line);
  OnEnd = std::move(End);
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  read();
}

void line_link::connect(unsigned short Port, std::function<void(bool)> Done) {
  Socket.async_connect(
      loopback(Port), [Self = shared_from_this(), Done = std::move(Done)](
                          boost::system::error_code Failed) { Done(!Failed); });
}

void line_link::read() {
  Socket.async_read_some(
      asio::buffer(Chunk),
      [Self = shared_from_this()](boost::system::error_code Failed,
                                  std::size_t Size) {
        if (Self->Closed)
          return;
        if (Failed) {
          Self->close();
          if (const auto End = std::exchange(Self->OnEnd, nullptr))
            End();
          return;
        }
        Self->Buffer.append(Self->Chunk.data(), Size);
        // A line ends with CR LF, as PROTOCOL.md says, and with nothing else.
        for (std::size_t End;
             !Self->Closed &&
             (End = Self->Buffer.find("\r\n")) != std::string::npos;) {
          const std::string Line = Self->Buffer.substr(0, End);
          Self->Buffer.erase(0, End + 2);
          const auto Hook = Self->OnLine;
          Hook(Line);
        }
        if (!Self->Closed)
          Self->read();
      });
}

void line_link::send(const std::string &Text) {
  if (Closed)
    return;
  // Messages of the stand-ins are small and fit into the socket's buffer.
  boost::system::error_code Ignored;
  asio::write(Socket, asio::buffer(Text), Ignored);
}

void line_link::close() {
  if (Closed)
    return;
  Closed = true;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

// Members --------------------------------------------------------------------

/// A connection at a member.
struct member_session : std::enable_shared_from_this<member_session> {
  member_session(simulation &World, member &At, std::shared_ptr<line_link> With)
      : Sim(World), Member(At), Link(std::move(With)) {}

  void start() {
    Link->start([Self = shared_from_this()](
                    const std::string &Line) { Self->line(Line); },
                [Self = shared_from_this()] { Self->end(); });
  }

  void end() {
    Gone = true;
    Link->close();
    Member.Sessions.erase(shared_from_this());
  }

  void line(const std::string &Line) {
    Lines.push_back(Line);
    if (!Working)
      next();
  }

  void next() {
    if (Lines.empty() || Gone)
      return;
    std::string Rest = Lines.front();
    Lines.pop_front();
    Working = true;
    const std::string Word = takeWord(Rest);
    if (Word == "STARTUP")
      startup(Rest);
    else if (Word == "QUERY")
      query(Rest);
    else
      end();
  }

  void startup(std::string Rest) {
    const std::string Service = takeWord(Rest), Who = takeWord(Rest);
    if (Service != Member.Group->Name || (!Rest.empty() && Rest != Member.Id)) {
      Link->send("ERROR WRONGNODE " + Member.Id + "\r\n");
      end();
      return;
    }
    if (static_cast<int>(Member.Sessions.size()) > Sim.Options.MaxConnections) {
      Link->send("ERROR TOOMANY " + Member.Id + "\r\n");
      end();
      return;
    }
    Tenant = Who;
    inSlot(Sim.Options.HandshakeMs, [Self = shared_from_this()] {
      Self->Link->send("READY I " + formatPosition(Self->Member.applied()) +
                       "\r\n");
      Self->done();
    });
  }

  void done() {
    Working = false;
    next();
  }

  /// Runs after the member's work, in one of its slots.
  void inSlot(int WorkMs, std::function<void()> Then) {
    const unsigned Incarnation = Member.Incarnation;
    auto Work = [Self = shared_from_this(), WorkMs, Then = std::move(Then),
                 Incarnation] {
      Self->Member.Busy += 1;
      Self->Sim.after(WorkMs, [Self, Then, Incarnation] {
        if (Self->Member.Incarnation != Incarnation)
          return;
        Self->Member.Busy -= 1;
        if (!Self->Member.Queue.empty()) {
          const auto Waiting = Self->Member.Queue.front();
          Self->Member.Queue.pop_front();
          Waiting();
        }
        if (!Self->Gone)
          Then();
      });
    };
    if (Member.Busy < Sim.Options.Slots)
      Work();
    else
      Member.Queue.push_back(std::move(Work));
  }

  void answer(const std::string &Outcome, const std::string &Row = {}) {
    const char *State = Failed ? "E" : InTransaction ? "T" : "I";
    Link->send((Row.empty() ? std::string() : "ROW " + Row + "\r\n") + Outcome +
               "\r\nREADY " + State + ' ' + formatPosition(Member.applied()) +
               "\r\n");
    done();
  }

  void error(const std::string &Code) {
    if (InTransaction)
      Failed = true;
    answer("ERROR " + Code + ' ' + Member.Id);
  }

  std::string signature() {
    return "COMPLETE sig." + Member.Id + '.' + std::to_string(++Sim.LastId);
  }

  bool lostLead() const { return !Member.Primary; }

  void query(std::string Rest) {
    const std::string Id = takeWord(Rest);
    std::string Text = Rest;
    if (Rest.starts_with("AFTER ")) {
      takeWord(Rest);
      const position Wanted = parsePosition(takeWord(Rest));
      Text = Rest;
      if (Member.applied() < Wanted) {
        error("LAGGING");
        return;
      }
    }
    const std::string Verb = takeWord(Rest);
    if (Verb == "ROLLBACK") {
      InTransaction = Failed = false;
      Pending.clear();
      answer("COMPLETE -");
    } else if (Failed) {
      answer("ERROR MALFORMED failed");
    } else if (Verb == "BEGIN") {
      if (Rest != "READ" && lostLead()) {
        error("READONLY");
        return;
      }
      InTransaction = true;
      OnlyReads = Rest == "READ";
      Pending.clear();
      answer("COMPLETE -");
    } else if (Verb == "SET") {
      const std::string Name = takeWord(Rest);
      Values[Name] = Rest;
      answer("COMPLETE -");
    } else if (Verb == "PREPARE") {
      const std::string Name = takeWord(Rest);
      Prepared[Name] = Rest;
      answer("COMPLETE -");
    } else if (Verb == "CLOSE") {
      Prepared.erase(Rest);
      answer("COMPLETE -");
    } else if (Verb == "RESET") {
      Values.clear();
      Prepared.clear();
      answer("COMPLETE -");
    } else if (Verb == "STATUS") {
      inSlot(1, [Self = shared_from_this()] {
        const member &At = Self->Member;
        Self->answer("COMPLETE -",
                     std::string(At.Primary ? "primary " : "replica ") +
                         std::to_string(At.Term) + ' ' +
                         formatPosition(At.last()) + " 0 0 " +
                         std::to_string(At.Busy) + ' ' +
                         std::to_string(At.Sessions.size()));
      });
    } else if (Verb == "EXECUTE") {
      const std::string Name = takeWord(Rest);
      const auto Found = Prepared.find(Name);
      if (Found == Prepared.end()) {
        error("NOSTMT");
        return;
      }
      work(Id, Text, Found->second.starts_with("WRITE") ? "WRITE" : "READ",
           Rest);
    } else if (Verb == "READ" || Verb == "WRITE" || Verb == "COMMIT") {
      work(Id, Text, Verb, Rest);
    } else {
      answer("ERROR MALFORMED -");
    }
  }

  void work(const std::string &Id, const std::string &Text,
            const std::string &Verb, const std::string &Arguments) {
    inSlot(Sim.Options.WorkMs,
           [Self = shared_from_this(), Id, Text, Verb, Arguments] {
             Self->carryOut(Id, Text, Verb, Arguments);
           });
  }

  void carryOut(const std::string &Id, const std::string &Text,
                const std::string &Verb, std::string Arguments) {
    const bool Plain = InTransaction && !OnlyReads;
    const bool EmptyCommit = Verb == "COMMIT" && Pending.empty();
    if (lostLead() && ((Verb == "WRITE") || (Plain && !EmptyCommit))) {
      error("READONLY");
      return;
    }
    run Run{Sim.now(), Member.Id, Id, Text, false, false, 0};
    const group &Group = *Member.Group;
    if (!Group.Leader.empty() && Group.Leader != Member.Id && Member.Primary) {
      Run.OldPrimary = true;
      Run.OldForMs = Sim.now() - Group.PromotedMs;
    }
    const std::string Item = takeWord(Arguments);
    if (Verb == "READ") {
      std::string Row;
      for (std::size_t At = 0; At < Member.Applied; ++At)
        for (const auto &[Name, Data] : Member.Log[At].Rows)
          if (Name == Item)
            Row = Data;
      Sim.Runs.push_back(Run);
      answer(signature(), Row.empty() ? "-" : Row);
      return;
    }
    if (Verb == "WRITE" && InTransaction) {
      Pending.emplace_back(Item, Arguments);
      Sim.Runs.push_back(Run);
      answer(signature());
      return;
    }
    auto Rows =
        Verb == "WRITE"
            ? std::vector<std::pair<std::string, std::string>>{{Item,
                                                                Arguments}}
            : std::exchange(Pending, {});
    InTransaction = false;
    if (Rows.empty()) {
      Sim.Runs.push_back(Run);
      answer(signature());
      return;
    }
    Run.Committed = true;
    Sim.Runs.push_back(Run);
    Sim.commitTo(Member, std::move(Rows), Id,
                 [Self = shared_from_this()](position) {
                   if (!Self->Gone)
                     Self->answer(Self->signature());
                 });
  }

  simulation &Sim;
  member &Member;
  std::shared_ptr<line_link> Link;
  std::deque<std::string> Lines;
  std::string Tenant;
  bool Working = false, Gone = false, InTransaction = false, OnlyReads = false,
       Failed = false;
  std::map<std::string, std::string> Values, Prepared;
  std::vector<std::pair<std::string, std::string>> Pending;
};

std::string simulation::newId() {
  char Text[24];
  std::snprintf(Text, sizeof Text, "i-%08lx", 0x51000000UL + ++LastId);
  return Text;
}

void simulation::listen(member &Member) {
  if (Member.Port == 0) {
    Member.Acceptor = std::make_unique<tcp::acceptor>(freeAcceptor(Io));
    Member.Port = Member.Acceptor->local_endpoint().port();
    acceptAt(Member);
    return;
  }
  Member.Acceptor = std::make_unique<tcp::acceptor>(Io);
  Member.Acceptor->open(tcp::v4());
  Member.Acceptor->set_option(tcp::acceptor::reuse_address(true));
  Member.Acceptor->bind(loopback(Member.Port));
  Member.Acceptor->listen();
  acceptAt(Member);
}

void simulation::acceptAt(member &Member) {
  Member.Acceptor->async_accept(
      [this, &Member](boost::system::error_code Failed, tcp::socket Socket) {
        if (Failed || !Member.Acceptor || !Member.Acceptor->is_open())
          return;
        auto Session = std::make_shared<member_session>(
            *this, Member, std::make_shared<line_link>(std::move(Socket)));
        Member.Sessions.insert(Session);
        Session->start();
        acceptAt(Member);
      });
}

member &simulation::addMember(group &Group, const std::string &Zone,
                              unsigned short Port) {
  Group.Members.push_back(std::make_unique<member>());
  member &Member = *Group.Members.back();
  Member.Id = newId();
  Member.Zone = Zone;
  Member.Group = &Group;
  Member.Port = Port;
  Member.Term = Group.Term;
  Member.BornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  listen(Member);
  return Member;
}

group &simulation::addGroup(const std::string &Name,
                            const std::vector<std::string> &Zones) {
  Groups[Name] = std::make_unique<group>();
  group &Group = *Groups[Name];
  Group.Name = Name;
  for (const std::string &Zone : Zones)
    addMember(Group, Zone, 0);
  Group.Members.front()->Primary = true;
  Group.Leader = Group.Members.front()->Id;
  for (const auto &Member : Group.Members)
    beat(*Member, Member->Incarnation);
  return Group;
}

void simulation::report(member &Member) {
  Store.put("servers/" + Member.Id,
            json::object{
                {"Backend", Member.Group->Name},
                {"Address", ownAddress() + ':' + std::to_string(Member.Port)},
                {"Zone", Member.Zone},
                {"Version", "v1"},
                {"Capacity", Options.Slots},
                {"Phase", Member.Draining ? "draining" : "ready"},
                {"ColdRemainingMs", 0},
                {"DbRole", Member.Primary ? "primary" : "replica"},
                {"Sequence", ++Member.Sequence},
                {"born", Member.BornMs}});
}

void simulation::beat(member &Member, unsigned Incarnation) {
  if (!Member.Alive || Member.Incarnation != Incarnation)
    return;
  report(Member);
  after(Options.HeartbeatMs,
        [this, &Member, Incarnation] { beat(Member, Incarnation); });
}

member *simulation::findMember(const std::string &Name, const std::string &Id) {
  const auto Group = Groups.find(Name);
  if (Group != Groups.end())
    for (const auto &Member : Group->second->Members)
      if (Member->Id == Id)
        return Member.get();
  return nullptr;
}

member &simulation::primaryOf(const std::string &Name) {
  return *findMember(Name, Groups.at(Name)->Leader);
}

void simulation::applyLater(member &Member, std::size_t Count) {
  const unsigned Incarnation = Member.Incarnation;
  after(Options.ApplyLagMs, [&Member, Count, Incarnation] {
    if (Member.Incarnation == Incarnation && Member.Log.size() >= Count)
      Member.Applied = std::max(Member.Applied, Count);
  });
}

void simulation::replicate(group &Group, member &Primary,
                           const log_entry &Entry,
                           std::function<void()> Received) {
  const std::size_t Index = Primary.Log.size();
  for (const auto &Each : Group.Members) {
    member &Replica = *Each;
    if (&Replica == &Primary || !Replica.Alive)
      continue;
    after(Options.NetMs, [this, &Primary, &Replica, Entry, Index, Received] {
      if (!Replica.Alive || Replica.Deaf || Replica.Primary ||
          Replica.Term > Entry.At.first)
        return;
      // What was missed while deaf comes with the next entry.
      while (Replica.Log.size() < Index &&
             Replica.Log.size() < Primary.Log.size())
        Replica.Log.push_back(Primary.Log[Replica.Log.size()]);
      Replica.Term = Entry.At.first;
      applyLater(Replica, Replica.Log.size());
      Received();
    });
  }
}

void simulation::commitTo(member &Primary,
                          std::vector<std::pair<std::string, std::string>> Rows,
                          const std::string &Id,
                          std::function<void(position)> Done) {
  const position At{Primary.Term, Primary.last().second + 1};
  Primary.Log.push_back({At, std::move(Rows), Id});
  Primary.Applied = Primary.Log.size();
  auto Told = std::make_shared<bool>(false);
  const auto Tell = [Told, Done, At] {
    if (!std::exchange(*Told, true))
      Done(At);
  };
  replicate(
      *Primary.Group, Primary, Primary.Log.back(),
      Options.SyncReplicas > 0 ? std::function<void()>(Tell) : [] {});
  if (Options.SyncReplicas == 0)
    Tell();
}

void simulation::crash(member &Member, int ForMs, bool Dark) {
  note("member " + Member.Id + " crashes" + (Dark ? " and is dark" : ""));
  Member.Alive = false;
  Member.Incarnation += 1;
  Member.Busy = 0;
  Member.Queue.clear();
  Member.Acceptor->close();
  for (const auto &Session : std::set(Member.Sessions))
    Session->end();
  const std::string Id = Member.Id;
  // Its entry is removed after three intervals of silence.
  after(3 * Options.HeartbeatMs, [this, &Member, Id] {
    if (!Member.Alive)
      Store.erase("servers/" + Id);
  });
  if (ForMs <= 0)
    return;
  after(ForMs, [this, &Member] {
    group &Group = *Member.Group;
    Member.Alive = true;
    Member.Primary = Group.Leader == Member.Id;
    if (!Member.Primary)
      if (const auto *Leader = findMember(Group.Name, Group.Leader)) {
        Member.Log = Leader->Log;
        Member.Applied = Member.Log.size();
        Member.Term = Leader->Term;
      }
    note("member " + Member.Id + " is back as " +
         (Member.Primary ? "primary" : "replica"));
    listen(Member);
    beat(Member, Member.Incarnation);
  });
}

void simulation::drain(member &Member) {
  note("planned: member " + Member.Id + " of " + Member.Group->Name + " (" +
       (Member.Primary ? "primary" : "replica") + ") reports draining");
  Member.Draining = true;
  report(Member);
  after(Options.DrainMs + Options.LingerMs, [this, &Member] {
    if (!Member.Alive)
      return;
    note("member " + Member.Id + " has drained and ends");
    Member.Alive = false;
    Member.Primary = false;
    Member.Incarnation += 1;
    Member.Acceptor->close();
    for (const auto &Session : std::set(Member.Sessions))
      Session->end();
    Store.erase("servers/" + Member.Id);
    member &Next = addMember(*Member.Group, Member.Zone, Member.Port);
    Next.Log = Member.Log;
    Next.Applied = Next.Log.size();
    Next.Term = Member.Term;
    if (Member.Group->Leader == Member.Id) {
      Next.Primary = true;
      Member.Group->Leader = Next.Id;
    }
    note("member " + Next.Id + " takes its place");
    beat(Next, Next.Incarnation);
  });
}

void simulation::handlePromote(
    const call &Call, std::function<void(unsigned, std::string)> Reply) {
  const json::object Body = json::parse(Call.Body).as_object();
  promote_call Order{now(), textField(Body, "Backend"), textField(Body, "Id"),
                     Call.Headers.at("X-Lease-Holder"),
                     std::stoul(Call.Headers.at("X-Fence-Token"))};
  note("platform: promote " + Order.Group + ' ' + Order.Id + " ordered by " +
       Order.Holder + " with token " + std::to_string(Order.Token));
  Promotes.push_back(Order);
  const member *Chosen = findMember(Order.Group, Order.Id);
  const auto Group = Groups.find(Order.Group);
  unsigned Status = 200;
  if (Chosen == nullptr || !Chosen->Alive)
    Status = 409;
  else if (Group->second->Leader != Order.Id &&
           Group->second->Promoting != Order.Id) {
    Group->second->Promoting = Order.Id;
    after(Options.PromoteMs, [this, Name = Order.Group, Id = Order.Id] {
      if (Groups.at(Name)->Promoting == Id)
        finishPromote(*Groups.at(Name), Id);
    });
  }
  after(PromoteAnswerDelayMs, [Reply, Status] { Reply(Status, "{}"); });
  if (OnPromote)
    OnPromote(Order);
}

void simulation::finishPromote(group &Group, const std::string &Id) {
  Group.Promoting.reset();
  member *Next = findMember(Group.Name, Id);
  member *Old = findMember(Group.Name, Group.Leader);
  if (Next == nullptr || !Next->Alive)
    return;
  Group.Term += 1;
  Group.PreviousLeader = Group.Leader;
  Group.Leader = Id;
  Group.PromotedMs = now();
  Next->Term = Group.Term;
  Next->Primary = true;
  Next->Applied = Next->Log.size();
  note("platform: " + Id + " is primary of " + Group.Name + " in term " +
       std::to_string(Group.Term) + " from " + formatPosition(Next->last()));
  report(*Next);
  const auto Follow = [this, Next](member &Member) {
    Member.Primary = false;
    Member.Log = Next->Log;
    Member.Applied = Member.Log.size();
    Member.Term = Next->Term;
    if (Member.Alive)
      report(Member);
  };
  for (const auto &Each : Group.Members)
    if (Each.get() != Next && Each.get() != Old)
      Follow(*Each);
  // The old primary goes on for a second after it can reach the new one.
  if (Old != nullptr && Old->Alive && Old != Next)
    after(1000, [Old, Next, Follow] {
      if (Old->Alive && Old->Group->Leader != Old->Id)
        Follow(*Old);
    });
}

// Hosts ----------------------------------------------------------------------

namespace {
simulation *Current = nullptr;
} // namespace

simulation::simulation(std::string CaseFolder, std::string RepositoryRoot)
    : Store(*this), Folder(std::move(CaseFolder)),
      Root(std::move(RepositoryRoot)) {
  std::string Name = std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (mkdtemp(Name.data()) == nullptr)
    std::exit(2);
  Temp = Name;
  Record.open(Folder + "/record.txt");
  // However this program ends, the hosts end with it.
  Current = this;
  std::set_terminate([] {
    if (Current != nullptr)
      Current->stopAll();
    std::_Exit(2);
  });
  Interrupts.async_wait([](boost::system::error_code Cancelled, int) {
    if (!Cancelled)
      std::terminate();
  });
  StoreServer = std::make_unique<http_server>(
      Io, [this](const call &Call,
                 std::function<void(unsigned, std::string)> Reply) {
        Store.handle(Call, std::move(Reply));
      });
  PromotionServer = std::make_unique<http_server>(
      Io, [this](const call &Call,
                 std::function<void(unsigned, std::string)> Reply) {
        handlePromote(Call, std::move(Reply));
      });
  reap();
}

simulation::~simulation() {
  stopAll();
  Current = nullptr;
  std::error_code Ignored;
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Temp, Ignored);
  else
    std::fprintf(stderr, "logs: %s\n", Temp.c_str());
}

double simulation::now() const {
  return std::chrono::duration<double, std::milli>(clock::now() - Start)
      .count();
}

void simulation::note(const std::string &Text) {
  char Time[24];
  std::snprintf(Time, sizeof Time, "%9.1f ", now());
  Record << Time << escaped(Text) << '\n' << std::flush;
}

void simulation::after(int Ms, std::function<void()> Then) {
  auto Timer = std::make_shared<asio::steady_timer>(Io);
  Timer->expires_after(std::chrono::milliseconds(Ms));
  Timer->async_wait(
      [Timer, Then = std::move(Then)](boost::system::error_code) { Then(); });
}

void simulation::at(int Ms, std::function<void()> Then) {
  after(std::max(0, Ms - static_cast<int>(now())), std::move(Then));
}

json::object simulation::route(const std::string &Database,
                               const std::string &Type,
                               const std::string &Group, int TimeoutMs) {
  json::object Out{{"Name", "r-" + Database}, {"Database", Database},
                   {"Prefix", "/"},           {"Type", Type},
                   {"TimeoutMs", TimeoutMs},  {"TargetLatencyMs", 200},
                   {"Priority", 1},           {"Backend", Group},
                   {"RetryAttempts", 2},      {"Public", false}};
  if (Type != "primary")
    Out["MaxStalenessMs"] = Type == "bounded_staleness" ? 1500 : 2500;
  return Out;
}

void simulation::putConfig(const json::array &Routes) {
  json::array Services, Owners;
  for (const auto &[Name, Group] : Groups)
    Services.push_back(json::object{{"Name", Name},
                                    {"HealthPath", "/healthz"},
                                    {"MaxConnections", Options.MaxConnections},
                                    {"Protocol", "h1"},
                                    {"Tls", false},
                                    {"SyncReplicas", Options.SyncReplicas}});
  for (const auto &[Name, Keys] : Tenants)
    Owners.push_back(
        json::object{{"Name", Name},
                     {"ApiKeys", json::array(Keys.begin(), Keys.end())},
                     {"Priority", 1},
                     {"RatePerS", 1000},
                     {"Burst", 1000}});
  Store.put("op/config",
            json::object{{"Version", 7},
                         {"Routes", Routes},
                         {"Services", std::move(Services)},
                         {"Limits", json::object{{"MaxHeaderBytes", 16384},
                                                 {"MaxBodyBytes", 262144},
                                                 {"HeaderTimeoutMs", 3000},
                                                 {"IdleTimeoutMs", 15000},
                                                 {"TxIdleMs", 3000}}},
                         {"Tenants", std::move(Owners)}});
}

void simulation::addHost(const std::string &Name, const std::string &Zone) {
  host_process Host;
  Host.Name = Name;
  Host.Zone = Zone;
  std::vector<tcp::acceptor> Held;
  for (unsigned short *Port :
       {&Host.Callers, &Host.Ready, &Host.Peers, &Host.Metrics}) {
    Held.push_back(freeAcceptor(Io));
    *Port = Held.back().local_endpoint().port();
  }
  Host.Settings = Temp + '/' + Name + ".ini";
  Hosts[Name] = Host;
  std::ofstream(Host.Settings) << fillTemplate(Host);
}

/// The template of the deploy file with the fields of DEPLOY.md.
std::string simulation::fillTemplate(const host_process &Host) const {
  const auto Local = [](unsigned short Port) {
    return ownAddress() + ':' + std::to_string(Port);
  };
  std::ifstream File(Root + "/deploy/host.ini");
  std::stringstream Read;
  Read << File.rdbuf();
  std::string Text = Read.str();
  const auto Replace = [&](const std::string &From, const std::string &To) {
    for (std::size_t At; (At = Text.find(From)) != std::string::npos;)
      Text.replace(At, From.size(), To);
  };
  // The ports of a machine are its own; here all machines share an address.
  Replace("{{Ip}}:{{InternalPortRange.0}}", Local(Host.Peers));
  Replace("{{Ip}}:{{InternalPortRange.1}}", Local(Host.Metrics));
  Replace("{{NodeName}}", Host.Name);
  Replace("{{Zone}}", Host.Zone);
  Replace("{{BindAddresses.Frontend}}", Local(Host.Callers));
  Replace("{{BindAddresses.Ready}}", Local(Host.Ready));
  Replace("{{Limits.LinkMbps}}", "1000.0");
  Replace("{{platform.Address}}", Local(StoreServer->port()));
  Replace("{{CloudApi.Address}}", Local(PromotionServer->port()));
  Replace("{{platform.MinTtlMs}}", "1000");
  Replace("{{Bounds.GracePeriodS}}", "6");
  Replace("{{Bounds.DrainTimeoutMs}}", "7000");
  return Text;
}

namespace {

/// Sockets of the stand-ins don't stay open in the programs that are started.
void closeOnStart() {
  for (const auto &Entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int Handle = std::atoi(Entry.path().filename().c_str());
    if (Handle > 2)
      fcntl(Handle, F_SETFD, FD_CLOEXEC);
  }
}

} // namespace

void simulation::startHost(const std::string &Name) {
  closeOnStart();
  host_process &Host = Hosts.at(Name);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  const std::string Log = Temp + '/' + Name + ".log";
  posix_spawn_file_actions_addopen(&Actions, 1, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  std::string Program = Root + "/target/bin/bronzespar-sessiond";
  std::string Node = "BRONZESPAR_NODE_FILE=" + Host.Settings;
  const char *Path = std::getenv("PATH");
  std::string PathText = std::string("PATH=") + (Path == nullptr ? "" : Path);
  char *Arguments[] = {Program.data(), nullptr};
  char *Environment[] = {Node.data(), PathText.data(), nullptr};
  if (posix_spawn(&Host.Pid, Program.c_str(), &Actions, nullptr, Arguments,
                  Environment) != 0) {
    std::fprintf(stderr, "%s can't be started\n", Program.c_str());
    std::exit(2);
  }
  posix_spawn_file_actions_destroy(&Actions);
  Host.Stopped = false;
  note("host " + Name + " starts");
}

void simulation::signalHost(const std::string &Name, int Signal) {
  host_process &Host = Hosts.at(Name);
  Host.Stopped = Host.Stopped || Signal == SIGTERM || Signal == SIGKILL;
  note("host " + Name + " gets signal " + std::to_string(Signal));
  if (Host.Pid > 0)
    kill(Host.Pid, Signal);
}

void simulation::reap() {
  for (auto &[Name, Host] : Hosts) {
    int Status = 0;
    if (Host.Pid > 0 && waitpid(Host.Pid, &Status, WNOHANG) == Host.Pid) {
      note("host " + Name + " ends, " +
           (WIFEXITED(Status)
                ? "exit code " + std::to_string(WEXITSTATUS(Status))
                : "signal " + std::to_string(WTERMSIG(Status))));
      Host.Pid = -1;
      if (!Host.Stopped)
        EndedByThemselves += 1;
      // The platform restarts a process that ended.
      if (!Host.Removed)
        after(1000, [this, Name = Name] { startHost(Name); });
    }
  }
  Reaper.expires_after(std::chrono::milliseconds(50));
  Reaper.async_wait([this](boost::system::error_code Cancelled) {
    if (!Cancelled)
      reap();
  });
}

void simulation::runFor(int Ms) { Io.run_for(std::chrono::milliseconds(Ms)); }

void simulation::stopAll() {
  for (auto &[Name, Host] : Hosts)
    if (Host.Pid > 0) {
      kill(Host.Pid, SIGCONT);
      kill(Host.Pid, SIGKILL);
      waitpid(Host.Pid, nullptr, 0);
      Host.Pid = -1;
    }
}

// Clients --------------------------------------------------------------------

void client::open(std::function<void(bool)> Done) {
  Link = std::make_shared<line_link>(tcp::socket(Sim.Io));
  Opening = std::move(Done);
  Link->connect(Sim.Hosts.at(Host).Callers, [Self = shared_from_this()](
                                                bool Connected) {
    if (!Connected) {
      Self->ended();
      return;
    }
    Self->Link->start(
        [Self](const std::string &Line) { Self->lineArrived(Line); },
        [Self] { Self->ended(); });
    Self->Link->send("STARTUP " + Self->Database + ' ' + Self->Key + "\r\n");
  });
}

void client::query(const std::string &Bytes, then Done) {
  char Id[24];
  static unsigned long Last = 0;
  std::snprintf(Id, sizeof Id, "%016lx", 0x5c0e7a2100000000UL + ++Last);
  LastId = Id;
  Pending = std::move(Done);
  Partial = {};
  Partial.SentMs = Sim.now();
  Link->send("QUERY " + LastId + ' ' + Bytes + "\r\n");
}

void client::lineArrived(const std::string &Line) {
  std::string Rest = Line;
  const std::string Word = takeWord(Rest);
  if (!IsOpen) {
    IsOpen = Word == "READY";
    if (const auto Done = std::exchange(Opening, nullptr))
      Done(IsOpen);
    return;
  }
  if (Word == "ROW") {
    Partial.Rows.push_back(Rest);
  } else if (Word == "COMPLETE") {
    Partial.Code = Word;
    Partial.Text = Rest;
  } else if (Word == "ERROR") {
    Partial.Code = takeWord(Rest);
    Partial.Text = Rest;
  } else if (Word == "READY") {
    Partial.State = takeWord(Rest);
    Partial.AnsweredMs = Sim.now();
    if (const auto Done = std::exchange(Pending, nullptr))
      Done(std::exchange(Partial, {}));
  }
}

void client::ended() {
  IsOpen = false;
  const auto Self = shared_from_this();
  if (const auto Done = std::exchange(Opening, nullptr))
    Done(false);
  if (const auto Done = std::exchange(Pending, nullptr)) {
    Partial.Code = "CLOSED";
    Partial.AnsweredMs = Sim.now();
    Done(std::exchange(Partial, {}));
  }
}

void client::close() {
  IsOpen = false;
  if (Link)
    Link->close();
}

void writer::start() {
  if (Stopped)
    return;
  Session = std::make_shared<client>(Sim, Host, Db, AccessKey);
  Session->open([Self = shared_from_this()](bool Open) {
    if (Open)
      Self->next();
    else
      Self->Sim.after(200, [Self] { Self->start(); });
  });
}

void writer::next() {
  if (Stopped) {
    Session->close();
    return;
  }
  const std::string Text = "WRITE " + Prefix + std::to_string(++Count) + " d" +
                           std::to_string(Count);
  Session->query(
      Text, [Self = shared_from_this(), Text](const client::outcome &Got) {
        Self->Attempts.push_back({Self->Session->LastId, Self->Host, Text,
                                  Got.Code, Got.SentMs, Got.AnsweredMs});
        Self->Sim.note("client at " + Self->Host + ": " +
                       Self->Session->LastId + ' ' + Text + " sent " +
                       fixed(Got.SentMs) + " -> " + Got.Code + ' ' + Got.Text);
        if (Got.Code == "CLOSED")
          Self->Sim.after(200, [Self] { Self->start(); });
        else
          Self->Sim.after(Self->Pause, [Self] { Self->next(); });
      });
}

} // namespace world
