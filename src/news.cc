#include "mechanism.h"
#include "news-impl.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

using detail::GossipLink;

namespace {

/// Peers that a start asks which upstreams have ended lately: all that ran
/// before know the same, and one or two of three may have just started too.
constexpr std::size_t AskedForEnded = 3;

} // namespace

void GossipNode::Impl::received(MonoTime Now, LinkId Which,
                                const GossipMessage &M) {
  auto Known = Links_.find(Which);
  if (Known == Links_.end())
    return;
  Known->second.SilentAt_ = Now + LinkTimeout;
  std::visit([&](const auto &Typed) { take(Now, Which, Typed); }, M);
}

void GossipNode::Impl::take(MonoTime Now, LinkId Which,
                            const PeerHeartbeat &M) {
  if (M.Sender_.Name_ == Options_.Self_.Name_)
    return Hooks_.Close_(Which); // a seed that is this process itself
  GossipLink &L = Links_[Which];
  L.Peer_ = M.Sender_.Name_;
  L.LastHeard_ = M.Sequence_;
  Connecting_.erase(M.Sender_.Control_);
  if (M.Leaving_)
    Members_.remove(M.Sender_.Name_);
  else
    Members_.learn(Now, M.Sender_);
  for (const Member &Told : M.Members_)
    Members_.learn(Now, Told);
  noteArrival(Now, M);
  takeLiving(Now, L, M);
  takeClaim(Now, L, M);
  askIfBehind(Now, Which, M);
  closeSpare(Which, M.Sender_.Name_);
  if (L.SentOn_)
    Hooks_.Close_(Which); // it has been told of members by now
}

void GossipNode::Impl::noteArrival(MonoTime Now, const PeerHeartbeat &M) {
  Micros Present = std::chrono::milliseconds(M.UptimeMs_);
  if (Hooks_.OnPeerJoined_ && Present < RecentStartAge)
    Hooks_.OnPeerJoined_(Now - Present);
}

void GossipNode::Impl::takeClaim(MonoTime Now, const GossipLink &L,
                                 const PeerHeartbeat &M) {
  if (M.StateAgeMs_ == PeerHeartbeat::UnknownAgeMs)
    return;
  Version Ours = Routing_ ? Routing_->Version_ : 0;
  if (Ours < M.Routing_ || List_.through() < M.Through_)
    return; // it speaks of more than what is known here
  if (Now - L.sentAt(M.EchoedSequence_) > MaxEchoAge) {
    ++Counters_.StaleConfirmations_;
    return;
  }
  MonoTime AsOf = Now - std::chrono::milliseconds(M.StateAgeMs_);
  if (M.ReaderAgeMs_ != PeerHeartbeat::UnknownAgeMs)
    noteReader(M.ReaderScore_, Now - std::chrono::milliseconds(M.ReaderAgeMs_),
               Now);
  confirm(Now, AsOf);
  // Told at once: word of a better reader that waits at each hop for the next
  // confirmation is out of date after three, and two go on reading.
  if (Reader_.Score_ < ToldReader_)
    beatAll(Now);
}

void GossipNode::Impl::noteReader(std::uint64_t Score, MonoTime At,
                                  MonoTime Now) {
  Reader_.note(Score, At, Now, TakeoverAge);
  if (Reader_.Score_ < Score_)
    Reading_ = false;
}

void GossipNode::Impl::noteLiving(MonoTime Now, std::uint64_t Score,
                                  MonoTime At) {
  bool OthersBefore = Living_.Score_ < Score_;
  Living_.note(Score, At, Now, LinkTimeout);
  if (OthersBefore && Living_.Score_ >= Score_)
    FirstSince_ = Now;
}

/// Word of the first that lives counts if it was provably said a moment ago: a
/// balancer that is cut off, alone or with others, must not wait for it.
void GossipNode::Impl::takeLiving(MonoTime Now, const GossipLink &L,
                                  const PeerHeartbeat &M) {
  bool Recent = Now - L.sentAt(M.EchoedSequence_) <= MaxEchoAge;
  if (!Recent || M.Leaving_)
    return;
  noteLiving(Now, detail::readerScore(M.Sender_.Name_), Now);
  if (M.FirstAliveAgeMs_ != PeerHeartbeat::UnknownAgeMs)
    noteLiving(Now, M.FirstAliveScore_,
               Now - std::chrono::milliseconds(M.FirstAliveAgeMs_));
  // Passed on at once: waiting at each hop for the next heartbeat, it would be
  // too old after three.
  bool Fresher = Living_.At_ - ToldLivingAt_ > AliveUpdateStep;
  if (Fresher && !Members_.hearsOfAll())
    beatAll(Now);
}

void GossipNode::Impl::confirm(MonoTime Now, MonoTime AsOf) {
  if (AsOf <= KnownAsOf_)
    return;
  KnownAsOf_ = AsOf;
  Hooks_.OnConfirmed_(AsOf);
  if (KnownAsOf_ - ToldAsOf_ > ConfirmationStep)
    beatAll(Now);
}

void GossipNode::Impl::askIfBehind(MonoTime Now, LinkId Which,
                                   const PeerHeartbeat &M) {
  Version Ours = Routing_ ? Routing_->Version_ : 0;
  bool Behind = Ours < M.Routing_ || List_.through() < M.Through_;
  GossipLink &L = Links_[Which];
  L.PeerParts_ = M.Through_ == 0 ? M.Parts_ : allParts();
  L.PeerListed_ = M.UpstreamCount_;
  if (startsByParts(L))
    return askForParts(Now, Which);
  bool WantsEnded = EndedAnswers_ < AskedForEnded && !L.AskedEnded_ &&
                    detail::has(detail::Mechanism::EndedUpstreams);
  if ((!Behind && !WantsEnded) || Now < AskAgainAt_)
    return;
  AskAgainAt_ = Now + RequestTimeout;
  L.AskedAt_ = Now;
  L.AskedEnded_ = L.AskedEnded_ || WantsEnded;
  L.Questions_.push_back(WantsEnded);
  Hooks_.Send_(
      Which,
      StateRequest{Ours, List_.through(), WantsEnded, {}, digestsToSend()});
}

void GossipNode::Impl::take(MonoTime Now, LinkId Which, const StateRequest &M) {
  StateUpdate Answer;
  Answer.StateAgeMs_ = knownAgeMs(Now);
  if (Routing_ && Routing_->Version_ > M.Routing_)
    Answer.Routing_ = Routing_;
  Answer.Parts_ = M.Parts_ & partsHere();
  if (M.Parts_.any())
    Answer.Upstreams_ = List_.parts(M.Parts_);
  else if (M.Digests_)
    Answer.Upstreams_ = List_.sinceDigests(*M.Digests_);
  else
    Answer.Upstreams_ = List_.since(M.Through_);
  Answer.Evacuations_ = Evacuations_.all();
  if (M.IncludeEnded_)
    Answer.Upstreams_.Ended_ = List_.ended();
  ++Counters_.UpdatesSent_;
  Hooks_.Send_(Which, Answer);
}

void GossipNode::Impl::take(MonoTime Now, LinkId Which, const StateUpdate &M) {
  ++Counters_.UpdatesReceived_;
  if (Links_[Which].takeAnswer())
    ++EndedAnswers_;
  if (M.Parts_.any())
    return takeParts(Now, Which, M);
  AskAgainAt_ = Now;
  if (!apply(Now, M.Routing_, M.Upstreams_, M.Evacuations_)) {
    ++Counters_.RevisionGaps_; // the next heartbeat shows that we are behind
    return;
  }
  // The answer was made after the question was sent.
  bool Proved = Now - Links_[Which].AskedAt_ <= MaxEchoAge;
  if (Proved && M.StateAgeMs_ != PeerHeartbeat::UnknownAgeMs)
    confirm(Now, Now - std::chrono::milliseconds(M.StateAgeMs_));
  beatAll(Now);
}

void GossipNode::Impl::take(MonoTime Now, LinkId Which,
                            const UpstreamWarning &M) {
  if (tell(Now, M, &Which))
    Hooks_.OnWarning_(M);
}

/// Sends a warning on every link but the one it came from; false when it went
/// through here a moment ago.
bool GossipNode::Impl::tell(MonoTime Now, const UpstreamWarning &M,
                            const LinkId *From) {
  auto Known = Told_.find(M);
  bool Repeated = Known != Told_.end() && Now < Known->second;
  auto SameKind = [&M](const auto &Item) {
    return Item.first.Kind_ == M.Kind_;
  };
  auto Told = std::count_if(Told_.begin(), Told_.end(), SameKind);
  if (!detail::has(detail::Mechanism::Warnings) || Repeated ||
      static_cast<std::size_t>(Told) >= MaxWarningsPerInterval)
    return false;
  Told_[M] = Now + WarningInterval;
  for (const auto &[Which, L] : Links_) {
    if (From && *From == Which)
      continue;
    ++Counters_.WarningsSent_;
    Hooks_.Send_(Which, M);
  }
  return true;
}

bool GossipNode::Impl::apply(MonoTime Now, const RoutingTablePtr &Routing,
                             const UpstreamBatch &Upstreams,
                             const EvacuationBatch &Evacuations) {
  if (Routing && (!Routing_ || Routing->Version_ > Routing_->Version_)) {
    Routing_ = Routing;
    Hooks_.OnRouting_(Routing_);
  }
  std::vector<UpstreamChange> Changes;
  bool First = List_.through() == 0;
  if (!List_.apply(Upstreams, Changes))
    return false;
  // Before the upstreams are told: openings that wait for these must not go to
  // a hall that is evacuated by the same answer. Not where changes are missing:
  // upstreams of a hall that is taken back may have turned cold.
  applyEvacuations(Evacuations);
  bool Away = !First && Now - KnownAsOf_ > OutageAge;
  if (First || !Changes.empty())
    Hooks_.OnUpstreams_(Changes, Away);
  return true;
}

void GossipNode::Impl::applyEvacuations(const EvacuationBatch &Batch) {
  std::vector<EvacuationChange> Changes;
  Evacuations_.apply(Batch, Changes);
  if (!Changes.empty() && Hooks_.OnEvacuations_)
    Hooks_.OnEvacuations_(Changes);
}

void GossipNode::Impl::staleListRead(MonoTime Now,
                                     const ConfigResponse &Answer) {
  ListParts Parts = Answer.Parts_.value_or(allParts());
  bool Missing = bringsParts(Parts);
  apply(Now, Answer.Routing_, Missing ? Answer.Batch_ : UpstreamBatch{},
        Answer.Evacuations_);
  addParts(Now, Parts);
}

bool GossipNode::Impl::readSucceeded(MonoTime Now, const ConfigResponse &Answer,
                                     MonoTime AsOf) {
  Revision Before = List_.through();
  if (!apply(Now, Answer.Routing_, Answer.Batch_, Answer.Evacuations_))
    return false;
  // Else those that start together all go on reading until they hear of a
  // better reader.
  if (!EverRead_)
    ReadAgainFrom_ = Now + FirstReadPause;
  EverRead_ = true;
  noteReader(Score_, Now, Now);
  Reading_ = Reader_.Score_ == Score_;
  confirm(Now, AsOf);
  if (List_.through() != Before)
    beatAll(Now);
  return true;
}

FleetView GossipNode::Impl::fleetView(MonoTime Now) const {
  FleetView View;
  View.Self_ = Score_;
  for (const Member &M : Members_.all())
    View.Others_.push_back(detail::readerScore(M.Name_));
  View.Balancers_ = fleetSize();
  View.Settled_ = !Leaving_ && Now - PresentSince_ >= RecentStartAge;
  return View;
}

/// A list takes so long that knowledge grows old meanwhile: without word of it
/// all those next in the order would list, too.
void GossipNode::Impl::listReadStarted(MonoTime Now) {
  if (KnownAsOf_ == MonoTime{})
    return;
  noteReader(Score_, Now, Now);
  beatAll(Now);
}

MonoTime GossipNode::Impl::nextReadAt() const {
  bool ReadsAnyway = !detail::has(detail::Mechanism::OneReader);
  if (ReadsAnyway || Reading_)
    return ReadAgainFrom_;
  if (KnownAsOf_ == MonoTime{}) { // peers are about to tell
    auto Place = static_cast<Micros::rep>(Members_.placeOf(Score_));
    return std::max(ReadAgainFrom_, PresentSince_ + StartupReadStep * Place);
  }
  bool OtherReads = Reader_.Score_ < Score_;
  MonoTime ToldAt = OtherReads ? std::max(KnownAsOf_, Reader_.At_) : KnownAsOf_;
  return std::max(ReadAgainFrom_, turnToRead(ToldAt));
}

/// When a balancer should read that was told something new at \p ToldAt last.
/// Its place in the order counts while one before it lives, so that those had
/// their turn. In a part of the fleet that is cut off from them its own members
/// read: within a rule's bound, whatever their places in the whole fleet.
MonoTime GossipNode::Impl::turnToRead(MonoTime ToldAt) const {
  std::size_t Place = Members_.placeOf(Score_);
  if (Place == 0)
    return KnownAsOf_;
  MonoTime From = ToldAt + TakeoverAge;
  if (Links_.empty())
    return From;
  bool FirstHere = Living_.Score_ >= Score_ && !Members_.hearsOfAll();
  if (FirstHere)
    return std::max(From, FirstSince_ + cutOffSpread());
  std::size_t Steps =
      Members_.hearsOfAll() ? std::min(Place, MaxTakeoverSteps) : Place;
  return From + TakeoverStep * static_cast<Micros::rep>(Steps);
}

/// Keeps those apart that hear in the same moment of none before them.
Micros GossipNode::Impl::cutOffSpread() const {
  auto Share = std::ldexp(static_cast<double>(Score_), -64);
  return Micros(static_cast<Micros::rep>(
      Share * static_cast<double>(PartitionJitter.count())));
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
bool GossipNode::readSucceeded(MonoTime Now, const ConfigResponse &Answer,
                               MonoTime AsOf) {
  return Impl_->readSucceeded(Now, Answer, AsOf);
}
void GossipNode::warn(MonoTime Now, const UpstreamWarning &M) {
  Impl_->warn(Now, M);
}
void GossipNode::readFailed() { Impl_->readFailed(); }
void GossipNode::listReadStarted(MonoTime Now) { Impl_->listReadStarted(Now); }
void GossipNode::staleListRead(MonoTime Now, const ConfigResponse &Answer) {
  Impl_->staleListRead(Now, Answer);
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
FleetView GossipNode::fleetView(MonoTime Now) const {
  return Impl_->fleetView(Now);
}
bool GossipNode::isDataHallLost(MonoTime Now) const {
  return Impl_->isDataHallLost(Now);
}
GossipCounters GossipNode::counters() const { return Impl_->counters(); }
std::vector<MemberStatus> GossipNode::peers() const { return Impl_->peers(); }

} // namespace thymewall
