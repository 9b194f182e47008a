#include "mechanism.h"
#include "packet-balancer-impl.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;
using detail::PacketFlowRow;

namespace {

/// An upstream that was checked is not checked again for this long.
constexpr Micros MinCheckInterval = std::chrono::milliseconds(1000);
/// A dead upstream is checked again after pauses that double between these. A
/// start of an upstream has a new incarnation, so that the same one comes back
/// only after a cut, which lasts seconds.
constexpr Micros MinRecheckDelay = std::chrono::milliseconds(1000);
constexpr Micros MaxRecheckDelay = std::chrono::milliseconds(4000);

/// A request unanswered for so many times the usual, with no other answer of
/// its upstream since it was sent, is one that the upstream sits on: work of
/// the services of today takes up to 6 times its mean, and never less than the
/// second, so that a caller's packet may be lost twice.
constexpr int StallDelayFactor = 8;
constexpr Micros MinStallTimeout = std::chrono::milliseconds(600);
/// New flows go elsewhere for this long, doubled with each stall in a row up to
/// this many times.
constexpr Micros BaseEjectionTime = std::chrono::milliseconds(2000);
constexpr std::uint32_t MaxEjectionFactor = 8;
/// While flows are moved it takes so many of peers' unanswered requests at
/// least: what one balancer saw once must not be what all of them believe.
constexpr std::size_t MinPeerEvidence = 2;
/// Right answers may be short once in a while: one is never enough.
constexpr std::size_t MinShortAnswers = 2;
/// The first verdict takes this share of the answers that an upstream gives in
/// `SilenceEvidence::CountsFor`. One that turns callers away because its queue
/// is full still serves most; put aside for that, it leaves its load to others,
/// whose queues fill in turn (twice the usual load, worth .981 to .973).
constexpr double MinShortAnswerShare = 0.12;
/// Full queues give each upstream a short answer now and then: this share of
/// them may be put aside by chance. A fortieth of a service, as for silence,
/// would add to the load of the others twice a second.
constexpr double FalsePositiveShare = 0.0005;

Micros recheckDelay(std::uint32_t Rechecks) {
  Micros Delay = MinRecheckDelay;
  for (; Rechecks > 0 && Delay < MaxRecheckDelay; --Rechecks)
    Delay *= 2;
  return Delay;
}

} // namespace

void PacketBalancer::Impl::recordOpeningFailure(std::uint32_t Index) {
  if (!isEnabled(Mechanism::OpeningEjection))
    return;
  bool WasEjected = Upstreams_[Index].EjectedUntil_ > Now_;
  // Flows differ enough from balancer to balancer to spread the returns.
  double Jitter = static_cast<double>(raw(Upstreams_[Index].Id_) % 1000) / 1000;
  Upstreams_.failed(Index, Now_, Jitter);
  if (!WasEjected && Upstreams_[Index].EjectedUntil_ > Now_)
    reportEvent(UpstreamEvent::Kind::Ejected, Index);
}

/// A packet got no answer in the time after which it is sent again.
void PacketBalancer::Impl::requestCheck(std::uint32_t Index) {
  UpstreamState &State = UpstreamStates_[Index];
  bool Allowed = Options_.OnCheck_ && !State.Draining_ && !State.Replaced_ &&
                 isEnabled(Mechanism::LivenessChecks);
  if (!Allowed || State.NextCheckAt_ > Now_)
    return;
  State.NextCheckAt_ = Now_ + MinCheckInterval;
  ++Counters_.Checks_;
  Options_.OnCheck_({Upstreams_[Index].Incarnation_, Upstreams_[Index].At_});
}

/// Checks those that peers found dead, and the dead that are still published.
/// Ticks of different balancers spread over 250 ms, and so do their checks.
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
  if (M.BornMs_ != State.BornMs_)
    return; // of another start
  if (M.Kind_ == UpstreamWarning::Kind::Dead)
    State.CheckRequested_ = true;
  else if (M.Kind_ == UpstreamWarning::Kind::Failing)
    recordShortAnswer(Index, M.Flow_, false);
  else if (Now - State.LastAnswerAt_ >
           stallTimeout(Index).value_or(MinStallTimeout))
    recordUnansweredRequest(Index, M.Flow_, false);
}

/// Tells peers of evidence against an upstream.
void PacketBalancer::Impl::warn(std::uint32_t Index, UpstreamWarning::Kind Kind,
                                FlowId Flow) const {
  if (Options_.OnWarning_)
    Options_.OnWarning_({Upstreams_.rows()[Index].Incarnation_, Kind, Flow,
                         UpstreamStates_[Index].BornMs_});
}

void PacketBalancer::Impl::recordRequest(std::uint32_t Index, FlowId Flow) {
  std::vector<PendingRequest> &Pending =
      UpstreamStates_[Index].PendingRequests_;
  bool AlreadyPending =
      std::any_of(Pending.begin(), Pending.end(),
                  [Flow](const PendingRequest &R) { return R.Flow_ == Flow; });
  if (!AlreadyPending && Pending.size() < SilenceEvidence::Kept)
    Pending.push_back({Flow, Now_});
}

void PacketBalancer::Impl::recordAnswer(std::uint32_t Index) {
  UpstreamState &State = UpstreamStates_[Index];
  State.LastAnswerAt_ = Now_;
  State.PendingRequests_.clear();
  State.StallEjections_ = 0;
  UnansweredRequests_.clear(Index);
}

void PacketBalancer::Impl::detectStalls() {
  UnansweredRequests_.expire(Now_);
  ShortAnswers_.expire(Now_);
  for (auto &[Id, Service] : Services_)
    Service.RecentAnswers_.tick();
  for (std::uint32_t Index = 0; Index < UpstreamStates_.size(); ++Index) {
    std::vector<PendingRequest> &Pending =
        UpstreamStates_[Index].PendingRequests_;
    if (!Serving_) // the answer is seen by another balancer
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

/// How long a request may stay unanswered, judged by what the service usually
/// takes: nothing is known of a service whose first answer has not come.
std::optional<Micros>
PacketBalancer::Impl::stallTimeout(std::uint32_t Index) const {
  auto Service = Services_.find(raw(UpstreamStates_[Index].Service_));
  if (Service == Services_.end() || !Service->second.AnswerDelay_.hasSamples())
    return std::nullopt;
  return Service->second.AnswerDelay_.multiple(StallDelayFactor,
                                               MinStallTimeout);
}

/// One request of a flow was left unanswered, here or at a peer.
void PacketBalancer::Impl::recordUnansweredRequest(std::uint32_t Index,
                                                   FlowId Flow,
                                                   bool SeenLocally) {
  if (!isEnabled(Mechanism::StallEjection))
    return;
  if (Upstreams_[Index].EjectedUntil_ > Now_)
    return; // others see what led to this ejection only now
  if (!UnansweredRequests_.add(Now_, Index, Flow))
    return;
  if (SeenLocally)
    warn(Index, UpstreamWarning::Kind::Stalled, Flow);
  std::size_t Needed = requiredEvidence(Index, SeenLocally);
  std::size_t Unanswered = UnansweredRequests_.against(Now_, Index);
  if (Unanswered >= Needed)
    ejectTemporarily(Index, UpstreamEvent::Kind::Stalled,
                     UpstreamStates_[Index].StallEjections_, Unanswered,
                     Needed);
}

/// While no balancer comes a request is evidence by itself: of a service
/// with one or two requests a second to each upstream, waiting for a second one
/// costs a request more at every upstream that hangs.
std::size_t PacketBalancer::Impl::requiredEvidence(std::uint32_t Index,
                                                   bool SeenLocally) const {
  bool Settled = Now_ >= ReroutesUntil_;
  auto Service = Services_.find(raw(UpstreamStates_[Index].Service_));
  if (Settled || Service == Services_.end() ||
      !isEnabled(Mechanism::CorrelatedSilence))
    return 1;
  std::size_t Needed =
      UnansweredRequests_.needed(Now_, Index, Service->second.Members_);
  return SeenLocally ? Needed : std::max(Needed, MinPeerEvidence);
}

/// The caller has acknowledged an answer to the request of \p Row.
void PacketBalancer::Impl::classifyAnswer(const PacketFlowRow &Row,
                                          const Packet &P) {
  if (!isEnabled(Mechanism::ShortAnswerEjection))
    return;
  Services_[raw(UpstreamStates_[Row.Upstream_].Service_)].RecentAnswers_.add();
  std::uint32_t Bytes = P.Acknowledged_ - Row.Acknowledged_;
  if (AnswerSizes_.isShort(P.Service_, Bytes))
    recordShortAnswer(Row.Upstream_, Row.Flow_, true);
  else
    UpstreamStates_[Row.Upstream_].FailingEjections_ = 0;
}

/// An upstream gave a short answer, here or at a peer. Judged against the rest
/// of its service: where all give such answers, it is no fault of one.
void PacketBalancer::Impl::recordShortAnswer(std::uint32_t Index, FlowId Flow,
                                             bool SeenLocally) {
  if (Upstreams_[Index].EjectedUntil_ > Now_)
    return; // what was under way there tells nothing new
  if (!ShortAnswers_.add(Now_, Index, Flow))
    return;
  if (SeenLocally)
    warn(Index, UpstreamWarning::Kind::Failing, Flow);
  UpstreamState &State = UpstreamStates_[Index];
  auto Service = Services_.find(raw(State.Service_));
  if (Service == Services_.end())
    return;
  std::size_t ByChance = ShortAnswers_.needed(
      Now_, Index, Service->second.Members_, FalsePositiveShare);
  std::size_t Needed = std::max(ByChance, MinShortAnswers);
  if (State.FailingEjections_ == 0)
    Needed = std::max(
        Needed, static_cast<std::size_t>(std::ceil(
                    MinShortAnswerShare * expectedAnswers(Service->second))));
  std::size_t Evidence = ShortAnswers_.against(Now_, Index);
  if (Evidence >= Needed)
    ejectTemporarily(Index, UpstreamEvent::Kind::Failing,
                     State.FailingEjections_, Evidence, Needed);
}

/// How many answers the whole fleet has of one upstream of a service in
/// `SilenceEvidence::CountsFor`, judged by those that pass here.
double
PacketBalancer::Impl::expectedAnswers(const ServiceState &Service) const {
  std::size_t Upstreams = std::max<std::size_t>(Service.Eligible_.size(), 1);
  return static_cast<double>(Service.RecentAnswers_.count() * FleetSize_) /
         static_cast<double>(Upstreams);
}

/// A soft judgement: other upstreams take the new flows, nothing is reset.
void PacketBalancer::Impl::ejectTemporarily(std::uint32_t Index,
                                            UpstreamEvent::Kind Reason,
                                            std::uint32_t &Consecutive,
                                            std::size_t Evidence,
                                            std::size_t Needed) {
  UpstreamState &State = UpstreamStates_[Index];
  std::uint32_t Factor =
      std::min(MaxEjectionFactor, 1U << std::min(Consecutive, 8U));
  ++Consecutive;
  ++(Reason == UpstreamEvent::Kind::Stalled ? Counters_.Stalled_
                                            : Counters_.Failing_);
  Upstreams_.eject(Index, Now_ + BaseEjectionTime * Factor);
  // Else every balancer of a fleet gives it flows again in one moment, and an
  // upstream that still hangs costs as many requests as at first. Gain: 2,028
  // lost requests in place of 2,210 where a fifth of 480 hangs for 7 s, twice.
  if (isEnabled(Mechanism::SlowStartAfterStall))
    Upstreams_.warmFrom(Index, Upstreams_[Index].EjectedUntil_);
  if (Options_.OnUpstreamEvent_)
    Options_.OnUpstreamEvent_({Reason, Upstreams_[Index].Incarnation_,
                               Upstreams_[Index].At_, State.Revision_, Evidence,
                               Needed});
}

void PacketBalancer::Impl::setAlive(std::uint32_t Index) {
  if (UpstreamStates_[Index].Replaced_)
    return; // the other upstream at its address answered
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
  // Whatever the check saw, progress of a flow since then is life.
  bool Progress = UpstreamStates_[Index].LastProgressAt_ >= Began;
  if (Result == CheckResult::Unclear)
    return;
  if (Result == CheckResult::Connected || Progress)
    return setAlive(Index);
  setDead(Index);
}

/// After a late wake; what has ended stays so.
void PacketBalancer::Impl::clearHealthState() {
  Upstreams_.forgetBeliefs();
  UnansweredRequests_.clearAll();
  ShortAnswers_.clearAll();
  for (std::uint32_t Index = 0; Index < UpstreamStates_.size(); ++Index) {
    UpstreamStates_[Index].PendingRequests_.clear();
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
