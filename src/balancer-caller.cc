#include "balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;

namespace {

using namespace std::chrono_literals;

constexpr Micros OpenAttemptTimeout = 300ms;
constexpr double MaxRetryTokens = 20;
constexpr std::uint8_t MaxOpenTries = 3;

RequestKey keyOf(const Message &M) { return {M.Service_, M.Request_, M.Flow_}; }

} // namespace

void Balancer::Impl::on(const FromCaller &E) {
  Message M = E.Message_;
  M.Caller_ = E.From_;
  if (!serviceState(M.Service_))
    return drop(ErrorKind::UnknownService);
  if (M.Kind_ == MessageKind::Open) {
    if (E.WireSize_ < MinOpenSize)
      return drop(ErrorKind::Malformed);
    return openFlow(M, true);
  }
  bool Known = M.Kind_ == MessageKind::Request ||
               M.Kind_ == MessageKind::Ping || M.Kind_ == MessageKind::Cancel ||
               M.Kind_ == MessageKind::Close;
  if (!Known || (M.Kind_ == MessageKind::Request && M.Request_ == 0))
    return drop(ErrorKind::Malformed);
  if (M.Kind_ == MessageKind::Request)
    return handleRequest(M);
  Route R;
  if (!readRoute(M, R))
    return;
  if (M.Kind_ == MessageKind::Close)
    return closeFlow(M, R);
  if (M.Kind_ == MessageKind::Ping)
    notifyMoved(M, R);
  relayToUpstream(M, R);
}

bool Balancer::Impl::readRoute(const Message &M, Route &R) {
  if (M.Route_.empty()) {
    ++Counters_.ResolvedBy_[static_cast<std::size_t>(ResolvedBy::Refused)];
    if (M.Kind_ == MessageKind::Request)
      refuse(M, ErrorKind::RouteRequired, ErrorResponse::OutcomeUnknown);
    else
      drop(ErrorKind::RouteRequired);
    return false;
  }
  ErrorKind Reason =
      thymewall::verifyRoute(M.Route_, Options_.Keys_, M.Service_, M.Flow_, R);
  if (Reason == ErrorKind::None)
    return true;
  drop(Reason);
  return false;
}

/// Returns the index of the upstream that a route names, adding it if it is no
/// longer declared, or `None` if its address now belongs to another upstream.
std::uint32_t Balancer::Impl::resolveUpstream(const Route &R) {
  std::uint32_t Index = Upstreams_.findById(R.Upstream_);
  std::uint32_t AtAddress = Upstreams_.findByEndpoint(R.UpstreamAddress_);
  bool Reused = AtAddress != UpstreamTable::None && AtAddress != Index;
  if (Reused || Index != UpstreamTable::None)
    return Reused ? UpstreamTable::None : Index;
  return Upstreams_.addUndeclared(R.Upstream_, R.UpstreamAddress_);
}

void Balancer::Impl::openFlow(Message M, bool MayForward) {
  ++Counters_.Opens_;
  ServiceState *S = serviceState(M.Service_);
  M.Request_ = 0;
  if (Requests_.find(keyOf(M)))
    return; // a retransmission of an open in progress
  if (!S || !ready())
    return refuse(M, ErrorKind::NotReady, ErrorResponse::NotRun);
  FlowKey Key{M.Service_, M.Flow_};
  if (Stopping_ && MayForward) {
    if (const Peer *P = successorForOpen(Key))
      return sendToPeer(P->Data_, PeerMessageKind::Forwarded, M);
  }
  WallTime Latest = Now_.Wall_ + S->Service_.DefaultTimeout_;
  if (M.Deadline_ == WallTime{} || M.Deadline_ > Latest)
    M.Deadline_ = Latest;
  if (M.Deadline_ <= Now_.Wall_)
    return refuse(M, ErrorKind::DeadlinePassed, ErrorResponse::NotRun);
  double RetryTokens = S->RetryTokens_ + S->Service_.RetryBudget_;
  S->RetryTokens_ = std::min(RetryTokens, MaxRetryTokens);
  placeFlow(M, *S);
}

const EligibleSet &Balancer::Impl::eligibleUpstreams(ServiceState &S) {
  if (S.Generation_ == Upstreams_.generation())
    return S.Eligible_;
  Upstreams_.selectEligible(S.Selected_, Now_.Mono_, S.Eligible_);
  S.Generation_ = Upstreams_.generation();
  return S.Eligible_;
}

std::uint32_t
Balancer::Impl::chooseUpstream(const FlowKey &Key,
                               const EligibleSet &Candidates) const {
  ChooserInput C{Key, Candidates, Upstreams_.rows(), Now_.Mono_};
  return Candidates.Indexes_[Options_.Chooser_(C)];
}

/// Sends an open to an upstream. A retransmitted open, whose `Opened` was lost,
/// goes to the flow's existing upstream.
void Balancer::Impl::placeFlow(const Message &M, ServiceState &S) {
  FlowKey Key{M.Service_, M.Flow_};
  FlowRow *Existing = Flows_.find(Key);
  std::uint32_t Index = Existing ? Existing->Upstream_ : UpstreamTable::None;
  if (Existing && Index == UpstreamTable::None)
    return drop(ErrorKind::NumberUsed); // late duplicate for a closed flow
  if (Index == UpstreamTable::None) {
    const EligibleSet &Candidates = eligibleUpstreams(S);
    if (Candidates.empty())
      return refuse(M, ErrorKind::NoUpstream, ErrorResponse::NotRun);
    Index = chooseUpstream(Key, Candidates);
  }
  RequestRow Row;
  Row.Key_ = keyOf(M);
  Row.Attempt_ = nextAttempt();
  Row.Deadline_ = M.Deadline_;
  Row.SentAt_ = Now_.Mono_;
  Row.Caller_ = M.Caller_;
  Row.Upstream_ = Index;
  Row.Tries_ = 1;
  WallTime TryUntil = std::min(M.Deadline_, Now_.Wall_ + OpenAttemptTimeout);
  if (!Requests_.insert(Row, requestDue(TryUntil)))
    return refuse(M, ErrorKind::Overloaded, ErrorResponse::NotRun);
  // Counted before the reply, so that a burst of opens is spread.
  if (!Existing)
    ++Upstreams_[Index].OwnFlows_;
  ++Upstreams_[Index].InFlight_;
  sendOpen(Row);
}

void Balancer::Impl::sendOpen(const RequestRow &Row) {
  Message M;
  M.Kind_ = MessageKind::Open;
  M.Service_ = Row.Key_.Service_;
  M.Flow_ = Row.Key_.Flow_;
  M.Deadline_ = Row.Deadline_;
  M.Attempt_ = Row.Attempt_;
  M.Caller_ = Row.Caller_;
  sendToUpstream(Upstreams_[Row.Upstream_].Address_, M);
}

/// Retries an open at another upstream, or refuses it as not run if the retry
/// budget, the number of tries or the deadline is exceeded.
void Balancer::Impl::retryOpen(RequestRow &Row, ErrorKind Reason) {
  ServiceState *S = serviceState(Row.Key_.Service_);
  UpstreamRow &Last = Upstreams_[Row.Upstream_];
  FlowKey Key{Row.Key_.Service_, Row.Key_.Flow_};
  bool HasFlow = Flows_.find(Key) != nullptr;
  --Last.InFlight_;
  if (!HasFlow)
    --Last.OwnFlows_;
  bool MayRetry = S && !HasFlow && Row.Tries_ < MaxOpenTries &&
                  S->RetryTokens_ >= 1 && Now_.Wall_ < Row.Deadline_;
  EligibleSet Alternatives;
  if (MayRetry)
    for (std::uint32_t Index : eligibleUpstreams(*S).Indexes_)
      if (Index != Row.Upstream_)
        Alternatives.add(Index, Upstreams_[Index].Slots_);
  if (Alternatives.empty())
    return refuseRow(Row, Reason, ErrorResponse::NotRun);
  S->RetryTokens_ -= 1;
  ++Counters_.Retries_;
  Row.Upstream_ = chooseUpstream(Key, Alternatives);
  Row.Attempt_ = nextAttempt();
  ++Row.Tries_;
  ++Upstreams_[Row.Upstream_].OwnFlows_;
  ++Upstreams_[Row.Upstream_].InFlight_;
  Requests_.rearm(Row, requestDue(std::min(Row.Deadline_,
                                           Now_.Wall_ + OpenAttemptTimeout)));
  sendOpen(Row);
}

void Balancer::Impl::handleRequest(const Message &M) {
  ++Counters_.Requests_;
  Route R;
  if (!readRoute(M, R))
    return;
  if (M.repeatable()) {
    ++Counters_.ResolvedBy_[static_cast<std::size_t>(ResolvedBy::Route)];
    return dispatchRepeatable(M, R);
  }
  if (isHome(R) || !isEnabled(Mechanism::HomeOnlySubmission)) {
    ++Counters_.ResolvedBy_[static_cast<std::size_t>(ResolvedBy::Home)];
    return submit(M, R);
  }
  ++Counters_.ResolvedBy_[static_cast<std::size_t>(ResolvedBy::Passed)];
  if (const Succession *S = findSuccession(R); S && mayAdopt(M, R)) {
    const Successor &Next = successorOf(*S, {M.Service_, M.Flow_});
    if (Next.Incarnation_ == Options_.Incarnation_)
      return adopt(M, R);
    return forwardToPeer(M, R, Next.Data_, PeerMessageKind::Forwarded);
  }
  if (R.HomeAddress_ == Options_.Data_) // an earlier process at this address
    return rehome(M, R, ErrorKind::HomeUnreachable);
  forwardToPeer(M, R, R.HomeAddress_, PeerMessageKind::Forwarded);
}

bool Balancer::Impl::overloaded(const ServiceState &S,
                                const UpstreamRow &U) const {
  return U.InFlight_ >=
         std::uint64_t{S.Service_.MaxInFlightPerSlot_} * U.Slots_;
}

/// Dispatches a repeatable request. Other balancers may dispatch copies of it,
/// so it is never refused as not run.
void Balancer::Impl::dispatchRepeatable(const Message &M, const Route &R) {
  if (M.Deadline_ != WallTime{} && M.Deadline_ <= Now_.Wall_)
    return refuse(M, ErrorKind::DeadlinePassed, ErrorResponse::OutcomeUnknown);
  std::uint32_t Index = resolveUpstream(R);
  if (Index == UpstreamTable::None)
    return refuse(M, ErrorKind::FlowUnknown, ErrorResponse::OutcomeUnknown);
  if (RequestRow *Previous = Requests_.find(keyOf(M)))
    removeRequest(*Previous); // the retry replaces the earlier attempt
  if (overloaded(*serviceState(M.Service_), Upstreams_[Index]))
    return refuse(M, ErrorKind::Overloaded, ErrorResponse::OutcomeUnknown);
  DispatchOptions Options;
  Options.NewRoute_ = takeOverFlow(R) != nullptr;
  if (!dispatchRequest(M, R, Index, Options))
    refuse(M, ErrorKind::Overloaded, ErrorResponse::OutcomeUnknown);
}

/// Sends a request to its upstream and tracks it until its last part or its
/// deadline. Returns false and sends nothing if the request table is full.
bool Balancer::Impl::dispatchRequest(const Message &M, const Route &R,
                                     std::uint32_t Upstream,
                                     DispatchOptions Options) {
  const ServiceState *S = serviceState(M.Service_);
  RequestRow Row;
  Row.Key_ = keyOf(M);
  Row.Attempt_ = nextAttempt();
  Row.Deadline_ = M.Deadline_ == WallTime{}
                      ? Now_.Wall_ + S->Service_.DefaultTimeout_
                      : M.Deadline_;
  Row.SentAt_ = Now_.Mono_;
  Row.Caller_ = M.Caller_;
  Row.Upstream_ = Upstream;
  Row.AtMostOnce_ = Options.AtMostOnce_;
  Row.SoleCopy_ = Options.SoleCopy_;
  Row.NewRoute_ = Options.NewRoute_;
  WallTime Expiry =
      std::min(Row.Deadline_, Now_.Wall_ + MaxServiceDeadline_ + MaxClockSkew);
  if (!Requests_.insert(Row, requestDue(Expiry)))
    return false;
  ++Upstreams_[Upstream].InFlight_;
  Message Out = M;
  Out.Route_ = {};
  Out.Deadline_ = Row.Deadline_;
  Out.Attempt_ = Row.Attempt_;
  Out.Incarnation_ = R.UpstreamIncarnation_;
  sendToUpstream(R.UpstreamAddress_, Out);
  return true;
}

void Balancer::Impl::relayToUpstream(const Message &M, const Route &R) {
  if (resolveUpstream(R) == UpstreamTable::None)
    return drop(ErrorKind::FlowUnknown);
  ++Counters_.ResolvedBy_[static_cast<std::size_t>(ResolvedBy::Route)];
  if (FlowRow *Row = isHome(R) ? Flows_.find({M.Service_, M.Flow_}) : nullptr)
    refreshIdleTimeout(*Row);
  Message Out = M;
  Out.Route_ = {};
  Out.Incarnation_ = R.UpstreamIncarnation_;
  sendToUpstream(R.UpstreamAddress_, Out);
}

/// Sends a close to the upstream and to the home. If the close is lost, the
/// flow's idle timeout applies.
void Balancer::Impl::closeFlow(const Message &M, const Route &R) {
  relayToUpstream(M, R);
  if (!isHome(R))
    return sendToPeer(R.HomeAddress_, PeerMessageKind::Forwarded, M);
  FlowRow *Row = Flows_.find({M.Service_, M.Flow_});
  if (Row && Row->Epoch_ == R.Epoch_)
    markFlowClosed(*Row);
}

void Balancer::Impl::drop(ErrorKind Reason) {
  ++Counters_.Errors_[static_cast<std::size_t>(Reason)];
}

/// Refuses a request. \p StrongestAnswer is `NotRun` only if no copy was or
/// will be dispatched; the table of error kinds may lower it.
void Balancer::Impl::refuse(const Message &M, ErrorKind Reason,
                            ErrorResponse StrongestAnswer, Bytes NewRoute) {
  ++Counters_.Errors_[static_cast<std::size_t>(Reason)];
  const ErrorRow &Row = errorRow(Reason);
  bool MaySayNotRun = StrongestAnswer == ErrorResponse::NotRun ||
                      !isEnabled(Mechanism::NotRunDowngrade);
  bool NotRun = MaySayNotRun && Row.Response_ == ErrorResponse::NotRun;
  ++(NotRun ? Counters_.NotRun_ : Counters_.OutcomeUnknown_);
  Message Out = makeReply(M, MessageKind::Refused);
  Out.Flags_ = NotRun ? FlagNotRun : FlagOutcomeUnknown;
  Out.Reason_ = Reason;
  auto Spread = std::chrono::duration_cast<Micros>(Row.RetryAfter_ *
                                                   (1 + randomFraction()));
  Out.RetryAt_ = std::max(M.RetryAt_, Now_.Wall_ + Spread);
  Out.Route_ = NewRoute;
  (*Sink_)(ToCaller{M.Caller_, Out});
}

void Balancer::Impl::refuseRow(const RequestRow &Row, ErrorKind Reason,
                               ErrorResponse StrongestAnswer,
                               WallTime RetryAt) {
  Message M;
  M.Service_ = Row.Key_.Service_;
  M.Flow_ = Row.Key_.Flow_;
  M.Request_ = Row.Key_.Number_;
  M.Caller_ = Row.Caller_;
  M.RetryAt_ = RetryAt;
  // Opens have no effect, so their outcome is never unknown.
  if (M.Request_ == 0 && Reason == ErrorKind::NoAnswer)
    Reason = ErrorKind::NoUpstream;
  refuse(M, Reason, StrongestAnswer);
}

void Balancer::Impl::sendToUpstream(const Endpoint &To, const Message &M) {
  (*Sink_)(ToUpstream{To, M});
}

void Balancer::Impl::sendToPeer(const Endpoint &To, PeerMessageKind Kind,
                                const Message &M) {
  (*Sink_)(ToPeer{To, PeerDatagram{Kind, M}});
}

} // namespace thymewall
