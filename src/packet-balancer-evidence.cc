#include "mechanism.h"
#include "packet-balancer-impl.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;
using detail::MinStallTimeout;
using detail::PacketFlowRow;

namespace {

/// Minimum time between two checks of an upstream.
constexpr Micros MinCheckInterval = std::chrono::milliseconds(1000);
/// Bounds of the exponential backoff between checks of a dead upstream. They
/// find upstreams that are reachable again after a network partition; restarts
/// are published.
constexpr Micros MinRecheckDelay = std::chrono::milliseconds(1000);
constexpr Micros MaxRecheckDelay = std::chrono::milliseconds(4000);

/// A request counts as unanswered after this multiple of the service's average
/// delay, but not before `MinStallTimeout`, if its upstream has sent no answer
/// since. The factor is above the spread of normal delays: work takes up to 6
/// times its mean.
constexpr int StallDelayFactor = 8;
/// Ejection time, which doubles with each consecutive ejection up to
/// `MaxEjectionMultiplier` times its base.
constexpr Micros BaseEjectionTime = std::chrono::milliseconds(2000);
constexpr std::uint32_t MaxEjectionMultiplier = 8;
/// Minimum number of requests reported by peers while the fabric moves flows,
/// so that one wrong report does not eject an upstream in the whole fleet.
constexpr std::size_t MinPeerEvidence = 2;
/// Minimum number of short answers for an ejection; correct answers may be
/// short occasionally.
constexpr std::size_t MinShortAnswers = 2;
/// Minimum share of short answers in `FailureEvidence::CountingWindow` for the
/// first ejection of an upstream. An overloaded upstream still serves most
/// requests; ejecting it would overload the others in turn. At twice the usual
/// load that lowered the users' measure of a day from 0.981 to 0.973.
constexpr double MinShortAnswerShare = 0.12;
/// Share of healthy upstreams that short answers may eject by chance. Smaller
/// than for unanswered requests because full queues cause a few short answers
/// at every upstream: a fortieth of a service would add to the load of the
/// others twice a second.
constexpr double FalsePositiveShare = 0.0005;

Micros recheckDelay(std::uint32_t Rechecks) {
  Micros Delay = MinRecheckDelay;
  for (; Rechecks > 0 && Delay < MaxRecheckDelay; --Rechecks)
    Delay *= 2;
  return Delay;
}

} // namespace

void PacketBalancer::Impl::recordOpeningFailure(std::uint32_t Index,
                                                FlowId Flow) {
  if (!isEnabled(Mechanism::OpeningEjection))
    return;
  if (isGuarded() && isOpeningFailureExpected(Index, Flow)) {
    ++Counters_.HeldBack_;
    return;
  }
  bool WasEjected = Upstreams_[Index].EjectedUntil_ > Now_;
  // The jitter is the same at every balancer; their flows differ enough to
  // spread the returns.
  double Jitter = static_cast<double>(raw(Upstreams_[Index].Id_) % 1000) / 1000;
  Upstreams_.recordFailure(Index, Now_, Jitter);
  if (!WasEjected && Upstreams_[Index].EjectedUntil_ > Now_)
    reportEvent(UpstreamEvent::Kind::Ejected, Index);
}

/// Requests a liveness check of an upstream that left a packet unanswered.
void PacketBalancer::Impl::requestCheck(std::uint32_t Index) {
  UpstreamState &State = UpstreamStates_[Index];
  bool Allowed = Options_.OnCheck_ && !State.Draining_ && !State.Replaced_ &&
                 isEnabled(Mechanism::LivenessChecks);
  if (!Allowed || State.NextCheckAt_ > Now_)
    return;
  State.NextCheckAt_ = Now_ + MinCheckInterval;
  ++Counters_.Checks_;
  Options_.OnCheck_(
      {Upstreams_[Index].Incarnation_, Upstreams_[Index].Address_});
}

/// Checks upstreams that peers reported dead and rechecks the dead ones that
/// are still published. Balancers tick at different times, which spreads the
/// checks over `TickInterval`.
void PacketBalancer::Impl::runDueChecks() {
  for (std::uint32_t Index = 0; Index < UpstreamStates_.size(); ++Index) {
    UpstreamState &State = UpstreamStates_[Index];
    bool RecheckDue =
        Upstreams_[Index].Dead_ && !State.Gone_ && State.RecheckAt_ <= Now_;
    if (RecheckDue)
      State.RecheckAt_ = Now_ + recheckDelay(++State.Rechecks_);
    if (RecheckDue || State.CheckRequested_)
      requestCheck(Index);
    State.CheckRequested_ = false;
  }
}

void PacketBalancer::Impl::onPeerWarning(MonoTime Now,
                                         const UpstreamWarning &M) {
  Now_ = Now;
  std::uint32_t Index = indexOf(M.Upstream_);
  if (Index == UpstreamTable::None || UpstreamStates_[Index].Gone_ ||
      Upstreams_[Index].Dead_)
    return;
  UpstreamState &State = UpstreamStates_[Index];
  if (M.StartTimeMs_ != State.StartTimeMs_)
    return; // about another start of the upstream
  if (M.Kind_ == UpstreamWarning::Kind::Dead)
    State.CheckRequested_ = true;
  else if (M.Kind_ == UpstreamWarning::Kind::Failing)
    recordShortAnswer(Index, M.Flow_, false);
  else if (Now - State.LastAnswerAt_ >
           stallTimeout(Index).value_or(MinStallTimeout))
    recordUnansweredRequest(Index, M.Flow_, false);
}

/// Sends evidence against an upstream to peers.
void PacketBalancer::Impl::warn(std::uint32_t Index, UpstreamWarning::Kind Kind,
                                FlowId Flow) const {
  if (Options_.OnWarning_)
    Options_.OnWarning_({Upstreams_.rows()[Index].Incarnation_, Kind, Flow,
                         UpstreamStates_[Index].StartTimeMs_});
}

void PacketBalancer::Impl::recordRequest(std::uint32_t Index, FlowId Flow) {
  std::vector<PendingRequest> &Pending =
      UpstreamStates_[Index].PendingRequests_;
  bool AlreadyPending =
      std::any_of(Pending.begin(), Pending.end(),
                  [Flow](const PendingRequest &R) { return R.Flow_ == Flow; });
  if (!AlreadyPending && Pending.size() < FailureEvidence::MaxRequests)
    Pending.push_back({Flow, Now_});
}

void PacketBalancer::Impl::recordAnswer(std::uint32_t Index) {
  UpstreamState &State = UpstreamStates_[Index];
  State.LastAnswerAt_ = Now_;
  State.PendingRequests_.clear();
  State.HasLateRequest_ = false;
  State.StallEjections_ = 0;
  UnansweredRequests_.resetCount(Index);
}

void PacketBalancer::Impl::detectStalls() {
  UnansweredRequests_.expire(Now_);
  ShortAnswers_.expire(Now_);
  UnansweredOpenings_.expire(Now_);
  for (auto &[Id, Service] : Services_) {
    Service.RecentAnswers_.tick();
    Service.RecentShortAnswers_.tick();
    Service.RecentOpenings_.tick();
    Service.RecentUnansweredOpenings_.tick();
  }
  if (isGuarded())
    recordStallSymptoms();
  for (std::uint32_t Index = 0; Index < UpstreamStates_.size(); ++Index) {
    std::vector<PendingRequest> &Pending =
        UpstreamStates_[Index].PendingRequests_;
    if (!Serving_) // another balancer sees the answers
      Pending.clear();
    std::optional<Micros> Limit = stallTimeout(Index);
    if (Pending.empty() || !Limit)
      continue;
    auto FirstLate = std::stable_partition(
        Pending.begin(), Pending.end(),
        [&](const PendingRequest &R) { return Now_ - R.Since_ <= *Limit; });
    std::vector<PendingRequest> Unanswered(FirstLate, Pending.end());
    Pending.erase(FirstLate, Pending.end());
    for (const PendingRequest &R : Unanswered)
      recordUnansweredRequest(Index, R.Flow_, true);
  }
}

/// Returns the answer timeout of the upstream's service, or nothing before its
/// first answer.
std::optional<Micros>
PacketBalancer::Impl::stallTimeout(std::uint32_t Index) const {
  auto Service = Services_.find(raw(UpstreamStates_[Index].Service_));
  return Service == Services_.end() ? std::nullopt
                                    : stallTimeout(Service->second);
}

std::optional<Micros>
PacketBalancer::Impl::stallTimeout(const ServiceState &Service) {
  if (!Service.AnswerDelay_.hasSamples())
    return std::nullopt;
  return Service.AnswerDelay_.multiple(StallDelayFactor, MinStallTimeout);
}

/// Handles a request that was left unanswered here or at a peer.
void PacketBalancer::Impl::recordUnansweredRequest(std::uint32_t Index,
                                                   FlowId Flow,
                                                   bool SeenLocally) {
  if (!isEnabled(Mechanism::StallEjection))
    return;
  UnansweredRequests_.recordSymptom(Now_, Index);
  if (Upstreams_[Index].EjectedUntil_ > Now_)
    return; // likely the same stall that caused the ejection
  if (!UnansweredRequests_.add(Now_, Index, Flow))
    return;
  if (SeenLocally)
    warn(Index, UpstreamWarning::Kind::Stalled, Flow);
  std::size_t Needed = requiredEvidence(Index, SeenLocally);
  std::size_t Unanswered = UnansweredRequests_.count(Now_, Index);
  if (Unanswered < Needed)
    return;
  if (isHeldBack(UnansweredRequests_, Index))
    ++Counters_.HeldBack_;
  else
    ejectTemporarily(Index, UpstreamEvent::Kind::Stalled,
                     UpstreamStates_[Index].StallEjections_, Unanswered,
                     Needed);
}

/// Returns the number of unanswered requests that ejects an upstream. One is
/// enough unless the fabric may be moving flows: waiting for a second one would
/// lose another request at every stalled upstream.
std::size_t PacketBalancer::Impl::requiredEvidence(std::uint32_t Index,
                                                   bool SeenLocally) const {
  bool Settled = Now_ >= ReroutesUntil_;
  auto Service = Services_.find(raw(UpstreamStates_[Index].Service_));
  if (Settled || Service == Services_.end() ||
      !isEnabled(Mechanism::CorrelatedSilence))
    return 1;
  std::size_t Needed =
      UnansweredRequests_.threshold(Now_, Index, Service->second.Members_);
  return SeenLocally ? Needed : std::max(Needed, MinPeerEvidence);
}

/// Checks the size of the answer to the request of \p Row.
void PacketBalancer::Impl::classifyAnswer(const PacketFlowRow &Row,
                                          const Packet &P) {
  if (!isEnabled(Mechanism::ShortAnswerEjection))
    return;
  UpstreamState &State = UpstreamStates_[Row.Upstream_];
  ServiceState &Service = Services_[raw(State.Service_)];
  Service.RecentAnswers_.add();
  std::uint32_t Bytes = P.Acknowledged_ - Row.Acknowledged_;
  bool IsShort = AnswerSizes_.recordAndCheckShort(
      P.Service_, Upstreams_[Row.Upstream_].Incarnation_, Bytes);
  Counters_.BaselinesDiscarded_ = AnswerSizes_.discardedBaselines();
  if (IsShort) {
    Service.RecentShortAnswers_.add();
    ++State.ShortAnswerRun_;
    recordShortAnswer(Row.Upstream_, Row.Flow_, true);
  } else {
    State.FailingEjections_ = 0;
    State.ShortAnswerRun_ = 0;
  }
}

/// Handles a short answer seen here or at a peer. The threshold depends on the
/// rest of the service: where all upstreams give short answers, none is at
/// fault.
void PacketBalancer::Impl::recordShortAnswer(std::uint32_t Index, FlowId Flow,
                                             bool SeenLocally) {
  ShortAnswers_.recordSymptom(Now_, Index);
  if (Upstreams_[Index].EjectedUntil_ > Now_)
    return; // the request was sent before the ejection
  bool Added = ShortAnswers_.add(Now_, Index, Flow);
  // Beyond the bound of the count, the length of the run may still decide.
  if (!Added && !(SeenLocally && isGuarded()))
    return;
  if (SeenLocally && Added)
    warn(Index, UpstreamWarning::Kind::Failing, Flow);
  UpstreamState &State = UpstreamStates_[Index];
  auto Service = Services_.find(raw(State.Service_));
  if (Service == Services_.end())
    return;
  std::size_t ByChance = ShortAnswers_.threshold(
      Now_, Index, Service->second.Members_, FalsePositiveShare);
  std::size_t Needed = std::max(ByChance, MinShortAnswers);
  if (State.FailingEjections_ == 0)
    Needed = std::max(
        Needed, static_cast<std::size_t>(std::ceil(
                    MinShortAnswerShare * expectedAnswers(Service->second))));
  std::size_t Evidence = ShortAnswers_.count(Now_, Index);
  if (Evidence < std::min(Needed, FailureEvidence::MaxRequests))
    return;
  std::optional<std::size_t> InOverload =
      overloadThreshold(ShortAnswers_, Index);
  // At a high rate, `Needed` exceeds `MaxRequests`.
  bool IsOutlier =
      InOverload &&
      !isExpectedRun(State.ShortAnswerRun_, Service->second.RecentShortAnswers_,
                     Service->second.RecentAnswers_);
  if (Evidence < Needed && !IsOutlier)
    return;
  if (InOverload && Evidence < *InOverload && !IsOutlier)
    ++Counters_.HeldBack_;
  else
    ejectTemporarily(Index, UpstreamEvent::Kind::Failing,
                     State.FailingEjections_, Evidence, Needed);
}

/// Gives an upstream no new flows for a while. Open flows are not reset.
void PacketBalancer::Impl::ejectTemporarily(std::uint32_t Index,
                                            UpstreamEvent::Kind Reason,
                                            std::uint32_t &Consecutive,
                                            std::size_t Evidence,
                                            std::size_t Needed) {
  UpstreamState &State = UpstreamStates_[Index];
  std::uint32_t Factor =
      std::min(MaxEjectionMultiplier, 1U << std::min(Consecutive, 8U));
  ++Consecutive;
  ++(Reason == UpstreamEvent::Kind::Stalled ? Counters_.Stalled_
                                            : Counters_.Failing_);
  Upstreams_.eject(Index, Now_ + BaseEjectionTime * Factor);
  // Slow start: otherwise the whole fleet would resume at once, and an upstream
  // that is still stalled would lose as many requests as at first: 2,210 of
  // them in place of 2,028 where a fifth of 480 upstreams hangs for 7 s, twice.
  if (isEnabled(Mechanism::SlowStartAfterStall))
    Upstreams_.beginSlowStart(Index, Upstreams_[Index].EjectedUntil_);
  if (Options_.OnUpstreamEvent_)
    Options_.OnUpstreamEvent_({Reason, Upstreams_[Index].Incarnation_,
                               Upstreams_[Index].Address_, State.Revision_,
                               Evidence, Needed});
}

void PacketBalancer::Impl::setAlive(std::uint32_t Index) {
  if (UpstreamStates_[Index].Replaced_)
    return; // the upstream that took over its address answered
  Upstreams_.setDead(Index, false);
  reportEvent(UpstreamEvent::Kind::Checked, Index);
}

void PacketBalancer::Impl::setDead(std::uint32_t Index) {
  if (!Upstreams_[Index].Dead_) {
    ++Counters_.Dead_;
    Upstreams_.setDead(Index, true);
    UpstreamStates_[Index].Rechecks_ = 0;
    UpstreamStates_[Index].RecheckAt_ = Now_ + recheckDelay(0);
    reportEvent(UpstreamEvent::Kind::Dead, Index);
    warn(Index, UpstreamWarning::Kind::Dead, FlowId{});
  }
  resetFlows(Index);
}

void PacketBalancer::Impl::onCheckResult(MonoTime Now, Incarnation Upstream,
                                         CheckResult Result, MonoTime Began) {
  Now_ = Now;
  std::uint32_t Index = indexOf(Upstream);
  bool OfThisStart = Index != UpstreamTable::None &&
                     UpstreamStates_[Index].StartedAt_ <= Began;
  if (!OfThisStart)
    return;
  // Progress of a flow since the check began proves that the upstream is alive.
  bool Progress = UpstreamStates_[Index].LastProgressAt_ >= Began;
  if (Result == CheckResult::Unclear)
    return;
  if (Result == CheckResult::Connected || Progress)
    return setAlive(Index);
  setDead(Index);
}

/// Forgets all failures after a suspension, except that replaced upstreams stay
/// dead.
void PacketBalancer::Impl::clearHealthState() {
  Upstreams_.resetHealth();
  UnansweredRequests_.clearAll();
  ShortAnswers_.clearAll();
  UnansweredOpenings_.clearAll();
  for (std::uint32_t Index = 0; Index < UpstreamStates_.size(); ++Index) {
    UpstreamStates_[Index].PendingRequests_.clear();
    UpstreamStates_[Index].HasLateRequest_ = false;
    UpstreamStates_[Index].ShortAnswerRun_ = 0;
    UpstreamStates_[Index].UnansweredOpeningRun_ = 0;
    if (UpstreamStates_[Index].Replaced_)
      Upstreams_.setDead(Index, true);
  }
}

void PacketBalancer::Impl::resetFlows(std::uint32_t Index) {
  if (!Options_.OnReset_)
    return;
  std::vector<FlowId> Affected;
  Flows_.forEach([&](const PacketFlowRow &Row) {
    if (Row.Upstream_ == Index && Row.Open_)
      Affected.push_back(Row.Flow_);
  });
  for (FlowId Flow : Affected) {
    PacketFlowRow *Row = Flows_.find(Flow);
    ++Counters_.Resets_;
    Options_.OnReset_({Row->Caller_, Row->Service_, Row->Acknowledged_,
                       ErrorKind::UpstreamDead});
    endFlow(*Row);
  }
}

} // namespace thymewall
