#include "gossip-impl.h"

#include <algorithm>

namespace thymewall {

using detail::GossipLink;
using detail::MemberList;

namespace {

/// Members sent when a link opens, and with each later heartbeat.
constexpr std::size_t MembersOnOpen = 64;
/// With two services, each of 80 balancers sends 2.7 KB per second with 5
/// members, and the others hear of a change of load within 4 s (median) and 8 s
/// (nine in ten); 2.4 KB, 4.5 and 9 s with 4.
constexpr std::size_t MembersPerHeartbeat = 5;
/// In a fleet too large for the loads of its members to be used.
constexpr std::size_t MembersPerHeartbeatLargeFleet = 3;
/// Members whose impairment has become worse, in addition; the rest follow with
/// the next heartbeats.
constexpr std::size_t MaxWorsened = 16;
/// Members sent with each heartbeat, instead of `MembersPerHeartbeat`, for some
/// time after a member's impairment has become worse. Records of 80 members are
/// then up to 5 s old instead of 10 s, and other impaired balancers soon know
/// which members are healthy.
constexpr std::size_t MembersAfterNews = 16;
constexpr Micros MoreMembersFor = std::chrono::seconds(5);
/// Outbound links to other data halls. Few, since traffic between halls costs
/// more than within one; each hall of a large fleet has hundreds of them.
constexpr std::size_t RemoteHallLinks = 2;
constexpr std::size_t RemoteHallLinksLargeFleet = 1;
/// Ticks during which a start without links tries only one seed.
constexpr std::size_t SingleSeedAttempts = 2;
/// Sent heartbeats whose times are kept per link.
constexpr std::size_t MaxSentHeartbeats = 16;

} // namespace

void GossipNode::Impl::opened(MonoTime Now, LinkId Link, bool Outbound) {
  bool Redirected = !Outbound && inboundLinksFull();
  GossipLink &L = Links_[Link];
  L.Outbound_ = Outbound;
  L.Redirected_ = Redirected;
  L.ExpiresAt_ = Now + LinkTimeout;
  sendHeartbeat(Now, Link, L, MembersOnOpen, {});
}

void GossipNode::Impl::closed(MonoTime Now, LinkId Link) {
  auto Known = Links_.find(Link);
  if (Known == Links_.end())
    return;
  std::string Peer = Known->second.Peer_;
  if (!Known->second.PendingRequests_.empty())
    NextRequestAt_ = Now; // no response will come
  Links_.erase(Known);
  if (!linkedTo(Peer))
    Members_.avoid(Peer, Now + ReconnectDelay);
  if (Links_.empty() && !Leaving_)
    connectToChosen(Now); // a seed may have redirected this balancer
}

void GossipNode::Impl::connectFailed(MonoTime Now, const Endpoint &Control) {
  Connecting_.erase(Control);
  Members_.avoid(Control, Now + ReconnectDelay);
}

void GossipNode::Impl::setLeaving(MonoTime Now) {
  Leaving_ = true;
  sendHeartbeats(Now);
}

void GossipNode::Impl::closeDuplicate(LinkId Link, const std::string &Peer) {
  // Of two links between a pair, closes the one opened by the later name.
  auto Count =
      std::count_if(Links_.begin(), Links_.end(), [&](const auto &Item) {
        return Item.second.Peer_ == Peer;
      });
  if (Count < 2 || !Links_[Link].Outbound_ || Options_.Self_.Name_ < Peer)
    return;
  Hooks_.Close_(Link);
}

PeerHeartbeat GossipNode::Impl::heartbeat(MonoTime Now, GossipLink &L,
                                          std::size_t MemberCount) {
  PeerHeartbeat M;
  M.Sender_ = Options_.Self_;
  M.Leaving_ = Leaving_;
  M.Routing_ = Routing_ ? Routing_->Version_ : 0;
  M.Through_ = List_.through();
  M.StateAgeMs_ = stateAgeMs(Now);
  M.ReaderScore_ = FirstReader_.Score_;
  if (Now - FirstReader_.At_ < TakeoverAge)
    M.ReaderAgeMs_ = detail::ageMs(FirstReader_.At_, Now);
  M.FirstAliveScore_ = FirstAlive_.Score_;
  if (Now - FirstAlive_.At_ < LinkTimeout)
    M.FirstAliveAgeMs_ = detail::ageMs(FirstAlive_.At_, Now);
  if (Now - FailedAt_ < FailureLifetime)
    M.FailureAgeMs_ = detail::ageMs(FailedAt_, Now);
  M.UptimeMs_ = detail::ageMs(RunningSince_, Now);
  M.UpstreamCount_ = static_cast<std::uint32_t>(List_.size());
  if (List_.through() == 0)
    M.Parts_ = Parts_;
  if (MemberCount > 0)
    M.Members_ = Members_.nextFirstReader(Now);
  for (const Member &First : M.Members_)
    noteMember(Now, L, First);
  for (Member &Newest : Members_.newestFor(Now, MemberCount, L.PeerMembers_))
    M.Members_.push_back(std::move(Newest));
  return M;
}

void GossipNode::Impl::sendHeartbeat(MonoTime Now, LinkId Link, GossipLink &L,
                                     std::size_t MemberCount,
                                     const std::vector<Member> &Worsened) {
  for (const Member &Reported : Worsened)
    noteMember(Now, L, Reported);
  PeerHeartbeat M = heartbeat(Now, L, MemberCount);
  M.Members_.insert(M.Members_.end(), Worsened.begin(), Worsened.end());
  M.Sequence_ = ++L.Sequence_;
  M.EchoedSequence_ = L.LastReceivedSequence_;
  // Rounded so that the bound on the transit time holds.
  M.SentAtMs_ = detail::wholeMillis(Now);
  M.EchoReceivedAtMs_ = detail::wholeMillis(L.LastReceivedAt_) + 1;
  L.SentHeartbeats_.push_back({M.Sequence_, Now});
  if (L.SentHeartbeats_.size() > MaxSentHeartbeats)
    L.SentHeartbeats_.pop_front();
  ++Counters_.HeartbeatsSent_;
  Hooks_.Send_(Link, M);
}

void GossipNode::Impl::sendHeartbeats(MonoTime Now) {
  AnnouncedAsOf_ = ConfirmedAsOf_;
  AnnouncedParts_ = Parts_.count();
  AnnouncedReader_ = FirstReader_.Score_;
  AnnouncedAliveAt_ = FirstAlive_.At_;
  AnnouncedFailureAt_ = FailedAt_;
  NextHeartbeatAt_ = Now + HeartbeatInterval;
  // Members are most of a heartbeat's bytes, so they are sent only once per
  // heartbeat interval.
  bool IncludeMembers = Now >= NextMembersAt_;
  if (IncludeMembers)
    NextMembersAt_ = Now + HeartbeatInterval;
  if (hasImpairmentNews())
    MoreMembersUntil_ = Now + MoreMembersFor;
  HasImpairmentNews_ = false;
  std::vector<Member> Worsened = Members_.takeWorsened(Now, MaxWorsened);
  std::size_t MemberCount = Members_.size() <= MemberList::MaxLoadMembers
                                ? MembersPerHeartbeat
                                : MembersPerHeartbeatLargeFleet;
  if (Now < MoreMembersUntil_)
    MemberCount = MembersAfterNews;
  for (auto &[Link, L] : Links_)
    sendHeartbeat(Now, Link, L, IncludeMembers ? MemberCount : 0, Worsened);
}

void GossipNode::Impl::tick(MonoTime Now) {
  if (Now - LastTick_ > SuspendThreshold)
    RunningSince_ = Now;
  LastTick_ = Now;
  std::vector<LinkId> Expired;
  for (const auto &[Link, L] : Links_)
    if (Now > L.ExpiresAt_)
      Expired.push_back(Link);
  for (LinkId Link : Expired) {
    closed(Now, Link);
    Hooks_.Close_(Link);
  }
  Members_.expireSilent(Now);
  noteAlive(Now, Score_, Now);
  for (auto Item = RecentWarnings_.begin(); Item != RecentWarnings_.end();)
    Item = Now >= Item->second ? RecentWarnings_.erase(Item) : std::next(Item);
  bool MoreParts = List_.through() == 0 && Parts_.count() > AnnouncedParts_;
  if (Now >= NextHeartbeatAt_ || MoreParts || hasImpairmentNews())
    sendHeartbeats(Now);
  maintainLinks(Now);
  reportLag(Now);
}

bool GossipNode::Impl::linkedTo(const std::string &Name) const {
  return std::any_of(Links_.begin(), Links_.end(), [&](const auto &Item) {
    return Item.second.Peer_ == Name;
  });
}

void GossipNode::Impl::maintainLinks(MonoTime Now) {
  if (Leaving_)
    return;
  if (Links_.empty())
    connectSeeds();
  else
    probeSeeds();
  closeSurplusLinks(connectToChosen(Now));
}

std::vector<Member> GossipNode::Impl::connectToChosen(MonoTime Now) {
  std::vector<Member> Chosen = detail::choosePeers(
      Members_.reachable(Now), Options_.Self_, OutboundLinks,
      Members_.tracksAllMembers() ? RemoteHallLinks
                                  : RemoteHallLinksLargeFleet);
  for (const Member &M : Chosen)
    if (!linkedTo(M.Name_))
      connect(M.Control_);
  return Chosen;
}

/// Tries one seed first, which spreads a starting fleet over its seeds, and all
/// seeds after some attempts. Seeds connect to each other at once, which joins
/// their groups.
void GossipNode::Impl::connectSeeds() {
  const std::vector<Endpoint> &Seeds = Options_.Seeds_;
  bool IsSeed = std::find(Seeds.begin(), Seeds.end(),
                          Options_.Self_.Control_) != Seeds.end();
  bool All = IsSeed || SeedAttempts_++ >= SingleSeedAttempts;
  for (std::size_t I = 0; I < Seeds.size(); ++I)
    if (All || Score_ % Seeds.size() == I)
      connectSeed(Seeds[I]);
}

/// Looks for other partitions of the fleet at seeds that aren't members. On
/// average one balancer of a partition tries per tick.
void GossipNode::Impl::probeSeeds() {
  std::uint64_t Draw = hashPair(Score_, ++ProbeCount_);
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

/// Whether another inbound link would exceed the limit.
bool GossipNode::Impl::inboundLinksFull() const {
  auto Accepted =
      std::count_if(Links_.begin(), Links_.end(), [](const auto &Item) {
        return !Item.second.Outbound_ && !Item.second.Redirected_;
      });
  return static_cast<std::size_t>(Accepted) >= MaxInboundLinks;
}

/// Closes outbound links to peers that weren't chosen, such as seeds, once all
/// chosen peers are linked. Keeps the number of links bounded.
void GossipNode::Impl::closeSurplusLinks(const std::vector<Member> &Chosen) {
  auto IsChosen = [&](const std::string &Name) {
    return std::any_of(Chosen.begin(), Chosen.end(),
                       [&](const Member &M) { return M.Name_ == Name; });
  };
  if (Chosen.size() < OutboundLinks)
    return;
  for (const Member &M : Chosen)
    if (!linkedTo(M.Name_))
      return;
  for (const auto &[Link, L] : Links_)
    if (L.Outbound_ && !L.Peer_.empty() && !IsChosen(L.Peer_))
      Hooks_.Close_(Link);
}

void GossipNode::Impl::connect(const Endpoint &Control) {
  if (Connecting_.insert(Control).second)
    Hooks_.Connect_(Control);
}

} // namespace thymewall
