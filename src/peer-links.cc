#include "peer-links.h"

#include <map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace thymewall::detail {

namespace {

/// Timeout of opening and closing handshakes.
constexpr long HandshakeTimeoutMs = 1500;
/// Unsent bytes of a link above which it is closed, since its peer doesn't
/// read.
constexpr std::size_t MaxBufferedBytes = 16 << 20;

// The member names are the library's.
// NOLINTBEGIN(readability-identifier-naming)
struct ServerConfig : websocketpp::config::asio {
  static const websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
  static const websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
};
struct ClientConfig : websocketpp::config::asio_client {
  static const websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
  static const websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
};
// NOLINTEND(readability-identifier-naming)
using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;
using Handle = websocketpp::connection_hdl;

} // namespace

class PeerLinks::Impl {
public:
  Impl(asio::io_context &Context, const Endpoint &Listen,
       std::size_t MaxMessageBytes, PeerLinkHooks Hooks)
      : Hooks_(std::move(Hooks)), MaxMessageBytes_(MaxMessageBytes) {
    Server_.init_asio(&Context);
    Client_.init_asio(&Context);
    configure(Server_);
    configure(Client_);
    Server_.set_open_handler([this](const Handle &H) { onOpen(H, true, ""); });
    Server_.set_close_handler([this](const Handle &H) { onClose(H); });
    std::string Address = formatEndpoint(Listen);
    Address.resize(Address.rfind(':'));
    Server_.set_reuse_addr(true);
    Server_.listen(
        asio::ip::tcp::endpoint(asio::ip::make_address(Address), Listen.Port_));
    Server_.start_accept();
  }

  ~Impl() {
    Hooks_ = {};
    websocketpp::lib::error_code Ignored;
    Server_.stop_listening(Ignored);
    for (const auto &[Id, L] : Links_)
      closeHandle(L);
  }

  void connect(const std::string &Target) {
    websocketpp::lib::error_code Error;
    auto Connection = Client_.get_connection("ws://" + Target + "/", Error);
    if (Error)
      return;
    Connection->set_open_handler(
        [this, Target](const Handle &H) { onOpen(H, false, Target); });
    Connection->set_close_handler([this](const Handle &H) { onClose(H); });
    Connection->set_fail_handler([this, Target](const Handle &) {
      if (Hooks_.OnConnectFailed_)
        Hooks_.OnConnectFailed_(Target);
    });
    Client_.connect(Connection);
  }

  void send(LinkId Id, const std::string &Bytes) {
    auto Found = Links_.find(Id);
    if (Found == Links_.end())
      return;
    constexpr auto Binary = websocketpp::frame::opcode::binary;
    websocketpp::lib::error_code Error;
    const Link &L = Found->second;
    std::size_t BufferedBytes = 0;
    if (L.Accepted_) {
      Server_.send(L.Handle_, Bytes, Binary, Error);
      BufferedBytes =
          Server_.get_con_from_hdl(L.Handle_)->get_buffered_amount();
    } else {
      Client_.send(L.Handle_, Bytes, Binary, Error);
      BufferedBytes =
          Client_.get_con_from_hdl(L.Handle_)->get_buffered_amount();
    }
    if (Error || BufferedBytes > MaxBufferedBytes)
      close(Id);
  }

  void pingAll(const std::string &Bytes) {
    for (const auto &[Id, L] : Links_)
      pingHandle(L, Bytes);
  }

  void ping(LinkId Id, const std::string &Bytes) {
    auto Found = Links_.find(Id);
    if (Found != Links_.end())
      pingHandle(Found->second, Bytes);
  }

  void close(LinkId Id) {
    auto Found = Links_.find(Id);
    if (Found != Links_.end())
      closeHandle(Found->second);
  }

private:
  struct Link {
    Handle Handle_;
    bool Accepted_ = false;
  };

  template <typename EndpointType> void configure(EndpointType &E) {
    E.set_max_message_size(MaxMessageBytes_);
    E.set_open_handshake_timeout(HandshakeTimeoutMs);
    E.set_close_handshake_timeout(HandshakeTimeoutMs);
    E.set_pong_handler([this](const Handle &H, const std::string &Bytes) {
      auto Found = Ids_.find(H);
      if (Found != Ids_.end() && Hooks_.OnPong_)
        Hooks_.OnPong_(Found->second, Bytes);
    });
    E.set_message_handler(
        [this](const Handle &H, typename EndpointType::message_ptr M) {
          auto Found = Ids_.find(H);
          if (Found != Ids_.end() && Hooks_.OnMessage_)
            Hooks_.OnMessage_(Found->second, M->get_payload());
        });
  }

  void onOpen(const Handle &H, bool Accepted, const std::string &Target) {
    auto Id = static_cast<LinkId>(++LastId_);
    Links_[Id] = {H, Accepted};
    Ids_[H] = Id;
    if (Hooks_.OnOpen_)
      Hooks_.OnOpen_(Id, Target);
  }

  void onClose(const Handle &H) {
    auto Found = Ids_.find(H);
    if (Found == Ids_.end())
      return;
    LinkId Id = Found->second;
    Ids_.erase(Found);
    Links_.erase(Id);
    if (Hooks_.OnClose_)
      Hooks_.OnClose_(Id);
  }

  void pingHandle(const Link &L, const std::string &Bytes) {
    websocketpp::lib::error_code Ignored; // a link that is about to close
    if (L.Accepted_)
      Server_.ping(L.Handle_, Bytes, Ignored);
    else
      Client_.ping(L.Handle_, Bytes, Ignored);
  }

  void closeHandle(const Link &L) {
    websocketpp::lib::error_code Ignored;
    constexpr auto Code = websocketpp::close::status::going_away;
    if (L.Accepted_)
      Server_.close(L.Handle_, Code, "", Ignored);
    else
      Client_.close(L.Handle_, Code, "", Ignored);
  }

  PeerLinkHooks Hooks_;
  std::size_t MaxMessageBytes_;
  Server Server_;
  Client Client_;
  std::map<LinkId, Link> Links_;
  std::map<Handle, LinkId, std::owner_less<Handle>> Ids_;
  std::uint64_t LastId_ = 0;
};

PeerLinks::PeerLinks(asio::io_context &Context, const Endpoint &Listen,
                     std::size_t MaxMessageBytes, PeerLinkHooks Hooks)
    : Impl_(std::make_unique<Impl>(Context, Listen, MaxMessageBytes,
                                   std::move(Hooks))) {}
PeerLinks::~PeerLinks() = default;
void PeerLinks::connect(const std::string &Target) { Impl_->connect(Target); }
void PeerLinks::send(LinkId Link, const std::string &Bytes) {
  Impl_->send(Link, Bytes);
}
void PeerLinks::ping(LinkId Link, const std::string &Bytes) {
  Impl_->ping(Link, Bytes);
}
void PeerLinks::pingAll(const std::string &Bytes) { Impl_->pingAll(Bytes); }
void PeerLinks::close(LinkId Link) { Impl_->close(Link); }

} // namespace thymewall::detail
