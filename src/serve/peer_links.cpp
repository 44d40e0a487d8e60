/// Connections between session hosts, and dispatch of the frames on them.
#include "peer_links.hpp"

#include "frame_socket.hpp"
#include "peer_codec.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace bronzespar::serve {

using boost::asio::ip::tcp;

namespace {

/// An answer that is only late arrives on a replaced connection within this
/// time; a lost segment is sent again meanwhile.
constexpr duration RetiredLinkPeriod = std::chrono::milliseconds(300);
/// One on which answers do arrive stays for as long as a transaction may rest.
constexpr duration MaxRetiredLinkPeriod = std::chrono::seconds(3);
/// Ends the names of connections over which others are checked.
constexpr char CheckMark = '?';

platform::http_call decodeRelayCall(const wire::RelayCall &Message) {
  platform::http_call Call{textOf(Message.method()),     textOf(Message.path()),
                           textOf(Message.body()),       {},
                           duration(Message.limit_us()), Message.waits()};
  if (const auto Era = Message.era())
    Call.Era = *Era;
  return Call;
}

/// Peers send their first frame as soon as they are connected.
constexpr unsigned MaxUnprovenSweeps = 30;
/// Delay before the next connection is accepted when none could be, for want of
/// a descriptor.
constexpr duration AcceptDelay = std::chrono::milliseconds(100);

/// \param Name "#number".
std::uint64_t acceptedNumber(const std::string &Name) {
  return std::strtoull(Name.c_str() + 1, nullptr, 10);
}

relay_answer decodeRelayAnswer(const std::string &Peer,
                               const wire::RelayAnswer &Message) {
  platform::http_answer Answer{Message.status(), textOf(Message.body())};
  Answer.Via = Peer;
  Answer.Era = Message.era();
  if (const auto ProofUs = Message.proof_us())
    Answer.Proof = {duration(*ProofUs), Message.hops()};
  return {std::move(Answer), true, Message.turned_away()};
}

std::string encodeAlive(std::uint64_t Number) {
  return encodeFrame(wire::SessionBody_LinkAlive,
                     [&](flatbuffers::FlatBufferBuilder &Builder) {
                       return wire::CreateLinkAlive(Builder, Number);
                     });
}

} // namespace

struct peer_links::frame_socket : serve::frame_socket {
  using serve::frame_socket::frame_socket;

  std::string Name;             ///< Key in Sockets or Checks.
  endpoint Where;               ///< Set if this host dialled.
  proxy::link_watch Watch;      ///< Of a connection that this host dialled.
  std::uint64_t LastTicket = 0; ///< Highest one that was sent on it.
};

peer_links::peer_links(boost::asio::io_context &Context, const endpoint &Where,
                       event_sink Sink, relay_handler Handler,
                       invalid_frame_handler OnInvalidFrame)
    : Io(Context), Acceptor(Context, toAsio(Where), true), AcceptTimer(Context),
      Events(std::move(Sink)), RelayHandler(std::move(Handler)),
      InvalidFrame(std::move(OnInvalidFrame)) {}

peer_links::~peer_links() = default;

void peer_links::start() { accept(); }

void peer_links::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Failed) {
          const std::string Name = '#' + std::to_string(++LastNumber);
          const auto Link = makeSocket(std::move(Socket), Name);
          Sockets[Name] = Link;
          addUnproven(*Link);
          Link->start();
          accept();
          return;
        }
        AcceptTimer.expires_after(AcceptDelay);
        AcceptTimer.async_wait([this](boost::system::error_code Cancelled) {
          if (!Cancelled)
            accept();
        });
      });
}

std::shared_ptr<peer_links::frame_socket>
peer_links::makeSocket(tcp::socket Socket, std::string Name) {
  // The hooks are called only while the socket exists, and its name may change.
  const auto Self = std::make_shared<frame_socket *>(nullptr);
  auto Link = std::make_shared<frame_socket>(
      std::move(Socket),
      [this, Self](const std::string &Frame) {
        frameArrived(std::string((*Self)->Name), Frame);
      },
      [this, Self] { connectionEnded(std::string((*Self)->Name)); });
  *Self = Link.get();
  Link->Name = std::move(Name);
  return Link;
}

void peer_links::limitUnproven(
    client_memory &ClientMemory, std::size_t MaxConnections,
    std::function<void(std::string_view Event)> OnClose) {
  Memory = &ClientMemory;
  MaxUnproven = MaxConnections;
  ReportClose = std::move(OnClose);
}

void peer_links::addUnproven(frame_socket &Link) {
  if (Memory == nullptr)
    return;
  Link.countAsClient(*Memory, {proxy::client_kind::Peer, LastNumber});
  Unproven[LastNumber] = 0;
  if (Unproven.size() > MaxUnproven)
    cutOff(Unproven.begin()->first, "peer.evicted");
}

void peer_links::cutOff(std::uint64_t Number, std::string_view Event) {
  ReportClose(Event);
  Unproven.erase(Number);
  closeLink('#' + std::to_string(Number));
}

void peer_links::sweepUnproven() {
  std::vector<std::uint64_t> Silent;
  for (auto &[Number, Sweeps] : Unproven)
    if (++Sweeps > MaxUnprovenSweeps)
      Silent.push_back(Number);
  for (const std::uint64_t Number : Silent)
    cutOff(Number, "peer.unproven");
}

void peer_links::prove(const std::string &Name) {
  if (Unproven.empty() || !Name.starts_with('#'))
    return;
  if (Unproven.erase(acceptedNumber(Name)) == 0)
    return;
  const auto Found = Sockets.find(Name);
  if (Found != Sockets.end())
    Found->second->trust();
}

peer_links::frame_socket &peer_links::findOrDial(const endpoint &Where) {
  const std::string Name = toText(Where);
  std::shared_ptr<frame_socket> &Link = Sockets[Name];
  if (!Link) {
    Link = makeSocket(tcp::socket(Io), Name);
    Link->Where = Where;
    Link->connect(Where);
  }
  return *Link;
}

peer_links::frame_socket &peer_links::linkForRequest(const endpoint &Where) {
  frame_socket &Link = findOrDial(Where);
  proxy::noteRequest(Link.Watch, Link.receivedBytes(), bootNow());
  return Link;
}

peer_links::frame_socket &peer_links::linkOf(const endpoint &Owner,
                                             std::uint64_t Ticket) {
  const auto Old = Retired.find(toText(Owner));
  if (Old != Retired.end() && Ticket <= Old->second.Socket->LastTicket)
    return *Old->second.Socket;
  return findOrDial(Owner);
}

void peer_links::frameArrived(const std::string &Name,
                              const std::string &Frame) {
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Frame.data());
  flatbuffers::Verifier Verifier(Bytes, Frame.size());
  if (!wire::VerifySessionFrameBuffer(Verifier)) {
    InvalidFrame(Name, Frame.size());
    closeLink(Name);
    return;
  }
  prove(Name);
  const auto *Message = wire::GetSessionFrame(Bytes);
  if (const auto *Ask = Message->body_as_TokenAsk()) {
    Events(proxy::events::tokens_requested{
        Name, {textOf(Ask->account()), Ask->tokens()}});
  } else if (const auto *Grant = Message->body_as_TokenGrant()) {
    Events(proxy::events::tokens_granted{
        Name, {textOf(Grant->account()), Grant->tokens()}});
  } else if (const auto *VoteRequest = Message->body_as_VouchAsk()) {
    Events(
        proxy::events::vote_requested{Name, decodeVoteRequest(*VoteRequest)});
  } else if (const auto *Vote = Message->body_as_VouchAnswer()) {
    Events(proxy::events::vote_received{decodeVote(*Vote)});
  } else if (const auto *Position = Message->body_as_PositionAsk()) {
    Events(proxy::events::position_requested{
        Name,
        {textOf(Position->group()), instant(duration(Position->asked_us()))}});
  } else if (const auto *Shared = Message->body_as_PositionAnswer()) {
    if (const auto Decoded = decodePosition(*Shared))
      Events(proxy::events::position_received{*Decoded});
  } else if (const auto *Forward = Message->body_as_ForwardAsk()) {
    forwardArrived(Name, *Forward);
  } else if (const auto *End = Message->body_as_ForwardEnd()) {
    Events(proxy::events::forward_ended{Name, End->ticket()});
  } else if (Message->body_as_ForwardPending() != nullptr) {
    Events(proxy::events::forward_pending{Name});
  } else if (Message->body_as_HostStopping() != nullptr) {
    Events(proxy::events::peer_stopping{Name});
  } else if (const auto *Completed = Message->body_as_ForwardAnswer()) {
    if (auto Decoded = decodeAnswer(*Completed))
      Events(proxy::events::target_answered{Completed->ticket(),
                                            std::move(*Decoded)});
  } else if (const auto *Call = Message->body_as_RelayCall()) {
    relayRequested(Name, Call->number(), decodeRelayCall(*Call));
  } else if (const auto *Answer = Message->body_as_RelayAnswer()) {
    finishRelay(Relays, Answer->number(), decodeRelayAnswer(Name, *Answer));
  } else if (const auto *Check = Message->body_as_LinkCheck()) {
    if (const auto Link = Sockets.find(Name); Link != Sockets.end())
      Link->second->send(encodeAlive(Check->number()));
  } else if (const auto *Alive = Message->body_as_LinkAlive()) {
    checkAnswered(Name, Alive->number());
  }
}

void peer_links::forwardArrived(const std::string &Name,
                                const wire::ForwardAsk &Ask) {
  if (Ask.protocol() != ForwardProtocol) {
    proxy::answer Refusal;
    Refusal.Code = proxy::answer_code::Busy;
    Refusal.Text = "the owner speaks forward protocol " +
                   std::to_string(ForwardProtocol) + ", not " +
                   std::to_string(Ask.protocol());
    carryOut(
        proxy::effects::answer_forward{Name, Ask.ticket(), std::move(Refusal)});
    return;
  }
  if (auto Forwarded = decodeForward(Ask))
    Events(proxy::events::forward_requested{Name, Ask.ticket(),
                                            std::move(*Forwarded)});
}

void peer_links::relayRequested(const std::string &Name, std::uint64_t Number,
                                platform::http_call Call) {
  RelayHandler(std::move(Call), [this, Name,
                                 Number](const relay_answer &Result) {
    const auto Found = Sockets.find(Name);
    if (Found == Sockets.end())
      return;
    Found->second->send(encodeFrame(
        wire::SessionBody_RelayAnswer,
        [&](flatbuffers::FlatBufferBuilder &Builder) {
          const auto Body = Builder.CreateString(Result.Answer.Body);
          const auto &Proof = Result.Answer.Proof;
          flatbuffers::Optional<std::int64_t> ProofUs;
          if (Proof)
            ProofUs = Proof->ValidAfter.count();
          return wire::CreateRelayAnswer(
              Builder, Number, Result.Answer.Status, Body, Result.PeerRefused,
              ProofUs, Proof ? Proof->Hops : 0, Result.Answer.Era);
        }));
  });
}

void peer_links::connectionEnded(const std::string &Name) {
  if (Name.ends_with(CheckMark)) {
    Checks.erase(Name.substr(0, Name.size() - 1));
    return;
  }
  const auto Old = Retired.find(Name);
  const auto Current = Sockets.find(Name);
  const bool IsRetired = Old != Retired.end() && Old->second.Socket->isClosed();
  if (IsRetired) {
    const std::uint64_t LastTicket = Old->second.Socket->LastTicket;
    Retired.erase(Old);
    Events(proxy::events::peer_lost{Name, LastTicket});
  }
  if (Current == Sockets.end() || !Current->second->isClosed())
    return;
  Sockets.erase(Current);
  if (!Unproven.empty() && Name.starts_with('#'))
    Unproven.erase(acceptedNumber(Name));
  failRelaysOf(Relays, Name);
  Events(proxy::events::peer_lost{Name});
}

void peer_links::checkLink(const std::string &Name, const endpoint &Where) {
  const auto Found = Sockets.find(Name);
  if (Found == Sockets.end())
    return;
  frame_socket &Silent = *Found->second;
  const std::uint64_t Number = ++LastNumber;
  proxy::beginCheck(Silent.Watch, Silent.receivedBytes(), Number, bootNow());
  auto Check = makeSocket(tcp::socket(Io), Name + CheckMark);
  Check->Where = Where;
  Check->connect(Where);
  Check->send(encodeFrame(wire::SessionBody_LinkCheck,
                          [&](flatbuffers::FlatBufferBuilder &Builder) {
                            return wire::CreateLinkCheck(Builder, Number);
                          }));
  Checks[Name] = std::move(Check);
}

void peer_links::checkAnswered(const std::string &Name, std::uint64_t Number) {
  if (!Name.ends_with(CheckMark))
    return;
  const std::string Checked = Name.substr(0, Name.size() - 1);
  const auto Found = Sockets.find(Checked);
  const bool IsLost =
      Found != Sockets.end() &&
      proxy::isShownLost(Found->second->Watch, Found->second->receivedBytes(),
                         Number);
  if (IsLost)
    replaceLink(Checked);
  else
    closeCheck(Checked);
}

void peer_links::closeCheck(const std::string &Name) {
  const auto Check = Checks.find(Name);
  if (Check == Checks.end())
    return;
  Check->second->close();
  Checks.erase(Check);
}

void peer_links::replaceLink(const std::string &Name) {
  auto Replacement = Checks.extract(Name);
  std::shared_ptr<frame_socket> Silent =
      std::exchange(Sockets.at(Name), std::move(Replacement.mapped()));
  Sockets.at(Name)->Name = Name;
  const std::uint64_t LastTicket = Silent->LastTicket;
  closeRetired(Name);
  const std::uint64_t Received = Silent->receivedBytes();
  Retired[Name] = {std::move(Silent), Received, bootNow() + RetiredLinkPeriod};
  // Calls that were relayed over the silent one get no answer.
  failRelaysOf(Relays, Name);
  Events(proxy::events::link_replaced{Name, LastTicket});
}

void peer_links::closeRetired(const std::string &Name) {
  const auto Old = Retired.find(Name);
  if (Old == Retired.end())
    return;
  Old->second.Socket->close();
  connectionEnded(Name);
}

void peer_links::superviseChecks(instant Now) {
  std::vector<std::pair<std::string, endpoint>> Silent;
  for (const auto &[Name, Link] : Sockets) {
    if (proxy::isCheckOverdue(Link->Watch, Now)) {
      Link->Watch.CheckNumber = 0;
      closeCheck(Name);
    }
    if (proxy::needsCheck(Link->Watch, Link->receivedBytes(), Now))
      Silent.emplace_back(Name, Link->Where);
  }
  for (const auto &[Name, Where] : Silent)
    checkLink(Name, Where);
}

void peer_links::superviseRetired(instant Now) {
  std::vector<std::string> Ended;
  for (auto &[Name, Old] : Retired) {
    const std::uint64_t Received = Old.Socket->receivedBytes();
    if (Now < Old.CloseAt)
      continue;
    if (Received != Old.ReceivedBytes && !Old.IsProlonged) {
      Old.IsProlonged = true;
      Old.CloseAt = Now + MaxRetiredLinkPeriod;
      continue;
    }
    Ended.push_back(Name);
  }
  for (const std::string &Name : Ended)
    closeRetired(Name);
}

void peer_links::supervise(instant Now) {
  superviseChecks(Now);
  superviseRetired(Now);
  expireRelays(Now);
}

void peer_links::expireRelays(instant Now) {
  const auto Received = [this](const std::string &Name) {
    const auto Link = Sockets.find(Name);
    return Link == Sockets.end() ? 0 : Link->second->receivedBytes();
  };
  // The next call opens another connection.
  for (const std::string &Name : serve::expireRelays(Relays, Now, Received))
    closeLink(Name);
}

void peer_links::abandonWatches() { serve::abandonWatches(Relays); }

void peer_links::relay(const endpoint &Peer, const platform::http_call &Call,
                       relay_callback Callback) {
  const std::uint64_t Number = ++LastNumber;
  frame_socket &Link = findOrDial(Peer);
  addRelay(Relays, Number, toText(Peer), Link.receivedBytes(), Call, bootNow(),
           std::move(Callback));
  Link.send(encodeFrame(wire::SessionBody_RelayCall,
                        [&](flatbuffers::FlatBufferBuilder &Builder) {
                          const auto Method = Builder.CreateString(Call.Method);
                          const auto Path = Builder.CreateString(Call.Path);
                          const auto Body = Builder.CreateString(Call.Body);
                          flatbuffers::Optional<std::uint64_t> Era;
                          if (Call.Era)
                            Era = *Call.Era;
                          return wire::CreateRelayCall(
                              Builder, Number, Method, Path, Body,
                              Call.Timeout.count(), Call.IsLongPoll, Era);
                        }));
}

void peer_links::carryOut(const proxy::effects::request_vote &Effect) {
  linkForRequest(Effect.Elector).send(encodeVoteRequest(Effect.Request));
}

void peer_links::carryOut(const proxy::effects::send_vote &Effect) {
  const auto Found = Sockets.find(Effect.Link);
  if (Found != Sockets.end())
    Found->second->send(encodeVote(Effect.Vote));
}

void peer_links::carryOut(const proxy::effects::request_position &Effect) {
  findOrDial(Effect.Owner)
      .send(
          encodeFrame(wire::SessionBody_PositionAsk,
                      [&](flatbuffers::FlatBufferBuilder &Builder) {
                        return wire::CreatePositionAskDirect(
                            Builder, Effect.Request.Group.c_str(),
                            Effect.Request.AskedAt.time_since_epoch().count());
                      }));
}

void peer_links::carryOut(const proxy::effects::send_position &Effect) {
  const auto Found = Sockets.find(Effect.Link);
  if (Found != Sockets.end())
    Found->second->send(encodePosition(Effect.Shared));
}

void peer_links::carryOut(const proxy::effects::forward &Effect) {
  frame_socket &Link = linkOf(Effect.Owner, Effect.Ticket);
  Link.LastTicket = std::max(Link.LastTicket, Effect.Ticket);
  Link.send(encodeForward(Effect));
}

void peer_links::carryOut(const proxy::effects::end_forward &Effect) {
  if (Sockets.contains(toText(Effect.Owner)))
    linkOf(Effect.Owner, Effect.Ticket)
        .send(encodeFrame(wire::SessionBody_ForwardEnd,
                          [&](flatbuffers::FlatBufferBuilder &Builder) {
                            return wire::CreateForwardEnd(Builder,
                                                          Effect.Ticket);
                          }));
}

void peer_links::carryOut(const proxy::effects::answer_forward &Effect) {
  const auto Found = Sockets.find(Effect.Link);
  if (Found != Sockets.end())
    Found->second->send(encodeAnswer(Effect));
}

void peer_links::carryOut(const proxy::effects::report_pending &Effect) {
  const auto Found = Sockets.find(Effect.Link);
  if (Found != Sockets.end())
    Found->second->send(
        encodeFrame(wire::SessionBody_ForwardPending,
                    [](flatbuffers::FlatBufferBuilder &Builder) {
                      return wire::CreateForwardPending(Builder);
                    }));
}

void peer_links::carryOut(const proxy::effects::announce_stop &) {
  const std::string Frame =
      encodeFrame(wire::SessionBody_HostStopping,
                  [](flatbuffers::FlatBufferBuilder &Builder) {
                    return wire::CreateHostStopping(Builder);
                  });
  for (const auto &[Name, Link] : Sockets)
    Link->send(Frame);
}

void peer_links::closeLink(const std::string &Name) {
  const auto Found = Sockets.find(Name);
  if (Found == Sockets.end())
    return;
  Found->second->close();
  connectionEnded(Name);
}

void peer_links::carryOut(const proxy::effects::check_peer &Effect) {
  const auto Found = Sockets.find(toText(Effect.Peer));
  if (Found == Sockets.end())
    return;
  proxy::link_watch &Watch = Found->second->Watch;
  if (proxy::mayCheck(Watch, bootNow()))
    checkLink(Found->first, Effect.Peer);
}

void peer_links::carryOut(const proxy::effects::drop_peer &Effect) {
  closeLink(toText(Effect.Peer));
}

void peer_links::carryOut(const proxy::effects::request_tokens &Effect) {
  linkForRequest(Effect.Peer)
      .send(encodeFrame(wire::SessionBody_TokenAsk,
                        [&](flatbuffers::FlatBufferBuilder &Builder) {
                          const auto Account =
                              Builder.CreateString(Effect.Wanted.Account);
                          return wire::CreateTokenAsk(Builder, Account,
                                                      Effect.Wanted.Tokens);
                        }));
}

void peer_links::carryOut(const proxy::effects::grant_tokens &Effect) {
  const auto Found = Sockets.find(Effect.Link);
  if (Found == Sockets.end())
    return;
  Found->second->send(encodeFrame(
      wire::SessionBody_TokenGrant,
      [&](flatbuffers::FlatBufferBuilder &Builder) {
        const auto Account = Builder.CreateString(Effect.Granted.Account);
        return wire::CreateTokenGrant(Builder, Account, Effect.Granted.Tokens);
      }));
}

} // namespace bronzespar::serve
