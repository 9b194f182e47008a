#include "news-impl.h"

#include <algorithm>

namespace thymewall {

using detail::GossipLink;

namespace {

/// Members told of when a link opens, and with each heartbeat.
constexpr std::size_t MembersAtOpening = 64;
constexpr std::size_t MembersPerHeartbeat = 3;
/// Of the links that a balancer opens, those to other data halls. In a large
/// fleet each hall has hundreds of such links, and bytes between halls cost
/// more than those within one.
constexpr std::size_t FarLinks = 2;
constexpr std::size_t FarLinksOfMany = 1;
/// Ticks during which a start without links tries one seed only.
constexpr std::size_t TriesOfOneSeed = 2;
/// Heartbeats whose time of sending is remembered for a link.
constexpr std::size_t SentTimesKept = 16;

} // namespace

void GossipNode::Impl::opened(MonoTime Now, LinkId Which, bool Outbound) {
  bool SentOn = !Outbound && acceptsNoMore();
  GossipLink &L = Links_[Which];
  L.Outbound_ = Outbound;
  L.SentOn_ = SentOn;
  L.SilentAt_ = Now + LinkTimeout;
  beat(Now, Which, L, MembersAtOpening);
}

void GossipNode::Impl::closed(MonoTime Now, LinkId Which) {
  auto Known = Links_.find(Which);
  if (Known == Links_.end())
    return;
  std::string Peer = Known->second.Peer_;
  if (!Known->second.Questions_.empty())
    AskAgainAt_ = Now; // no answer will come
  Links_.erase(Known);
  if (!linkedTo(Peer))
    Members_.avoid(Peer, Now + ReconnectDelay);
  if (Links_.empty() && !Leaving_)
    linkToWanted(Now); // a seed may have sent this balancer on
}

void GossipNode::Impl::connectFailed(MonoTime Now, const Endpoint &Control) {
  Connecting_.erase(Control);
  Members_.avoid(Control, Now + ReconnectDelay);
}

void GossipNode::Impl::setLeaving(MonoTime Now) {
  Leaving_ = true;
  beatAll(Now);
}

void GossipNode::Impl::closeSpare(LinkId Which, const std::string &Peer) {
  // Of two links between two balancers, the one that the later name opened
  // goes.
  auto Count =
      std::count_if(Links_.begin(), Links_.end(), [&](const auto &Item) {
        return Item.second.Peer_ == Peer;
      });
  if (Count < 2 || !Links_[Which].Outbound_ || Options_.Self_.Name_ < Peer)
    return;
  Hooks_.Close_(Which);
}

PeerHeartbeat GossipNode::Impl::heartbeat(MonoTime Now, std::size_t Count) {
  PeerHeartbeat M;
  M.Sender_ = Options_.Self_;
  M.Leaving_ = Leaving_;
  M.Routing_ = Routing_ ? Routing_->Version_ : 0;
  M.Through_ = List_.through();
  M.StateAgeMs_ = knownAgeMs(Now);
  M.ReaderScore_ = Reader_.Score_;
  if (Now - Reader_.At_ < TakeoverAge)
    M.ReaderAgeMs_ = detail::ageMs(Reader_.At_, Now);
  M.FirstAliveScore_ = Living_.Score_;
  if (Now - Living_.At_ < LinkTimeout)
    M.FirstAliveAgeMs_ = detail::ageMs(Living_.At_, Now);
  M.UptimeMs_ = detail::ageMs(PresentSince_, Now);
  M.UpstreamCount_ = static_cast<std::uint32_t>(List_.size());
  if (List_.through() == 0)
    M.Parts_ = Parts_;
  M.Members_ = Members_.inTurn(Now, Count);
  if (Count > 0)
    for (const Member &First : Members_.firstInTurn(Now))
      M.Members_.push_back(First);
  return M;
}

void GossipNode::Impl::beat(MonoTime Now, LinkId Which, GossipLink &L,
                            std::size_t Members) {
  PeerHeartbeat M = heartbeat(Now, Members);
  M.Sequence_ = ++L.Sequence_;
  M.EchoedSequence_ = L.LastHeard_;
  L.Sent_.push_back({M.Sequence_, Now});
  if (L.Sent_.size() > SentTimesKept)
    L.Sent_.pop_front();
  ++Counters_.HeartbeatsSent_;
  Hooks_.Send_(Which, M);
}

void GossipNode::Impl::beatAll(MonoTime Now) {
  ToldAsOf_ = KnownAsOf_;
  ToldParts_ = Parts_.count();
  ToldReader_ = Reader_.Score_;
  ToldLivingAt_ = Living_.At_;
  NextBeat_ = Now + HeartbeatInterval;
  // Members once in the time of a heartbeat, however often more recent
  // knowledge is told: they are most of a heartbeat's bytes.
  bool TellMembers = Now >= TellMembersAt_;
  if (TellMembers)
    TellMembersAt_ = Now + HeartbeatInterval;
  for (auto &[Which, L] : Links_)
    beat(Now, Which, L, TellMembers ? MembersPerHeartbeat : 0);
}

void GossipNode::Impl::tick(MonoTime Now) {
  if (Now - LastTick_ > SuspendThreshold)
    PresentSince_ = Now;
  LastTick_ = Now;
  std::vector<LinkId> Silent;
  for (const auto &[Which, L] : Links_)
    if (Now > L.SilentAt_)
      Silent.push_back(Which);
  for (LinkId Which : Silent) {
    closed(Now, Which);
    Hooks_.Close_(Which);
  }
  Members_.forgetSilent(Now);
  noteLiving(Now, Score_, Now);
  for (auto Item = Told_.begin(); Item != Told_.end();)
    Item = Now >= Item->second ? Told_.erase(Item) : std::next(Item);
  bool MoreParts = List_.through() == 0 && Parts_.count() > ToldParts_;
  if (Now >= NextBeat_ || MoreParts)
    beatAll(Now);
  keepLinks(Now);
}

bool GossipNode::Impl::linkedTo(const std::string &Name) const {
  return std::any_of(Links_.begin(), Links_.end(), [&](const auto &Item) {
    return Item.second.Peer_ == Name;
  });
}

void GossipNode::Impl::keepLinks(MonoTime Now) {
  if (Leaving_)
    return;
  if (Links_.empty())
    connectSeeds();
  else
    lookForOthers();
  closeUnwanted(linkToWanted(Now));
}

std::vector<Member> GossipNode::Impl::linkToWanted(MonoTime Now) {
  std::vector<Member> Wanted = detail::choosePeers(
      Members_.reachable(Now), Options_.Self_, OutboundLinks,
      Members_.hearsOfAll() ? FarLinks : FarLinksOfMany);
  for (const Member &M : Wanted)
    if (!linkedTo(M.Name_))
      connect(M.Control_);
  return Wanted;
}

/// First one of the seeds, so that each meets a part of a fleet that starts,
/// then all. Seeds meet each other at once, which joins the parts.
void GossipNode::Impl::connectSeeds() {
  const std::vector<Endpoint> &Seeds = Options_.Seeds_;
  bool IsSeed = std::find(Seeds.begin(), Seeds.end(),
                          Options_.Self_.Control_) != Seeds.end();
  bool All = IsSeed || SeedAttempts_++ >= TriesOfOneSeed;
  for (std::size_t I = 0; I < Seeds.size(); ++I)
    if (All || Score_ % Seeds.size() == I)
      connectSeed(Seeds[I]);
}

/// Seeds that are no members are where another part of the fleet may be: at
/// each tick about one balancer of those that know each other tries.
void GossipNode::Impl::lookForOthers() {
  std::uint64_t Draw = hashPair(Score_, ++Draws_);
  if (Draw % (Members_.size() + 1) != 0)
    return;
  for (const Endpoint &Seed : Options_.Seeds_)
    if (Members_.countIf([&](const Member &M) { return M.Control_ == Seed; }) ==
        0)
      connectSeed(Seed);
}

void GossipNode::Impl::connectSeed(const Endpoint &Seed) {
  if (Seed != Options_.Self_.Control_)
    connect(Seed);
}

/// Whether enough links are accepted without a further one.
bool GossipNode::Impl::acceptsNoMore() const {
  auto Accepted =
      std::count_if(Links_.begin(), Links_.end(), [](const auto &Item) {
        return !Item.second.Outbound_ && !Item.second.SentOn_;
      });
  return static_cast<std::size_t>(Accepted) >= MaxInboundLinks;
}

/// Closes links opened to others than the wanted peers, to seeds for example,
/// once those are linked to: the number of links stays bounded everywhere.
void GossipNode::Impl::closeUnwanted(const std::vector<Member> &Wanted) {
  auto IsWanted = [&](const std::string &Name) {
    return std::any_of(Wanted.begin(), Wanted.end(),
                       [&](const Member &M) { return M.Name_ == Name; });
  };
  if (Wanted.size() < OutboundLinks)
    return;
  for (const Member &M : Wanted)
    if (!linkedTo(M.Name_))
      return;
  for (const auto &[Which, L] : Links_)
    if (L.Outbound_ && !L.Peer_.empty() && !IsWanted(L.Peer_))
      Hooks_.Close_(Which);
}

void GossipNode::Impl::connect(const Endpoint &Control) {
  if (Connecting_.insert(Control).second)
    Hooks_.Connect_(Control);
}

std::vector<MemberStatus> GossipNode::Impl::peers() const {
  std::vector<MemberStatus> Result;
  for (const Member &M : Members_.all())
    Result.push_back({M, linkedTo(M.Name_)});
  return Result;
}

} // namespace thymewall
