#include "peer-links.h"

#include <map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace thymewall::detail {

namespace {

/// Limits on opening and closing handshakes: round trips take milliseconds.
constexpr long HandshakeMs = 1500;
/// Bytes that a peer which doesn't read may hold up; then its link is closed.
constexpr std::size_t MaxBuffered = 16 << 20;

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
       std::size_t MaxMessage, PeerLinkHooks Hooks)
      : Hooks_(std::move(Hooks)), MaxMessage_(MaxMessage) {
    Server_.init_asio(&Context);
    Client_.init_asio(&Context);
    prepare(Server_);
    prepare(Client_);
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
    for (const auto &[Which, L] : Links_)
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
      if (Hooks_.OnFailed_)
        Hooks_.OnFailed_(Target);
    });
    Client_.connect(Connection);
  }

  void send(LinkId Which, const std::string &Bytes) {
    auto Known = Links_.find(Which);
    if (Known == Links_.end())
      return;
    constexpr auto Binary = websocketpp::frame::opcode::binary;
    websocketpp::lib::error_code Error;
    const Link &L = Known->second;
    std::size_t Held = 0;
    if (L.Accepted_) {
      Server_.send(L.Handle_, Bytes, Binary, Error);
      Held = Server_.get_con_from_hdl(L.Handle_)->get_buffered_amount();
    } else {
      Client_.send(L.Handle_, Bytes, Binary, Error);
      Held = Client_.get_con_from_hdl(L.Handle_)->get_buffered_amount();
    }
    if (Error || Held > MaxBuffered)
      close(Which);
  }

  void pingAll(const std::string &Bytes) {
    websocketpp::lib::error_code Ignored; // a link that is about to close
    for (const auto &[Which, L] : Links_) {
      if (L.Accepted_)
        Server_.ping(L.Handle_, Bytes, Ignored);
      else
        Client_.ping(L.Handle_, Bytes, Ignored);
    }
  }

  void close(LinkId Which) {
    auto Known = Links_.find(Which);
    if (Known != Links_.end())
      closeHandle(Known->second);
  }

private:
  struct Link {
    Handle Handle_;
    bool Accepted_ = false;
  };

  template <typename EndpointType> void prepare(EndpointType &E) {
    E.set_max_message_size(MaxMessage_);
    E.set_open_handshake_timeout(HandshakeMs);
    E.set_close_handshake_timeout(HandshakeMs);
    E.set_pong_handler([this](const Handle &, const std::string &Bytes) {
      if (Hooks_.OnPong_)
        Hooks_.OnPong_(Bytes);
    });
    E.set_message_handler(
        [this](const Handle &H, typename EndpointType::message_ptr M) {
          auto Known = Ids_.find(H);
          if (Known != Ids_.end() && Hooks_.OnMessage_)
            Hooks_.OnMessage_(Known->second, M->get_payload());
        });
  }

  void onOpen(const Handle &H, bool Accepted, const std::string &Target) {
    auto Which = static_cast<LinkId>(++LastId_);
    Links_[Which] = {H, Accepted};
    Ids_[H] = Which;
    if (Hooks_.OnOpen_)
      Hooks_.OnOpen_(Which, Target);
  }

  void onClose(const Handle &H) {
    auto Known = Ids_.find(H);
    if (Known == Ids_.end())
      return;
    LinkId Which = Known->second;
    Ids_.erase(Known);
    Links_.erase(Which);
    if (Hooks_.OnClose_)
      Hooks_.OnClose_(Which);
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
  std::size_t MaxMessage_;
  Server Server_;
  Client Client_;
  std::map<LinkId, Link> Links_;
  std::map<Handle, LinkId, std::owner_less<Handle>> Ids_;
  std::uint64_t LastId_ = 0;
};

PeerLinks::PeerLinks(asio::io_context &Context, const Endpoint &Listen,
                     std::size_t MaxMessage, PeerLinkHooks Hooks)
    : Impl_(std::make_unique<Impl>(Context, Listen, MaxMessage,
                                   std::move(Hooks))) {}
PeerLinks::~PeerLinks() = default;
void PeerLinks::connect(const std::string &Target) { Impl_->connect(Target); }
void PeerLinks::send(LinkId Link, const std::string &Bytes) {
  Impl_->send(Link, Bytes);
}
void PeerLinks::pingAll(const std::string &Bytes) { Impl_->pingAll(Bytes); }
void PeerLinks::close(LinkId Link) { Impl_->close(Link); }

} // namespace thymewall::detail
