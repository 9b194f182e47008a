#include "mechanism.h"
#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::cookieOf;
using detail::has;
using detail::Mechanism;
using detail::PacketFlowRow;

namespace {

/// An upstream that was checked is not checked again for this long.
constexpr Micros CheckEvery = std::chrono::milliseconds(1000);
/// A dead upstream is checked again after pauses that double between these. A
/// start of an upstream has a new incarnation, so that the same one comes back
/// only after a cut, which lasts seconds.
constexpr Micros FirstRecheck = std::chrono::milliseconds(1000);
constexpr Micros LongestRecheck = std::chrono::milliseconds(4000);

/// A request unanswered for so many times the usual, with no other answer of
/// its upstream since it was sent, is one that the upstream sits on: work of
/// the services of today takes up to 6 times its mean, and never less than the
/// second, so that a caller's packet may be lost twice.
constexpr int StalledTimes = 8;
constexpr Micros StalledAfter = std::chrono::milliseconds(600);
/// New flows go elsewhere for this long, doubled with each stall in a row up to
/// this many times.
constexpr Micros StallEjection = std::chrono::milliseconds(2000);
constexpr std::uint32_t LongestStall = 8;

Micros recheckPause(std::uint32_t Rechecks) {
  Micros Pause = FirstRecheck;
  for (; Rechecks > 0 && Pause < LongestRecheck; --Rechecks)
    Pause *= 2;
  return Pause;
}

} // namespace

void PacketBalancer::Impl::suspect(std::uint32_t Index) {
  if (!has(Mechanism::OpeningEjection))
    return;
  bool Before = Upstreams_[Index].EjectedUntil_ > Now_;
  // Flows differ enough from balancer to balancer to spread the returns.
  double Jitter = static_cast<double>(raw(Upstreams_[Index].Id_) % 1000) / 1000;
  Upstreams_.failed(Index, Now_, Jitter);
  if (!Before && Upstreams_[Index].EjectedUntil_ > Now_)
    believe(Belief::Kind::Ejected, Index);
}

/// A packet got no answer in the time after which it is sent again.
void PacketBalancer::Impl::check(std::uint32_t Index) {
  Detail &D = Details_[Index];
  bool Wanted =
      Options_.OnCheck_ && !D.Draining_ && !D.Ended_ && has(Mechanism::Checks);
  if (!Wanted || D.NextCheckAt_ > Now_)
    return;
  D.NextCheckAt_ = Now_ + CheckEvery;
  ++Counters_.Checks_;
  Options_.OnCheck_({Upstreams_[Index].Incarnation_, Upstreams_[Index].At_});
}

/// Checks those that peers found dead, and the dead that are still published.
/// Ticks of different balancers spread over 250 ms, and so do their checks.
void PacketBalancer::Impl::checkDue() {
  for (std::uint32_t Index = 0; Index < Details_.size(); ++Index) {
    Detail &D = Details_[Index];
    bool RecheckDue =
        Upstreams_[Index].Dead_ && !D.Gone_ && D.RecheckAt_ <= Now_;
    if (RecheckDue)
      D.RecheckAt_ = Now_ + recheckPause(++D.Rechecks_);
    if (RecheckDue || D.CheckWanted_)
      check(Index);
    D.CheckWanted_ = false;
  }
}

void PacketBalancer::Impl::warned(MonoTime Now, const UpstreamWarning &M) {
  Now_ = Now;
  std::uint32_t Index = indexOf(M.Upstream_);
  if (Index == UpstreamTable::None || Details_[Index].Gone_ ||
      Upstreams_[Index].Dead_)
    return;
  Detail &D = Details_[Index];
  if (M.Kind_ == UpstreamWarning::Kind::Dead)
    D.CheckWanted_ = true;
  else if (Now - D.AnswerAt_ > Services_[raw(D.Service_)].Answers_.times(
                                   StalledTimes, StalledAfter))
    setStalled(Index);
}

void PacketBalancer::Impl::noteRequest(std::uint32_t Index) {
  Detail &D = Details_[Index];
  if (D.WaitingSince_ == MonoTime{})
    D.WaitingSince_ = Now_;
}

void PacketBalancer::Impl::noteAnswer(std::uint32_t Index) {
  Detail &D = Details_[Index];
  D.AnswerAt_ = Now_;
  D.WaitingSince_ = MonoTime{};
  D.Stalls_ = 0;
}

void PacketBalancer::Impl::noteStalls() {
  for (std::uint32_t Index = 0; Index < Details_.size(); ++Index) {
    if (!Serving_) // the answer is seen by another balancer
      Details_[Index].WaitingSince_ = MonoTime{};
    if (waitsTooLong(Index))
      setStalled(Index);
  }
}

/// Judged by what the service usually takes: nothing is known of a service
/// whose first answer has not come.
bool PacketBalancer::Impl::waitsTooLong(std::uint32_t Index) const {
  const Detail &D = Details_[Index];
  auto Of = Services_.find(raw(D.Service_));
  bool Waits = D.WaitingSince_ != MonoTime{};
  if (!Waits || Of == Services_.end() || !Of->second.Answers_.known())
    return false;
  return Now_ - D.WaitingSince_ >
         Of->second.Answers_.times(StalledTimes, StalledAfter);
}

/// A soft judgement: other upstreams take the new flows, nothing is reset.
void PacketBalancer::Impl::setStalled(std::uint32_t Index) {
  Detail &D = Details_[Index];
  D.WaitingSince_ = MonoTime{}; // the same request counts once
  if (!has(Mechanism::Stalls))
    return;
  if (Upstreams_[Index].EjectedUntil_ > Now_)
    return; // others see what led to this ejection only now
  std::uint32_t Times = std::min(LongestStall, 1U << std::min(D.Stalls_, 8U));
  ++D.Stalls_;
  ++Counters_.Stalled_;
  Upstreams_.eject(Index, Now_ + StallEjection * Times);
  believe(Belief::Kind::Stalled, Index);
}

void PacketBalancer::Impl::setAlive(std::uint32_t Index) {
  if (Details_[Index].Ended_)
    return; // the other upstream at its address answered
  Upstreams_.setDead(Index, false);
  believe(Belief::Kind::Checked, Index);
}

void PacketBalancer::Impl::setDead(std::uint32_t Index) {
  if (!Upstreams_[Index].Dead_) {
    ++Counters_.Dead_;
    Upstreams_.setDead(Index, true);
    Details_[Index].Rechecks_ = 0;
    Details_[Index].RecheckAt_ = Now_ + recheckPause(0);
    believe(Belief::Kind::Dead, Index);
  }
  giveUpFlows(Index);
}

void PacketBalancer::Impl::checked(MonoTime Now, Incarnation Upstream,
                                   CheckResult Result, MonoTime Began) {
  Now_ = Now;
  std::uint32_t Index = indexOf(Upstream);
  if (Index == UpstreamTable::None)
    return;
  // Whatever the check saw, progress of a flow since then is life.
  bool Progress = Details_[Index].ProgressAt_ >= Began;
  if (Result == CheckResult::Unclear)
    return;
  if (Result == CheckResult::Connected || Progress)
    return setAlive(Index);
  setDead(Index);
}

/// An address is handed on only when the upstream that had it has ended, so of
/// two upstreams at one address the one published earlier has ended.
void PacketBalancer::Impl::noteAddress(std::uint32_t Index) {
  auto [Item, First] = HolderOf_.try_emplace(Upstreams_[Index].At_, Index);
  if (First || Item->second == Index)
    return;
  std::uint32_t Other = Item->second;
  bool OtherLater = Details_[Other].Revision_ > Details_[Index].Revision_;
  if (!OtherLater)
    Item->second = Index;
  setEnded(OtherLater ? Index : Other);
}

void PacketBalancer::Impl::setEnded(std::uint32_t Index) {
  if (Details_[Index].Ended_)
    return;
  Details_[Index].Ended_ = true;
  setDead(Index);
}

/// After a late wake; what has ended stays so.
void PacketBalancer::Impl::forgetBeliefs() {
  Upstreams_.forgetBeliefs();
  for (std::uint32_t Index = 0; Index < Details_.size(); ++Index) {
    Details_[Index].WaitingSince_ = MonoTime{};
    if (Details_[Index].Ended_)
      Upstreams_.setDead(Index, true);
  }
}

void PacketBalancer::Impl::giveUpFlows(std::uint32_t Index) {
  if (!Options_.OnReset_)
    return;
  std::vector<FlowId> Lost;
  Flows_.forEach([&](const PacketFlowRow &Row) {
    if (Row.Upstream_ == Index && Row.Open_)
      Lost.push_back(Row.Flow_);
  });
  for (FlowId Flow : Lost) {
    PacketFlowRow *Row = Flows_.find(Flow);
    ++Counters_.Resets_;
    Options_.OnReset_({Row->Caller_, Row->Service_, Row->Acknowledged_,
                       ErrorKind::UpstreamDead});
    endFlow(*Row);
  }
}

void PacketBalancer::Impl::applyUpstreams(
    MonoTime Now, const std::vector<UpstreamChange> &Changes, bool MayReturn) {
  Now_ = Now;
  ListKnown_ = true;
  for (const UpstreamChange &Change : Changes) {
    if (Change.Ended_)
      putEnded(Change);
    else if (Change.Entry_)
      put(Change);
    else
      end(Change, MayReturn);
  }
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
  std::uint32_t Index = Upstreams_.declareOne(
      static_cast<UpstreamId>(Mark), Entry.At_, Entry.Slots_, Entry.WarmAt_);
  if (Details_.size() <= Index)
    Details_.resize(Index + 1);
  bool Fresh = Known == IndexOfCookie_.end();
  IndexOfCookie_[Mark] = Index;
  Upstreams_[Index].Incarnation_ = Entry.Incarnation_;
  Upstreams_.setLeaving(static_cast<UpstreamId>(Mark), Entry.Draining_);
  joinService(Index, Entry.Service_);
  Detail &D = Details_[Index];
  bool NewlyDraining = Entry.Draining_ && !D.Draining_;
  bool Returned = D.Lapsed_ || D.Gone_;
  D.DataHall_ = Entry.DataHall_;
  D.Revision_ = Change.At_;
  D.Draining_ = Entry.Draining_;
  D.Lapsed_ = false;
  D.Gone_ = false;
  if (Returned)
    D.RecheckAt_ = Now_;
  noteAddress(Index);
  if (Fresh || Returned)
    believe(Belief::Kind::Listed, Index);
  if (NewlyDraining)
    believe(Belief::Kind::Draining, Index);
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
  auto Holder = HolderOf_.find(Upstreams_[Index].At_);
  if (Holder != HolderOf_.end() && Holder->second == Index)
    HolderOf_.erase(Holder);
  leaveService(Index);
  Upstreams_.release(Index);
  D = Detail{};
}

void PacketBalancer::Impl::believe(Belief::Kind Kind,
                                   std::uint32_t Index) const {
  if (!Options_.OnBelief_)
    return;
  const UpstreamRow &Up = Upstreams_.rows()[Index];
  Options_.OnBelief_(
      {Kind, Up.Incarnation_, Up.At_, Details_[Index].Revision_});
}

std::string_view PacketBalancer::Impl::whyNotChosen(std::uint32_t Index,
                                                    MonoTime Now) const {
  const Detail &D = Details_[Index];
  if (D.Gone_)
    return "gone";
  if (D.Draining_)
    return "draining";
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
  S.MemoryBytes_ = Flows_.memory();
  for (const auto &[Mark, Index] : IndexOfCookie_) {
    const Detail &D = Details_[Index];
    const UpstreamRow &Row = Upstreams_.rows()[Index];
    S.Upstreams_.push_back({Row.Incarnation_, D.DataHall_, D.Service_, Row,
                            whyNotChosen(Index, Now)});
  }
  return S;
}

} // namespace thymewall
