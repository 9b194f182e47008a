#include "control-plane.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <map>
#include <set>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace thymewall::detail {

namespace {

using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr auto HeartbeatEvery = 1s;
/// News of a watcher crosses a data hall in a few heartbeats.
constexpr auto SilentAfter = 20s;
constexpr std::size_t MaxSuccessionsKept = 256;

// The member names are the library's.
// NOLINTBEGIN(readability-identifier-naming)
struct ServerConfig : websocketpp::config::asio {
  static const websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
  static const websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
  static const std::size_t max_message_size = MaxControlMessage;
};
struct ClientConfig : websocketpp::config::asio_client {
  static const websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
  static const websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
  static const std::size_t max_message_size = MaxControlMessage;
};
// NOLINTEND(readability-identifier-naming)
using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;
using Handle = websocketpp::connection_hdl;
using HandleLess = std::owner_less<Handle>;

/// One open connection, from either side.
struct Link {
  bool Accepted_ = false; ///< The peer opened it.
  std::string Target_;    ///< Control address, for links that we opened.
  std::string Peer_;      ///< Name, once a heartbeat came.
};

struct Document {
  DocumentVersion Which_;
  std::string Text_;
};

} // namespace

class ControlPlane::Impl {
public:
  Impl(asio::io_context &Context, const Settings &Configured, Incarnation Self,
       ControlHooks Hooks);
  ~Impl();

  void setHosts(HostListPtr Hosts);
  void setDocument(DocumentKind Kind, const DocumentVersion &Which,
                   std::string Text);
  void setLeaving();
  void askFreshness(std::uint64_t Asked);
  void tell(const Succession &S);
  void noteWatched();
  std::vector<std::string> silentWatchers() const;
  ControlCounters counters() const;

private:
  template <typename EndpointType> void prepare(EndpointType &E);
  void listen();
  void onOpen(const Handle &Which, bool Accepted, const std::string &Target);
  void onMessage(const Handle &Which, const std::string &Bytes);
  void onClose(const Handle &Which, const std::string &Target);
  void receive(const Handle &Which, const Heartbeat &M);
  void receive(const Handle &Which, const DocumentWanted &M);
  void receive(const Handle &Which, const DocumentSent &M);
  void receive(const Handle &Which, const SuccessionSent &M);
  void receive(const Handle &Which, const FreshnessAsked &M);
  void send(const Handle &Which, const ControlMessage &M);
  void sendAll(const ControlMessage &M);
  Heartbeat heartbeat() const;
  void learnWatchers(const Heartbeat &M);
  std::vector<WatcherAge> freshestWatchers() const;
  void keepLinks();
  void connect(const std::string &Target);
  void closeSpareLink(const Handle &Which, const std::string &Peer);
  bool linkedTo(const std::string &Name, const std::string &Target) const;
  void schedule();

  const Settings &Settings_;
  Incarnation Self_;
  ControlHooks Hooks_;
  Server Server_;
  Client Client_;
  asio::steady_timer Timer_;
  HostListPtr Hosts_;
  std::array<Document, DocumentKinds> Documents_;
  std::map<Handle, Link, HandleLess> Links_;
  std::set<std::string> Connecting_;
  std::vector<Host> Chosen_;                   ///< To link to.
  std::map<std::string, std::string> HallOf_;  ///< By balancer name.
  std::map<BalancerId, SteadyTime> WatchedAt_; ///< In our data hall.
  std::vector<Succession> Successions_;
  ControlCounters Counters_;
  bool Leaving_ = false;
};

ControlPlane::Impl::Impl(asio::io_context &Context, const Settings &Configured,
                         Incarnation Self, ControlHooks Hooks)
    : Settings_(Configured), Self_(Self), Hooks_(std::move(Hooks)),
      Timer_(Context) {
  Server_.init_asio(&Context);
  Client_.init_asio(&Context);
  prepare(Server_);
  prepare(Client_);
  Server_.set_open_handler([this](const Handle &H) { onOpen(H, true, ""); });
  listen();
  schedule();
}

ControlPlane::Impl::~Impl() {
  websocketpp::lib::error_code Ignored;
  Server_.stop_listening(Ignored);
  for (const auto &[Which, L] : Links_) {
    if (L.Accepted_)
      Server_.close(Which, websocketpp::close::status::going_away, "", Ignored);
    else
      Client_.close(Which, websocketpp::close::status::going_away, "", Ignored);
  }
}

template <typename EndpointType>
void ControlPlane::Impl::prepare(EndpointType &E) {
  E.set_message_handler(
      [this](const Handle &H, typename EndpointType::message_ptr M) {
        onMessage(H, M->get_payload());
      });
  E.set_close_handler([this](const Handle &H) { onClose(H, ""); });
}

void ControlPlane::Impl::listen() {
  asio::ip::tcp::endpoint Where(
      asio::ip::make_address(
          formatEndpoint(Settings_.Control_)
              .substr(0, formatEndpoint(Settings_.Control_).rfind(':'))),
      Settings_.Control_.Port_);
  Server_.set_reuse_addr(true);
  Server_.listen(Where);
  Server_.start_accept();
}

void ControlPlane::Impl::onOpen(const Handle &Which, bool Accepted,
                                const std::string &Target) {
  Connecting_.erase(Target);
  Links_[Which] = Link{Accepted, Target, ""};
  send(Which, heartbeat());
  for (const Succession &S : Successions_)
    send(Which, SuccessionSent{S});
}

void ControlPlane::Impl::onClose(const Handle &Which,
                                 const std::string &Target) {
  Connecting_.erase(Target);
  Links_.erase(Which);
}

void ControlPlane::Impl::onMessage(const Handle &Which,
                                   const std::string &Bytes) {
  ControlMessage M;
  Counters_.BytesReceived_ += Bytes.size();
  if (decodeControl(Bytes, Settings_.Keys_, M) != ErrorKind::None) {
    ++Counters_.MessagesRefused_;
    return;
  }
  std::visit([&](const auto &Typed) { receive(Which, Typed); }, M);
}

void ControlPlane::Impl::receive(const Handle &Which, const Heartbeat &M) {
  if (M.Name_ == Settings_.Name_)
    return;
  auto Known = Links_.find(Which);
  if (Known != Links_.end())
    Known->second.Peer_ = M.Name_;
  closeSpareLink(Which, M.Name_);
  learnWatchers(M);
  Hooks_.OnHeartbeat_(M);
  bool Newer = false;
  for (std::size_t K = 0; K < DocumentKinds; ++K)
    if (Documents_[K].Which_ < M.Versions_[K]) {
      Newer = true;
      send(Which, DocumentWanted{static_cast<DocumentKind>(K)});
    }
  if (!Newer && M.Answers_ != 0)
    Hooks_.OnConfirmed_(M.Answers_);
}

void ControlPlane::Impl::receive(const Handle &Which, const FreshnessAsked &M) {
  Heartbeat Answer = heartbeat();
  Answer.Answers_ = M.Asked_;
  send(Which, Answer);
}

void ControlPlane::Impl::receive(const Handle &Which, const DocumentWanted &M) {
  const Document &D = Documents_[raw(M.Kind_)];
  if (D.Which_.Version_ != 0)
    send(Which, DocumentSent{M.Kind_, D.Text_});
}

void ControlPlane::Impl::receive(const Handle &, const DocumentSent &M) {
  Hooks_.OnDocument_(M.Kind_, M.Text_);
}

void ControlPlane::Impl::receive(const Handle &, const SuccessionSent &M) {
  for (const Succession &S : Successions_)
    if (S.Home_ == M.Succession_.Home_)
      return;
  tell(M.Succession_); // each balancer passes it on once
  Hooks_.OnSuccession_(M.Succession_);
}

void ControlPlane::Impl::send(const Handle &Which, const ControlMessage &M) {
  auto Known = Links_.find(Which);
  if (Known == Links_.end())
    return;
  std::string Bytes = encodeControl(M, Settings_.Keys_[0]);
  websocketpp::lib::error_code Error;
  constexpr auto Binary = websocketpp::frame::opcode::binary;
  if (Known->second.Accepted_)
    Server_.send(Which, Bytes, Binary, Error);
  else
    Client_.send(Which, Bytes, Binary, Error);
  Counters_.BytesSent_ += Bytes.size();
  ++Counters_.MessagesSent_;
}

void ControlPlane::Impl::sendAll(const ControlMessage &M) {
  for (const auto &[Which, L] : Links_)
    send(Which, M);
}

Heartbeat ControlPlane::Impl::heartbeat() const {
  Heartbeat M;
  M.Name_ = Settings_.Name_;
  M.Data_ = Settings_.Data_;
  M.Incarnation_ = Self_;
  M.Leaving_ = Leaving_;
  for (std::size_t K = 0; K < DocumentKinds; ++K)
    M.Versions_[K] = Documents_[K].Which_;
  M.Watchers_ = freshestWatchers();
  return M;
}

std::vector<WatcherAge> ControlPlane::Impl::freshestWatchers() const {
  auto Now = std::chrono::steady_clock::now();
  std::vector<WatcherAge> Result;
  for (const auto &[Watcher, At] : WatchedAt_) {
    auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - At);
    if (Age < SilentAfter)
      Result.push_back({Watcher, static_cast<std::uint32_t>(Age.count())});
  }
  std::sort(Result.begin(), Result.end(),
            [](const WatcherAge &A, const WatcherAge &B) {
              return A.AgeMs_ < B.AgeMs_;
            });
  Result.resize(std::min(Result.size(), MaxWatcherAges));
  return Result;
}

void ControlPlane::Impl::learnWatchers(const Heartbeat &M) {
  auto Hall = HallOf_.find(M.Name_);
  if (Hall == HallOf_.end() || Hall->second != Settings_.DataHall_)
    return;
  auto Now = std::chrono::steady_clock::now();
  for (const WatcherAge &W : M.Watchers_) {
    SteadyTime At = Now - std::chrono::milliseconds(W.AgeMs_);
    SteadyTime &Known = WatchedAt_[W.Watcher_];
    Known = std::max(Known, At);
  }
}

bool ControlPlane::Impl::linkedTo(const std::string &Name,
                                  const std::string &Target) const {
  if (Connecting_.count(Target) != 0)
    return true;
  for (const auto &[Which, L] : Links_)
    if (L.Target_ == Target || (!Name.empty() && L.Peer_ == Name))
      return true;
  return false;
}

void ControlPlane::Impl::keepLinks() {
  if (!Hosts_) {
    for (const Endpoint &Seed : Settings_.Seeds_)
      if (!linkedTo("", formatEndpoint(Seed)))
        connect(formatEndpoint(Seed));
    return;
  }
  for (const Host &H : Chosen_)
    if (!linkedTo(H.Name_, formatEndpoint(H.Control_)))
      connect(formatEndpoint(H.Control_));
}

void ControlPlane::Impl::connect(const std::string &Target) {
  websocketpp::lib::error_code Error;
  auto Connection = Client_.get_connection("ws://" + Target + "/", Error);
  if (Error)
    return;
  Connecting_.insert(Target);
  Connection->set_open_handler(
      [this, Target](const Handle &H) { onOpen(H, false, Target); });
  Connection->set_close_handler(
      [this, Target](const Handle &H) { onClose(H, Target); });
  Connection->set_fail_handler(
      [this, Target](const Handle &H) { onClose(H, Target); });
  Client_.connect(Connection);
}

/// Of two links between two balancers, the one that the later name opened goes.
void ControlPlane::Impl::closeSpareLink(const Handle &Which,
                                        const std::string &Peer) {
  auto Known = Links_.find(Which);
  bool Ours = Known != Links_.end() && !Known->second.Accepted_;
  auto Count =
      std::count_if(Links_.begin(), Links_.end(), [&](const auto &Item) {
        return Item.second.Peer_ == Peer;
      });
  if (!Ours || Count < 2 || Settings_.Name_ < Peer)
    return;
  websocketpp::lib::error_code Ignored;
  Client_.close(Which, websocketpp::close::status::normal, "", Ignored);
}

void ControlPlane::Impl::schedule() {
  Timer_.expires_after(HeartbeatEvery);
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (Error)
      return;
    keepLinks();
    sendAll(heartbeat());
    schedule();
  });
}

void ControlPlane::Impl::setHosts(HostListPtr Hosts) {
  Hosts_ = std::move(Hosts);
  Chosen_ = choosePeers(*Hosts_, Settings_.Name_, Settings_.DataHall_,
                        Settings_.PeerLinks_);
  HallOf_.clear();
  for (const Host &H : Hosts_->Hosts_)
    HallOf_[H.Name_] = H.DataHall_;
  keepLinks();
}

void ControlPlane::Impl::setDocument(DocumentKind Kind,
                                     const DocumentVersion &Which,
                                     std::string Text) {
  Document &D = Documents_[raw(Kind)];
  if (!(D.Which_ < Which))
    return;
  D = {Which, std::move(Text)};
  sendAll(heartbeat());
}

void ControlPlane::Impl::setLeaving() {
  Leaving_ = true;
  sendAll(heartbeat());
}

void ControlPlane::Impl::askFreshness(std::uint64_t Asked) {
  sendAll(FreshnessAsked{Asked});
}

void ControlPlane::Impl::tell(const Succession &S) {
  if (Successions_.size() == MaxSuccessionsKept)
    Successions_.erase(Successions_.begin());
  Successions_.push_back(S);
  sendAll(SuccessionSent{S});
}

void ControlPlane::Impl::noteWatched() {
  WatchedAt_[static_cast<BalancerId>(nameId(Settings_.Name_))] =
      std::chrono::steady_clock::now();
}

std::vector<std::string> ControlPlane::Impl::silentWatchers() const {
  auto Now = std::chrono::steady_clock::now();
  std::vector<std::string> Result;
  for (const auto &[Name, Hall] : HallOf_) {
    auto Known = WatchedAt_.find(static_cast<BalancerId>(nameId(Name)));
    bool Fresh = Known != WatchedAt_.end() && Now - Known->second < SilentAfter;
    if (Hall == Settings_.DataHall_ && !Fresh)
      Result.push_back(Name);
  }
  return Result;
}

ControlCounters ControlPlane::Impl::counters() const {
  ControlCounters Result = Counters_;
  Result.Links_ = Links_.size();
  return Result;
}

ControlPlane::ControlPlane(asio::io_context &Context,
                           const Settings &Configured, Incarnation Self,
                           ControlHooks Hooks)
    : Impl_(std::make_unique<Impl>(Context, Configured, Self,
                                   std::move(Hooks))) {}
ControlPlane::~ControlPlane() = default;
void ControlPlane::setHosts(HostListPtr Hosts) {
  Impl_->setHosts(std::move(Hosts));
}
void ControlPlane::setDocument(DocumentKind Kind, const DocumentVersion &Which,
                               std::string Text) {
  Impl_->setDocument(Kind, Which, std::move(Text));
}
void ControlPlane::setLeaving() { Impl_->setLeaving(); }
void ControlPlane::askFreshness(std::uint64_t Asked) {
  Impl_->askFreshness(Asked);
}
void ControlPlane::tell(const Succession &S) { Impl_->tell(S); }
void ControlPlane::noteWatched() { Impl_->noteWatched(); }
std::vector<std::string> ControlPlane::silentWatchers() const {
  return Impl_->silentWatchers();
}
ControlCounters ControlPlane::counters() const { return Impl_->counters(); }

} // namespace thymewall::detail
