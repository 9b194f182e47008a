#include "mechanism.h"
#include "packet-balancer-impl.h"

#include "thymewall/unanswered-openings.h"

#include <algorithm>

namespace thymewall {

using detail::cookieOf;
using detail::PacketFlowRow;

namespace {

/// Copies of an opening packet draw other candidates than the first one.
constexpr std::uint64_t CopyDraw = 0x636f7079;
/// The draw of a retry: the number of no copy that a caller sends.
constexpr std::uint32_t RetryDraw = 0x80;

bool opens(const Packet &P) { return P.Opens_ && !P.Acknowledges_; }

/// What only a server's side sends: no caller's packet.
bool fromServer(const Packet &P) { return P.Opens_ && P.Acknowledges_; }

} // namespace

PacketBalancer::Impl::Impl(PacketBalancerOptions Options)
    : Options_(std::move(Options)), Upstreams_(detail::UnansweredToEject),
      Flows_(Options_.FlowBound_) {}

Verdict PacketBalancer::Impl::steer(MonoTime Now, const Packet &P) {
  Now_ = Now;
  ++Counters_.Packets_;
  if (fromServer(P))
    return refuse(P, ErrorKind::NotFromCaller);
  if (!Routing_)
    return refuse(P, ErrorKind::TableNotFresh);
  const std::vector<ServiceShare> *Shares = Routing_->find(P.Service_);
  if (!Shares) {
    return refuse(P, fresh() ? ErrorKind::UnknownAddress
                             : ErrorKind::TableNotFresh);
  }
  FlowId Flow = flowOf(P);
  return opens(P) ? open(P, Flow, *Shares) : follow(P, Flow);
}

Verdict PacketBalancer::Impl::refuse(const Packet &P, ErrorKind Why) {
  ++Counters_.Errors_[static_cast<std::size_t>(Why)];
  decide(Decision::Kind::Refused, P, UpstreamTable::None, Why, 0);
  bool Resets = errorRow(Why).Response_ == ErrorResponse::Reset && !P.Resets_;
  if (!Resets)
    return Dropped{Why};
  ++Counters_.Resets_;
  std::uint32_t Sequence = opens(P) ? 0 : P.Acknowledged_;
  return ResetFlow{P.Caller_, P.Service_, Sequence, Why};
}

Verdict PacketBalancer::Impl::open(const Packet &P, FlowId Flow,
                                   const std::vector<ServiceShare> &Shares) {
  std::uint32_t Copy = P.Acknowledged_;
  std::uint32_t Before = UpstreamTable::None;
  PacketFlowRow *Row = Flows_.find(Flow);
  if (Row && Copy > 0 && !Row->Open_) {
    Before = Row->Upstream_;
    if (Now_ - Row->Since_ >= openingWait())
      noteSilence(Before);
  }
  ServiceId Service = chooseService(Shares, Flow);
  std::uint32_t Index = choose(Service, Flow, Copy, Before);
  if (Index == UpstreamTable::None)
    return refuse(P, whyNone(Service));
  ++(Copy == 0 ? Counters_.Opened_ : Counters_.OpenMoved_);
  return sendOpening(Copy == 0 ? Decision::Kind::Opened
                               : Decision::Kind::OpenMoved,
                     P, Flow, Index);
}

/// Whether what is known is recent enough to refuse a caller by it.
bool PacketBalancer::Impl::fresh() const {
  return Now_ - KnownAsOf_ < Options_.ResetWhenKnown_ ||
         !detail::has(detail::Mechanism::KnowledgeAge);
}

/// Where an evacuation or the limit of cold upstreams is why nobody takes a
/// flow, its caller is told at once; else upstreams may be published in a
/// moment, and the opening waits.
ErrorKind PacketBalancer::Impl::whyNone(ServiceId Service) const {
  auto Known = Services_.find(raw(Service));
  if (Known == Services_.end() || !fresh())
    return ErrorKind::NoneLeft;
  const std::vector<std::uint32_t> &Members = Known->second.Members_;
  bool Evacuated =
      std::any_of(Members.begin(), Members.end(), [this](std::uint32_t Index) {
        const UpstreamRow &Row = Upstreams_.rows()[Index];
        return Row.Declared_ && Row.Evacuated_;
      });
  if (Evacuated)
    return ErrorKind::AllEvacuated;
  return Known->second.Cold_.empty() ? ErrorKind::NoneLeft : ErrorKind::AllCold;
}

Verdict PacketBalancer::Impl::retryOpening(MonoTime Now, const Packet &P) {
  Now_ = Now;
  FlowId Flow = flowOf(P);
  const std::vector<ServiceShare> *Shares =
      Routing_ ? Routing_->find(P.Service_) : nullptr;
  const PacketFlowRow *Row = Flows_.find(Flow);
  bool Retries = detail::has(detail::Mechanism::OpeningRetries);
  if (!Retries || !Shares || !Row || Row->Open_)
    return Dropped{};
  std::uint32_t Before = Row->Upstream_;
  if (Serving_)
    noteSilence(Before);
  std::uint32_t Index =
      choose(chooseService(*Shares, Flow), Flow, RetryDraw, Before);
  if (Index == UpstreamTable::None || Index == Before)
    return Dropped{};
  ++Counters_.OpenRetried_;
  return sendOpening(Decision::Kind::OpenRetried, P, Flow, Index);
}

/// An opening got no answer from the upstream.
void PacketBalancer::Impl::noteSilence(std::uint32_t Index) {
  suspect(Index);
  check(Index);
}

Forward PacketBalancer::Impl::sendOpening(Decision::Kind Kind, const Packet &P,
                                          FlowId Flow, std::uint32_t Index) {
  noteOpening(P, Flow, Index);
  ServiceId Service = Details_[Index].Service_;
  decide(Kind, P, Index, ErrorKind::None,
         Services_[raw(Service)].Eligible_.size());
  const UpstreamRow &Up = Upstreams_[Index];
  return {Up.At_, Up.Incarnation_, cookieOf(Up.Incarnation_)};
}

std::uint32_t PacketBalancer::Impl::choose(ServiceId Service, FlowId Flow,
                                           std::uint32_t Copy,
                                           std::uint32_t Avoid) {
  auto Known = Services_.find(raw(Service));
  if (Known == Services_.end())
    return UpstreamTable::None;
  const Eligible &Among = eligible(Service, Known->second);
  FlowId Drawn = Flow;
  if (Copy > 0)
    Drawn = static_cast<FlowId>(hashPair(raw(Flow), CopyDraw + Copy));
  std::uint32_t Cold =
      chooseCold(Known->second, Drawn, coldLimit(Service), Avoid);
  if (Cold != UpstreamTable::None || Among.empty())
    return Cold;
  Choice C{{Service, Drawn}, Among, Upstreams_.rows(), Now_};
  std::uint32_t Index = Among.Indexes_[Options_.Chooser_(C)];
  if (Index != Avoid)
    return Index;
  auto [First, Second] = candidates(C);
  std::size_t Other = Among.Indexes_[First] == Avoid ? Second : First;
  return Among.Indexes_[Other];
}

const Eligible &PacketBalancer::Impl::eligible(ServiceId Service,
                                               ServiceState &State) {
  Upstreams_.review(Now_);
  bool Current = State.Generation_ == Upstreams_.generation() &&
                 State.Routing_ == Routing_->Version_ && Now_ < State.WarmAt_;
  if (Current)
    return State.Eligible_;
  std::vector<std::uint32_t> Selected;
  for (std::uint32_t Index : State.Members_)
    if (Upstreams_[Index].Declared_)
      Selected.push_back(Index);
  Upstreams_.eligibleNow(Selected, Now_, State.Eligible_);
  partCold(State, coldLimit(Service));
  State.Generation_ = Upstreams_.generation();
  State.Routing_ = Routing_->Version_;
  return State.Eligible_;
}

ColdLimit PacketBalancer::Impl::coldLimit(ServiceId Service) const {
  ColdLimit Limit = Options_.Cold_;
  bool Limits = detail::has(detail::Mechanism::ColdLimits);
  Limit.PerSecond_ = Limits ? Routing_->coldFlowsPerSecond(Service) : 0;
  return Limit;
}

/// Takes the cold upstreams of a service that limits them out of its
/// candidates.
void PacketBalancer::Impl::partCold(ServiceState &State,
                                    const ColdLimit &Limit) {
  State.Cold_.clear();
  State.WarmAt_ = MonoTime::max();
  if (!Limit.given())
    return;
  Eligible Warm;
  for (std::uint32_t Index : State.Eligible_.Indexes_) {
    MonoTime ColdUntil = Details_[Index].ColdUntil_;
    if (ColdUntil <= Now_) {
      Warm.add(Index, Upstreams_[Index].Slots_);
      continue;
    }
    State.Cold_.push_back(Index);
    State.WarmAt_ = std::min(State.WarmAt_, ColdUntil);
  }
  State.Eligible_ = std::move(Warm);
}

/// A cold upstream that this balancer may open a flow to. It goes before the
/// warm ones: few flows are so led, and each takes load from the others while
/// these are fewest.
std::uint32_t PacketBalancer::Impl::chooseCold(const ServiceState &State,
                                               FlowId Flow,
                                               const ColdLimit &Limit,
                                               std::uint32_t Avoid) {
  std::size_t Count = State.Cold_.size();
  for (std::size_t I = 0; I < Count; ++I) {
    std::uint32_t Index = State.Cold_[(raw(Flow) + I) % Count];
    Incarnation Which = Upstreams_[Index].Incarnation_;
    if (Index == Avoid || !Cold_.admits(Now_, Which, Limit))
      continue;
    Cold_.opened(Now_, Which, Limit);
    return Index;
  }
  return UpstreamTable::None;
}

/// The cookie alone decides, whichever service the address leads to by now: a
/// balancer that has just started knows no earlier routing table, and a flow
/// opened under one would get no answer. An upstream refuses flows that it
/// doesn't hold, and only openings, which the table decides, make it hold one.
/// Gain: 2.7% of requests while all balancers restart after a change of routes.
Verdict PacketBalancer::Impl::follow(const Packet &P, FlowId Flow) {
  auto Known = IndexOfCookie_.find(P.Cookie_);
  if (Known == IndexOfCookie_.end())
    return refuse(P, ErrorKind::UnknownCookie);
  std::uint32_t Index = Known->second;
  noteProgress(P, Flow, Index);
  const UpstreamRow &Up = Upstreams_[Index];
  return Forward{Up.At_, Up.Incarnation_, P.Cookie_};
}

void PacketBalancer::Impl::setRouting(RoutingTablePtr Table) {
  if (Routing_ && Table->Version_ <= Routing_->Version_)
    return;
  Routing_ = std::move(Table);
  // Services that it names may be those of upstreams at a shared address.
  std::vector<Endpoint> Shared;
  for (const auto &[At, Rows] : AtAddress_)
    if (Rows.size() > 1)
      Shared.push_back(At);
  for (const Endpoint &At : Shared)
    settleAddress(At);
}

/// Three times the usual, so that callers far away don't cost two connections
/// for each flow: on a calm day with 40 ms to callers a constant 40 ms makes
/// 1937 retries, this makes 77.
Micros PacketBalancer::Impl::openingWait() const {
  constexpr int Times = 3;
  return std::min(Openings_.times(Times, UnansweredOpenings::AnswerWithin),
                  UnansweredOpenings::LongestWait);
}

void PacketBalancer::Impl::tick(MonoTime Now) {
  Now_ = Now;
  if (Now > NextTickBy_) {
    ++Counters_.LateWakes_;
    KnownAsOf_ = MonoTime{}; // whatever was known may be over
    forgetBeliefs();
  }
  NextTickBy_ = Now + TickEvery + LateAfter;
  Flows_.expire(dueTick(Micros(0)),
                [this](const PacketFlowRow &Row) { countOut(Row); });
  expireUpstreams();
  checkDue();
  noteStalls();
}

void PacketBalancer::Impl::decide(Decision::Kind Kind, const Packet &P,
                                  std::uint32_t Index, ErrorKind Why,
                                  std::size_t Candidates) const {
  if (!Options_.OnDecision_)
    return;
  Decision D;
  D.Kind_ = Kind;
  D.Caller_ = P.Caller_;
  D.Service_ = P.Service_;
  if (Index != UpstreamTable::None)
    D.Upstream_ = Upstreams_.rows()[Index].Incarnation_;
  D.Why_ = Why;
  D.Candidates_ = static_cast<std::uint32_t>(Candidates);
  D.RoutingVersion_ = Routing_ ? Routing_->Version_ : 0;
  D.Known_ = KnownAsOf_ != MonoTime{};
  D.KnowledgeAge_ = Now_ - KnownAsOf_;
  Options_.OnDecision_(D);
}

PacketBalancer::PacketBalancer(PacketBalancerOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Options))) {}
PacketBalancer::PacketBalancer(PacketBalancer &&) noexcept = default;
PacketBalancer &PacketBalancer::operator=(PacketBalancer &&) noexcept = default;
PacketBalancer::~PacketBalancer() = default;
Verdict PacketBalancer::steer(MonoTime Now, const Packet &P) {
  return Impl_->steer(Now, P);
}
Verdict PacketBalancer::retryOpening(MonoTime Now, const Packet &P) {
  return Impl_->retryOpening(Now, P);
}
void PacketBalancer::setRouting(MonoTime, RoutingTablePtr Table) {
  Impl_->setRouting(std::move(Table));
}
void PacketBalancer::applyUpstreams(MonoTime Now,
                                    const std::vector<UpstreamChange> &Changes,
                                    bool MayReturn) {
  Impl_->applyUpstreams(Now, Changes, MayReturn);
}
void PacketBalancer::applyEvacuations(
    MonoTime Now, const std::vector<EvacuationChange> &Changes) {
  Impl_->applyEvacuations(Now, Changes);
}
void PacketBalancer::checked(MonoTime Now, Incarnation Upstream,
                             CheckResult Result, MonoTime Began) {
  Impl_->checked(Now, Upstream, Result, Began);
}
void PacketBalancer::warned(MonoTime Now, const UpstreamWarning &M) {
  Impl_->warned(Now, M);
}
void PacketBalancer::confirm(MonoTime AsOf) { Impl_->confirm(AsOf); }
void PacketBalancer::setServing(bool Serving) { Impl_->setServing(Serving); }
void PacketBalancer::setFleetSize(std::size_t Balancers) {
  Impl_->setFleetSize(Balancers);
}
void PacketBalancer::arrived(MonoTime At) { Impl_->arrived(At); }
void PacketBalancer::tick(MonoTime Now) { Impl_->tick(Now); }
void PacketBalancer::setFleet(FleetView View) {
  Impl_->setFleet(std::move(View));
}
bool PacketBalancer::limitsCold() const { return Impl_->limitsCold(); }
void PacketBalancer::setLimits(Micros ResetWhenKnown, Micros FlowLimit,
                               double ColdOver, double ColdSlack) {
  Impl_->setLimits(ResetWhenKnown, FlowLimit, ColdOver, ColdSlack);
}
Micros PacketBalancer::openingWait() const { return Impl_->openingWait(); }
bool PacketBalancer::ready() const { return Impl_->ready(); }
const PacketCounters &PacketBalancer::counters() const {
  return Impl_->counters();
}
PacketStatus PacketBalancer::status(MonoTime Now) const {
  return Impl_->status(Now);
}

PacketBalancerBuilder &PacketBalancerBuilder::chooser(Chooser Value) {
  Options_.Chooser_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onDecision(DecisionHook Value) {
  Options_.OnDecision_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onBelief(BeliefHook Value) {
  Options_.OnBelief_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::resetWhenKnown(Micros Value) {
  Options_.ResetWhenKnown_ = Value;
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::flowLimit(Micros Value) {
  Options_.FlowLimit_ = Value;
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onDelay(PacketDelayHook Value) {
  Options_.OnDelay_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onCheck(CheckHook Value) {
  Options_.OnCheck_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onReset(ResetHook Value) {
  Options_.OnReset_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onWarning(WarningHook Value) {
  Options_.OnWarning_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::coldOver(double Times,
                                                       double Slack) {
  Options_.Cold_.Over_ = Times;
  Options_.Cold_.Slack_ = Slack;
  return *this;
}
PacketBalancer PacketBalancerBuilder::build() const {
  return PacketBalancer(Options_);
}

} // namespace thymewall
