/// Framed FlatBuffers between hosts.
#include "token_links.hpp"

#include <tokens_generated.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <utility>

namespace bronzespar::serve {

namespace asio = boost::asio;
namespace wire = session_wire;
using asio::ip::tcp;

namespace {

constexpr std::size_t LengthBytes = 4;
/// A message holds an account's name and a number.
constexpr std::uint32_t MaxFrameBytes = 4096;
/// A peer that takes no bytes is not asked; what waits for it is dropped.
constexpr std::size_t MaxOutgoingBytes = 64 * 1024;

std::string frameOf(wire::TokenKind Kind, const proxy::token_transfer &What) {
  flatbuffers::FlatBufferBuilder Builder;
  const auto Account = Builder.CreateString(What.Account);
  Builder.Finish(
      wire::CreateTokenMessage(Builder, Kind, Account, What.Tokens));
  const auto Length = boost::endian::native_to_big(
      static_cast<std::uint32_t>(Builder.GetSize()));
  std::string Frame(reinterpret_cast<const char *>(&Length), LengthBytes);
  Frame.append(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
               Builder.GetSize());
  return Frame;
}

} // namespace

struct token_links::frame_socket : std::enable_shared_from_this<frame_socket> {
  frame_socket(tcp::socket Open, token_links &Links, std::string LinkName)
      : Socket(std::move(Open)), Owner(Links), Name(std::move(LinkName)) {}

  void connect(const endpoint &Where) {
    Connecting = true;
    Socket.async_connect(toAsio(Where), [Self = shared_from_this()](
                                            boost::system::error_code Failed) {
      Self->Connecting = false;
      if (Failed) {
        Self->fail();
        return;
      }
      prepareSocket(Self->Socket);
      Self->readLength();
      Self->write();
    });
  }

  void send(const std::string &Frame) {
    if (Outgoing.size() + Frame.size() > MaxOutgoingBytes)
      return;
    Outgoing += Frame;
    if (!Connecting && !Writing)
      write();
  }

  void write() {
    if (Outgoing.empty()) {
      Writing = false;
      return;
    }
    Writing = true;
    Sending.swap(Outgoing);
    Outgoing.clear();
    asio::async_write(
        Socket, asio::buffer(Sending),
        [Self = shared_from_this()](boost::system::error_code Failed,
                                    std::size_t) {
          if (Failed)
            Self->fail();
          else
            Self->write();
        });
  }

  void readLength() {
    asio::async_read(Socket, asio::buffer(&Length, LengthBytes),
                     [Self = shared_from_this()](
                         boost::system::error_code Failed, std::size_t) {
                       const auto Size =
                           boost::endian::big_to_native(Self->Length);
                       if (Failed || Size == 0 || Size > MaxFrameBytes)
                         Self->fail();
                       else
                         Self->readBody(Size);
                     });
  }

  void readBody(std::uint32_t Size) {
    Body.resize(Size);
    asio::async_read(Socket, asio::buffer(Body),
                     [Self = shared_from_this()](
                         boost::system::error_code Failed, std::size_t) {
                       if (Failed) {
                         Self->fail();
                         return;
                       }
                       Self->Owner.frameArrived(Self->Name, Self->Body);
                       Self->readLength();
                     });
  }

  void fail() {
    boost::system::error_code Ignored;
    Socket.close(Ignored);
    Owner.ended(Name);
  }

  tcp::socket Socket;
  token_links &Owner;
  std::string Name;
  std::uint32_t Length = 0;
  std::string Body;
  std::string Outgoing;
  std::string Sending;
  bool Connecting = false;
  bool Writing = false;
};

token_links::token_links(asio::io_context &Context, const endpoint &Where,
                         event_sink Sink)
    : Io(Context), Acceptor(Context, toAsio(Where), true),
      Events(std::move(Sink)) {}

void token_links::start() { accept(); }

void token_links::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failed, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Failed) {
          prepareSocket(Socket);
          const std::string Name = '#' + std::to_string(++LastNumber);
          auto Link =
              std::make_shared<frame_socket>(std::move(Socket), *this, Name);
          Sockets[Name] = Link;
          Link->readLength();
        }
        accept();
      });
}

void token_links::frameArrived(const std::string &Name,
                               const std::string &Frame) {
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Frame.data());
  flatbuffers::Verifier Verifier(Bytes, Frame.size());
  if (!wire::VerifyTokenMessageBuffer(Verifier))
    return;
  const auto *Message = wire::GetTokenMessage(Bytes);
  if (Message->account() == nullptr)
    return;
  proxy::token_transfer What{Message->account()->str(), Message->tokens()};
  if (Message->kind() == wire::TokenKind_Ask)
    Events(proxy::events::tokens_asked{Name, std::move(What)});
  else
    Events(proxy::events::tokens_granted{Name, std::move(What)});
}

void token_links::ended(const std::string &Name) { Sockets.erase(Name); }

void token_links::carryOut(const proxy::effects::ask_tokens &Effect) {
  const std::string Name = toText(Effect.Host);
  std::shared_ptr<frame_socket> &Link = Sockets[Name];
  if (!Link) {
    Link = std::make_shared<frame_socket>(tcp::socket(Io), *this, Name);
    Link->connect(Effect.Host);
  }
  Link->send(frameOf(wire::TokenKind_Ask, Effect.Wanted));
}

void token_links::carryOut(const proxy::effects::grant_tokens &Effect) {
  const auto Found = Sockets.find(Effect.Host);
  if (Found != Sockets.end())
    Found->second->send(frameOf(wire::TokenKind_Grant, Effect.Granted));
}

} // namespace bronzespar::serve
