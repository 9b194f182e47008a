#include "balancer-impl.h"

namespace thymewall {

using detail::has;
using detail::Mechanism;

namespace {

/// Longer than copies of one datagram are apart, shorter than a caller waits
/// before it asks again.
constexpr Micros CopiesFor = std::chrono::milliseconds(150);

} // namespace

void Balancer::Impl::on(const FromUpstream &E) {
  const Message &M = E.Message_;
  std::uint32_t Index = Upstreams_.byEndpoint(E.From_);
  if (Index == UpstreamTable::None)
    return drop(ErrorKind::UnknownSender);
  Upstreams_.seen(Index, M.Incarnation_, Now_.Mono_);
  Upstreams_[Index].ReportedFlows_ = M.Load_;
  switch (M.Kind_) {
  case Kind::Opened:
    return onOpened(M, Index);
  case Kind::Answer:
    return onAnswer(M, Index);
  case Kind::Refused:
    return onRefused(M, Index);
  case Kind::Reset:
    return onReset(M, Index);
  case Kind::Push:
  case Kind::Pong:
    return relayToCaller(M);
  default:
    return drop(ErrorKind::Malformed);
  }
}

/// The request in progress that a datagram of an upstream belongs to; null,
/// and counted, when it was given up or belongs to an earlier attempt.
RequestRow *Balancer::Impl::attemptOf(const Message &M,
                                      std::uint32_t Upstream) {
  RequestRow *Row = Requests_.find({M.Service_, M.Request_, M.Flow_});
  bool Same = Row && !Row->Done_ &&
              (Row->Attempt_ == M.Attempt_ || !has(Mechanism::AttemptMatch));
  if (Same && Row->Upstream_ == Upstream)
    return Row;
  drop(ErrorKind::LateAnswer);
  return nullptr;
}

void Balancer::Impl::finish(RequestRow &Row) {
  if (!Row.Done_) // else it left the count when it was settled
    --Upstreams_[Row.Upstream_].InFlight_;
  Requests_.erase(Row);
}

/// Ends a request whose last part went to the caller. A copy of it that comes
/// soon is the network's or crossed the answer, and is not told anything else.
void Balancer::Impl::settle(RequestRow &Row) {
  if (!Row.Once_)
    return finish(Row);
  --Upstreams_[Row.Upstream_].InFlight_;
  Row.Done_ = true;
  Requests_.rearm(Row, requestTick(Now_.Mono_ + CopiesFor));
}

void Balancer::Impl::onOpened(const Message &M, std::uint32_t Upstream) {
  RequestRow *Row = attemptOf(M, Upstream);
  if (!Row || M.Request_ != 0)
    return;
  Upstreams_.succeeded(Upstream);
  if (Options_.OnDelay_)
    Options_.OnDelay_(M.Service_, RequestClass::Open, Now_.Mono_ - Row->Sent_);
  Endpoint Caller = Row->Caller_;
  FlowKey Key{M.Service_, M.Flow_};
  FlowRow *Flow = Flows_.find(Key);
  if (!Flow) {
    // `becomeHome` counts the flow itself.
    --Upstreams_[Upstream].OwnFlows_;
    Flow = becomeHome(Key, Upstream);
  }
  if (!Flow) {
    refuseRow(*Row, ErrorKind::Overloaded, ErrorResponse::NotRun);
    return finish(*Row);
  }
  finish(*Row);
  ++Counters_.Opened_;
  SignedRoute Sealed = routeOf(*Flow, M.Incarnation_);
  Message Out = about(M, Kind::Opened);
  Out.Route_ = Sealed.bytes();
  (*Sink_)(ToCaller{Caller, Out});
}

/// Sends a part on to the caller. All parts that a caller gets under one
/// attempt number come from one run of the request.
void Balancer::Impl::onAnswer(const Message &M, std::uint32_t Upstream) {
  RequestRow *Row = attemptOf(M, Upstream);
  if (!Row)
    return;
  std::uint16_t Parts = M.Parts_ == 0 ? 1 : M.Parts_;
  if (Row->Parts_ != 0 && Row->Parts_ != Parts)
    return drop(ErrorKind::Malformed);
  Row->Parts_ = Parts;
  std::uint64_t Bit = std::uint64_t{1} << M.Part_;
  if ((Row->PartsSeen_ & Bit) != 0)
    return drop(ErrorKind::RepeatedPart);
  Row->PartsSeen_ |= Bit;
  Message Out = M;
  Out.Caller_ = {};
  Out.Incarnation_ = {};
  Out.Load_ = 0;
  Out.Epoch_ = 0;
  SignedRoute Sealed;
  FlowRow *Flow = Row->NewRoute_ ? Flows_.find({M.Service_, M.Flow_}) : nullptr;
  if (Flow && Flow->Upstream_ == Upstream)
    Sealed = routeOf(*Flow, M.Incarnation_);
  Out.Route_ = Sealed.bytes();
  (*Sink_)(ToCaller{Row->Caller_, Out});
  if (Row->PartsSeen_ != allParts(Parts))
    return;
  ++Counters_.Answered_;
  Upstreams_.succeeded(Upstream);
  if (Options_.OnDelay_)
    Options_.OnDelay_(
        M.Service_, Row->Once_ ? RequestClass::Once : RequestClass::Repeatable,
        Now_.Mono_ - Row->Sent_);
  settle(*Row);
}

/// An upstream refuses before it starts. Where the home of a request has handed
/// it on just this once, `not run` is true.
void Balancer::Impl::onRefused(const Message &M, std::uint32_t Upstream) {
  RequestRow *Row = attemptOf(M, Upstream);
  if (!Row)
    return;
  if (M.Request_ == 0) {
    std::uint64_t Attempt = Row->Attempt_;
    retryOpen(*Row, ErrorKind::UpstreamRefused);
    if (Row->Attempt_ == Attempt)
      Requests_.erase(*Row);
    return;
  }
  bool Started = Row->PartsSeen_ != 0;
  ErrorResponse Bound = Row->Only_ && !Started ? ErrorResponse::NotRun
                                               : ErrorResponse::OutcomeUnknown;
  refuseRow(*Row, ErrorKind::UpstreamRefused, Bound, M.RetryAt_);
  finish(*Row);
}

/// The upstream does not hold the flow, so it has not started the request.
void Balancer::Impl::onReset(const Message &M, std::uint32_t Upstream) {
  FlowRow *Flow = Flows_.find({M.Service_, M.Flow_});
  if (Flow && Flow->Upstream_ == Upstream)
    closeRow(*Flow);
  bool NotRun = false;
  if (M.Request_ != 0) {
    RequestRow *Row = attemptOf(M, Upstream);
    if (!Row)
      return;
    NotRun = Row->Only_ && Row->PartsSeen_ == 0;
    finish(*Row);
  }
  ++(NotRun ? Counters_.NotRun_ : Counters_.OutcomeUnknown_);
  Message Out = about(M, Kind::Reset);
  Out.Flags_ = NotRun ? FlagNotRun : FlagOutcomeUnknown;
  Out.Reason_ = ErrorKind::FlowUnknown;
  (*Sink_)(ToCaller{M.Caller_, Out});
}

/// Pushes and pongs carry their caller, so any balancer sends them on.
void Balancer::Impl::relayToCaller(const Message &M) {
  if (M.Caller_.empty() || !serviceState(M.Service_))
    return drop(ErrorKind::Malformed);
  Message Out = M;
  Out.Caller_ = {};
  Out.Incarnation_ = {};
  Out.Load_ = 0;
  (*Sink_)(ToCaller{M.Caller_, Out});
}

} // namespace thymewall
