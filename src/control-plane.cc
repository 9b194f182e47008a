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

constexpr auto HeartbeatInterval = 1s;
/// A watcher without an answer from the platform for this long is stale. Long
/// enough for its answers to become known in its data hall, which takes several
/// heartbeats.
constexpr auto WatcherStaleAfter = 20s;
constexpr std::size_t MaxSuccessions = 256;

/// An open connection, opened by either side.
struct Link {
  std::string Target_; ///< Control address; empty if the peer opened the link.
  std::string Peer_;   ///< Name; empty until the first heartbeat.
};

struct Document {
  DocumentVersion Version_;
  std::string Text_;
};

} // namespace

class ControlPlane::Impl {
public:
  Impl(asio::io_context &Context, const Settings &Configured, Incarnation Self,
       ControlHooks Hooks);

  void setHosts(HostListPtr Hosts);
  void setDocument(DocumentKind Kind, const DocumentVersion &NewVersion,
                   std::string Text);
  void setLeaving();
  void requestHeartbeats(std::uint64_t RefreshId);
  void broadcast(const Succession &S);
  void recordPlatformAnswer();
  std::vector<std::string> staleWatchers() const;
  ControlCounters counters() const;

private:
  PeerLinkHooks linkHooks();
  void onOpen(LinkId Id, const std::string &Target);
  void onMessage(LinkId Id, const std::string &Bytes);
  void receive(LinkId Id, const Heartbeat &M);
  void receive(LinkId Id, const DocumentRequest &M);
  void receive(LinkId Id, const DocumentMessage &M);
  void receive(LinkId Id, const SuccessionMessage &M);
  void receive(LinkId Id, const HeartbeatRequest &M);
  void send(LinkId Id, const ControlMessage &M);
  void sendAll(const ControlMessage &M);
  Heartbeat heartbeat() const;
  void mergeWatchers(const Heartbeat &M);
  std::vector<WatcherAge> recentWatchers() const;
  void openMissingLinks();
  void connect(const std::string &Target);
  void closeDuplicateLink(LinkId Id, const std::string &Peer);
  bool isLinkedTo(const std::string &Name, const std::string &Target) const;
  void scheduleHeartbeat();

  const Settings &Settings_;
  Incarnation Self_;
  ControlHooks Hooks_;
  PeerLinks Peers_;
  asio::steady_timer Timer_;
  HostListPtr Hosts_;
  std::array<Document, DocumentKindCount> Documents_;
  std::map<LinkId, Link> Links_;
  std::set<std::string> Connecting_;
  std::vector<Host> ChosenPeers_;
  std::map<std::string, std::string> HallByName_;     ///< By balancer name.
  std::map<BalancerId, SteadyTime> PlatformAnswerAt_; ///< In our data hall.
  std::vector<Succession> Successions_;
  ControlCounters Counters_;
  bool Leaving_ = false;
};

ControlPlane::Impl::Impl(asio::io_context &Context, const Settings &Configured,
                         Incarnation Self, ControlHooks Hooks)
    : Settings_(Configured), Self_(Self), Hooks_(std::move(Hooks)),
      Peers_(Context, Settings_.Control_, MaxControlMessageBytes, linkHooks()),
      Timer_(Context) {
  scheduleHeartbeat();
}

PeerLinkHooks ControlPlane::Impl::linkHooks() {
  PeerLinkHooks Result;
  Result.OnOpen_ = [this](LinkId Id, const std::string &Target) {
    onOpen(Id, Target);
  };
  Result.OnMessage_ = [this](LinkId Id, const std::string &Bytes) {
    onMessage(Id, Bytes);
  };
  Result.OnClose_ = [this](LinkId Id) { Links_.erase(Id); };
  Result.OnConnectFailed_ = [this](const std::string &Target) {
    Connecting_.erase(Target);
  };
  return Result;
}

void ControlPlane::Impl::onOpen(LinkId Id, const std::string &Target) {
  Connecting_.erase(Target);
  Links_[Id] = Link{Target, ""};
  send(Id, heartbeat());
  for (const Succession &S : Successions_)
    send(Id, SuccessionMessage{S});
}

void ControlPlane::Impl::onMessage(LinkId Id, const std::string &Bytes) {
  ControlMessage M;
  Counters_.BytesReceived_ += Bytes.size();
  if (decodeControl(Bytes, Settings_.Keys_, M) != ErrorKind::None) {
    ++Counters_.MessagesRefused_;
    return;
  }
  std::visit([&](const auto &Typed) { receive(Id, Typed); }, M);
}

void ControlPlane::Impl::receive(LinkId Id, const Heartbeat &M) {
  if (M.Name_ == Settings_.Name_)
    return;
  auto It = Links_.find(Id);
  if (It != Links_.end())
    It->second.Peer_ = M.Name_;
  closeDuplicateLink(Id, M.Name_);
  mergeWatchers(M);
  Hooks_.OnHeartbeat_(M);
  bool Newer = false;
  for (std::size_t K = 0; K < DocumentKindCount; ++K)
    if (Documents_[K].Version_ < M.Versions_[K]) {
      Newer = true;
      send(Id, DocumentRequest{static_cast<DocumentKind>(K)});
    }
  if (!Newer && M.RefreshId_ != 0)
    Hooks_.OnConfirmed_(M.RefreshId_);
}

void ControlPlane::Impl::receive(LinkId Id, const HeartbeatRequest &M) {
  Heartbeat Answer = heartbeat();
  Answer.RefreshId_ = M.RefreshId_;
  send(Id, Answer);
}

void ControlPlane::Impl::receive(LinkId Id, const DocumentRequest &M) {
  const Document &D = Documents_[raw(M.Kind_)];
  if (D.Version_.Version_ != 0)
    send(Id, DocumentMessage{M.Kind_, D.Text_});
}

void ControlPlane::Impl::receive(LinkId, const DocumentMessage &M) {
  Hooks_.OnDocument_(M.Kind_, M.Text_);
}

void ControlPlane::Impl::receive(LinkId, const SuccessionMessage &M) {
  for (const Succession &S : Successions_)
    if (S.Home_ == M.Succession_.Home_)
      return;
  broadcast(M.Succession_); // each balancer forwards it once
  Hooks_.OnSuccession_(M.Succession_);
}

void ControlPlane::Impl::send(LinkId Id, const ControlMessage &M) {
  std::string Bytes = encodeControl(M, Settings_.Keys_[0]);
  Peers_.send(Id, Bytes);
  Counters_.BytesSent_ += Bytes.size();
  ++Counters_.MessagesSent_;
}

void ControlPlane::Impl::sendAll(const ControlMessage &M) {
  for (const auto &[Id, L] : Links_)
    send(Id, M);
}

Heartbeat ControlPlane::Impl::heartbeat() const {
  Heartbeat M;
  M.Name_ = Settings_.Name_;
  M.Data_ = Settings_.Data_;
  M.Incarnation_ = Self_;
  M.Leaving_ = Leaving_;
  for (std::size_t K = 0; K < DocumentKindCount; ++K)
    M.Versions_[K] = Documents_[K].Version_;
  M.Watchers_ = recentWatchers();
  return M;
}

std::vector<WatcherAge> ControlPlane::Impl::recentWatchers() const {
  auto Now = std::chrono::steady_clock::now();
  std::vector<WatcherAge> Result;
  for (const auto &[Watcher, At] : PlatformAnswerAt_) {
    auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - At);
    if (Age < WatcherStaleAfter)
      Result.push_back({Watcher, static_cast<std::uint32_t>(Age.count())});
  }
  std::sort(Result.begin(), Result.end(),
            [](const WatcherAge &A, const WatcherAge &B) {
              return A.AgeMs_ < B.AgeMs_;
            });
  Result.resize(std::min(Result.size(), MaxWatcherAges));
  return Result;
}

void ControlPlane::Impl::mergeWatchers(const Heartbeat &M) {
  auto Hall = HallByName_.find(M.Name_);
  if (Hall == HallByName_.end() || Hall->second != Settings_.DataHall_)
    return;
  auto Now = std::chrono::steady_clock::now();
  for (const WatcherAge &W : M.Watchers_) {
    SteadyTime At = Now - std::chrono::milliseconds(W.AgeMs_);
    SteadyTime &Latest = PlatformAnswerAt_[W.Watcher_];
    Latest = std::max(Latest, At);
  }
}

bool ControlPlane::Impl::isLinkedTo(const std::string &Name,
                                    const std::string &Target) const {
  if (Connecting_.count(Target) != 0)
    return true;
  for (const auto &[Id, L] : Links_)
    if (L.Target_ == Target || (!Name.empty() && L.Peer_ == Name))
      return true;
  return false;
}

void ControlPlane::Impl::openMissingLinks() {
  if (!Hosts_) {
    for (const Endpoint &Seed : Settings_.Seeds_)
      if (!isLinkedTo("", formatEndpoint(Seed)))
        connect(formatEndpoint(Seed));
    return;
  }
  for (const Host &H : ChosenPeers_)
    if (!isLinkedTo(H.Name_, formatEndpoint(H.Control_)))
      connect(formatEndpoint(H.Control_));
}

void ControlPlane::Impl::connect(const std::string &Target) {
  Connecting_.insert(Target);
  Peers_.connect(Target);
}

/// Closes this balancer's link to a peer if there is another one and the peer's
/// name sorts first. The peer keeps its link, so that one of the two remains.
void ControlPlane::Impl::closeDuplicateLink(LinkId Id,
                                            const std::string &Peer) {
  auto It = Links_.find(Id);
  bool Ours = It != Links_.end() && !It->second.Target_.empty();
  auto Count =
      std::count_if(Links_.begin(), Links_.end(), [&](const auto &Item) {
        return Item.second.Peer_ == Peer;
      });
  if (!Ours || Count < 2 || Settings_.Name_ < Peer)
    return;
  Peers_.close(Id);
}

void ControlPlane::Impl::scheduleHeartbeat() {
  Timer_.expires_after(HeartbeatInterval);
  Timer_.async_wait([this](const asio::error_code &Error) {
    if (Error)
      return;
    openMissingLinks();
    sendAll(heartbeat());
    scheduleHeartbeat();
  });
}

void ControlPlane::Impl::setHosts(HostListPtr Hosts) {
  Hosts_ = std::move(Hosts);
  ChosenPeers_ = choosePeers(*Hosts_, Settings_.Name_, Settings_.DataHall_,
                             Settings_.PeerLinks_);
  HallByName_.clear();
  for (const Host &H : Hosts_->Hosts_)
    HallByName_[H.Name_] = H.DataHall_;
  openMissingLinks();
}

void ControlPlane::Impl::setDocument(DocumentKind Kind,
                                     const DocumentVersion &NewVersion,
                                     std::string Text) {
  Document &D = Documents_[raw(Kind)];
  if (!(D.Version_ < NewVersion))
    return;
  D = {NewVersion, std::move(Text)};
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
  if (Successions_.size() == MaxSuccessions)
    Successions_.erase(Successions_.begin());
  Successions_.push_back(S);
  sendAll(SuccessionMessage{S});
}

void ControlPlane::Impl::recordPlatformAnswer() {
  PlatformAnswerAt_[static_cast<BalancerId>(nameId(Settings_.Name_))] =
      std::chrono::steady_clock::now();
}

std::vector<std::string> ControlPlane::Impl::staleWatchers() const {
  auto Now = std::chrono::steady_clock::now();
  std::vector<std::string> Result;
  for (const auto &[Name, Hall] : HallByName_) {
    auto It = PlatformAnswerAt_.find(static_cast<BalancerId>(nameId(Name)));
    bool Fresh =
        It != PlatformAnswerAt_.end() && Now - It->second < WatcherStaleAfter;
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
void ControlPlane::setDocument(DocumentKind Kind,
                               const DocumentVersion &NewVersion,
                               std::string Text) {
  Impl_->setDocument(Kind, NewVersion, std::move(Text));
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
