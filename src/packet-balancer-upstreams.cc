#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::cookieOf;
using detail::PacketFlowRow;

void PacketBalancer::Impl::applyUpstreams(
    MonoTime Now, const std::vector<UpstreamChange> &Changes, bool MayReturn) {
  Now_ = Now;
  ListKnown_ = true;
  InBulk_ = Changes.size() > NamedOneByOne;
  for (const UpstreamChange &Change : Changes) {
    if (Change.Ended_)
      putEnded(Change);
    else if (Change.Entry_)
      put(Change);
    else
      end(Change, MayReturn);
  }
  InBulk_ = false;
}

void PacketBalancer::Impl::put(const UpstreamChange &Change) {
  const UpstreamEntry &Entry = *Change.Entry_;
  Cookie Mark = cookieOf(Entry.Incarnation_);
  auto Known = IndexOfCookie_.find(Mark);
  bool Taken = Known != IndexOfCookie_.end() &&
               Upstreams_[Known->second].Incarnation_ != Entry.Incarnation_;
  // Two upstreams with one cookie: the earlier one keeps it, and the later one
  // gets no flows, since their packets could not be told apart.
  if (Taken)
    return;
  bool Fresh = Known == IndexOfCookie_.end();
  if (!Fresh)
    leaveAddress(Known->second);
  std::uint32_t Index = Upstreams_.declareOne(
      static_cast<UpstreamId>(Mark), Entry.At_, Entry.Slots_, Entry.WarmAt_);
  if (Details_.size() <= Index)
    Details_.resize(Index + 1);
  IndexOfCookie_[Mark] = Index;
  Upstreams_[Index].Incarnation_ = Entry.Incarnation_;
  Upstreams_.setLeaving(static_cast<UpstreamId>(Mark), Entry.Draining_);
  joinService(Index, Entry.Service_);
  Detail &D = Details_[Index];
  bool Restarted = !Fresh && D.BornMs_ != Entry.BornMs_;
  D.BornMs_ = Entry.BornMs_;
  if (Restarted)
    restart(Index);
  bool NewlyDraining = Entry.Draining_ && !D.Draining_;
  bool Returned = D.Lapsed_ || D.Gone_;
  D.DataHall_ = Entry.DataHall_;
  Upstreams_.setEvacuated(Index, EvacuatedHalls_.count(D.DataHall_) != 0);
  D.ColdUntil_ = Entry.WarmAt_;
  D.Revision_ = Change.At_;
  D.Draining_ = Entry.Draining_;
  D.Lapsed_ = false;
  D.Gone_ = false;
  if (Returned)
    D.RecheckAt_ = Now_;
  joinAddress(Index);
  if (Restarted)
    believe(Belief::Kind::Restarted, Index);
  else if (Fresh || Returned)
    believe(Belief::Kind::Listed, Index);
  if (NewlyDraining)
    believe(Belief::Kind::Draining, Index);
}

void PacketBalancer::Impl::applyEvacuations(
    MonoTime Now, const std::vector<EvacuationChange> &Changes) {
  Now_ = Now;
  for (const EvacuationChange &Change : Changes) {
    if (Change.Evacuated_)
      EvacuatedHalls_.insert(Change.DataHall_);
    else
      EvacuatedHalls_.erase(Change.DataHall_);
    for (std::uint32_t Index = 0; Index < Details_.size(); ++Index)
      if (Details_[Index].DataHall_ == Change.DataHall_)
        Upstreams_.setEvacuated(Index, Change.Evacuated_);
  }
}

/// A peer tells of an upstream that ended before this balancer heard of it. It
/// may serve its flows on for many seconds; without its row their packets went
/// nowhere (133 in ten seconds of restarts beside releases).
void PacketBalancer::Impl::putEnded(const UpstreamChange &Change) {
  if (indexOf(Change.Incarnation_) != UpstreamTable::None)
    return;
  put(Change);
  std::uint32_t Index = indexOf(Change.Incarnation_);
  if (Index != UpstreamTable::None)
    setGone(Index);
}

std::uint32_t PacketBalancer::Impl::indexOf(Incarnation Which) const {
  auto Known = IndexOfCookie_.find(cookieOf(Which));
  bool Found = Known != IndexOfCookie_.end() &&
               Upstreams_.rows()[Known->second].Incarnation_ == Which;
  return Found ? Known->second : UpstreamTable::None;
}

/// The upstream has started again under its incarnation: what was found out
/// about the earlier start says nothing of this one. Open flows are forgotten
/// and not reset: their packets reach the new start, which alone knows which of
/// them it holds (one opened since its start looks the same from here).
void PacketBalancer::Impl::restart(std::uint32_t Index) {
  std::vector<FlowId> Earlier;
  Flows_.forEach([&](const PacketFlowRow &Row) {
    if (Row.Upstream_ == Index)
      Earlier.push_back(Row.Flow_);
  });
  for (FlowId Flow : Earlier)
    endFlow(*Flows_.find(Flow));
  Upstreams_.forgetBeliefs(Index);
  Evidence_.clear(Index);
  ShortAnswers_.clear(Index);
  Cold_.forget(Upstreams_[Index].Incarnation_);
  Detail Fresh;
  Detail &D = Details_[Index];
  Fresh.Service_ = D.Service_;
  Fresh.Member_ = D.Member_;
  Fresh.BornMs_ = D.BornMs_;
  Fresh.StartedAt_ = Now_;
  D = Fresh;
}

void PacketBalancer::Impl::joinService(std::uint32_t Index, ServiceId Service) {
  Detail &D = Details_[Index];
  if (D.Member_ && D.Service_ == Service)
    return;
  if (D.Member_)
    leaveService(Index);
  D.Service_ = Service;
  D.Member_ = true;
  Services_[raw(Service)].Members_.push_back(Index);
}

void PacketBalancer::Impl::leaveService(std::uint32_t Index) {
  Detail &D = Details_[Index];
  std::vector<std::uint32_t> &Of = Services_[raw(D.Service_)].Members_;
  Of.erase(std::remove(Of.begin(), Of.end(), Index), Of.end());
  D.Member_ = false;
}

void PacketBalancer::Impl::end(const UpstreamChange &Change, bool MayReturn) {
  std::uint32_t Index = indexOf(Change.Incarnation_);
  if (Index == UpstreamTable::None || Details_[Index].Gone_)
    return;
  Detail &D = Details_[Index];
  D.Revision_ = Change.At_;
  if (!MayReturn)
    return setGone(Index);
  D.Lapsed_ = true;
  D.LapsedUntil_ = Now_ + LapseLimit;
  believe(Belief::Kind::Lapsed, Index);
}

void PacketBalancer::Impl::setGone(std::uint32_t Index) {
  Detail &D = Details_[Index];
  D.Lapsed_ = false;
  D.Gone_ = true;
  // Its flows are still sent to it: it may live on for a while.
  D.ForgetAt_ = Now_ + Options_.FlowLimit_;
  Upstreams_.withdraw(Index);
  believe(Belief::Kind::Gone, Index);
  settleAddress(Upstreams_[Index].At_);
}

/// Ends what had a time: lapsed upstreams are gone, and gone ones forgotten.
void PacketBalancer::Impl::expireUpstreams() {
  for (std::uint32_t Index = 0; Index < Details_.size(); ++Index) {
    Detail &D = Details_[Index];
    if (D.Lapsed_ && D.LapsedUntil_ <= Now_)
      setGone(Index);
    bool Unused = Upstreams_[Index].OwnFlows_ == 0;
    if (D.Gone_ && D.ForgetAt_ <= Now_ && Unused)
      forget(Index);
  }
}

void PacketBalancer::Impl::forget(std::uint32_t Index) {
  Detail &D = Details_[Index];
  IndexOfCookie_.erase(cookieOf(Upstreams_[Index].Incarnation_));
  leaveAddress(Index);
  leaveService(Index);
  Evidence_.clear(Index);
  ShortAnswers_.clear(Index);
  Cold_.forget(Upstreams_[Index].Incarnation_);
  Upstreams_.release(Index);
  D = Detail{};
}

void PacketBalancer::Impl::believe(Belief::Kind Kind,
                                   std::uint32_t Index) const {
  bool Named = !InBulk_ || Kind == Belief::Kind::Dead;
  if (!Options_.OnBelief_ || !Named)
    return;
  const UpstreamRow &Up = Upstreams_.rows()[Index];
  Options_.OnBelief_(
      {Kind, Up.Incarnation_, Up.At_, Details_[Index].Revision_, 0, 0});
}

std::string_view PacketBalancer::Impl::whyNotChosen(std::uint32_t Index,
                                                    MonoTime Now) const {
  const Detail &D = Details_[Index];
  if (D.Gone_)
    return "gone";
  if (D.Draining_)
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
  S.KnownAsOf_ = KnownAsOf_;
  S.Flows_ = Flows_.size();
  S.MemoryBytes_ = Flows_.memoryBytes();
  S.EvacuatedHalls_.assign(EvacuatedHalls_.begin(), EvacuatedHalls_.end());
  for (const auto &[Mark, Index] : IndexOfCookie_) {
    const Detail &D = Details_[Index];
    const UpstreamRow &Row = Upstreams_.rows()[Index];
    S.Upstreams_.push_back({Row.Incarnation_, D.DataHall_, D.Service_, Row,
                            whyNotChosen(Index, Now)});
  }
  return S;
}

} // namespace thymewall
