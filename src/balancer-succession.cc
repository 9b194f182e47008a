#include "balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;

void Balancer::Impl::on(const StopRequested &) {
  if (Stopping_)
    return;
  Stopping_ = true;
  // Duplicates of earlier requests may arrive until their deadline.
  EarliestStop_ = Now_.Mono_ + MaxServiceDeadline_ + 2 * MaxClockSkew;
  announceSuccession();
}

/// Announces the live peers as successors. No dispatched request has a deadline
/// after the fence, because `submitToFlow` refuses later deadlines.
void Balancer::Impl::announceSuccession() {
  Succession S;
  S.Home_ = Options_.Incarnation_;
  S.Fence_ = Now_.Wall_ + MaxServiceDeadline_ + MaxClockSkew;
  for (const Peer &P : Peers_)
    if (!P.Leaving_)
      S.Successors_.push_back({P.Data_, P.Incarnation_});
  if (S.Successors_.empty())
    return;
  std::sort(
      S.Successors_.begin(), S.Successors_.end(),
      [](const Successor &A, const Successor &B) { return A.Data_ < B.Data_; });
  OwnSuccession_ = S;
  (*Sink_)(BroadcastSuccession{S});
}

const Succession *Balancer::Impl::findSuccession(const Route &R) const {
  for (const Succession &S : Successions_)
    if (S.Home_ == R.HomeIncarnation_)
      return &S;
  return nullptr;
}

/// Returns true if this process may run a request of a stopped home. Its
/// deadline must be after the fence, so that the old home can't have dispatched
/// it, and must not have passed, because rows of earlier copies expire then.
bool Balancer::Impl::mayAdopt(const Message &M, const Route &R) const {
  const Succession *S = findSuccession(R);
  return S &&
         (M.Deadline_ > S->Fence_ || !isEnabled(Mechanism::SuccessionFence)) &&
         M.Deadline_ > Now_.Wall_;
}

/// Handles a request of a flow whose home has stopped, with this process as the
/// new home. The answer carries the new route.
void Balancer::Impl::adopt(const Message &M, const Route &R) {
  std::uint32_t Index = resolveUpstream(R);
  if (Index == UpstreamTable::None)
    return refuse(M, ErrorKind::FlowUnknown, ErrorResponse::OutcomeUnknown);
  FlowRow *Row = findOrCreateFlow({M.Service_, M.Flow_}, Index);
  ++Counters_.Adopted_;
  if (!Row)
    return refuse(M, ErrorKind::Overloaded, ErrorResponse::OutcomeUnknown);
  submitToFlow(*Row, M, R, RequestOrigin::Adopted);
}

/// Forwards a request from a stopping home to its successor: as `Delegated` if
/// this process didn't and won't run it, as `Duplicate` if this process or the
/// successor received it before.
void Balancer::Impl::delegate(const Message &M, const Route &R,
                              PeerMessageKind Kind) {
  const Successor &Next = successorOf(OwnSuccession_, {M.Service_, M.Flow_});
  forwardToPeer(M, R, Next.Data_, Kind);
}

/// Returns the peer that handles opens which arrive while this balancer stops,
/// or null if there is none.
const Peer *Balancer::Impl::successorForOpen(const FlowKey &Flow) const {
  const Peer *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const Peer &P : Peers_) {
    std::uint64_t Score = hashPair(FlowRow::hash(Flow), raw(P.Id_));
    if (P.Leaving_ || (Best && Score <= BestScore))
      continue;
    Best = &P;
    BestScore = Score;
  }
  return Best;
}

void Balancer::Impl::checkStopped() {
  bool Idle = Requests_.size() == 0 && Forwards_.size() == 0;
  bool GracePeriodOver = Now_.Mono_ >= EarliestStop_;
  if (StoppedSent_ || !Idle || !GracePeriodOver)
    return;
  StoppedSent_ = true;
  (*Sink_)(Stopped{});
}

} // namespace thymewall
