#include "gossip-impl.h"
#include "mechanism.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

using detail::GossipLink;

namespace {

/// Peers that a starting balancer asks for recently ended upstreams. All
/// running balancers know the same ones, but one or two of three may have just
/// started too.
constexpr std::size_t MaxEndedRequests = 3;

} // namespace

void GossipNode::Impl::received(MonoTime Now, LinkId Link,
                                const GossipMessage &M) {
  auto Known = Links_.find(Link);
  if (Known == Links_.end())
    return;
  LastReceivedAt_ = Now;
  Known->second.ExpiresAt_ = Now + LinkTimeout;
  std::visit([&](const auto &Typed) { handle(Now, Link, Typed); }, M);
}

void GossipNode::Impl::handle(MonoTime Now, LinkId Link,
                              const PeerHeartbeat &M) {
  if (M.Sender_.Name_ == Options_.Self_.Name_)
    return Hooks_.Close_(Link); // a seed address of this process
  GossipLink &L = Links_[Link];
  L.Peer_ = M.Sender_.Name_;
  L.LastReceivedSequence_ = M.Sequence_;
  L.LastReceivedAt_ = Now;
  Connecting_.erase(M.Sender_.Control_);
  if (M.Leaving_)
    Members_.remove(M.Sender_.Name_);
  else
    Members_.learn(Now, M.Sender_);
  noteMember(Now, L, M.Sender_);
  for (const Member &Reported : M.Members_) {
    Members_.learn(Now, Reported);
    noteMember(Now, L, Reported);
  }
  notifyIfJoined(Now, M);
  MonoTime SentAt = L.sentNotBefore(Now, M);
  acceptFirstAlive(Now, SentAt, M);
  acceptConfirmation(Now, SentAt, M);
  noteNewerState(Now, M);
  requestIfBehind(Now, Link, M);
  closeDuplicate(Link, M.Sender_.Name_);
  if (L.Redirected_)
    Hooks_.Close_(Link); // its members were learned above
}

void GossipNode::Impl::notifyIfJoined(MonoTime Now, const PeerHeartbeat &M) {
  Micros Uptime = std::chrono::milliseconds(M.UptimeMs_);
  if (Hooks_.OnPeerJoined_ && Uptime < RecentStartAge)
    Hooks_.OnPeerJoined_(Now - Uptime);
}

void GossipNode::Impl::requestIfBehind(MonoTime Now, LinkId Link,
                                       const PeerHeartbeat &M) {
  Version OwnVersion = Routing_ ? Routing_->Version_ : 0;
  bool Behind = OwnVersion < M.Routing_ || List_.through() < M.Through_;
  GossipLink &L = Links_[Link];
  L.PeerParts_ = M.Through_ == 0 ? M.Parts_ : allParts();
  L.PeerUpstreamCount_ = M.UpstreamCount_;
  if (startsFromParts(L))
    return requestParts(Now, Link);
  bool IncludeEnded = EndedResponses_ < MaxEndedRequests &&
                      !L.RequestedEnded_ &&
                      detail::isEnabled(detail::Mechanism::EndedUpstreams);
  if ((!Behind && !IncludeEnded) || Now < NextRequestAt_)
    return;
  NextRequestAt_ = Now + RequestTimeout;
  L.RequestedEnded_ = L.RequestedEnded_ || IncludeEnded;
  L.PendingRequests_.push_back({Now, IncludeEnded});
  Hooks_.Send_(
      Link,
      StateRequest{
          OwnVersion, List_.through(), IncludeEnded, {}, requestDigests()});
}

void GossipNode::Impl::handle(MonoTime Now, LinkId Link,
                              const StateRequest &M) {
  StateUpdate Response;
  Response.StateAgeMs_ = stateAgeMs(Now);
  if (Routing_ && Routing_->Version_ > M.Routing_)
    Response.Routing_ = Routing_;
  Response.Parts_ = M.Parts_ & heldParts();
  if (M.Parts_.any())
    Response.Upstreams_ = List_.entriesIn(M.Parts_);
  else if (M.Digests_)
    Response.Upstreams_ = List_.diffByDigests(*M.Digests_);
  else
    Response.Upstreams_ = List_.changesSince(M.Through_);
  Response.Evacuations_ = Evacuations_.all();
  if (M.IncludeEnded_)
    Response.Upstreams_.Ended_ = List_.ended();
  ++Counters_.UpdatesSent_;
  Hooks_.Send_(Link, Response);
}

void GossipNode::Impl::handle(MonoTime Now, LinkId Link, const StateUpdate &M) {
  ++Counters_.UpdatesReceived_;
  GossipLink::PendingRequest Request = Links_[Link].popRequest();
  if (Request.IncludesEnded_)
    ++EndedResponses_;
  if (M.Parts_.any())
    return handleParts(Now, Link, M);
  NextRequestAt_ = Now;
  // The response was made after the request was sent.
  MonoTime AsOf{};
  if (M.StateAgeMs_ != PeerHeartbeat::UnknownAgeMs)
    AsOf = Request.SentAt_ - std::chrono::milliseconds(M.StateAgeMs_);
  if (!apply(Now, M.Routing_, M.Upstreams_, M.Evacuations_, AsOf)) {
    ++Counters_.RevisionGaps_; // the next heartbeat triggers another request
    return;
  }
  confirm(Now, AsOf, Links_[Link].Peer_, Request.SentAt_);
  sendHeartbeats(Now);
}

/// \p AsOf is when the state was complete, or 0 if that is unknown.
bool GossipNode::Impl::apply(MonoTime Now, const RoutingTablePtr &Routing,
                             const UpstreamBatch &Upstreams,
                             const EvacuationBatch &Evacuations,
                             MonoTime AsOf) {
  if (Routing && (!Routing_ || Routing->Version_ > Routing_->Version_)) {
    Routing_ = Routing;
    Hooks_.OnRouting_(Routing_);
  }
  std::vector<UpstreamChange> Changes;
  bool First = List_.through() == 0;
  if (!List_.apply(Upstreams, Changes))
    return false;
  // Evacuations come before upstreams, so that waiting openings don't go to a
  // hall that the same update evacuates. They aren't applied if changes are
  // missing: upstreams of a hall whose evacuation ended may be cold again.
  applyEvacuations(Evacuations);
  noteOutageEnd(Now, AsOf); // decides on missing upstreams
  if (First || !Changes.empty())
    Hooks_.OnUpstreams_(Changes, Outages_.mayReturnUntil());
  return true;
}

void GossipNode::Impl::noteOutageEnd(MonoTime Now, MonoTime AsOf) {
  std::optional<ServiceOutage> Outage = Outages_.recordConfirmation(Now, AsOf);
  if (Outage && Hooks_.OnOutageEnded_)
    Hooks_.OnOutageEnded_(*Outage);
}

void GossipNode::Impl::applyEvacuations(const EvacuationBatch &Batch) {
  std::vector<EvacuationChange> Changes;
  Evacuations_.apply(Batch, Changes);
  if (!Changes.empty() && Hooks_.OnEvacuations_)
    Hooks_.OnEvacuations_(Changes);
}

void GossipNode::Impl::staleListRead(MonoTime Now,
                                     const ConfigResponse &Response) {
  ListParts Parts = Response.Parts_.value_or(allParts());
  bool Missing = hasMissingParts(Parts);
  apply(Now, Response.Routing_, Missing ? Response.Batch_ : UpstreamBatch{},
        Response.Evacuations_, MonoTime{});
  addParts(Now, Parts);
}

/// Some upstreams serve callers better than none. The list stays incomplete, so
/// that peers and the next read add or remove the others. A list made up of all
/// parts is compared with a peer's by digests, and isn't changed any more.
void GossipNode::Impl::partialListRead(MonoTime Now,
                                       const ConfigResponse &Response) {
  const std::vector<UpstreamChange> &Read = Response.Batch_.Changes_;
  bool HasUpstreams =
      std::any_of(Read.begin(), Read.end(),
                  [](const UpstreamChange &C) { return C.Entry_.has_value(); });
  if (HasUpstreams && List_.through() == 0 && !Parts_.all())
    apply(Now, Response.Routing_, Response.Batch_, Response.Evacuations_,
          MonoTime{});
}

bool GossipNode::Impl::readSucceeded(MonoTime Now,
                                     const ConfigResponse &Response,
                                     MonoTime AsOf) {
  Revision Before = List_.through();
  if (!apply(Now, Response.Routing_, Response.Batch_, Response.Evacuations_,
             AsOf))
    return false;
  // Otherwise balancers that start together all keep reading until they hear of
  // a reader with a lower score.
  if (!HasRead_)
    ReadPauseUntil_ = Now + FirstReadPause;
  HasRead_ = true;
  noteReader(Score_, Now, Now);
  IsReader_ = FirstReader_.Score_ == Score_;
  confirm(Now, AsOf, "", Now);
  if (List_.through() != Before)
    sendHeartbeats(Now);
  return true;
}

/// Announces this reader before a list read: it takes so long that the state
/// ages meanwhile, and the next ranks would read the list too.
void GossipNode::Impl::listReadStarted(MonoTime Now) {
  if (ConfirmedAsOf_ == MonoTime{})
    return;
  noteReader(Score_, Now, Now);
  sendHeartbeats(Now);
}

MonoTime GossipNode::Impl::nextReadAt() const {
  bool AlwaysReads = !detail::isEnabled(detail::Mechanism::SingleReader);
  if (AlwaysReads || (IsReader_ && !impaired()))
    return ReadPauseUntil_;
  if (ConfirmedAsOf_ == MonoTime{}) { // peers may still send the state
    auto Rank = static_cast<Micros::rep>(Members_.rankOf(Score_));
    return std::max(ReadPauseUntil_, RunningSince_ + StartupReadStep * Rank);
  }
  bool OtherReads = FirstReader_.Score_ < Score_;
  MonoTime ConfirmedAt =
      OtherReads ? std::max(ConfirmedAsOf_, FirstReader_.At_) : ConfirmedAsOf_;
  return std::max(ReadPauseUntil_, takeoverTime(ConfirmedAt));
}

/// Returns when to read if the state or the reader was last confirmed at
/// \p ConfirmedAt.
MonoTime GossipNode::Impl::takeoverTime(MonoTime ConfirmedAt) const {
  std::size_t Rank = Members_.rankOf(Score_);
  if (Rank == 0 && !impaired())
    return ConfirmedAsOf_;
  // Without peers, neither the rank nor the impairment leaves a read to others.
  return isIsolated() ? ConfirmedAsOf_ + TakeoverAge
                      : turnAmongPeers(Rank, ConfirmedAt);
}

/// Whether no peer was heard at the last tick, be it that all have failed or
/// that the network separates them from this balancer.
bool GossipNode::Impl::isIsolated() const {
  MonoTime HeardAt = std::max(LastReceivedAt_, RunningSince_);
  Micros Allowed = Members_.tracksAllMembers() ? detail::MemberList::AliveWithin
                                               : IsolationTimeout;
  return Links_.empty() || LastTick_ - HeardAt >= Allowed;
}

/// The rank counts while a balancer with a lower score is alive. In a network
/// partition without one, members read within a bound that doesn't depend on
/// their ranks.
MonoTime GossipNode::Impl::turnAmongPeers(std::size_t Rank,
                                          MonoTime ConfirmedAt) const {
  MonoTime From =
      ConfirmedAt + TakeoverAge + (impaired() ? ImpairedReadDelay : Micros(0));
  bool FirstInPartition =
      FirstAlive_.Score_ >= Score_ && !Members_.tracksAllMembers();
  if (FirstInPartition)
    return std::max(From, FirstAliveSince_ + ownShareOf(PartitionJitter));
  MonoTime InTurn = From + TakeoverStep * static_cast<Micros::rep>(Rank);
  constexpr Micros AllSteps =
      TakeoverStep * static_cast<Micros::rep>(MaxTakeoverSteps);
  if (Members_.tracksAllMembers())
    return std::min(InTurn, ConfirmedAsOf_ + TakeoverAge + AllSteps);
  MonoTime Latest = From + AllSteps + ownShareOf(TakeoverSpread);
  if (FailedAt_ > FirstReader_.At_)
    Latest = std::max(Latest, FailedAt_ + FailureLifetime);
  return std::min(InTurn, Latest);
}

/// Spreads the reads of members that lose the lower scores at the same time.
Micros GossipNode::Impl::ownShareOf(Micros Range) const {
  auto Share = std::ldexp(static_cast<double>(Score_), -64);
  return Micros(
      static_cast<Micros::rep>(Share * static_cast<double>(Range.count())));
}

GossipCounters GossipNode::Impl::counters() const {
  GossipCounters Result = Counters_;
  Result.Links_ = Links_.size();
  Result.Members_ = Members_.size();
  return Result;
}

GossipNode::GossipNode(GossipOptions Options, GossipHooks Hooks)
    : Impl_(std::make_unique<Impl>(std::move(Options), std::move(Hooks))) {}
GossipNode::~GossipNode() = default;
void GossipNode::opened(MonoTime Now, LinkId Link, bool Outbound) {
  Impl_->opened(Now, Link, Outbound);
}
void GossipNode::closed(MonoTime Now, LinkId Link) { Impl_->closed(Now, Link); }
void GossipNode::connectFailed(MonoTime Now, const Endpoint &Control) {
  Impl_->connectFailed(Now, Control);
}
void GossipNode::received(MonoTime Now, LinkId Link, const GossipMessage &M) {
  Impl_->received(Now, Link, M);
}
bool GossipNode::readSucceeded(MonoTime Now, const ConfigResponse &Response,
                               MonoTime AsOf) {
  return Impl_->readSucceeded(Now, Response, AsOf);
}
void GossipNode::warn(MonoTime Now, const UpstreamWarning &M) {
  Impl_->warn(Now, M);
}
void GossipNode::readFailed(MonoTime Now, const ConfigResponse &Response) {
  Impl_->readFailed(Now, Response);
}
void GossipNode::listReadStarted(MonoTime Now) { Impl_->listReadStarted(Now); }
void GossipNode::staleListRead(MonoTime Now, const ConfigResponse &Response) {
  Impl_->staleListRead(Now, Response);
}
void GossipNode::partialListRead(MonoTime Now, const ConfigResponse &Response) {
  Impl_->partialListRead(Now, Response);
}
void GossipNode::setLeaving(MonoTime Now) { Impl_->setLeaving(Now); }
void GossipNode::setSeeds(std::vector<Endpoint> Seeds) {
  Impl_->setSeeds(std::move(Seeds));
}
void GossipNode::tick(MonoTime Now) { Impl_->tick(Now); }
MonoTime GossipNode::nextReadAt() const { return Impl_->nextReadAt(); }
Revision GossipNode::through() const { return Impl_->through(); }
MonoTime GossipNode::confirmedAsOf() const { return Impl_->confirmedAsOf(); }
std::size_t GossipNode::fleetSize() const { return Impl_->fleetSize(); }
std::size_t GossipNode::callers() const { return Impl_->callers(); }
FleetView GossipNode::fleetView(MonoTime Now) const {
  return Impl_->fleetView(Now);
}
void GossipNode::setOwnLoad(std::vector<ServiceLoad> Load) {
  Impl_->setOwnLoad(std::move(Load));
}
FleetLoad GossipNode::fleetLoad(MonoTime Now) const {
  return Impl_->fleetLoad(Now);
}
GossipCounters GossipNode::counters() const { return Impl_->counters(); }

} // namespace thymewall
