#include "balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::has;
using detail::Mechanism;

namespace {

using namespace std::chrono_literals;

/// Ticks of one second.
constexpr std::uint32_t FlowIdleTicks = 3600;
/// A closed flow's numbers are kept until no copy of a request can come any
/// more: the longest deadline (60 s), clock slack and some.
constexpr std::uint32_t ClosedFlowTicks = 70;
/// A pass is repeated after 20, 40 and 80 ms and given up 80 ms later: beyond
/// any round trip in a region, well within a request's deadline.
constexpr std::uint32_t PassTryTicks[] = {4, 8, 16, 16};
constexpr std::uint8_t MaxPassTries = 4;
constexpr Micros SuspectFor = 10s;

} // namespace

/// Makes this process the home of a flow under a new epoch; null when the
/// table is full.
FlowRow *Balancer::Impl::becomeHome(const FlowKey &Key,
                                    std::uint32_t Upstream) {
  FlowRow Row;
  Row.Flow_ = Key.Flow_;
  Row.Service_ = Key.Service_;
  Row.Upstream_ = Upstream;
  Row.Epoch_ = ++Epochs_;
  FlowRow *Placed = Flows_.insert(Row, flowTick(Now_.Mono_) + FlowIdleTicks);
  if (Placed)
    ++Upstreams_[Upstream].OwnFlows_;
  return Placed;
}

/// The row of a flow that a route shows to be at \p Upstream. A row that we
/// made for a repeat of the flow's open, at another upstream, lost that race:
/// the caller keeps to the first `opened`, so nothing was sent under it.
FlowRow *Balancer::Impl::homeOf(const FlowKey &Key, std::uint32_t Upstream) {
  FlowRow *Row = Flows_.find(Key);
  if (!Row)
    return becomeHome(Key, Upstream);
  bool Closed = Row->Upstream_ == UpstreamTable::None;
  if (Closed || Row->Upstream_ == Upstream)
    return Row;
  forgetFlow(*Row);
  Row->Upstream_ = Upstream;
  Row->Epoch_ = ++Epochs_;
  ++Upstreams_[Upstream].OwnFlows_;
  return Row;
}

void Balancer::Impl::touch(FlowRow &Row) {
  if (Row.Upstream_ != UpstreamTable::None)
    Flows_.rearm(Row, flowTick(Now_.Mono_) + FlowIdleTicks);
}

/// Takes a flow off its upstream's count. Its numbers stay for a while.
void Balancer::Impl::closeRow(FlowRow &Row) {
  forgetFlow(Row);
  Row.Upstream_ = UpstreamTable::None;
  Flows_.rearm(Row, flowTick(Now_.Mono_) + ClosedFlowTicks);
}

void Balancer::Impl::forgetFlow(FlowRow &Row) {
  if (Row.Upstream_ == UpstreamTable::None)
    return;
  std::uint32_t &Count = Upstreams_[Row.Upstream_].OwnFlows_;
  Count -= Count == 0 ? 0 : 1;
}

SignedRoute Balancer::Impl::routeOf(const FlowRow &Row,
                                    Incarnation Upstream) const {
  const UpstreamRow &U = Upstreams_.rows()[Row.Upstream_];
  Route R;
  R.Service_ = Row.Service_;
  R.Flow_ = Row.Flow_;
  R.Upstream_ = U.Id_;
  R.UpstreamAddress_ = U.At_;
  R.UpstreamIncarnation_ = Upstream;
  R.PlacedVersion_ = Declaration_ ? Declaration_->Version_ : 0;
  R.HomeAddress_ = Options_.Data_;
  R.HomeIncarnation_ = Options_.Incarnation_;
  R.Epoch_ = Row.Epoch_;
  return signRoute(R, Options_.Keys_[0]);
}

/// A request that may not be repeated, at the process that its route calls
/// home. Only here is such a request handed to an upstream.
void Balancer::Impl::submit(const Message &M, const Route &R) {
  FlowRow *Row = Flows_.find({M.Service_, M.Flow_});
  bool Lost = !Row || Row->Epoch_ != R.Epoch_;
  if (Lost && (has(Mechanism::HomeEpoch) && has(Mechanism::HomeOnly)))
    return rehome(M, R, ErrorKind::NumberUsed);
  if (!Row)
    Row = becomeHome({M.Service_, M.Flow_}, holder(R));
  submitToRow(*Row, M, R, Origin::Own);
}

/// True once this process has named its successors: from then on they alone
/// hand requests on, and only they can say what was not run.
bool Balancer::Impl::stoppedHandingOn() const {
  return !StopBySuccessors_.Successors_.empty() &&
         has(Mechanism::StopHandingOn);
}

void Balancer::Impl::submitToRow(FlowRow &Row, const Message &M, const Route &R,
                                 Origin From) {
  if (Requests_.find({M.Service_, M.Request_, M.Flow_}))
    return; // a copy; the first one is or will be answered
  WallTime Furthest = Now_.Wall_ + LongestDeadlineSeen_ + ClockSlack;
  if (M.Deadline_ > Furthest)
    return refuse(M, ErrorKind::DeadlineTooFar, ErrorResponse::OutcomeUnknown);
  std::uint32_t Index = Row.Upstream_;
  bool Closed = Index == UpstreamTable::None;
  bool Used = has(Mechanism::NumberWindow) && Row.numberUsed(M.Request_);
  bool Replays = !Closed && Upstreams_[Index].Remembers_;
  if (Used && From == Origin::Own && stoppedHandingOn())
    return delegate(M, R, PeerKind::Repeat);
  if (Used && !Replays)
    return refuse(M, ErrorKind::NumberUsed, ErrorResponse::OutcomeUnknown);
  Row.useNumber(M.Request_);
  touch(Row);
  // Where the upstream remembers, other balancers may send it a copy too.
  bool Only = !Used && !Replays;
  if (!Used && From == Origin::Own && stoppedHandingOn())
    return delegate(M, R, PeerKind::Delegate);
  ErrorResponse Bound =
      Only ? ErrorResponse::NotRun : ErrorResponse::OutcomeUnknown;
  if (Closed || holder(R) != Index)
    return refuse(M, ErrorKind::FlowUnknown, Bound);
  if (M.Deadline_ != WallTime{} && M.Deadline_ <= Now_.Wall_)
    return refuse(M, ErrorKind::DeadlinePassed, Bound);
  const ServiceState *S = serviceState(M.Service_);
  if (!S)
    return refuse(M, ErrorKind::UnknownService, Bound);
  Message Out = M;
  Out.Epoch_ = hashPair(raw(M.Flow_), M.Request_);
  Handing How{true, Only, From != Origin::Own};
  if (overloaded(*S, Upstreams_[Index]) || !handOn(Out, R, Index, How))
    refuse(M, ErrorKind::Overloaded, Bound);
}

/// Sends a request on to its home and keeps it until the home has confirmed it.
/// From here on this balancer can't know whether it was run.
void Balancer::Impl::pass(const Message &M, const Route &R,
                          const Endpoint &Home, PeerKind Kind) {
  RequestKey Key{M.Service_, M.Request_, M.Flow_};
  if (Passes_.find(Key))
    return;
  if (Kind == PeerKind::Pass && Home == R.HomeAddress_ &&
      suspects(R.HomeIncarnation_))
    return rehome(M, R, ErrorKind::HomeUnreachable);
  PassRow Row;
  Row.Key_ = Key;
  Row.Home_ = Home;
  Row.Kind_ = Kind;
  Row.Tries_ = 1;
  Row.store(M);
  if (!Passes_.insert(Row, requestTick(Now_.Mono_) + PassTryTicks[0]))
    return refuse(M, ErrorKind::Overloaded, ErrorResponse::OutcomeUnknown);
  toPeer(Home, Kind, M);
}

void Balancer::Impl::expirePasses() {
  std::uint32_t Tick = requestTick(Now_.Mono_);
  Passes_.expire(Tick, [this, Tick](PassRow &Row) {
    if (Row.Tries_ == MaxPassTries)
      return givePassUp(Row, ErrorKind::HomeUnreachable);
    Passes_.rearm(Row, Tick + PassTryTicks[Row.Tries_]);
    ++Row.Tries_;
    toPeer(Row.Home_, Row.Kind_, Row.message());
  });
}

void Balancer::Impl::givePassUp(PassRow &Row, ErrorKind Why) {
  Message M = Row.message();
  Route R;
  if (thymewall::verifyRoute(M.Route_, Options_.Keys_, M.Service_, M.Flow_,
                             R) == ErrorKind::None) {
    if (Row.Kind_ == PeerKind::Pass && Row.Home_ == R.HomeAddress_)
      suspect(R.HomeIncarnation_);
    rehome(M, R, Why);
  }
}

bool Balancer::Impl::suspects(Incarnation Home) const {
  for (const SuspectHome &S : SuspectHomes_)
    if (S.Home_ == Home)
      return true;
  return false;
}

void Balancer::Impl::suspect(Incarnation Home) {
  if (!suspects(Home))
    SuspectHomes_.push_back({Home, Now_.Mono_ + SuspectFor});
}

/// Takes over a flow whose home does not answer, before any request of it is
/// lost: requests that were sent under the old route keep it, and new ones come
/// under ours. Null when the home is not suspected or we can't take the flow.
FlowRow *Balancer::Impl::moveHere(const Route &R) {
  if (Stopping_ || isHome(R) || !suspects(R.HomeIncarnation_))
    return nullptr;
  std::uint32_t Index = holder(R);
  if (Index == UpstreamTable::None)
    return nullptr;
  FlowRow *Row = homeOf({R.Service_, R.Flow_}, Index);
  bool Open = Row && Row->Upstream_ != UpstreamTable::None;
  Counters_.Moved_ += Open ? 1 : 0;
  return Open ? Row : nullptr;
}

void Balancer::Impl::tellMoved(const Message &M, const Route &R) {
  FlowRow *Row = moveHere(R);
  if (!Row)
    return;
  SignedRoute Sealed = routeOf(*Row, R.UpstreamIncarnation_);
  Message Out = about(M, Kind::Moved);
  Out.Route_ = Sealed.bytes();
  (*Sink_)(ToCaller{M.Caller_, Out});
}

/// The old home is gone, or its memory of the flow is: nobody can say whether
/// the request was run. The flow goes on with this process as its home. An
/// upstream that remembers requests is asked again; it runs none twice.
void Balancer::Impl::rehome(const Message &M, const Route &R, ErrorKind Why) {
  FlowKey Key{M.Service_, M.Flow_};
  std::uint32_t Index = holder(R);
  bool Gone = Index == UpstreamTable::None;
  FlowRow *Row = Gone || Stopping_ ? nullptr : homeOf(Key, Index);
  ++Counters_.Rehomed_;
  if (!Row || Row->Upstream_ == UpstreamTable::None)
    return refuse(M, Why, ErrorResponse::OutcomeUnknown);
  if (Row->Upstream_ == Index && Upstreams_[Index].Remembers_)
    return submitToRow(*Row, M, R, Origin::Replayed);
  Row->useNumber(M.Request_);
  SignedRoute Sealed = routeOf(*Row, R.UpstreamIncarnation_);
  refuse(M, Why, ErrorResponse::OutcomeUnknown, Sealed.bytes());
}

void Balancer::Impl::on(const FromPeer &E) {
  const Message &M = E.Datagram_.Inner_;
  PassRow *Row = Passes_.find({M.Service_, M.Request_, M.Flow_});
  switch (E.Datagram_.Kind_) {
  case PeerKind::Pass:
  case PeerKind::Delegate:
  case PeerKind::Repeat:
    return onPassed(M, E.From_, E.Datagram_.Kind_);
  case PeerKind::Taken:
    if (Row && Row->Home_ == E.From_)
      Passes_.erase(*Row);
    return;
  case PeerKind::NotHome:
    if (Row && Row->Home_ == E.From_) {
      givePassUp(*Row, ErrorKind::HomeUnreachable);
      Passes_.erase(*Row);
    }
    return;
  }
}

void Balancer::Impl::confirm(const Message &M, const Endpoint &To,
                             PeerKind Kind) {
  toPeer(To, Kind, about(M, M.Kind_));
}

/// A stopping home had this number before: either it ran the request, or it
/// delegated it to us and we may be running it now.
void Balancer::Impl::onRepeated(const Message &M, const Endpoint &From) {
  confirm(M, From, PeerKind::Taken);
  if (!Requests_.find({M.Service_, M.Request_, M.Flow_}))
    refuse(M, ErrorKind::NumberUsed, ErrorResponse::OutcomeUnknown);
}

void Balancer::Impl::onPassed(const Message &M, const Endpoint &From,
                              PeerKind Kind) {
  if (M.Kind_ == Kind::Open)
    return openFlow(M, false);
  Route R;
  ErrorKind Why =
      thymewall::verifyRoute(M.Route_, Options_.Keys_, M.Service_, M.Flow_, R);
  if (Why != ErrorKind::None)
    return drop(Why);
  if (M.Kind_ == Kind::Close) {
    FlowRow *Row = Flows_.find({M.Service_, M.Flow_});
    if (isHome(R) && Row && Row->Epoch_ == R.Epoch_)
      closeRow(*Row);
    return;
  }
  if (M.Kind_ != Kind::Request || M.repeatable())
    return drop(ErrorKind::Malformed);
  if (Kind == PeerKind::Repeat)
    return onRepeated(M, From);
  bool Delegated = Kind == PeerKind::Delegate;
  const Succession *S = successionOf(R);
  bool Mine = S && successorOf(*S, {M.Service_, M.Flow_}).Incarnation_ ==
                       Options_.Incarnation_;
  bool Adopts = Delegated || (Mine && mayAdopt(M, R));
  bool Accepts = isHome(R) || Adopts;
  confirm(M, From, Accepts ? PeerKind::Taken : PeerKind::NotHome);
  if (isHome(R))
    return submit(M, R);
  if (Adopts)
    adopt(M, R);
}

} // namespace thymewall
