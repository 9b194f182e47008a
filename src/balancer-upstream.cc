#include "balancer-impl.h"

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;

namespace {

/// How long duplicates of an answered request are dropped: longer than the
/// network spreads duplicates, shorter than a caller's retry interval.
constexpr Micros DuplicateWindow = std::chrono::milliseconds(150);

} // namespace

void Balancer::Impl::on(const FromUpstream &E) {
  const Message &M = E.Message_;
  std::uint32_t Index = Upstreams_.findByEndpoint(E.From_);
  if (Index == UpstreamTable::None)
    return drop(ErrorKind::UnknownSender);
  Upstreams_.recordIncarnation(Index, M.Incarnation_, Now_.Mono_);
  Upstreams_[Index].ReportedFlows_ = M.OpenFlows_;
  switch (M.Kind_) {
  case MessageKind::Opened:
    return onOpened(M, Index);
  case MessageKind::Answer:
    return onAnswer(M, Index);
  case MessageKind::Refused:
    return onRefused(M, Index);
  case MessageKind::Reset:
    return onReset(M, Index);
  case MessageKind::Push:
  case MessageKind::Pong:
    return relayToCaller(M);
  default:
    return drop(ErrorKind::Malformed);
  }
}

/// Returns the request in progress to which an upstream's datagram belongs.
/// Counts a late answer and returns null if the datagram is of an earlier
/// attempt or the request has ended.
RequestRow *Balancer::Impl::findAttempt(const Message &M,
                                        std::uint32_t Upstream) {
  RequestRow *Row = Requests_.find({M.Service_, M.Request_, M.Flow_});
  bool IsCurrentAttempt =
      Row && !Row->Completed_ &&
      (Row->Attempt_ == M.Attempt_ || !isEnabled(Mechanism::AttemptMatch));
  if (IsCurrentAttempt && Row->Upstream_ == Upstream)
    return Row;
  drop(ErrorKind::LateAnswer);
  return nullptr;
}

void Balancer::Impl::removeRequest(RequestRow &Row) {
  if (!Row.Completed_) // else `completeRequest` has decremented it
    --Upstreams_[Row.Upstream_].InFlight_;
  Requests_.erase(Row);
}

/// Ends a request after the last part of its answer. An at-most-once request's
/// row is kept for `DuplicateWindow` to drop duplicates without a reply.
void Balancer::Impl::completeRequest(RequestRow &Row) {
  if (!Row.AtMostOnce_)
    return removeRequest(Row);
  --Upstreams_[Row.Upstream_].InFlight_;
  Row.Completed_ = true;
  Requests_.rearm(Row, requestTick(Now_.Mono_ + DuplicateWindow));
}

void Balancer::Impl::onOpened(const Message &M, std::uint32_t Upstream) {
  RequestRow *Row = findAttempt(M, Upstream);
  if (!Row || M.Request_ != 0)
    return;
  Upstreams_.recordSuccess(Upstream);
  if (Options_.OnDelay_)
    Options_.OnDelay_(M.Service_, RequestClass::Open,
                      Now_.Mono_ - Row->SentAt_);
  Endpoint Caller = Row->Caller_;
  FlowKey Key{M.Service_, M.Flow_};
  FlowRow *Flow = Flows_.find(Key);
  if (!Flow) {
    // `createFlow` counts the flow itself.
    --Upstreams_[Upstream].OwnFlows_;
    Flow = createFlow(Key, Upstream);
  }
  if (!Flow) {
    refuseRow(*Row, ErrorKind::Overloaded, ErrorResponse::NotRun);
    return removeRequest(*Row);
  }
  removeRequest(*Row);
  ++Counters_.Opened_;
  SignedRoute Sealed = sealRoute(*Flow, M.Incarnation_);
  Message Out = makeReply(M, MessageKind::Opened);
  Out.Route_ = Sealed.bytes();
  (*Sink_)(ToCaller{Caller, Out});
}

/// Relays a part of an answer to the caller. All parts with the same attempt
/// number come from one execution of the request.
void Balancer::Impl::onAnswer(const Message &M, std::uint32_t Upstream) {
  RequestRow *Row = findAttempt(M, Upstream);
  if (!Row)
    return;
  std::uint16_t Parts = M.Parts_ == 0 ? 1 : M.Parts_;
  if (Row->Parts_ != 0 && Row->Parts_ != Parts)
    return drop(ErrorKind::Malformed);
  Row->Parts_ = Parts;
  std::uint64_t Bit = std::uint64_t{1} << M.Part_;
  if ((Row->ReceivedParts_ & Bit) != 0)
    return drop(ErrorKind::RepeatedPart);
  Row->ReceivedParts_ |= Bit;
  Message Out = M;
  Out.Caller_ = {};
  Out.Incarnation_ = {};
  Out.OpenFlows_ = 0;
  Out.Epoch_ = 0;
  SignedRoute Sealed;
  FlowRow *Flow = Row->NewRoute_ ? Flows_.find({M.Service_, M.Flow_}) : nullptr;
  if (Flow && Flow->Upstream_ == Upstream)
    Sealed = sealRoute(*Flow, M.Incarnation_);
  Out.Route_ = Sealed.bytes();
  (*Sink_)(ToCaller{Row->Caller_, Out});
  if (Row->ReceivedParts_ != allPartsMask(Parts))
    return;
  ++Counters_.Answered_;
  Upstreams_.recordSuccess(Upstream);
  if (Options_.OnDelay_)
    Options_.OnDelay_(M.Service_,
                      Row->AtMostOnce_ ? RequestClass::Once
                                       : RequestClass::Repeatable,
                      Now_.Mono_ - Row->SentAt_);
  completeRequest(*Row);
}

/// Handles a refusal, which upstreams send before they start a request. The
/// request is reported as not run only if this was its sole copy.
void Balancer::Impl::onRefused(const Message &M, std::uint32_t Upstream) {
  RequestRow *Row = findAttempt(M, Upstream);
  if (!Row)
    return;
  if (M.Request_ == 0) {
    std::uint64_t Attempt = Row->Attempt_;
    retryOpen(*Row, ErrorKind::UpstreamRefused);
    if (Row->Attempt_ == Attempt)
      Requests_.erase(*Row);
    return;
  }
  bool Started = Row->ReceivedParts_ != 0;
  ErrorResponse StrongestAnswer = Row->SoleCopy_ && !Started
                                      ? ErrorResponse::NotRun
                                      : ErrorResponse::OutcomeUnknown;
  refuseRow(*Row, ErrorKind::UpstreamRefused, StrongestAnswer, M.RetryAt_);
  removeRequest(*Row);
}

/// Handles a reset, which an upstream sends if it doesn't know the flow and so
/// has not started the request.
void Balancer::Impl::onReset(const Message &M, std::uint32_t Upstream) {
  FlowRow *Flow = Flows_.find({M.Service_, M.Flow_});
  if (Flow && Flow->Upstream_ == Upstream)
    markFlowClosed(*Flow);
  bool NotRun = false;
  if (M.Request_ != 0) {
    RequestRow *Row = findAttempt(M, Upstream);
    if (!Row)
      return;
    NotRun = Row->SoleCopy_ && Row->ReceivedParts_ == 0;
    removeRequest(*Row);
  }
  ++(NotRun ? Counters_.NotRun_ : Counters_.OutcomeUnknown_);
  Message Out = makeReply(M, MessageKind::Reset);
  Out.Flags_ = NotRun ? FlagNotRun : FlagOutcomeUnknown;
  Out.Reason_ = ErrorKind::FlowUnknown;
  (*Sink_)(ToCaller{M.Caller_, Out});
}

/// Relays a push or pong to the caller that it names.
void Balancer::Impl::relayToCaller(const Message &M) {
  if (M.Caller_.empty() || !serviceState(M.Service_))
    return drop(ErrorKind::Malformed);
  Message Out = M;
  Out.Caller_ = {};
  Out.Incarnation_ = {};
  Out.OpenFlows_ = 0;
  (*Sink_)(ToCaller{M.Caller_, Out});
}

} // namespace thymewall
