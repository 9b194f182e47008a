#include "mechanism.h"
#include "packet-balancer-impl.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

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
/// While flows are moved it takes so many of peers' unanswered requests at
/// least: what one balancer saw once must not be what all of them believe.
constexpr std::size_t NeededOfPeers = 2;
/// Right answers may be short once in a while: one is never enough.
constexpr std::size_t ShortToFail = 2;
/// The first verdict takes this share of the answers that an upstream gives in
/// `FailureEvidence::CountingWindow`. One that turns callers away because its
/// queue is full still serves most; put aside for that, it leaves its load to
/// others, whose queues fill in turn (twice the usual load, worth .981 to
/// .973).
constexpr double FailingShare = 0.12;
/// Full queues give each upstream a short answer now and then: this share of
/// them may be put aside by chance. A fortieth of a service, as for silence,
/// would add to the load of the others twice a second.
constexpr double FalselyFailing = 0.0005;

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
  Upstreams_.recordFailure(Index, Now_, Jitter);
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
  if (M.StartTimeMs_ != D.BornMs_)
    return; // of another start
  if (M.Kind_ == UpstreamWarning::Kind::Dead)
    D.CheckWanted_ = true;
  else if (M.Kind_ == UpstreamWarning::Kind::Failing)
    noteFailing(Index, M.Flow_, false);
  else if (Now - D.AnswerAt_ > stallLimit(Index).value_or(StalledAfter))
    noteUnanswered(Index, M.Flow_, false);
}

/// Tells peers of evidence against an upstream.
void PacketBalancer::Impl::warn(std::uint32_t Index, UpstreamWarning::Kind Kind,
                                FlowId Flow) const {
  if (Options_.OnWarning_)
    Options_.OnWarning_({Upstreams_.rows()[Index].Incarnation_, Kind, Flow,
                         Details_[Index].BornMs_});
}

void PacketBalancer::Impl::noteRequest(std::uint32_t Index, FlowId Flow) {
  std::vector<WaitingRequest> &Waiting = Details_[Index].Waiting_;
  bool Known =
      std::any_of(Waiting.begin(), Waiting.end(),
                  [Flow](const WaitingRequest &R) { return R.Flow_ == Flow; });
  if (!Known && Waiting.size() < FailureEvidence::MaxRequests)
    Waiting.push_back({Flow, Now_});
}

void PacketBalancer::Impl::noteAnswer(std::uint32_t Index) {
  Detail &D = Details_[Index];
  D.AnswerAt_ = Now_;
  D.Waiting_.clear();
  D.Stalls_ = 0;
  Evidence_.clear(Index);
}

void PacketBalancer::Impl::noteStalls() {
  Evidence_.expire(Now_);
  ShortAnswers_.expire(Now_);
  for (auto &[Id, Of] : Services_)
    Of.RecentAnswers_.tick();
  for (std::uint32_t Index = 0; Index < Details_.size(); ++Index) {
    std::vector<WaitingRequest> &Waiting = Details_[Index].Waiting_;
    if (!Serving_) // the answer is seen by another balancer
      Waiting.clear();
    std::optional<Micros> Limit = stallLimit(Index);
    if (Waiting.empty() || !Limit)
      continue;
    auto Late = std::stable_partition(
        Waiting.begin(), Waiting.end(),
        [&](const WaitingRequest &R) { return Now_ - R.Since_ <= *Limit; });
    std::vector<WaitingRequest> Unanswered(Late, Waiting.end());
    Waiting.erase(Late, Waiting.end());
    for (const WaitingRequest &R : Unanswered)
      noteUnanswered(Index, R.Flow_, true);
  }
}

/// How long a request may stay unanswered, judged by what the service usually
/// takes: nothing is known of a service whose first answer has not come.
std::optional<Micros>
PacketBalancer::Impl::stallLimit(std::uint32_t Index) const {
  auto Of = Services_.find(raw(Details_[Index].Service_));
  if (Of == Services_.end() || !Of->second.Answers_.known())
    return std::nullopt;
  return Of->second.Answers_.times(StalledTimes, StalledAfter);
}

/// One request of a flow was left unanswered, here or at a peer.
void PacketBalancer::Impl::noteUnanswered(std::uint32_t Index, FlowId Flow,
                                          bool SeenHere) {
  if (!has(Mechanism::Stalls))
    return;
  if (Upstreams_[Index].EjectedUntil_ > Now_)
    return; // others see what led to this ejection only now
  if (!Evidence_.add(Now_, Index, Flow))
    return;
  if (SeenHere)
    warn(Index, UpstreamWarning::Kind::Stalled, Flow);
  std::size_t Needed = neededAgainst(Index, SeenHere);
  std::size_t Unanswered = Evidence_.count(Now_, Index);
  if (Unanswered >= Needed)
    putAside(Index, Belief::Kind::Stalled, Details_[Index].Stalls_, Unanswered,
             Needed);
}

/// While no balancer comes a request is evidence by itself: of a service
/// with one or two requests a second to each upstream, waiting for a second one
/// costs a request more at every upstream that hangs.
std::size_t PacketBalancer::Impl::neededAgainst(std::uint32_t Index,
                                                bool SeenHere) const {
  bool Settled = Now_ >= UnsettledUntil_;
  auto Of = Services_.find(raw(Details_[Index].Service_));
  if (Settled || Of == Services_.end() || !has(Mechanism::CommonSilence))
    return 1;
  std::size_t Needed = Evidence_.threshold(Now_, Index, Of->second.Members_);
  return SeenHere ? Needed : std::max(Needed, NeededOfPeers);
}

/// The caller has acknowledged an answer to the request of \p Row.
void PacketBalancer::Impl::judgeAnswer(const PacketFlowRow &Row,
                                       const Packet &P) {
  if (!has(Mechanism::AnswerSizes))
    return;
  Services_[raw(Details_[Row.Upstream_].Service_)].RecentAnswers_.add();
  std::uint32_t Bytes = P.Acknowledged_ - Row.Acknowledged_;
  if (Sizes_.recordAndCheckShort(P.Service_, Bytes))
    noteFailing(Row.Upstream_, Row.Flow_, true);
  else
    Details_[Row.Upstream_].Failings_ = 0;
}

/// An upstream gave a short answer, here or at a peer. Judged against the rest
/// of its service: where all give such answers, it is no fault of one.
void PacketBalancer::Impl::noteFailing(std::uint32_t Index, FlowId Flow,
                                       bool SeenHere) {
  if (Upstreams_[Index].EjectedUntil_ > Now_)
    return; // what was under way there tells nothing new
  if (!ShortAnswers_.add(Now_, Index, Flow))
    return;
  if (SeenHere)
    warn(Index, UpstreamWarning::Kind::Failing, Flow);
  Detail &D = Details_[Index];
  auto Of = Services_.find(raw(D.Service_));
  if (Of == Services_.end())
    return;
  std::size_t Chance =
      ShortAnswers_.threshold(Now_, Index, Of->second.Members_, FalselyFailing);
  std::size_t Needed = std::max(Chance, ShortToFail);
  if (D.Failings_ == 0)
    Needed = std::max(Needed, static_cast<std::size_t>(std::ceil(
                                  FailingShare * usualAnswers(Of->second))));
  std::size_t Evidence = ShortAnswers_.count(Now_, Index);
  if (Evidence >= Needed)
    putAside(Index, Belief::Kind::Failing, D.Failings_, Evidence, Needed);
}

/// How many answers the whole fleet has of one upstream of a service in
/// `FailureEvidence::CountingWindow`, judged by those that pass here.
double PacketBalancer::Impl::usualAnswers(const ServiceState &Of) const {
  std::size_t Upstreams = std::max<std::size_t>(Of.Eligible_.size(), 1);
  return static_cast<double>(Of.RecentAnswers_.count() * FleetSize_) /
         static_cast<double>(Upstreams);
}

/// A soft judgement: other upstreams take the new flows, nothing is reset.
void PacketBalancer::Impl::putAside(std::uint32_t Index, Belief::Kind Why,
                                    std::uint32_t &InARow, std::size_t Evidence,
                                    std::size_t Needed) {
  Detail &D = Details_[Index];
  std::uint32_t Times = std::min(LongestStall, 1U << std::min(InARow, 8U));
  ++InARow;
  ++(Why == Belief::Kind::Stalled ? Counters_.Stalled_ : Counters_.Failing_);
  Upstreams_.eject(Index, Now_ + StallEjection * Times);
  // Else every balancer of a fleet gives it flows again in one moment, and an
  // upstream that still hangs costs as many requests as at first. Gain: 2,028
  // lost requests in place of 2,210 where a fifth of 480 hangs for 7 s, twice.
  if (has(Mechanism::GradualReturn))
    Upstreams_.beginSlowStart(Index, Upstreams_[Index].EjectedUntil_);
  if (Options_.OnBelief_)
    Options_.OnBelief_({Why, Upstreams_[Index].Incarnation_,
                        Upstreams_[Index].At_, D.Revision_, Evidence, Needed});
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
    warn(Index, UpstreamWarning::Kind::Dead, FlowId{});
  }
  giveUpFlows(Index);
}

void PacketBalancer::Impl::checked(MonoTime Now, Incarnation Upstream,
                                   CheckResult Result, MonoTime Began) {
  Now_ = Now;
  std::uint32_t Index = indexOf(Upstream);
  bool OfThisStart =
      Index != UpstreamTable::None && Details_[Index].StartedAt_ <= Began;
  if (!OfThisStart)
    return;
  // Whatever the check saw, progress of a flow since then is life.
  bool Progress = Details_[Index].ProgressAt_ >= Began;
  if (Result == CheckResult::Unclear)
    return;
  if (Result == CheckResult::Connected || Progress)
    return setAlive(Index);
  setDead(Index);
}

/// After a late wake; what has ended stays so.
void PacketBalancer::Impl::forgetBeliefs() {
  Upstreams_.resetHealth();
  Evidence_.clearAll();
  ShortAnswers_.clearAll();
  for (std::uint32_t Index = 0; Index < Details_.size(); ++Index) {
    Details_[Index].Waiting_.clear();
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

} // namespace thymewall
