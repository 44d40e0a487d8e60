/// Connections between session hosts, and dispatch of the frames on them.
#include "peer_links.hpp"

#include "frame_socket.hpp"
#include "peer_codec.hpp"

#include <cstdlib>
#include <utility>
#include <vector>

namespace bronzespar::serve {

using boost::asio::ip::tcp;

namespace {

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
  if (const auto ProofUs = Message.proof_us())
    Answer.Proof = {duration(*ProofUs), Message.hops()};
  return {std::move(Answer), true, Message.turned_away()};
}

} // namespace

struct peer_links::frame_socket : serve::frame_socket {
  using serve::frame_socket::frame_socket;
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
  Acceptor.async_accept([this](boost::system::error_code Failed,
                               tcp::socket Socket) {
    if (!Acceptor.is_open())
      return;
    if (!Failed) {
      const std::string Name = '#' + std::to_string(++LastNumber);
      auto Link = std::make_shared<frame_socket>(
          std::move(Socket),
          [this, Name](const std::string &Frame) { frameArrived(Name, Frame); },
          [this, Name] { connectionEnded(Name); });
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
    Link = std::make_shared<frame_socket>(
        tcp::socket(Io),
        [this, Name](const std::string &Frame) { frameArrived(Name, Frame); },
        [this, Name] { connectionEnded(Name); });
    Link->connect(Where);
  }
  return *Link;
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
  } else if (const auto *Completed = Message->body_as_ForwardAnswer()) {
    if (auto Decoded = decodeAnswer(*Completed))
      Events(proxy::events::target_answered{Completed->ticket(),
                                            std::move(*Decoded)});
  } else if (const auto *Call = Message->body_as_RelayCall()) {
    relayRequested(Name, Call->number(),
                   {textOf(Call->method()),
                    textOf(Call->path()),
                    textOf(Call->body()),
                    {},
                    duration(Call->limit_us()),
                    Call->waits()});
  } else if (const auto *Answer = Message->body_as_RelayAnswer()) {
    finishRelay(Relays, Answer->number(), decodeRelayAnswer(Name, *Answer));
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
          return wire::CreateRelayAnswer(Builder, Number, Result.Answer.Status,
                                         Body, Result.PeerRefused, ProofUs,
                                         Proof ? Proof->Hops : 0);
        }));
  });
}

void peer_links::connectionEnded(const std::string &Name) {
  Sockets.erase(Name);
  if (!Unproven.empty() && Name.starts_with('#'))
    Unproven.erase(acceptedNumber(Name));
  failRelaysOf(Relays, Name);
  Events(proxy::events::peer_lost{Name});
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
                          return wire::CreateRelayCall(
                              Builder, Number, Method, Path, Body,
                              Call.Timeout.count(), Call.IsLongPoll);
                        }));
}

void peer_links::carryOut(const proxy::effects::request_vote &Effect) {
  findOrDial(Effect.Elector).send(encodeVoteRequest(Effect.Request));
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
  findOrDial(Effect.Owner).send(encodeForward(Effect));
}

void peer_links::carryOut(const proxy::effects::end_forward &Effect) {
  const auto Found = Sockets.find(toText(Effect.Owner));
  if (Found != Sockets.end())
    Found->second->send(
        encodeFrame(wire::SessionBody_ForwardEnd,
                    [&](flatbuffers::FlatBufferBuilder &Builder) {
                      return wire::CreateForwardEnd(Builder, Effect.Ticket);
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

void peer_links::closeLink(const std::string &Name) {
  const auto Found = Sockets.find(Name);
  if (Found == Sockets.end())
    return;
  Found->second->close();
  connectionEnded(Name);
}

void peer_links::carryOut(const proxy::effects::drop_peer &Effect) {
  closeLink(toText(Effect.Peer));
}

void peer_links::carryOut(const proxy::effects::request_tokens &Effect) {
  findOrDial(Effect.Peer)
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
