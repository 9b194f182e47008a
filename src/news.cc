#include "thymewall/news.h"

#include "mechanism.h"
#include "member-list.h"
#include "peer-choice.h"

#include <algorithm>
#include <deque>
#include <set>

namespace thymewall {

namespace {

/// Members told of when a link opens, and with each heartbeat.
constexpr std::size_t MembersAtOpening = 64;
constexpr std::size_t MembersPerHeartbeat = 3;
/// Heartbeats whose time of sending is remembered for a link.
constexpr std::size_t SentTimesKept = 16;
/// Peers that a start asks which upstreams have ended lately: all that ran
/// before know the same, and one or two of three may have just started too.
constexpr std::size_t AskedForEnded = 3;

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
  MonoTime AskedAt_{}; ///< When news was last asked for.
  bool AskedEnded_ = false;

  /// The time after which the peer must have sent a message with this echo.
  MonoTime sentAt(std::uint64_t Echo) const {
    for (const Sent &S : Sent_)
      if (S.Sequence_ == Echo)
        return S.At_;
    return MonoTime{};
  }
};

} // namespace

class NewsExchange::Impl {
public:
  Impl(NewsOptions Options, NewsHooks Hooks)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)),
        Members_(Options_.Self_.Name_),
        Score_(detail::readScore(Options_.Self_.Name_)) {}

  void opened(MonoTime Now, LinkId Which, bool OpenedHere);
  void closed(MonoTime Now, LinkId Which);
  void connectFailed(MonoTime Now, const Endpoint &Control);
  void received(MonoTime Now, LinkId Which, const NewsMessage &M);
  bool readDone(MonoTime Now, const RoutingTablePtr &Routing,
                const UpstreamBatch &Upstreams, MonoTime AsOf);
  void readFailed() { Reading_ = false; }
  void warn(MonoTime Now, const UpstreamWarning &M) { tell(Now, M, nullptr); }
  void setLeaving(MonoTime Now);
  void setSeeds(std::vector<Endpoint> Seeds) {
    Options_.Seeds_ = std::move(Seeds);
  }
  void tick(MonoTime Now);
  MonoTime readFrom() const;
  Revision through() const { return List_.through(); }
  MonoTime knownAsOf() const { return KnownAsOf_; }
  std::size_t fleetSize() const {
    return Links_.empty() ? 1 : Members_.size() + 1;
  }
  bool hallIsLost(MonoTime Now) const {
    return Members_.hallIsLost(Now, Options_.Self_.DataHall_);
  }
  NewsCounters counters() const;
  std::vector<PeerStatus> peers() const;

private:
  void take(MonoTime Now, LinkId Which, const PeerHeartbeat &M);
  void take(MonoTime Now, LinkId Which, const NewsWanted &M);
  void take(MonoTime Now, LinkId Which, const News &M);
  void take(MonoTime Now, LinkId Which, const UpstreamWarning &M);
  bool tell(MonoTime Now, const UpstreamWarning &M, const LinkId *From);
  bool apply(MonoTime Now, const RoutingTablePtr &Routing,
             const UpstreamBatch &Upstreams);
  void takeClaim(MonoTime Now, const Link &L, const PeerHeartbeat &M);
  void noteReader(std::uint64_t Score, MonoTime At, MonoTime Now);
  void confirm(MonoTime Now, MonoTime AsOf);
  void askIfBehind(MonoTime Now, LinkId Which, const PeerHeartbeat &M);
  void closeSpare(LinkId Which, const std::string &Peer);
  PeerHeartbeat heartbeat(MonoTime Now, std::size_t Members);
  void beat(MonoTime Now, LinkId Which, Link &L, std::size_t Members);
  void beatAll(MonoTime Now);
  void keepLinks(MonoTime Now);
  void closeUnwanted(const std::vector<Member> &Wanted);
  void connect(const Endpoint &Control);
  bool linkedTo(const std::string &Name) const;
  std::uint32_t knownAgeMs(MonoTime Now) const {
    return KnownAsOf_ == MonoTime{} ? PeerHeartbeat::NeverKnown
                                    : detail::ageMs(KnownAsOf_, Now);
  }
  std::size_t readRank() const;

  NewsOptions Options_;
  NewsHooks Hooks_;
  NewsCounters Counters_;
  RoutingTablePtr Routing_;
  UpstreamList List_;
  std::map<LinkId, Link> Links_;
  detail::MemberList Members_;
  std::set<Endpoint> Connecting_;
  std::map<UpstreamWarning, MonoTime> Told_; ///< Until when not told again.
  std::uint64_t Score_;                      ///< Place in the order of readers.
  std::uint64_t Reader_ = 0; ///< Place of the first one that reads.
  MonoTime ReaderAt_{};      ///< Its last answer.
  MonoTime KnownAsOf_{};
  MonoTime ToldAsOf_{}; ///< `KnownAsOf_` when it was last told.
  MonoTime NextBeat_{};
  MonoTime AskAgainAt_{};
  std::size_t EndedAnswers_ = 0; ///< Not more are asked for than are needed.
  bool Reading_ = false; ///< Reads, and knows of no better one that does.
  bool EverLinked_ = false;
  bool Leaving_ = false;
};

void NewsExchange::Impl::opened(MonoTime Now, LinkId Which, bool OpenedHere) {
  Link &L = Links_[Which];
  L.OpenedHere_ = OpenedHere;
  EverLinked_ = true;
  L.SilentAt_ = Now + SilentAfter;
  beat(Now, Which, L, MembersAtOpening);
}

void NewsExchange::Impl::closed(MonoTime Now, LinkId Which) {
  auto Known = Links_.find(Which);
  if (Known == Links_.end())
    return;
  std::string Peer = Known->second.Peer_;
  Links_.erase(Known);
  if (!linkedTo(Peer))
    Members_.avoid(Peer, Now + AvoidFor);
}

void NewsExchange::Impl::connectFailed(MonoTime Now, const Endpoint &Control) {
  Connecting_.erase(Control);
  Members_.avoid(Control, Now + AvoidFor);
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
  Connecting_.erase(M.Sender_.Control_);
  if (M.Leaving_)
    Members_.remove(M.Sender_.Name_);
  else
    Members_.learn(Now, M.Sender_);
  for (const Member &Told : M.Members_)
    Members_.learn(Now, Told);
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
  MonoTime AsOf = Now - std::chrono::milliseconds(M.KnownAgeMs_);
  if (M.ReaderAgeMs_ != PeerHeartbeat::NeverKnown)
    noteReader(M.Reader_, Now - std::chrono::milliseconds(M.ReaderAgeMs_), Now);
  confirm(Now, AsOf);
}

void NewsExchange::Impl::noteReader(std::uint64_t Score, MonoTime At,
                                    MonoTime Now) {
  bool Lapsed = Now - ReaderAt_ >= ReadAfter;
  if (Now - At >= ReadAfter || (Score > Reader_ && !Lapsed))
    return;
  ReaderAt_ = Score == Reader_ ? std::max(ReaderAt_, At) : At;
  Reader_ = Score;
  if (Reader_ < Score_)
    Reading_ = false;
}

void NewsExchange::Impl::confirm(MonoTime Now, MonoTime AsOf) {
  if (AsOf <= KnownAsOf_)
    return;
  KnownAsOf_ = AsOf;
  Hooks_.OnConfirmed_(AsOf);
  if (KnownAsOf_ - ToldAsOf_ > TellAfter)
    beatAll(Now);
}

void NewsExchange::Impl::askIfBehind(MonoTime Now, LinkId Which,
                                     const PeerHeartbeat &M) {
  Version Ours = Routing_ ? Routing_->Version_ : 0;
  bool Behind = Ours < M.Routing_ || List_.through() < M.Through_;
  Link &L = Links_[Which];
  bool WantsEnded = EndedAnswers_ < AskedForEnded && !L.AskedEnded_ &&
                    detail::has(detail::Mechanism::EndedUpstreams);
  if ((!Behind && !WantsEnded) || Now < AskAgainAt_)
    return;
  AskAgainAt_ = Now + AnswerWithin;
  L.AskedAt_ = Now;
  L.AskedEnded_ = L.AskedEnded_ || WantsEnded;
  Hooks_.Send_(Which, NewsWanted{Ours, List_.through(), WantsEnded});
}

void NewsExchange::Impl::take(MonoTime Now, LinkId Which, const NewsWanted &M) {
  News Answer;
  Answer.KnownAgeMs_ = knownAgeMs(Now);
  if (Routing_ && Routing_->Version_ > M.Routing_)
    Answer.Routing_ = Routing_;
  Answer.Upstreams_ = List_.since(M.Through_);
  if (M.Ended_)
    Answer.Upstreams_.Ended_ = List_.ended();
  ++Counters_.NewsSent_;
  Hooks_.Send_(Which, Answer);
}

void NewsExchange::Impl::take(MonoTime Now, LinkId Which, const News &M) {
  AskAgainAt_ = Now;
  ++Counters_.NewsTaken_;
  if (Links_[Which].AskedEnded_)
    ++EndedAnswers_;
  if (!apply(Now, M.Routing_, M.Upstreams_)) {
    ++Counters_.Gaps_; // the next heartbeat shows that we are behind
    return;
  }
  // The answer was made after the question was sent.
  bool Proved = Now - Links_[Which].AskedAt_ <= ClaimWithin;
  if (Proved && M.KnownAgeMs_ != PeerHeartbeat::NeverKnown)
    confirm(Now, Now - std::chrono::milliseconds(M.KnownAgeMs_));
  beatAll(Now);
}

void NewsExchange::Impl::take(MonoTime Now, LinkId Which,
                              const UpstreamWarning &M) {
  if (tell(Now, M, &Which))
    Hooks_.OnWarning_(M);
}

/// Sends a warning on every link but the one it came from; false when it went
/// through here a moment ago.
bool NewsExchange::Impl::tell(MonoTime Now, const UpstreamWarning &M,
                              const LinkId *From) {
  auto Known = Told_.find(M);
  bool Repeated = Known != Told_.end() && Now < Known->second;
  if (!detail::has(detail::Mechanism::Warnings) || Repeated ||
      Told_.size() >= MaxWarnings)
    return false;
  Told_[M] = Now + WarnAgainAfter;
  for (const auto &[Which, L] : Links_) {
    if (From && *From == Which)
      continue;
    ++Counters_.WarningsSent_;
    Hooks_.Send_(Which, M);
  }
  return true;
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
  noteReader(Score_, Now, Now);
  Reading_ = Reader_ == Score_;
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
  M.KnownAgeMs_ = knownAgeMs(Now);
  M.Reader_ = Reader_;
  if (Now - ReaderAt_ < ReadAfter)
    M.ReaderAgeMs_ = detail::ageMs(ReaderAt_, Now);
  M.Members_ = Members_.inTurn(Now, Count);
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
    closed(Now, Which);
    Hooks_.Close_(Which);
  }
  Members_.forgetSilent(Now);
  for (auto Item = Told_.begin(); Item != Told_.end();)
    Item = Now >= Item->second ? Told_.erase(Item) : std::next(Item);
  if (Now >= NextBeat_)
    beatAll(Now);
  keepLinks(Now);
}

bool NewsExchange::Impl::linkedTo(const std::string &Name) const {
  return std::any_of(Links_.begin(), Links_.end(), [&](const auto &Item) {
    return Item.second.Peer_ == Name;
  });
}

void NewsExchange::Impl::keepLinks(MonoTime Now) {
  if (Leaving_)
    return;
  if (Links_.empty())
    for (const Endpoint &Seed : Options_.Seeds_)
      if (Seed != Options_.Self_.Control_)
        connect(Seed);
  std::vector<Member> Wanted =
      detail::choosePeers(Members_.reachable(Now), Options_.Self_, OpenedLinks);
  for (const Member &M : Wanted)
    if (!linkedTo(M.Name_))
      connect(M.Control_);
  closeUnwanted(Wanted);
}

/// Closes links opened to others than the wanted peers, to seeds for example,
/// once those are linked to: the number of links stays bounded everywhere.
void NewsExchange::Impl::closeUnwanted(const std::vector<Member> &Wanted) {
  auto IsWanted = [&](const std::string &Name) {
    return std::any_of(Wanted.begin(), Wanted.end(),
                       [&](const Member &M) { return M.Name_ == Name; });
  };
  if (Wanted.size() < OpenedLinks)
    return;
  for (const Member &M : Wanted)
    if (!linkedTo(M.Name_))
      return;
  for (const auto &[Which, L] : Links_)
    if (L.OpenedHere_ && !L.Peer_.empty() && !IsWanted(L.Peer_))
      Hooks_.Close_(Which);
}

void NewsExchange::Impl::connect(const Endpoint &Control) {
  if (Connecting_.insert(Control).second)
    Hooks_.Connect_(Control);
}

std::size_t NewsExchange::Impl::readRank() const {
  return Members_.countIf(
      [&](const Member &M) { return detail::readScore(M.Name_) < Score_; });
}

MonoTime NewsExchange::Impl::readFrom() const {
  if (Members_.size() == 0 && !EverLinked_ && KnownAsOf_ != MonoTime{})
    return KnownAsOf_ + PeersWithin;
  std::size_t Rank = readRank();
  bool ReadsAnyway = !detail::has(detail::Mechanism::OneReader);
  if (ReadsAnyway || Rank == 0 || Reading_ || KnownAsOf_ == MonoTime{})
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
  for (const Member &M : Members_.all())
    Result.push_back({M, linkedTo(M.Name_)});
  return Result;
}

NewsExchange::NewsExchange(NewsOptions Options, NewsHooks Hooks)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Hooks))) {}
NewsExchange::~NewsExchange() = default;
void NewsExchange::opened(MonoTime Now, LinkId Link, bool OpenedHere) {
  Impl_->opened(Now, Link, OpenedHere);
}
void NewsExchange::closed(MonoTime Now, LinkId Link) {
  Impl_->closed(Now, Link);
}
void NewsExchange::connectFailed(MonoTime Now, const Endpoint &Control) {
  Impl_->connectFailed(Now, Control);
}
void NewsExchange::received(MonoTime Now, LinkId Link, const NewsMessage &M) {
  Impl_->received(Now, Link, M);
}
bool NewsExchange::readDone(MonoTime Now, const RoutingTablePtr &Routing,
                            const UpstreamBatch &Upstreams, MonoTime AsOf) {
  return Impl_->readDone(Now, Routing, Upstreams, AsOf);
}
void NewsExchange::warn(MonoTime Now, const UpstreamWarning &M) {
  Impl_->warn(Now, M);
}
void NewsExchange::readFailed() { Impl_->readFailed(); }
void NewsExchange::setLeaving(MonoTime Now) { Impl_->setLeaving(Now); }
void NewsExchange::setSeeds(std::vector<Endpoint> Seeds) {
  Impl_->setSeeds(std::move(Seeds));
}
void NewsExchange::tick(MonoTime Now) { Impl_->tick(Now); }
MonoTime NewsExchange::readFrom() const { return Impl_->readFrom(); }
Revision NewsExchange::through() const { return Impl_->through(); }
MonoTime NewsExchange::knownAsOf() const { return Impl_->knownAsOf(); }
std::size_t NewsExchange::fleetSize() const { return Impl_->fleetSize(); }
bool NewsExchange::hallIsLost(MonoTime Now) const {
  return Impl_->hallIsLost(Now);
}
NewsCounters NewsExchange::counters() const { return Impl_->counters(); }
std::vector<PeerStatus> NewsExchange::peers() const { return Impl_->peers(); }

} // namespace thymewall
