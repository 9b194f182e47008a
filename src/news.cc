#include "thymewall/news.h"

#include "peer-choice.h"

#include <algorithm>
#include <deque>
#include <set>

namespace thymewall {

namespace {

/// Members told of when a link opens, and with each heartbeat.
constexpr std::size_t MembersAtOpening = 64;
constexpr std::size_t MembersPerHeartbeat = 2;
/// Heartbeats whose time of sending is remembered for a link.
constexpr std::size_t SentTimesKept = 16;

std::uint32_t ageMs(MonoTime At, MonoTime Now) {
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - At);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Age.count(), 0));
}

/// One connection to a peer.
struct Link {
  struct Sent {
    std::uint64_t Sequence_;
    MonoTime At_;
  };

  bool OpenedHere_ = false;
  std::string Peer_; ///< Name, once a heartbeat came.
  MonoTime SilentAt_{};
  std::uint64_t Sequence_ = 0;
  std::uint64_t LastHeard_ = 0;
  std::deque<Sent> Sent_;
  Version Routing_ = 0; ///< As the peer last said.
  Revision Through_ = 0;

  /// The time after which the peer must have sent a message with this echo.
  MonoTime sentAt(std::uint64_t Echo) const {
    for (const Sent &S : Sent_)
      if (S.Sequence_ == Echo)
        return S.At_;
    return MonoTime{};
  }
};

struct KnownMember {
  Member Member_;
  MonoTime AliveAt_{};
};

} // namespace

class NewsExchange::Impl {
public:
  Impl(NewsOptions Options, NewsHooks Hooks)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)) {}

  void opened(MonoTime Now, LinkId Which, bool OpenedHere);
  void closed(LinkId Which);
  void connectFailed(const Endpoint &Control) {
    Connecting_.erase(Control);
    forgetAddress(Control);
  }
  void received(MonoTime Now, LinkId Which, const NewsMessage &M);
  bool readDone(MonoTime Now, const RoutingTablePtr &Routing,
                const UpstreamBatch &Upstreams, MonoTime AsOf);
  void setLeaving(MonoTime Now);
  void setSeeds(std::vector<Endpoint> Seeds) {
    Options_.Seeds_ = std::move(Seeds);
  }
  void forgetLinksProofs() {
    for (auto &[Which, L] : Links_)
      L.Sent_.clear();
  }
  void tick(MonoTime Now);
  MonoTime readFrom() const;
  Revision through() const { return List_.through(); }
  MonoTime knownAsOf() const { return KnownAsOf_; }
  std::size_t fleetSize() const {
    return Links_.empty() ? 1 : Members_.size() + 1;
  }
  NewsCounters counters() const;
  std::vector<PeerStatus> peers() const;

private:
  void take(MonoTime Now, LinkId Which, const PeerHeartbeat &M);
  void take(MonoTime Now, LinkId Which, const NewsWanted &M);
  void take(MonoTime Now, LinkId Which, const News &M);
  bool apply(MonoTime Now, const RoutingTablePtr &Routing,
             const UpstreamBatch &Upstreams);
  void takeClaim(MonoTime Now, const Link &L, const PeerHeartbeat &M);
  void confirm(MonoTime Now, MonoTime AsOf);
  void learn(MonoTime Now, const Member &Told);
  void askIfBehind(MonoTime Now, LinkId Which, const PeerHeartbeat &M);
  void closeSpare(LinkId Which, const std::string &Peer);
  PeerHeartbeat heartbeat(MonoTime Now, std::size_t Members);
  void beat(MonoTime Now, LinkId Which, Link &L, std::size_t Members);
  void beatAll(MonoTime Now);
  void keepLinks();
  void connect(const Endpoint &Control);
  void forgetAddress(const Endpoint &Control);
  bool linkedTo(const std::string &Name) const;
  std::size_t readRank() const;

  NewsOptions Options_;
  NewsHooks Hooks_;
  NewsCounters Counters_;
  RoutingTablePtr Routing_;
  UpstreamList List_;
  std::map<LinkId, Link> Links_;
  std::map<std::string, KnownMember> Members_; ///< Without this balancer.
  std::set<Endpoint> Connecting_;
  MonoTime KnownAsOf_{};
  MonoTime ToldAsOf_{}; ///< `KnownAsOf_` when it was last told.
  MonoTime NextBeat_{};
  MonoTime AskAgainAt_{};
  std::string NextMember_; ///< Where the next heartbeat's members begin.
  bool Leaving_ = false;
};

void NewsExchange::Impl::opened(MonoTime Now, LinkId Which, bool OpenedHere) {
  Link &L = Links_[Which];
  L.OpenedHere_ = OpenedHere;
  L.SilentAt_ = Now + SilentAfter;
  beat(Now, Which, L, MembersAtOpening);
}

void NewsExchange::Impl::closed(LinkId Which) {
  auto Known = Links_.find(Which);
  if (Known == Links_.end())
    return;
  std::string Peer = Known->second.Peer_;
  Links_.erase(Known);
  // A peer whose last link ended is linked to again once somebody says that it
  // lives.
  if (!linkedTo(Peer))
    Members_.erase(Peer);
}

void NewsExchange::Impl::received(MonoTime Now, LinkId Which,
                                  const NewsMessage &M) {
  auto Known = Links_.find(Which);
  if (Known == Links_.end())
    return;
  Known->second.SilentAt_ = Now + SilentAfter;
  std::visit([&](const auto &Typed) { take(Now, Which, Typed); }, M);
}

void NewsExchange::Impl::take(MonoTime Now, LinkId Which,
                              const PeerHeartbeat &M) {
  if (M.Sender_.Name_ == Options_.Self_.Name_)
    return Hooks_.Close_(Which); // a seed that is this process itself
  Link &L = Links_[Which];
  L.Peer_ = M.Sender_.Name_;
  L.LastHeard_ = M.Sequence_;
  L.Routing_ = M.Routing_;
  L.Through_ = M.Through_;
  Connecting_.erase(M.Sender_.Control_);
  if (M.Leaving_)
    Members_.erase(M.Sender_.Name_);
  else
    learn(Now, M.Sender_);
  for (const Member &Told : M.Members_)
    learn(Now, Told);
  takeClaim(Now, L, M);
  askIfBehind(Now, Which, M);
  closeSpare(Which, M.Sender_.Name_);
}

void NewsExchange::Impl::takeClaim(MonoTime Now, const Link &L,
                                   const PeerHeartbeat &M) {
  if (M.KnownAgeMs_ == PeerHeartbeat::NeverKnown)
    return;
  Version Ours = Routing_ ? Routing_->Version_ : 0;
  if (Ours < M.Routing_ || List_.through() < M.Through_)
    return; // it speaks of more than what is known here
  if (Now - L.sentAt(M.Echo_) > ClaimWithin) {
    ++Counters_.StaleClaims_;
    return;
  }
  confirm(Now, Now - std::chrono::milliseconds(M.KnownAgeMs_));
}

void NewsExchange::Impl::confirm(MonoTime Now, MonoTime AsOf) {
  if (AsOf <= KnownAsOf_)
    return;
  KnownAsOf_ = AsOf;
  Hooks_.OnConfirmed_(AsOf);
  if (KnownAsOf_ - ToldAsOf_ > TellAfter)
    beatAll(Now);
}

void NewsExchange::Impl::learn(MonoTime Now, const Member &Told) {
  if (Told.Name_ == Options_.Self_.Name_)
    return;
  MonoTime AliveAt = Now - std::chrono::milliseconds(Told.AgeMs_);
  if (Now - AliveAt > ForgetAfter)
    return;
  KnownMember &Known = Members_[Told.Name_];
  if (Known.AliveAt_ >= AliveAt)
    return;
  Known.Member_ = Told;
  Known.AliveAt_ = AliveAt;
}

void NewsExchange::Impl::askIfBehind(MonoTime Now, LinkId Which,
                                     const PeerHeartbeat &M) {
  Version Ours = Routing_ ? Routing_->Version_ : 0;
  bool Behind = Ours < M.Routing_ || List_.through() < M.Through_;
  if (!Behind || Now < AskAgainAt_)
    return;
  AskAgainAt_ = Now + AnswerWithin;
  Hooks_.Send_(Which, NewsWanted{Ours, List_.through()});
}

void NewsExchange::Impl::take(MonoTime, LinkId Which, const NewsWanted &M) {
  News Answer;
  if (Routing_ && Routing_->Version_ > M.Routing_)
    Answer.Routing_ = Routing_;
  Answer.Upstreams_ = List_.since(M.Through_);
  ++Counters_.NewsSent_;
  Hooks_.Send_(Which, Answer);
}

void NewsExchange::Impl::take(MonoTime Now, LinkId, const News &M) {
  AskAgainAt_ = Now;
  ++Counters_.NewsTaken_;
  if (!apply(Now, M.Routing_, M.Upstreams_))
    ++Counters_.Gaps_; // the next heartbeat shows that we are behind
  beatAll(Now);
}

bool NewsExchange::Impl::apply(MonoTime Now, const RoutingTablePtr &Routing,
                               const UpstreamBatch &Upstreams) {
  if (Routing && (!Routing_ || Routing->Version_ > Routing_->Version_)) {
    Routing_ = Routing;
    Hooks_.OnRouting_(Routing_);
  }
  std::vector<UpstreamChange> Changes;
  bool First = List_.through() == 0;
  if (!List_.apply(Upstreams, Changes))
    return false;
  bool Away = !First && Now - KnownAsOf_ > AwayAfter;
  if (First || !Changes.empty())
    Hooks_.OnUpstreams_(Changes, Away);
  return true;
}

bool NewsExchange::Impl::readDone(MonoTime Now, const RoutingTablePtr &Routing,
                                  const UpstreamBatch &Upstreams,
                                  MonoTime AsOf) {
  Revision Before = List_.through();
  if (!apply(Now, Routing, Upstreams))
    return false;
  confirm(Now, AsOf);
  if (List_.through() != Before)
    beatAll(Now);
  return true;
}

void NewsExchange::Impl::setLeaving(MonoTime Now) {
  Leaving_ = true;
  beatAll(Now);
}

void NewsExchange::Impl::closeSpare(LinkId Which, const std::string &Peer) {
  // Of two links between two balancers, the one that the later name opened
  // goes.
  auto Count =
      std::count_if(Links_.begin(), Links_.end(), [&](const auto &Item) {
        return Item.second.Peer_ == Peer;
      });
  if (Count < 2 || !Links_[Which].OpenedHere_ || Options_.Self_.Name_ < Peer)
    return;
  Hooks_.Close_(Which);
}

PeerHeartbeat NewsExchange::Impl::heartbeat(MonoTime Now, std::size_t Count) {
  PeerHeartbeat M;
  M.Sender_ = Options_.Self_;
  M.Leaving_ = Leaving_;
  M.Routing_ = Routing_ ? Routing_->Version_ : 0;
  M.Through_ = List_.through();
  if (KnownAsOf_ != MonoTime{})
    M.KnownAgeMs_ = ageMs(KnownAsOf_, Now);
  auto Next = Members_.upper_bound(NextMember_);
  for (std::size_t I = 0; I < std::min(Count, Members_.size()); ++I) {
    if (Next == Members_.end())
      Next = Members_.begin();
    M.Members_.push_back(Next->second.Member_);
    M.Members_.back().AgeMs_ = ageMs(Next->second.AliveAt_, Now);
    NextMember_ = Next->first;
    ++Next;
  }
  return M;
}

void NewsExchange::Impl::beat(MonoTime Now, LinkId Which, Link &L,
                              std::size_t Members) {
  PeerHeartbeat M = heartbeat(Now, Members);
  M.Sequence_ = ++L.Sequence_;
  M.Echo_ = L.LastHeard_;
  L.Sent_.push_back({M.Sequence_, Now});
  if (L.Sent_.size() > SentTimesKept)
    L.Sent_.pop_front();
  ++Counters_.HeartbeatsSent_;
  Hooks_.Send_(Which, M);
}

void NewsExchange::Impl::beatAll(MonoTime Now) {
  ToldAsOf_ = KnownAsOf_;
  NextBeat_ = Now + HeartbeatEvery;
  for (auto &[Which, L] : Links_)
    beat(Now, Which, L, MembersPerHeartbeat);
}

void NewsExchange::Impl::tick(MonoTime Now) {
  std::vector<LinkId> Silent;
  for (const auto &[Which, L] : Links_)
    if (Now > L.SilentAt_)
      Silent.push_back(Which);
  for (LinkId Which : Silent) {
    closed(Which);
    Hooks_.Close_(Which);
  }
  for (auto Item = Members_.begin(); Item != Members_.end();) {
    bool Old = Now - Item->second.AliveAt_ > ForgetAfter;
    Item = Old ? Members_.erase(Item) : std::next(Item);
  }
  if (Now >= NextBeat_)
    beatAll(Now);
  keepLinks();
}

bool NewsExchange::Impl::linkedTo(const std::string &Name) const {
  return std::any_of(Links_.begin(), Links_.end(), [&](const auto &Item) {
    return Item.second.Peer_ == Name;
  });
}

void NewsExchange::Impl::keepLinks() {
  if (Leaving_)
    return;
  if (Links_.empty())
    for (const Endpoint &Seed : Options_.Seeds_)
      if (Seed != Options_.Self_.Control_)
        connect(Seed);
  std::vector<Member> All;
  for (const auto &[Name, Known] : Members_)
    All.push_back(Known.Member_);
  for (const Member &Wanted :
       detail::choosePeers(std::move(All), Options_.Self_, OpenedLinks))
    if (!linkedTo(Wanted.Name_))
      connect(Wanted.Control_);
}

void NewsExchange::Impl::connect(const Endpoint &Control) {
  if (Connecting_.insert(Control).second)
    Hooks_.Connect_(Control);
}

void NewsExchange::Impl::forgetAddress(const Endpoint &Control) {
  for (auto Item = Members_.begin(); Item != Members_.end();) {
    bool Same = Item->second.Member_.Control_ == Control;
    Item = Same ? Members_.erase(Item) : std::next(Item);
  }
}

std::size_t NewsExchange::Impl::readRank() const {
  std::uint64_t Own = detail::readScore(Options_.Self_.Name_);
  return static_cast<std::size_t>(
      std::count_if(Members_.begin(), Members_.end(), [&](const auto &Item) {
        return detail::readScore(Item.first) < Own;
      }));
}

MonoTime NewsExchange::Impl::readFrom() const {
  std::size_t Rank = readRank();
  if (Rank == 0 || KnownAsOf_ == MonoTime{})
    return MonoTime{};
  Micros Steps = ReadStep * std::min(Rank, ReadSteps);
  return KnownAsOf_ + ReadAfter + Steps;
}

NewsCounters NewsExchange::Impl::counters() const {
  NewsCounters Result = Counters_;
  Result.Links_ = Links_.size();
  Result.Members_ = Members_.size();
  return Result;
}

std::vector<PeerStatus> NewsExchange::Impl::peers() const {
  std::vector<PeerStatus> Result;
  for (const auto &[Name, Known] : Members_)
    Result.push_back({Known.Member_, linkedTo(Name)});
  return Result;
}

NewsExchange::NewsExchange(NewsOptions Options, NewsHooks Hooks)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Hooks))) {}
NewsExchange::~NewsExchange() = default;
void NewsExchange::opened(MonoTime Now, LinkId Link, bool OpenedHere) {
  Impl_->opened(Now, Link, OpenedHere);
}
void NewsExchange::closed(MonoTime, LinkId Link) { Impl_->closed(Link); }
void NewsExchange::connectFailed(const Endpoint &Control) {
  Impl_->connectFailed(Control);
}
void NewsExchange::received(MonoTime Now, LinkId Link, const NewsMessage &M) {
  Impl_->received(Now, Link, M);
}
bool NewsExchange::readDone(MonoTime Now, const RoutingTablePtr &Routing,
                            const UpstreamBatch &Upstreams, MonoTime AsOf) {
  return Impl_->readDone(Now, Routing, Upstreams, AsOf);
}
void NewsExchange::setLeaving(MonoTime Now) { Impl_->setLeaving(Now); }
void NewsExchange::setSeeds(std::vector<Endpoint> Seeds) {
  Impl_->setSeeds(std::move(Seeds));
}
void NewsExchange::forgetLinksProofs() { Impl_->forgetLinksProofs(); }
void NewsExchange::tick(MonoTime Now) { Impl_->tick(Now); }
MonoTime NewsExchange::readFrom() const { return Impl_->readFrom(); }
Revision NewsExchange::through() const { return Impl_->through(); }
MonoTime NewsExchange::knownAsOf() const { return Impl_->knownAsOf(); }
std::size_t NewsExchange::fleetSize() const { return Impl_->fleetSize(); }
NewsCounters NewsExchange::counters() const { return Impl_->counters(); }
std::vector<PeerStatus> NewsExchange::peers() const { return Impl_->peers(); }

} // namespace thymewall
