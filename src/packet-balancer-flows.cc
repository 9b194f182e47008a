#include "packet-balancer-impl.h"

namespace thymewall {

using detail::PacketFlowRow;

std::uint32_t PacketBalancer::Impl::expiryTick(Micros After) const {
  return static_cast<std::uint32_t>((Now_.time_since_epoch() + After) /
                                    TickInterval);
}

/// Assigns a flow to an upstream and returns its row, or null if the table is
/// full. Such a flow is served but not counted.
PacketFlowRow *PacketBalancer::Impl::assignFlow(const Packet &P, FlowId Flow,
                                                std::uint32_t Index) {
  PacketFlowRow *Row = Flows_.find(Flow);
  if (Row)
    subtractLoad(*Row);
  PacketFlowRow NewRow;
  NewRow.Flow_ = Flow;
  NewRow.Caller_ = P.Caller_;
  NewRow.Service_ = P.Service_;
  if (!Row)
    Row = Flows_.insert(NewRow, expiryTick(Options_.MaxFlowAge_));
  if (!Row)
    return nullptr;
  Row->Upstream_ = Index;
  Row->Open_ = false;
  Row->InProgress_ = false;
  Row->RequestCounted_ = false;
  addLoad(*Row);
  return Row;
}

void PacketBalancer::Impl::recordOpening(const Packet &P, FlowId Flow,
                                         std::uint32_t Index) {
  if (PacketFlowRow *Row = assignFlow(P, Flow, Index))
    setInProgress(*Row, true);
}

/// Adds a row for a flow that another balancer opened, once data arrives.
PacketFlowRow *PacketBalancer::Impl::recordFollowed(const Packet &P,
                                                    FlowId Flow,
                                                    std::uint32_t Index) {
  if (P.DataSize_ == 0 || P.Finishes_ || P.Resets_)
    return nullptr;
  ++Counters_.Followed_;
  reportDecision(Decision::Kind::Followed, P, Index, ErrorKind::None, 0);
  PacketFlowRow *Row = assignFlow(P, Flow, Index);
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

void PacketBalancer::Impl::recordDelay(const PacketFlowRow &Row,
                                       DelayClass Class) {
  ServiceId Service = UpstreamStates_[Row.Upstream_].Service_;
  Micros Delay = Now_ - Row.Since_;
  if (Class == DelayClass::Open)
    OpeningDelay_.add(Delay);
  else
    Services_[raw(Service)].AnswerDelay_.add(Delay);
  if (Options_.OnDelay_)
    Options_.OnDelay_(Service, Class, Delay);
}

void PacketBalancer::Impl::recordProgress(const Packet &P, FlowId Flow,
                                          std::uint32_t Index) {
  PacketFlowRow *Row = Flows_.find(Flow);
  if (!Row)
    Row = recordFollowed(P, Flow, Index);
  if (!Row)
    return;
  if (Row->Upstream_ != Index)
    reassignFlow(*Row, Index);
  bool Progress = !Row->Open_ || P.Acknowledged_ != Row->Acknowledged_;
  bool Answered = Row->Open_ && Progress;
  if (Answered)
    recordAnswer(Index);
  if (Answered && Row->InProgress_ && !P.Resets_)
    classifyAnswer(*Row, P);
  if (P.Finishes_ || P.Resets_)
    return endFlow(*Row);
  bool Retransmitted = !Progress && Row->InProgress_ && P.DataSize_ > 0 &&
                       P.Sequence_ == Row->Sequence_;
  if (Progress) {
    UpstreamStates_[Index].LastProgressAt_ = Now_;
    Row->RequestCounted_ = false;
  }
  if (Retransmitted)
    requestCheck(Index);
  if (!Row->Open_) {
    Row->Open_ = true;
    Upstreams_.recordSuccess(Index);
    recordDelay(*Row, DelayClass::Open);
    Row->Since_ = Now_; // the first request follows immediately
  } else if (Progress) {
    if (Row->InProgress_)
      recordDelay(*Row, DelayClass::Request);
    setInProgress(*Row, false);
  }
  Row->Acknowledged_ = P.Acknowledged_;
  if (P.DataSize_ == 0)
    return;
  Row->Sequence_ = P.Sequence_;
  setInProgress(*Row, true);
  recordRequest(Index, Flow);
  if (!Row->RequestCounted_)
    RequestRates_.add(Now_, UpstreamStates_[Index].Service_);
  Row->RequestCounted_ = true;
}

/// Moves a flow whose opening was sent to two upstreams to the one whose answer
/// the caller accepted.
void PacketBalancer::Impl::reassignFlow(PacketFlowRow &Row,
                                        std::uint32_t Index) {
  subtractLoad(Row);
  Row.Upstream_ = Index;
  addLoad(Row);
}

void PacketBalancer::Impl::addLoad(const PacketFlowRow &Row) {
  UpstreamRow &Upstream = Upstreams_[Row.Upstream_];
  ++Upstream.OwnFlows_;
  if (Row.InProgress_)
    ++Upstream.InFlight_;
}

void PacketBalancer::Impl::subtractLoad(const PacketFlowRow &Row) {
  UpstreamRow &Upstream = Upstreams_[Row.Upstream_];
  --Upstream.OwnFlows_;
  if (Row.InProgress_)
    --Upstream.InFlight_;
}

void PacketBalancer::Impl::endFlow(PacketFlowRow &Row) {
  subtractLoad(Row);
  Flows_.erase(Row);
}

} // namespace thymewall
