#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::cookieOf;
using detail::PacketFlowRow;

void PacketBalancer::Impl::applyUpstreams(
    MonoTime Now, const std::vector<UpstreamChange> &Changes,
    MonoTime MayReturnUntil) {
  Now_ = Now;
  UpstreamsKnown_ = true;
  BulkUpdate_ = Changes.size() > MaxIndividualEvents;
  for (const UpstreamChange &Change : Changes) {
    if (Change.Ended_)
      addEnded(Change);
    else
      applyEntry(Change, MayReturnUntil);
  }
  BulkUpdate_ = false;
}

/// An entry of a service that no table names is none to use. It must not give a
/// living upstream another address, to which the packets of its flows would go.
void PacketBalancer::Impl::applyEntry(const UpstreamChange &Change,
                                      MonoTime MayReturnUntil) {
  Unnamed_.remove(Change.Incarnation_);
  bool Named = Change.Entry_ &&
               (!Routing_ || Routing_->knowsService(Change.Entry_->Service_));
  if (Named)
    return addOrUpdate(Change);
  if (Change.Entry_)
    Unnamed_.add(Change);
  removeUpstream(Change, MayReturnUntil);
}

void PacketBalancer::Impl::addOrUpdate(const UpstreamChange &Change) {
  const UpstreamEntry &Entry = *Change.Entry_;
  Cookie UpstreamCookie = cookieOf(Entry.Incarnation_);
  auto It = IndexOfCookie_.find(UpstreamCookie);
  bool CookieTaken = It != IndexOfCookie_.end() &&
                     Upstreams_[It->second].Incarnation_ != Entry.Incarnation_;
  // On a cookie collision the earlier upstream keeps it and the later one gets
  // no flows, since their packets could not be distinguished.
  if (CookieTaken)
    return;
  bool IsNew = It == IndexOfCookie_.end();
  if (!IsNew)
    removeFromAddress(It->second);
  std::uint32_t Index =
      Upstreams_.addOrUpdate(static_cast<UpstreamId>(UpstreamCookie),
                             Entry.Address_, Entry.Slots_, Entry.WarmAt_);
  if (UpstreamStates_.size() <= Index)
    UpstreamStates_.resize(Index + 1);
  IndexOfCookie_[UpstreamCookie] = Index;
  Upstreams_[Index].Incarnation_ = Entry.Incarnation_;
  Upstreams_.setLeaving(static_cast<UpstreamId>(UpstreamCookie),
                        Entry.Draining_);
  joinService(Index, Entry.Service_);
  UpstreamState &State = UpstreamStates_[Index];
  bool Restarted = !IsNew && State.StartTimeMs_ != Entry.StartTimeMs_;
  State.StartTimeMs_ = Entry.StartTimeMs_;
  if (Restarted)
    resetState(Index);
  bool NewlyDraining = Entry.Draining_ && !State.Draining_;
  bool Returned = State.Lapsed_ || State.Gone_;
  State.DataHall_ = Entry.DataHall_;
  Upstreams_.setEvacuated(Index, EvacuatedHalls_.count(State.DataHall_) != 0);
  State.ColdUntil_ = Entry.WarmAt_;
  State.Revision_ = Change.Revision_;
  State.Draining_ = Entry.Draining_;
  State.Lapsed_ = false;
  State.Gone_ = false;
  if (Returned)
    State.RecheckAt_ = Now_;
  addToAddress(Index);
  if (Restarted)
    reportEvent(UpstreamEvent::Kind::Restarted, Index);
  else if (IsNew || Returned)
    reportEvent(UpstreamEvent::Kind::Listed, Index);
  if (NewlyDraining)
    reportEvent(UpstreamEvent::Kind::Draining, Index);
}

void PacketBalancer::Impl::applyEvacuations(
    MonoTime Now, const std::vector<EvacuationChange> &Changes) {
  Now_ = Now;
  for (const EvacuationChange &Change : Changes) {
    if (Change.Evacuated_)
      EvacuatedHalls_.insert(Change.DataHall_);
    else
      EvacuatedHalls_.erase(Change.DataHall_);
    for (std::uint32_t Index = 0; Index < UpstreamStates_.size(); ++Index)
      if (UpstreamStates_[Index].DataHall_ == Change.DataHall_)
        Upstreams_.setEvacuated(Index, Change.Evacuated_);
  }
}

/// Adds an upstream that was removed before this balancer started. It may still
/// serve open flows, whose packets need its row; without it, 133 packets were
/// dropped in 10 s of rolling restarts beside a release.
void PacketBalancer::Impl::addEnded(const UpstreamChange &Change) {
  if (indexOf(Change.Incarnation_) != UpstreamTable::None)
    return;
  addOrUpdate(Change);
  std::uint32_t Index = indexOf(Change.Incarnation_);
  if (Index != UpstreamTable::None)
    setGone(Index);
}

std::uint32_t PacketBalancer::Impl::indexOf(Incarnation Which) const {
  auto It = IndexOfCookie_.find(cookieOf(Which));
  bool Found = It != IndexOfCookie_.end() &&
               Upstreams_.rows()[It->second].Incarnation_ == Which;
  return Found ? It->second : UpstreamTable::None;
}

/// Clears the state of an upstream that restarted under the same incarnation.
/// Rows of its flows are dropped without a reset: only the upstream knows which
/// flows it still holds.
void PacketBalancer::Impl::resetState(std::uint32_t Index) {
  std::vector<FlowId> OldFlows;
  Flows_.forEach([&](const PacketFlowRow &Row) {
    if (Row.Upstream_ == Index)
      OldFlows.push_back(Row.Flow_);
  });
  for (FlowId Flow : OldFlows)
    endFlow(*Flows_.find(Flow));
  Upstreams_.resetHealth(Index);
  UnansweredRequests_.clear(Index);
  ShortAnswers_.clear(Index);
  UnansweredOpenings_.clear(Index);
  ColdAdmission_.forget(Upstreams_[Index].Incarnation_);
  UpstreamState NewState;
  UpstreamState &State = UpstreamStates_[Index];
  NewState.Service_ = State.Service_;
  NewState.ListedInService_ = State.ListedInService_;
  NewState.StartTimeMs_ = State.StartTimeMs_;
  NewState.StartedAt_ = Now_;
  State = NewState;
}

void PacketBalancer::Impl::joinService(std::uint32_t Index, ServiceId Service) {
  UpstreamState &State = UpstreamStates_[Index];
  if (State.ListedInService_ && State.Service_ == Service)
    return;
  if (State.ListedInService_)
    leaveService(Index);
  State.Service_ = Service;
  State.ListedInService_ = true;
  Services_[raw(Service)].Members_.push_back(Index);
}

void PacketBalancer::Impl::leaveService(std::uint32_t Index) {
  UpstreamState &State = UpstreamStates_[Index];
  std::vector<std::uint32_t> &Members = Services_[raw(State.Service_)].Members_;
  Members.erase(std::remove(Members.begin(), Members.end(), Index),
                Members.end());
  State.ListedInService_ = false;
}

void PacketBalancer::Impl::removeUpstream(const UpstreamChange &Change,
                                          MonoTime MayReturnUntil) {
  std::uint32_t Index = indexOf(Change.Incarnation_);
  if (Index == UpstreamTable::None || UpstreamStates_[Index].Gone_)
    return;
  UpstreamState &State = UpstreamStates_[Index];
  State.Revision_ = Change.Revision_;
  if (MayReturnUntil <= Now_)
    return setGone(Index);
  State.Lapsed_ = true;
  State.LapsedUntil_ = MayReturnUntil;
  reportEvent(UpstreamEvent::Kind::Lapsed, Index);
}

void PacketBalancer::Impl::setGone(std::uint32_t Index) {
  UpstreamState &State = UpstreamStates_[Index];
  State.Lapsed_ = false;
  State.Gone_ = true;
  // Open flows are still forwarded to it, since it may run on for a while.
  State.ReleaseAt_ = Now_ + Options_.MaxFlowAge_;
  Upstreams_.withdraw(Index);
  reportEvent(UpstreamEvent::Kind::Gone, Index);
  endReplacedUpstreams(Upstreams_[Index].Address_);
}

/// Removes lapsed upstreams that are still missing from a list read after their
/// grace period, and releases the rows of gone ones.
void PacketBalancer::Impl::expireUpstreams() {
  for (std::uint32_t Index = 0; Index < UpstreamStates_.size(); ++Index) {
    UpstreamState &State = UpstreamStates_[Index];
    if (State.Lapsed_ && State.LapsedUntil_ <= ConfirmedAsOf_)
      setGone(Index);
    bool Unused = Upstreams_[Index].OwnFlows_ == 0;
    if (State.Gone_ && State.ReleaseAt_ <= Now_ && Unused)
      forgetUpstream(Index);
  }
}

void PacketBalancer::Impl::forgetUpstream(std::uint32_t Index) {
  UpstreamState &State = UpstreamStates_[Index];
  IndexOfCookie_.erase(cookieOf(Upstreams_[Index].Incarnation_));
  removeFromAddress(Index);
  leaveService(Index);
  UnansweredRequests_.clear(Index);
  ShortAnswers_.clear(Index);
  UnansweredOpenings_.clear(Index);
  ColdAdmission_.forget(Upstreams_[Index].Incarnation_);
  Upstreams_.release(Index);
  State = UpstreamState{};
}

void PacketBalancer::Impl::reportEvent(UpstreamEvent::Kind Kind,
                                       std::uint32_t Index) const {
  bool Individually = !BulkUpdate_ || Kind == UpstreamEvent::Kind::Dead;
  if (!Options_.OnUpstreamEvent_ || !Individually)
    return;
  const UpstreamRow &Up = Upstreams_.rows()[Index];
  Options_.OnUpstreamEvent_({Kind, Up.Incarnation_, Up.Address_,
                             UpstreamStates_[Index].Revision_, 0, 0});
}

std::string_view PacketBalancer::Impl::exclusionReason(std::uint32_t Index,
                                                       MonoTime Now) const {
  const UpstreamState &State = UpstreamStates_[Index];
  if (State.Gone_)
    return "gone";
  if (State.Draining_)
    return "draining";
  if (Upstreams_.rows()[Index].Evacuated_)
    return "evacuated";
  if (Upstreams_.rows()[Index].Dead_)
    return "dead";
  if (Upstreams_.rows()[Index].EjectedUntil_ > Now)
    return "ejected";
  return {};
}

PacketStatus PacketBalancer::Impl::status(MonoTime Now) const {
  PacketStatus S;
  S.RoutingVersion_ = Routing_ ? Routing_->Version_ : 0;
  S.ConfirmedAsOf_ = ConfirmedAsOf_;
  S.Flows_ = Flows_.size();
  S.MemoryBytes_ = Flows_.memoryBytes();
  S.UnnamedUpstreams_ = Unnamed_.size();
  S.EvacuatedHalls_.assign(EvacuatedHalls_.begin(), EvacuatedHalls_.end());
  for (const auto &[UpstreamCookie, Index] : IndexOfCookie_) {
    const UpstreamState &State = UpstreamStates_[Index];
    const UpstreamRow &Row = Upstreams_.rows()[Index];
    S.Upstreams_.push_back({Row.Incarnation_, State.DataHall_, State.Service_,
                            Row, exclusionReason(Index, Now)});
  }
  S.Apertures_ = apertureStatus();
  S.Admission_ = admissionStatus(Now);
  return S;
}

} // namespace thymewall
