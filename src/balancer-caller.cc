#include "balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::has;
using detail::Mechanism;

namespace {

using namespace std::chrono_literals;

constexpr Micros OpenTryFor = 300ms;
constexpr double MaxRetryTokens = 20;
constexpr std::uint8_t MaxOpenTries = 3;

RequestKey keyOf(const Message &M) { return {M.Service_, M.Request_, M.Flow_}; }

} // namespace

void Balancer::Impl::on(const FromCaller &E) {
  Message M = E.Message_;
  M.Caller_ = E.From_;
  if (!serviceState(M.Service_))
    return drop(ErrorKind::UnknownService);
  if (M.Kind_ == Kind::Open) {
    if (E.WireSize_ < MinOpenSize)
      return drop(ErrorKind::Malformed);
    return openFlow(M, true);
  }
  bool Known = M.Kind_ == Kind::Request || M.Kind_ == Kind::Ping ||
               M.Kind_ == Kind::Cancel || M.Kind_ == Kind::Close;
  if (!Known || (M.Kind_ == Kind::Request && M.Request_ == 0))
    return drop(ErrorKind::Malformed);
  if (M.Kind_ == Kind::Request)
    return request(M);
  Route R;
  if (!readRoute(M, R))
    return;
  if (M.Kind_ == Kind::Close)
    return closeFlow(M, R);
  if (M.Kind_ == Kind::Ping)
    tellMoved(M, R);
  forwardStateless(M, R);
}

bool Balancer::Impl::readRoute(const Message &M, Route &R) {
  if (M.Route_.empty()) {
    ++Counters_.Steps_[static_cast<std::size_t>(Step::Refused)];
    if (M.Kind_ == Kind::Request)
      refuse(M, ErrorKind::RouteRequired, ErrorResponse::OutcomeUnknown);
    else
      drop(ErrorKind::RouteRequired);
    return false;
  }
  ErrorKind Why =
      thymewall::verifyRoute(M.Route_, Options_.Keys_, M.Service_, M.Flow_, R);
  if (Why == ErrorKind::None)
    return true;
  drop(Why);
  return false;
}

/// Index of the upstream that a route names. The address must not have gone to
/// another upstream since.
std::uint32_t Balancer::Impl::holder(const Route &R) {
  std::uint32_t Index = Upstreams_.byId(R.Upstream_);
  std::uint32_t AtAddress = Upstreams_.byEndpoint(R.UpstreamAddress_);
  bool Reused = AtAddress != UpstreamTable::None && AtAddress != Index;
  if (Reused || Index != UpstreamTable::None)
    return Reused ? UpstreamTable::None : Index;
  return Upstreams_.adopt(R.Upstream_, R.UpstreamAddress_);
}

void Balancer::Impl::openFlow(Message M, bool MayPass) {
  ++Counters_.Opens_;
  ServiceState *S = serviceState(M.Service_);
  M.Request_ = 0;
  if (Requests_.find(keyOf(M)))
    return; // a repeat of an open in progress
  if (!S || !ready())
    return refuse(M, ErrorKind::NotReady, ErrorResponse::NotRun);
  FlowKey Key{M.Service_, M.Flow_};
  if (Stopping_ && MayPass) {
    if (const Peer *P = openSuccessor(Key))
      return toPeer(P->Data_, PeerKind::Pass, M);
  }
  WallTime Latest = Now_.Wall_ + S->Service_.DefaultTimeout_;
  if (M.Deadline_ == WallTime{} || M.Deadline_ > Latest)
    M.Deadline_ = Latest;
  if (M.Deadline_ <= Now_.Wall_)
    return refuse(M, ErrorKind::DeadlinePassed, ErrorResponse::NotRun);
  double Earned = S->RetryTokens_ + S->Service_.RetryBudget_;
  S->RetryTokens_ = std::min(Earned, MaxRetryTokens);
  placeFlow(M, *S);
}

const Eligible &Balancer::Impl::eligibleOf(ServiceState &S) {
  if (S.Generation_ == Upstreams_.generation())
    return S.Eligible_;
  Upstreams_.eligibleNow(S.Selected_, Now_.Mono_, S.Eligible_);
  S.Generation_ = Upstreams_.generation();
  return S.Eligible_;
}

std::uint32_t Balancer::Impl::choose(const FlowKey &Key,
                                     const Eligible &Among) const {
  Choice C{Key, Among, Upstreams_.rows(), Now_.Mono_};
  return Among.Indexes_[Options_.Chooser_(C)];
}

/// Chooses an upstream and sends it the open. A flow that this balancer has
/// placed before (its `opened` was lost) goes to the same upstream.
void Balancer::Impl::placeFlow(const Message &M, ServiceState &S) {
  FlowKey Key{M.Service_, M.Flow_};
  FlowRow *Placed = Flows_.find(Key);
  std::uint32_t Index = Placed ? Placed->Upstream_ : UpstreamTable::None;
  if (Placed && Index == UpstreamTable::None)
    return drop(ErrorKind::NumberUsed); // a late copy of a closed flow's open
  if (Index == UpstreamTable::None) {
    const Eligible &Among = eligibleOf(S);
    if (Among.empty())
      return refuse(M, ErrorKind::NoUpstream, ErrorResponse::NotRun);
    Index = choose(Key, Among);
  }
  RequestRow Row;
  Row.Key_ = keyOf(M);
  Row.Attempt_ = nextAttempt();
  Row.Deadline_ = M.Deadline_;
  Row.Sent_ = Now_.Mono_;
  Row.Caller_ = M.Caller_;
  Row.Upstream_ = Index;
  Row.Tries_ = 1;
  WallTime TryUntil = std::min(M.Deadline_, Now_.Wall_ + OpenTryFor);
  if (!Requests_.insert(Row, requestDue(TryUntil)))
    return refuse(M, ErrorKind::Overloaded, ErrorResponse::NotRun);
  // Counted from now on, so that a burst of opens does not herd.
  if (!Placed)
    ++Upstreams_[Index].OwnFlows_;
  ++Upstreams_[Index].InFlight_;
  sendOpen(Row);
}

void Balancer::Impl::sendOpen(const RequestRow &Row) {
  Message M;
  M.Kind_ = Kind::Open;
  M.Service_ = Row.Key_.Service_;
  M.Flow_ = Row.Key_.Flow_;
  M.Deadline_ = Row.Deadline_;
  M.Attempt_ = Row.Attempt_;
  M.Caller_ = Row.Caller_;
  toUpstream(Upstreams_[Row.Upstream_].At_, M);
}

/// Takes an open to another upstream, within the retry budget and its deadline,
/// or gives it up. An open that is given up has run nothing.
void Balancer::Impl::retryOpen(RequestRow &Row, ErrorKind Why) {
  ServiceState *S = serviceState(Row.Key_.Service_);
  UpstreamRow &Last = Upstreams_[Row.Upstream_];
  FlowKey Key{Row.Key_.Service_, Row.Key_.Flow_};
  bool Placed = Flows_.find(Key) != nullptr;
  --Last.InFlight_;
  if (!Placed)
    --Last.OwnFlows_;
  bool May = S && !Placed && Row.Tries_ < MaxOpenTries &&
             S->RetryTokens_ >= 1 && Now_.Wall_ < Row.Deadline_;
  Eligible Others;
  if (May)
    for (std::uint32_t Index : eligibleOf(*S).Indexes_)
      if (Index != Row.Upstream_)
        Others.add(Index, Upstreams_[Index].Slots_);
  if (Others.empty())
    return refuseRow(Row, Why, ErrorResponse::NotRun);
  S->RetryTokens_ -= 1;
  ++Counters_.Retries_;
  Row.Upstream_ = choose(Key, Others);
  Row.Attempt_ = nextAttempt();
  ++Row.Tries_;
  ++Upstreams_[Row.Upstream_].OwnFlows_;
  ++Upstreams_[Row.Upstream_].InFlight_;
  Requests_.rearm(Row,
                  requestDue(std::min(Row.Deadline_, Now_.Wall_ + OpenTryFor)));
  sendOpen(Row);
}

void Balancer::Impl::request(const Message &M) {
  ++Counters_.Requests_;
  Route R;
  if (!readRoute(M, R))
    return;
  if (M.repeatable()) {
    ++Counters_.Steps_[static_cast<std::size_t>(Step::Route)];
    return forwardRepeatable(M, R);
  }
  if (isHome(R) || !has(Mechanism::HomeOnly)) {
    ++Counters_.Steps_[static_cast<std::size_t>(Step::Home)];
    return submit(M, R);
  }
  ++Counters_.Steps_[static_cast<std::size_t>(Step::Passed)];
  if (const Succession *S = successionOf(R); S && mayAdopt(M, R)) {
    const Successor &Next = successorOf(*S, {M.Service_, M.Flow_});
    if (Next.Incarnation_ == Options_.Incarnation_)
      return adopt(M, R);
    return pass(M, R, Next.Data_, PeerKind::Pass);
  }
  if (R.HomeAddress_ == Options_.Data_) // an earlier process at this address
    return rehome(M, R, ErrorKind::HomeUnreachable);
  pass(M, R, R.HomeAddress_, PeerKind::Pass);
}

bool Balancer::Impl::overloaded(const ServiceState &S,
                                const UpstreamRow &U) const {
  return U.InFlight_ >=
         std::uint64_t{S.Service_.MaxInFlightPerSlot_} * U.Slots_;
}

/// Other balancers may hold copies of a repeatable request, so the answer of
/// one that gives it up is never `not run`.
void Balancer::Impl::forwardRepeatable(const Message &M, const Route &R) {
  if (M.Deadline_ != WallTime{} && M.Deadline_ <= Now_.Wall_)
    return refuse(M, ErrorKind::DeadlinePassed, ErrorResponse::OutcomeUnknown);
  std::uint32_t Index = holder(R);
  if (Index == UpstreamTable::None)
    return refuse(M, ErrorKind::FlowUnknown, ErrorResponse::OutcomeUnknown);
  if (RequestRow *Before = Requests_.find(keyOf(M)))
    finish(*Before); // a retry: the new attempt replaces the old one
  if (overloaded(*serviceState(M.Service_), Upstreams_[Index]))
    return refuse(M, ErrorKind::Overloaded, ErrorResponse::OutcomeUnknown);
  Handing How;
  How.NewRoute_ = moveHere(R) != nullptr;
  if (!handOn(M, R, Index, How))
    refuse(M, ErrorKind::Overloaded, ErrorResponse::OutcomeUnknown);
}

/// Sends a request to its upstream and remembers it until its last part or its
/// deadline. False, with nothing sent, when the table is full.
bool Balancer::Impl::handOn(const Message &M, const Route &R,
                            std::uint32_t Upstream, Handing How) {
  const ServiceState *S = serviceState(M.Service_);
  RequestRow Row;
  Row.Key_ = keyOf(M);
  Row.Attempt_ = nextAttempt();
  Row.Deadline_ = M.Deadline_ == WallTime{}
                      ? Now_.Wall_ + S->Service_.DefaultTimeout_
                      : M.Deadline_;
  Row.Sent_ = Now_.Mono_;
  Row.Caller_ = M.Caller_;
  Row.Upstream_ = Upstream;
  Row.Once_ = How.Once_;
  Row.Only_ = How.Only_;
  Row.NewRoute_ = How.NewRoute_;
  WallTime GiveUpAt =
      std::min(Row.Deadline_, Now_.Wall_ + LongestDeadlineSeen_ + ClockSlack);
  if (!Requests_.insert(Row, requestDue(GiveUpAt)))
    return false;
  ++Upstreams_[Upstream].InFlight_;
  Message Out = M;
  Out.Route_ = {};
  Out.Deadline_ = Row.Deadline_;
  Out.Attempt_ = Row.Attempt_;
  Out.Incarnation_ = R.UpstreamIncarnation_;
  toUpstream(R.UpstreamAddress_, Out);
  return true;
}

void Balancer::Impl::forwardStateless(const Message &M, const Route &R) {
  if (holder(R) == UpstreamTable::None)
    return drop(ErrorKind::FlowUnknown);
  ++Counters_.Steps_[static_cast<std::size_t>(Step::Route)];
  if (FlowRow *Row = isHome(R) ? Flows_.find({M.Service_, M.Flow_}) : nullptr)
    touch(*Row);
  Message Out = M;
  Out.Route_ = {};
  Out.Incarnation_ = R.UpstreamIncarnation_;
  toUpstream(R.UpstreamAddress_, Out);
}

/// The upstream and the home both learn of a close. A lost copy is made good by
/// the flow's idle deadline.
void Balancer::Impl::closeFlow(const Message &M, const Route &R) {
  forwardStateless(M, R);
  if (!isHome(R))
    return toPeer(R.HomeAddress_, PeerKind::Pass, M);
  FlowRow *Row = Flows_.find({M.Service_, M.Flow_});
  if (Row && Row->Epoch_ == R.Epoch_)
    closeRow(*Row);
}

void Balancer::Impl::drop(ErrorKind Why) {
  ++Counters_.Errors_[static_cast<std::size_t>(Why)];
}

/// Tells the caller that its request is given up, at once. \p Bound is the
/// strongest answer that is true here; the table of kinds may lower it.
void Balancer::Impl::refuse(const Message &M, ErrorKind Why,
                            ErrorResponse Bound, Bytes NewRoute) {
  ++Counters_.Errors_[static_cast<std::size_t>(Why)];
  const ErrorRow &Row = errorRow(Why);
  bool May = Bound == ErrorResponse::NotRun || !has(Mechanism::TruthfulNotRun);
  bool NotRun = May && Row.Response_ == ErrorResponse::NotRun;
  ++(NotRun ? Counters_.NotRun_ : Counters_.OutcomeUnknown_);
  Message Out = about(M, Kind::Refused);
  Out.Flags_ = NotRun ? FlagNotRun : FlagOutcomeUnknown;
  Out.Reason_ = Why;
  auto Spread =
      std::chrono::duration_cast<Micros>(Row.RetryAfter_ * (1 + draw()));
  Out.RetryAt_ = std::max(M.RetryAt_, Now_.Wall_ + Spread);
  Out.Route_ = NewRoute;
  (*Sink_)(ToCaller{M.Caller_, Out});
}

void Balancer::Impl::refuseRow(const RequestRow &Row, ErrorKind Why,
                               ErrorResponse Bound, WallTime RetryAt) {
  Message M;
  M.Service_ = Row.Key_.Service_;
  M.Flow_ = Row.Key_.Flow_;
  M.Request_ = Row.Key_.Number_;
  M.Caller_ = Row.Caller_;
  M.RetryAt_ = RetryAt;
  // An open has no effect, so one that is given up has run nothing.
  if (M.Request_ == 0 && Why == ErrorKind::NoAnswer)
    Why = ErrorKind::NoUpstream;
  refuse(M, Why, Bound);
}

void Balancer::Impl::toUpstream(const Endpoint &To, const Message &M) {
  (*Sink_)(ToUpstream{To, M});
}

void Balancer::Impl::toPeer(const Endpoint &To, PeerKind Kind,
                            const Message &M) {
  (*Sink_)(ToPeer{To, PeerDatagram{Kind, M}});
}

} // namespace thymewall
