#include "balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::has;
using detail::Mechanism;

void Balancer::Impl::on(const StopAsked &) {
  if (Stopping_)
    return;
  Stopping_ = true;
  // A request that was sent before may be copied to us until its deadline.
  StopBy_ = Now_.Mono_ + LongestDeadlineSeen_ + 2 * ClockSlack;
  declareSuccession();
}

/// Names the successors. Nothing that this process handed on has a deadline
/// after the fence, because `submitToRow` refuses deadlines further ahead.
void Balancer::Impl::declareSuccession() {
  Succession S;
  S.Home_ = Options_.Incarnation_;
  S.Fence_ = Now_.Wall_ + LongestDeadlineSeen_ + ClockSlack;
  for (const Peer &P : Peers_)
    if (!P.Leaving_)
      S.Successors_.push_back({P.Data_, P.Incarnation_});
  if (S.Successors_.empty())
    return;
  std::sort(
      S.Successors_.begin(), S.Successors_.end(),
      [](const Successor &A, const Successor &B) { return A.Data_ < B.Data_; });
  StopBySuccessors_ = S;
  (*Sink_)(TellSuccession{S});
}

const Succession *Balancer::Impl::successionOf(const Route &R) const {
  for (const Succession &S : Successions_)
    if (S.Home_ == R.HomeIncarnation_)
      return &S;
  return nullptr;
}

/// True when the request's deadline shows that the old home never had it, and
/// it has not expired, so that our own memory of it can't have been dropped.
bool Balancer::Impl::mayAdopt(const Message &M, const Route &R) const {
  const Succession *S = successionOf(R);
  return S && (M.Deadline_ > S->Fence_ || !has(Mechanism::Fence)) &&
         M.Deadline_ > Now_.Wall_;
}

/// Runs a request of a flow whose home has stopped, under our own epoch. The
/// answer brings the caller its new route.
void Balancer::Impl::adopt(const Message &M, const Route &R) {
  std::uint32_t Index = holder(R);
  if (Index == UpstreamTable::None)
    return refuse(M, ErrorKind::FlowUnknown, ErrorResponse::OutcomeUnknown);
  FlowRow *Row = homeOf({M.Service_, M.Flow_}, Index);
  ++Counters_.Adopted_;
  if (!Row)
    return refuse(M, ErrorKind::Overloaded, ErrorResponse::OutcomeUnknown);
  submitToRow(*Row, M, R, Origin::Adopted);
}

/// A stopping home passes a request to its successor: as `Delegate` one that it
/// has never run nor will (its number is used from now on), as `Repeat` a copy
/// of one that it or the successor had before.
void Balancer::Impl::delegate(const Message &M, const Route &R, PeerKind Kind) {
  const Successor &Next = successorOf(StopBySuccessors_, {M.Service_, M.Flow_});
  pass(M, R, Next.Data_, Kind);
}

/// A peer to place the flows that still arrive here while we stop.
const Peer *Balancer::Impl::openSuccessor(const FlowKey &Flow) const {
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
  bool Idle = Requests_.size() == 0 && Passes_.size() == 0;
  bool Over = Now_.Mono_ >= StopBy_;
  if (StoppedTold_ || !Idle || !Over)
    return;
  StoppedTold_ = true;
  (*Sink_)(Stopped{});
}

} // namespace thymewall
