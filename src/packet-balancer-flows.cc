#include "packet-balancer-impl.h"

namespace thymewall {

using detail::PacketFlowRow;

std::uint32_t PacketBalancer::Impl::dueTick(Micros After) const {
  return static_cast<std::uint32_t>((Now_.time_since_epoch() + After) /
                                    TickEvery);
}

/// A row for a flow that goes to an upstream from now on; null when the table
/// is full: such a flow is served, but not counted.
PacketFlowRow *PacketBalancer::Impl::place(const Packet &P, FlowId Flow,
                                           std::uint32_t Index) {
  PacketFlowRow *Row = Flows_.find(Flow);
  if (Row)
    countOut(*Row);
  PacketFlowRow Fresh;
  Fresh.Flow_ = Flow;
  Fresh.Caller_ = P.Caller_;
  Fresh.Service_ = P.Service_;
  if (!Row)
    Row = Flows_.insert(Fresh, dueTick(Options_.FlowLimit_));
  if (!Row)
    return nullptr;
  Row->Upstream_ = Index;
  Row->Open_ = false;
  Row->InProgress_ = false;
  countIn(*Row);
  return Row;
}

void PacketBalancer::Impl::noteOpening(const Packet &P, FlowId Flow,
                                       std::uint32_t Index) {
  if (PacketFlowRow *Row = place(P, Flow, Index))
    setInProgress(*Row, true);
}

/// Data of a flow that was opened by another balancer.
PacketFlowRow *PacketBalancer::Impl::noteFollowed(const Packet &P, FlowId Flow,
                                                  std::uint32_t Index) {
  if (P.DataSize_ == 0 || P.Finishes_ || P.Resets_)
    return nullptr;
  ++Counters_.Followed_;
  decide(Decision::Kind::Followed, P, Index, ErrorKind::None, 0);
  PacketFlowRow *Row = place(P, Flow, Index);
  if (!Row)
    return nullptr;
  Row->Open_ = true;
  Row->Acknowledged_ = P.Acknowledged_;
  return Row;
}

void PacketBalancer::Impl::setInProgress(PacketFlowRow &Row, bool InProgress) {
  if (Row.InProgress_ == InProgress)
    return;
  Row.InProgress_ = InProgress;
  Row.Since_ = Now_;
  std::uint32_t &Count = Upstreams_[Row.Upstream_].InFlight_;
  Count = InProgress ? Count + 1 : Count - 1;
}

void PacketBalancer::Impl::measure(const PacketFlowRow &Row, DelayClass Class) {
  ServiceId Service = Details_[Row.Upstream_].Service_;
  Micros Delay = Now_ - Row.Since_;
  if (Class == DelayClass::Open)
    Openings_.add(Delay);
  else
    Services_[raw(Service)].Answers_.add(Delay);
  if (Options_.OnDelay_)
    Options_.OnDelay_(Service, Class, Delay);
}

void PacketBalancer::Impl::noteProgress(const Packet &P, FlowId Flow,
                                        std::uint32_t Index) {
  PacketFlowRow *Row = Flows_.find(Flow);
  if (!Row)
    Row = noteFollowed(P, Flow, Index);
  if (!Row)
    return;
  if (Row->Upstream_ != Index)
    moveFlow(*Row, Index);
  bool Progress = !Row->Open_ || P.Acknowledged_ != Row->Acknowledged_;
  bool Answered = Row->Open_ && Progress;
  if (Answered)
    noteAnswer(Index);
  if (Answered && Row->InProgress_ && !P.Resets_)
    judgeAnswer(*Row, P);
  if (P.Finishes_ || P.Resets_)
    return endFlow(*Row);
  bool SentAgain = !Progress && Row->InProgress_ && P.DataSize_ > 0 &&
                   P.Sequence_ == Row->Sequence_;
  if (Progress)
    Details_[Index].ProgressAt_ = Now_;
  if (SentAgain)
    check(Index);
  if (!Row->Open_) {
    Row->Open_ = true;
    Upstreams_.recordSuccess(Index);
    measure(*Row, DelayClass::Open);
    Row->Since_ = Now_; // its request comes right behind
  } else if (Progress) {
    if (Row->InProgress_)
      measure(*Row, DelayClass::Request);
    setInProgress(*Row, false);
  }
  Row->Acknowledged_ = P.Acknowledged_;
  if (P.DataSize_ == 0)
    return;
  Row->Sequence_ = P.Sequence_;
  setInProgress(*Row, true);
  noteRequest(Index, Flow);
}

/// An opening went to two upstreams, and the caller took the other's answer.
void PacketBalancer::Impl::moveFlow(PacketFlowRow &Row, std::uint32_t Index) {
  countOut(Row);
  Row.Upstream_ = Index;
  countIn(Row);
}

void PacketBalancer::Impl::countIn(const PacketFlowRow &Row) {
  UpstreamRow &Up = Upstreams_[Row.Upstream_];
  ++Up.OwnFlows_;
  if (Row.InProgress_)
    ++Up.InFlight_;
}

void PacketBalancer::Impl::countOut(const PacketFlowRow &Row) {
  UpstreamRow &Up = Upstreams_[Row.Upstream_];
  --Up.OwnFlows_;
  if (Row.InProgress_)
    --Up.InFlight_;
}

void PacketBalancer::Impl::endFlow(PacketFlowRow &Row) {
  countOut(Row);
  Flows_.erase(Row);
}

} // namespace thymewall
