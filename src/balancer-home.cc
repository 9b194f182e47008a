#include "balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;

namespace {

using namespace std::chrono_literals;

/// In flow ticks of one second.
constexpr std::uint32_t FlowIdleTimeoutTicks = 3600;
/// A closed flow's row is kept until the deadlines of all its requests have
/// passed: the maximum deadline of 60 s, the clock skew and a margin.
constexpr std::uint32_t ClosedFlowRetentionTicks = 70;
/// Timeouts of the transmissions of a forward, in request ticks of 5 ms: longer
/// than a round trip within a region, shorter than a request's deadline.
constexpr std::uint32_t ForwardTimeoutTicks[] = {4, 8, 16, 16};
constexpr std::uint8_t MaxForwardTries = 4;
constexpr Micros SuspicionTimeout = 10s;

} // namespace

/// Makes this process the home of a flow under a new epoch. Returns null if the
/// table is full.
FlowRow *Balancer::Impl::createFlow(const FlowKey &Key,
                                    std::uint32_t Upstream) {
  FlowRow Row;
  Row.Flow_ = Key.Flow_;
  Row.Service_ = Key.Service_;
  Row.Upstream_ = Upstream;
  Row.Epoch_ = ++LastEpoch_;
  FlowRow *Inserted =
      Flows_.insert(Row, flowTick(Now_.Mono_) + FlowIdleTimeoutTicks);
  if (Inserted)
    ++Upstreams_[Upstream].OwnFlows_;
  return Inserted;
}

/// Returns the row of a flow whose route names \p Upstream, or null if the
/// table is full. A row with another upstream belongs to a duplicate of the
/// open; the caller uses only the first `Opened`, so that row is reassigned.
FlowRow *Balancer::Impl::findOrCreateFlow(const FlowKey &Key,
                                          std::uint32_t Upstream) {
  FlowRow *Row = Flows_.find(Key);
  if (!Row)
    return createFlow(Key, Upstream);
  bool Closed = Row->Upstream_ == UpstreamTable::None;
  if (Closed || Row->Upstream_ == Upstream)
    return Row;
  releaseFlow(*Row);
  Row->Upstream_ = Upstream;
  Row->Epoch_ = ++LastEpoch_;
  ++Upstreams_[Upstream].OwnFlows_;
  return Row;
}

void Balancer::Impl::refreshIdleTimeout(FlowRow &Row) {
  if (Row.Upstream_ != UpstreamTable::None)
    Flows_.rearm(Row, flowTick(Now_.Mono_) + FlowIdleTimeoutTicks);
}

/// Marks a flow as closed; its row is kept for `ClosedFlowRetentionTicks`.
void Balancer::Impl::markFlowClosed(FlowRow &Row) {
  releaseFlow(Row);
  Row.Upstream_ = UpstreamTable::None;
  Flows_.rearm(Row, flowTick(Now_.Mono_) + ClosedFlowRetentionTicks);
}

/// Removes a flow from its upstream's flow count.
void Balancer::Impl::releaseFlow(FlowRow &Row) {
  if (Row.Upstream_ == UpstreamTable::None)
    return;
  std::uint32_t &Count = Upstreams_[Row.Upstream_].OwnFlows_;
  Count -= Count == 0 ? 0 : 1;
}

SignedRoute Balancer::Impl::sealRoute(const FlowRow &Row,
                                      Incarnation Upstream) const {
  const UpstreamRow &U = Upstreams_.rows()[Row.Upstream_];
  Route R;
  R.Service_ = Row.Service_;
  R.Flow_ = Row.Flow_;
  R.Upstream_ = U.Id_;
  R.UpstreamAddress_ = U.Address_;
  R.UpstreamIncarnation_ = Upstream;
  R.PlacedVersion_ = Declaration_ ? Declaration_->Version_ : 0;
  R.HomeAddress_ = Options_.Data_;
  R.HomeIncarnation_ = Options_.Incarnation_;
  R.Epoch_ = Row.Epoch_;
  return signRoute(R, Options_.Keys_[0]);
}

/// Handles an at-most-once request at the home that its route names.
void Balancer::Impl::submit(const Message &M, const Route &R) {
  FlowRow *Row = Flows_.find({M.Service_, M.Flow_});
  bool Lost = !Row || Row->Epoch_ != R.Epoch_;
  if (Lost && (isEnabled(Mechanism::HomeEpoch) &&
               isEnabled(Mechanism::HomeOnlySubmission)))
    return rehome(M, R, ErrorKind::NumberUsed);
  if (!Row)
    Row = createFlow({M.Service_, M.Flow_}, resolveUpstream(R));
  submitToFlow(*Row, M, R, RequestOrigin::Own);
}

/// Returns true once this process has announced its successors. From then on
/// only they dispatch at-most-once requests of its flows and refuse them as not
/// run.
bool Balancer::Impl::hasNamedSuccessors() const {
  return !OwnSuccession_.Successors_.empty() &&
         isEnabled(Mechanism::DelegationOnStop);
}

void Balancer::Impl::submitToFlow(FlowRow &Row, const Message &M,
                                  const Route &R, RequestOrigin Origin) {
  if (Requests_.find({M.Service_, M.Request_, M.Flow_}))
    return; // a duplicate of a request in progress
  WallTime LatestDeadline = Now_.Wall_ + MaxServiceDeadline_ + MaxClockSkew;
  if (M.Deadline_ > LatestDeadline)
    return refuse(M, ErrorKind::DeadlineTooFar, ErrorResponse::OutcomeUnknown);
  std::uint32_t Index = Row.Upstream_;
  bool Closed = Index == UpstreamTable::None;
  bool Used =
      isEnabled(Mechanism::RequestNumberWindow) && Row.isNumberUsed(M.Request_);
  bool Replays = !Closed && Upstreams_[Index].RemembersRequests_;
  if (Used && Origin == RequestOrigin::Own && hasNamedSuccessors())
    return delegate(M, R, PeerMessageKind::Duplicate);
  if (Used && !Replays)
    return refuse(M, ErrorKind::NumberUsed, ErrorResponse::OutcomeUnknown);
  Row.markNumberUsed(M.Request_);
  refreshIdleTimeout(Row);
  // Other balancers may dispatch a copy if the upstream deduplicates.
  bool SoleCopy = !Used && !Replays;
  if (!Used && Origin == RequestOrigin::Own && hasNamedSuccessors())
    return delegate(M, R, PeerMessageKind::Delegated);
  ErrorResponse StrongestAnswer =
      SoleCopy ? ErrorResponse::NotRun : ErrorResponse::OutcomeUnknown;
  if (Closed || resolveUpstream(R) != Index)
    return refuse(M, ErrorKind::FlowUnknown, StrongestAnswer);
  if (M.Deadline_ != WallTime{} && M.Deadline_ <= Now_.Wall_)
    return refuse(M, ErrorKind::DeadlinePassed, StrongestAnswer);
  const ServiceState *S = serviceState(M.Service_);
  if (!S)
    return refuse(M, ErrorKind::UnknownService, StrongestAnswer);
  Message Out = M;
  Out.Epoch_ = hashPair(raw(M.Flow_), M.Request_);
  DispatchOptions Options{true, SoleCopy, Origin != RequestOrigin::Own};
  if (overloaded(*S, Upstreams_[Index]) ||
      !dispatchRequest(Out, R, Index, Options))
    refuse(M, ErrorKind::Overloaded, StrongestAnswer);
}

/// Forwards a request to another balancer and retransmits it until accepted.
/// After that this balancer can't know whether the request was run.
void Balancer::Impl::forwardToPeer(const Message &M, const Route &R,
                                   const Endpoint &Destination,
                                   PeerMessageKind Kind) {
  RequestKey Key{M.Service_, M.Request_, M.Flow_};
  if (Forwards_.find(Key))
    return;
  if (Kind == PeerMessageKind::Forwarded && Destination == R.HomeAddress_ &&
      isSuspect(R.HomeIncarnation_))
    return rehome(M, R, ErrorKind::HomeUnreachable);
  ForwardRow Row;
  Row.Key_ = Key;
  Row.Destination_ = Destination;
  Row.Kind_ = Kind;
  Row.Tries_ = 1;
  Row.store(M);
  if (!Forwards_.insert(Row, requestTick(Now_.Mono_) + ForwardTimeoutTicks[0]))
    return refuse(M, ErrorKind::Overloaded, ErrorResponse::OutcomeUnknown);
  sendToPeer(Destination, Kind, M);
}

void Balancer::Impl::expireForwards() {
  std::uint32_t Tick = requestTick(Now_.Mono_);
  Forwards_.expire(Tick, [this, Tick](ForwardRow &Row) {
    if (Row.Tries_ == MaxForwardTries)
      return abandonForward(Row, ErrorKind::HomeUnreachable);
    Forwards_.rearm(Row, Tick + ForwardTimeoutTicks[Row.Tries_]);
    ++Row.Tries_;
    sendToPeer(Row.Destination_, Row.Kind_, Row.message());
  });
}

void Balancer::Impl::abandonForward(ForwardRow &Row, ErrorKind Reason) {
  Message M = Row.message();
  Route R;
  if (thymewall::verifyRoute(M.Route_, Options_.Keys_, M.Service_, M.Flow_,
                             R) == ErrorKind::None) {
    if (Row.Kind_ == PeerMessageKind::Forwarded &&
        Row.Destination_ == R.HomeAddress_)
      markSuspect(R.HomeIncarnation_);
    rehome(M, R, Reason);
  }
}

bool Balancer::Impl::isSuspect(Incarnation Home) const {
  for (const SuspectHome &S : SuspectHomes_)
    if (S.Home_ == Home)
      return true;
  return false;
}

void Balancer::Impl::markSuspect(Incarnation Home) {
  if (!isSuspect(Home))
    SuspectHomes_.push_back({Home, Now_.Mono_ + SuspicionTimeout});
}

/// Makes this process the home of a flow whose home is suspect. Requests
/// already sent keep the old route; new ones use the new home's. Returns null
/// if the home is not suspect or the flow can't be taken over.
FlowRow *Balancer::Impl::takeOverFlow(const Route &R) {
  if (Stopping_ || isHome(R) || !isSuspect(R.HomeIncarnation_))
    return nullptr;
  std::uint32_t Index = resolveUpstream(R);
  if (Index == UpstreamTable::None)
    return nullptr;
  FlowRow *Row = findOrCreateFlow({R.Service_, R.Flow_}, Index);
  bool Open = Row && Row->Upstream_ != UpstreamTable::None;
  Counters_.Moved_ += Open ? 1 : 0;
  return Open ? Row : nullptr;
}

void Balancer::Impl::notifyMoved(const Message &M, const Route &R) {
  FlowRow *Row = takeOverFlow(R);
  if (!Row)
    return;
  SignedRoute Sealed = sealRoute(*Row, R.UpstreamIncarnation_);
  Message Out = makeReply(M, MessageKind::Moved);
  Out.Route_ = Sealed.bytes();
  (*Sink_)(ToCaller{M.Caller_, Out});
}

/// Makes this process the home of a flow whose home or row is lost, and refuses
/// the request with an unknown outcome. If the upstream deduplicates requests,
/// sends it the request again instead.
void Balancer::Impl::rehome(const Message &M, const Route &R,
                            ErrorKind Reason) {
  FlowKey Key{M.Service_, M.Flow_};
  std::uint32_t Index = resolveUpstream(R);
  bool Gone = Index == UpstreamTable::None;
  FlowRow *Row = Gone || Stopping_ ? nullptr : findOrCreateFlow(Key, Index);
  ++Counters_.Rehomed_;
  if (!Row || Row->Upstream_ == UpstreamTable::None)
    return refuse(M, Reason, ErrorResponse::OutcomeUnknown);
  if (Row->Upstream_ == Index && Upstreams_[Index].RemembersRequests_)
    return submitToFlow(*Row, M, R, RequestOrigin::Replayed);
  Row->markNumberUsed(M.Request_);
  SignedRoute Sealed = sealRoute(*Row, R.UpstreamIncarnation_);
  refuse(M, Reason, ErrorResponse::OutcomeUnknown, Sealed.bytes());
}

void Balancer::Impl::on(const FromPeer &E) {
  const Message &M = E.Datagram_.Inner_;
  ForwardRow *Row = Forwards_.find({M.Service_, M.Request_, M.Flow_});
  switch (E.Datagram_.Kind_) {
  case PeerMessageKind::Forwarded:
  case PeerMessageKind::Delegated:
  case PeerMessageKind::Duplicate:
    return onForwarded(M, E.From_, E.Datagram_.Kind_);
  case PeerMessageKind::ForwardAccepted:
    if (Row && Row->Destination_ == E.From_)
      Forwards_.erase(*Row);
    return;
  case PeerMessageKind::NotHome:
    if (Row && Row->Destination_ == E.From_) {
      abandonForward(*Row, ErrorKind::HomeUnreachable);
      Forwards_.erase(*Row);
    }
    return;
  }
}

void Balancer::Impl::acknowledge(const Message &M, const Endpoint &To,
                                 PeerMessageKind Kind) {
  sendToPeer(To, Kind, makeReply(M, M.Kind_));
}

/// Handles a duplicate from a stopping home, which ran the request itself or
/// delegated it to this balancer, where it may be in progress.
void Balancer::Impl::onDuplicate(const Message &M, const Endpoint &From) {
  acknowledge(M, From, PeerMessageKind::ForwardAccepted);
  if (!Requests_.find({M.Service_, M.Request_, M.Flow_}))
    refuse(M, ErrorKind::NumberUsed, ErrorResponse::OutcomeUnknown);
}

void Balancer::Impl::onForwarded(const Message &M, const Endpoint &From,
                                 PeerMessageKind Kind) {
  if (M.Kind_ == MessageKind::Open)
    return openFlow(M, false);
  Route R;
  ErrorKind Reason =
      thymewall::verifyRoute(M.Route_, Options_.Keys_, M.Service_, M.Flow_, R);
  if (Reason != ErrorKind::None)
    return drop(Reason);
  if (M.Kind_ == MessageKind::Close) {
    FlowRow *Row = Flows_.find({M.Service_, M.Flow_});
    if (isHome(R) && Row && Row->Epoch_ == R.Epoch_)
      markFlowClosed(*Row);
    return;
  }
  if (M.Kind_ != MessageKind::Request || M.repeatable())
    return drop(ErrorKind::Malformed);
  if (Kind == PeerMessageKind::Duplicate)
    return onDuplicate(M, From);
  bool IsDelegated = Kind == PeerMessageKind::Delegated;
  const Succession *S = findSuccession(R);
  bool IsSuccessor = S && successorOf(*S, {M.Service_, M.Flow_}).Incarnation_ ==
                              Options_.Incarnation_;
  bool AdoptsFlow = IsDelegated || (IsSuccessor && mayAdopt(M, R));
  bool Accepts = isHome(R) || AdoptsFlow;
  acknowledge(M, From,
              Accepts ? PeerMessageKind::ForwardAccepted
                      : PeerMessageKind::NotHome);
  if (isHome(R))
    return submit(M, R);
  if (AdoptsFlow)
    adopt(M, R);
}

} // namespace thymewall
