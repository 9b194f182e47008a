#include "control-plane.h"

#include "peer-links.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <map>
#include <set>

namespace thymewall::detail {

namespace {

using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr auto HeartbeatEvery = 1s;
/// News of a watcher crosses a data hall in a few heartbeats.
constexpr auto SilentAfter = 20s;
constexpr std::size_t MaxSuccessionsKept = 256;

/// One open connection, from either side.
struct Link {
  std::string Target_; ///< Control address; empty when the peer opened it.
  std::string Peer_;   ///< Name, once a heartbeat came.
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

  void setHosts(HostListPtr Hosts);
  void setDocument(DocumentKind Kind, const DocumentVersion &Which,
                   std::string Text);
  void setLeaving();
  void requestHeartbeats(std::uint64_t RefreshId);
  void broadcast(const Succession &S);
  void recordPlatformAnswer();
  std::vector<std::string> staleWatchers() const;
  ControlCounters counters() const;

private:
  PeerLinkHooks linkHooks();
  void onOpen(LinkId Which, const std::string &Target);
  void onMessage(LinkId Which, const std::string &Bytes);
  void receive(LinkId Which, const Heartbeat &M);
  void receive(LinkId Which, const DocumentRequest &M);
  void receive(LinkId Which, const DocumentMessage &M);
  void receive(LinkId Which, const SuccessionMessage &M);
  void receive(LinkId Which, const HeartbeatRequest &M);
  void send(LinkId Which, const ControlMessage &M);
  void sendAll(const ControlMessage &M);
  Heartbeat heartbeat() const;
  void learnWatchers(const Heartbeat &M);
  std::vector<WatcherAge> freshestWatchers() const;
  void keepLinks();
  void connect(const std::string &Target);
  void closeSpareLink(LinkId Which, const std::string &Peer);
  bool linkedTo(const std::string &Name, const std::string &Target) const;
  void schedule();

  const Settings &Settings_;
  Incarnation Self_;
  ControlHooks Hooks_;
  PeerLinks Peers_;
  asio::steady_timer Timer_;
  HostListPtr Hosts_;
  std::array<Document, DocumentKindCount> Documents_;
  std::map<LinkId, Link> Links_;
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
      Peers_(Context, Settings_.Control_, MaxControlMessageBytes, linkHooks()),
      Timer_(Context) {
  schedule();
}

PeerLinkHooks ControlPlane::Impl::linkHooks() {
  PeerLinkHooks Result;
  Result.OnOpen_ = [this](LinkId Which, const std::string &Target) {
    onOpen(Which, Target);
  };
  Result.OnMessage_ = [this](LinkId Which, const std::string &Bytes) {
    onMessage(Which, Bytes);
  };
  Result.OnClose_ = [this](LinkId Which) { Links_.erase(Which); };
  Result.OnFailed_ = [this](const std::string &Target) {
    Connecting_.erase(Target);
  };
  return Result;
}

void ControlPlane::Impl::onOpen(LinkId Which, const std::string &Target) {
  Connecting_.erase(Target);
  Links_[Which] = Link{Target, ""};
  send(Which, heartbeat());
  for (const Succession &S : Successions_)
    send(Which, SuccessionMessage{S});
}

void ControlPlane::Impl::onMessage(LinkId Which, const std::string &Bytes) {
  ControlMessage M;
  Counters_.BytesReceived_ += Bytes.size();
  if (decodeControl(Bytes, Settings_.Keys_, M) != ErrorKind::None) {
    ++Counters_.MessagesRefused_;
    return;
  }
  std::visit([&](const auto &Typed) { receive(Which, Typed); }, M);
}

void ControlPlane::Impl::receive(LinkId Which, const Heartbeat &M) {
  if (M.Name_ == Settings_.Name_)
    return;
  auto Known = Links_.find(Which);
  if (Known != Links_.end())
    Known->second.Peer_ = M.Name_;
  closeSpareLink(Which, M.Name_);
  learnWatchers(M);
  Hooks_.OnHeartbeat_(M);
  bool Newer = false;
  for (std::size_t K = 0; K < DocumentKindCount; ++K)
    if (Documents_[K].Which_ < M.Versions_[K]) {
      Newer = true;
      send(Which, DocumentRequest{static_cast<DocumentKind>(K)});
    }
  if (!Newer && M.RefreshId_ != 0)
    Hooks_.OnConfirmed_(M.RefreshId_);
}

void ControlPlane::Impl::receive(LinkId Which, const HeartbeatRequest &M) {
  Heartbeat Answer = heartbeat();
  Answer.RefreshId_ = M.RefreshId_;
  send(Which, Answer);
}

void ControlPlane::Impl::receive(LinkId Which, const DocumentRequest &M) {
  const Document &D = Documents_[raw(M.Kind_)];
  if (D.Which_.Version_ != 0)
    send(Which, DocumentMessage{M.Kind_, D.Text_});
}

void ControlPlane::Impl::receive(LinkId, const DocumentMessage &M) {
  Hooks_.OnDocument_(M.Kind_, M.Text_);
}

void ControlPlane::Impl::receive(LinkId, const SuccessionMessage &M) {
  for (const Succession &S : Successions_)
    if (S.Home_ == M.Succession_.Home_)
      return;
  broadcast(M.Succession_); // each balancer passes it on once
  Hooks_.OnSuccession_(M.Succession_);
}

void ControlPlane::Impl::send(LinkId Which, const ControlMessage &M) {
  std::string Bytes = encodeControl(M, Settings_.Keys_[0]);
  Peers_.send(Which, Bytes);
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
  for (std::size_t K = 0; K < DocumentKindCount; ++K)
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
  Connecting_.insert(Target);
  Peers_.connect(Target);
}

/// Of two links between two balancers, the one that the later name opened goes.
void ControlPlane::Impl::closeSpareLink(LinkId Which, const std::string &Peer) {
  auto Known = Links_.find(Which);
  bool Ours = Known != Links_.end() && !Known->second.Target_.empty();
  auto Count =
      std::count_if(Links_.begin(), Links_.end(), [&](const auto &Item) {
        return Item.second.Peer_ == Peer;
      });
  if (!Ours || Count < 2 || Settings_.Name_ < Peer)
    return;
  Peers_.close(Which);
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

void ControlPlane::Impl::requestHeartbeats(std::uint64_t RefreshId) {
  sendAll(HeartbeatRequest{RefreshId});
}

void ControlPlane::Impl::broadcast(const Succession &S) {
  if (Successions_.size() == MaxSuccessionsKept)
    Successions_.erase(Successions_.begin());
  Successions_.push_back(S);
  sendAll(SuccessionMessage{S});
}

void ControlPlane::Impl::recordPlatformAnswer() {
  WatchedAt_[static_cast<BalancerId>(nameId(Settings_.Name_))] =
      std::chrono::steady_clock::now();
}

std::vector<std::string> ControlPlane::Impl::staleWatchers() const {
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
void ControlPlane::requestHeartbeats(std::uint64_t RefreshId) {
  Impl_->requestHeartbeats(RefreshId);
}
void ControlPlane::broadcast(const Succession &S) { Impl_->broadcast(S); }
void ControlPlane::recordPlatformAnswer() { Impl_->recordPlatformAnswer(); }
std::vector<std::string> ControlPlane::staleWatchers() const {
  return Impl_->staleWatchers();
}
ControlCounters ControlPlane::counters() const { return Impl_->counters(); }

} // namespace thymewall::detail
