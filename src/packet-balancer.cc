#include "mechanism.h"
#include "packet-balancer-impl.h"

#include "thymewall/unanswered-openings.h"

#include <algorithm>

namespace thymewall {

using detail::cookieOf;
using detail::isOpening;
using detail::PacketFlowRow;

namespace {

/// Hash salt that lets retransmitted openings draw other candidates.
constexpr std::uint64_t RetransmitDraw = 0x636f7079;
/// Attempt number of a retry; callers never retransmit that often.
constexpr std::uint32_t RetryDraw = 0x80;

/// Returns whether only a server sends such a packet (SYN and ACK).
bool isFromServer(const Packet &P) { return P.Opens_ && P.Acknowledges_; }

} // namespace

PacketBalancer::Impl::Impl(PacketBalancerOptions Options)
    : Options_(std::move(Options)), Upstreams_(detail::OpeningFailuresToEject),
      Flows_(Options_.MaxFlows_) {}

Verdict PacketBalancer::Impl::steer(MonoTime Now, const Packet &P) {
  Now_ = Now;
  ++Counters_.Packets_;
  if (isFromServer(P))
    return refuse(P, ErrorKind::NotFromCaller);
  if (!Routing_)
    return refuse(P, ErrorKind::TableNotFresh);
  FlowId Flow = flowOf(P);
  const std::vector<ServiceShare> *Shares = Routing_->find(P.Service_);
  return Shares ? steerListed(P, Flow, *Shares) : steerUnlisted(P, Flow);
}

/// Decides on a packet to an address of the routing table.
Verdict
PacketBalancer::Impl::steerListed(const Packet &P, FlowId Flow,
                                  const std::vector<ServiceShare> &Shares) {
  return isOpening(P) ? open(P, Flow, Shares) : routeByCookie(P, Flow);
}

Verdict PacketBalancer::Impl::refuse(const Packet &P, ErrorKind Error) {
  ++Counters_.Errors_[static_cast<std::size_t>(Error)];
  reportDecision(Decision::Kind::Refused, P, UpstreamTable::None, Error, 0);
  bool Resets = errorRow(Error).Response_ == ErrorResponse::Reset && !P.Resets_;
  if (!Resets)
    return Dropped{Error};
  ++Counters_.Resets_;
  std::uint32_t Sequence = isOpening(P) ? 0 : P.Acknowledged_;
  return ResetFlow{P.Caller_, P.Service_, Sequence, Error};
}

Verdict PacketBalancer::Impl::open(const Packet &P, FlowId Flow,
                                   const std::vector<ServiceShare> &Shares) {
  std::uint32_t Attempt = P.Acknowledged_;
  std::uint32_t Previous = UpstreamTable::None;
  PacketFlowRow *Row = Flows_.find(Flow);
  if (Row && Attempt > 0 && !Row->Open_) {
    Previous = Row->Upstream_;
    if (Now_ - Row->Since_ >= openingTimeout())
      recordUnansweredOpening(Previous, Flow);
  }
  ServiceId Service = chooseService(Shares, Flow);
  if (std::optional<Verdict> HeldBack = holdBack(P, Flow, Service))
    return *HeldBack;
  Verdict V = placeOpening(P, Flow, Service, Previous);
  updateAdmission(Service);
  return V;
}

Verdict PacketBalancer::Impl::placeOpening(const Packet &P, FlowId Flow,
                                           ServiceId Service,
                                           std::uint32_t Avoid) {
  std::uint32_t Attempt = P.Acknowledged_;
  // Of a copy, an earlier balancer may have forwarded the first packet, so that
  // a reset would not prove that nothing has run. The flow may even be open.
  bool IsFirst = Attempt == 0 && !Flows_.find(Flow);
  if (IsFirst && isFlowLimitReached(Service)) {
    ++Counters_.RejectedByFlowLimit_;
    return refuse(P, ErrorKind::ServiceFull);
  }
  std::uint32_t Index =
      staysWith(Service, Avoid) ? Avoid : choose(Service, Flow, Attempt, Avoid);
  if (Index == UpstreamTable::None)
    return refuse(P, IsFirst ? noCandidateError(Service) : ErrorKind::NoneLeft);
  ++(Attempt == 0 ? Counters_.Opened_ : Counters_.OpenMoved_);
  if (Attempt == 0 && limitsRetries())
    Services_[raw(Service)].Retries_.recordOpening(Now_);
  return sendOpening(Attempt == 0 ? Decision::Kind::Opened
                                  : Decision::Kind::OpenMoved,
                     P, Flow, Index);
}

/// Returns whether the state is recent enough to reject an opening for it.
bool PacketBalancer::Impl::isFresh() const {
  return Now_ - ConfirmedAsOf_ < Options_.MaxStalenessForReset_ ||
         !detail::isEnabled(detail::Mechanism::StalenessLimit);
}

/// Returns the error for an opening without a candidate. `NoneLeft` holds the
/// packet: an upstream may be published soon. The others reset the caller.
ErrorKind PacketBalancer::Impl::noCandidateError(ServiceId Service) const {
  auto It = Services_.find(raw(Service));
  if (It == Services_.end() || !isFresh())
    return ErrorKind::NoneLeft;
  const std::vector<std::uint32_t> &Members = It->second.Members_;
  bool Evacuated =
      std::any_of(Members.begin(), Members.end(), [this](std::uint32_t Index) {
        const UpstreamRow &Row = Upstreams_.rows()[Index];
        return Row.Declared_ && Row.Evacuated_;
      });
  if (Evacuated)
    return ErrorKind::AllEvacuated;
  return It->second.ColdMembers_.empty() ? ErrorKind::NoneLeft
                                         : ErrorKind::AllCold;
}

Verdict PacketBalancer::Impl::retryOpening(MonoTime Now, const Packet &P) {
  Now_ = Now;
  FlowId Flow = flowOf(P);
  const std::vector<ServiceShare> *Shares =
      Routing_ ? Routing_->find(P.Service_) : nullptr;
  const PacketFlowRow *Row = Flows_.find(Flow);
  bool RetryEnabled = detail::isEnabled(detail::Mechanism::OpeningRetries);
  if (!RetryEnabled || !Shares || !Row || Row->Open_)
    return Dropped{};
  std::uint32_t Previous = Row->Upstream_;
  if (Serving_)
    recordUnansweredOpening(Previous, Flow);
  ServiceId Service = chooseService(*Shares, Flow);
  std::uint32_t Index = choose(Service, Flow, RetryDraw, Previous);
  if (Index == UpstreamTable::None || Index == Previous || !mayRetry(Service))
    return Dropped{};
  ++Counters_.OpenRetried_;
  return sendOpening(Decision::Kind::OpenRetried, P, Flow, Index);
}

void PacketBalancer::Impl::recordUnansweredOpening(std::uint32_t Index,
                                                   FlowId Flow) {
  recordOpeningFailure(Index, Flow);
  requestCheck(Index);
}

Forward PacketBalancer::Impl::sendOpening(Decision::Kind Kind, const Packet &P,
                                          FlowId Flow, std::uint32_t Index) {
  recordOpening(P, Flow, Index);
  ServiceId Service = UpstreamStates_[Index].Service_;
  reportDecision(Kind, P, Index, ErrorKind::None,
                 Services_[raw(Service)].Eligible_.size());
  const UpstreamRow &Up = Upstreams_[Index];
  return {Up.Address_, Up.Incarnation_, cookieOf(Up.Incarnation_)};
}

std::uint32_t PacketBalancer::Impl::choose(ServiceId Service, FlowId Flow,
                                           std::uint32_t Attempt,
                                           std::uint32_t Avoid) {
  auto It = Services_.find(raw(Service));
  if (It == Services_.end())
    return UpstreamTable::None;
  const EligibleSet &Candidates = withoutFullUpstreams(
      Service, It->second, eligibleUpstreams(Service, It->second));
  FlowId DrawKey = Flow;
  if (Attempt > 0)
    DrawKey =
        static_cast<FlowId>(hashPair(raw(Flow), RetransmitDraw + Attempt));
  std::uint32_t Cold =
      chooseCold(It->second, DrawKey, coldLimit(Service), Avoid);
  if (Cold != UpstreamTable::None || Candidates.empty())
    return Cold;
  std::uint32_t InArc = chooseInArc(Service, It->second, DrawKey, Avoid);
  if (InArc != UpstreamTable::None)
    return InArc;
  ChooserInput C{{Service, DrawKey}, Candidates, Upstreams_.rows(), Now_};
  std::uint32_t Index = Candidates.Indexes_[Options_.Chooser_(C)];
  if (Index != Avoid)
    return Index;
  auto [First, Second] = drawCandidates(C);
  std::size_t Other = Candidates.Indexes_[First] == Avoid ? Second : First;
  return Candidates.Indexes_[Other];
}

const EligibleSet &
PacketBalancer::Impl::eligibleUpstreams(ServiceId Service,
                                        ServiceState &State) {
  Upstreams_.expireEjections(Now_);
  bool Current = State.Generation_ == Upstreams_.generation() &&
                 State.Routing_ == Routing_->Version_ && Now_ < State.WarmAt_;
  if (Current)
    return State.Eligible_;
  std::vector<std::uint32_t> Selected;
  for (std::uint32_t Index : State.Members_)
    if (Upstreams_[Index].Declared_)
      Selected.push_back(Index);
  Upstreams_.selectEligible(Selected, Now_, State.Eligible_);
  separateCold(State, coldLimit(Service));
  countRequests(State);
  State.Generation_ = Upstreams_.generation();
  State.Routing_ = Routing_->Version_;
  ++State.Selection_;
  return State.Eligible_;
}

ColdLimit PacketBalancer::Impl::coldLimit(ServiceId Service) const {
  ColdLimit Limit = Options_.Cold_;
  bool LimitEnabled = detail::isEnabled(detail::Mechanism::ColdLimits);
  Limit.PerSecond_ = LimitEnabled ? Routing_->coldFlowsPerSecond(Service) : 0;
  return Limit;
}

/// Moves cold upstreams with a limit from the candidates to `ColdMembers_`.
void PacketBalancer::Impl::separateCold(ServiceState &State,
                                        const ColdLimit &Limit) {
  State.ColdMembers_.clear();
  State.WarmAt_ = MonoTime::max();
  if (!Limit.isSet())
    return;
  EligibleSet Warm;
  for (std::uint32_t Index : State.Eligible_.Indexes_) {
    MonoTime ColdUntil = UpstreamStates_[Index].ColdUntil_;
    if (ColdUntil <= Now_) {
      Warm.add(Index, Upstreams_[Index].Slots_);
      continue;
    }
    State.ColdMembers_.push_back(Index);
    State.WarmAt_ = std::min(State.WarmAt_, ColdUntil);
  }
  State.Eligible_ = std::move(Warm);
}

/// Returns a cold upstream to which this balancer may open a flow now, or
/// `None`. Cold upstreams have priority because their limit admits few flows.
std::uint32_t PacketBalancer::Impl::chooseCold(const ServiceState &State,
                                               FlowId Flow,
                                               const ColdLimit &Limit,
                                               std::uint32_t Avoid) {
  std::size_t Count = State.ColdMembers_.size();
  for (std::size_t I = 0; I < Count; ++I) {
    std::uint32_t Index = State.ColdMembers_[(raw(Flow) + I) % Count];
    Incarnation Which = Upstreams_[Index].Incarnation_;
    bool HasRoom = hasRoomForFlow(Index, State.FlowLimit_);
    if (Index == Avoid || !HasRoom ||
        !ColdAdmission_.admits(Now_, Which, Limit))
      continue;
    ColdAdmission_.recordOpening(Now_, Which, Limit);
    return Index;
  }
  return UpstreamTable::None;
}

/// Forwards by cookie, not address: a new balancer does not know the routing
/// table of the flow's opening. Upstreams refuse flows that they do not hold.
Verdict PacketBalancer::Impl::routeByCookie(const Packet &P, FlowId Flow) {
  auto It = IndexOfCookie_.find(P.Cookie_);
  if (It == IndexOfCookie_.end())
    return refuse(P, ErrorKind::UnknownCookie);
  std::uint32_t Index = It->second;
  recordProgress(P, Flow, Index);
  updateAdmission(UpstreamStates_[Index].Service_);
  const UpstreamRow &Up = Upstreams_[Index];
  return Forward{Up.Address_, Up.Incarnation_, P.Cookie_};
}

void PacketBalancer::Impl::setRouting(MonoTime Now, RoutingTablePtr Table) {
  Now_ = Now;
  if (Routing_ && Table->Version_ <= Routing_->Version_)
    return;
  recordDroppedAddresses(*Table);
  Routing_ = std::move(Table);
  requestUnconfirmedReview();
  for (const UpstreamChange &Change : Unnamed_.takeNamed(*Routing_))
    addOrUpdate(Change);
  // Upstreams of newly named services may take over their address.
  std::vector<Endpoint> Shared;
  for (const auto &[At, Rows] : IndexesByAddress_)
    if (Rows.size() > 1)
      Shared.push_back(At);
  for (const Endpoint &At : Shared)
    endReplacedUpstreams(At);
}

/// Three times the average opening delay: distant callers may need that long.
Micros PacketBalancer::Impl::openingTimeout() const {
  constexpr int Times = 3;
  return std::min(OpeningDelay_.multiple(Times, UnansweredOpenings::MinTimeout),
                  UnansweredOpenings::MaxTimeout);
}

void PacketBalancer::Impl::tick(MonoTime Now) {
  Now_ = Now;
  if (Now > NextTickDeadline_) {
    ++Counters_.LateWakes_;
    ConfirmedAsOf_ = MonoTime{}; // the state may be outdated
    clearHealthState();
    clearFullState();
  }
  NextTickDeadline_ = Now + TickInterval + LateTickThreshold;
  Flows_.expire(expiryTick(Micros(0)),
                [this](const PacketFlowRow &Row) { subtractLoad(Row); });
  expireUpstreams();
  expireUnconfirmed();
  runDueChecks();
  detectStalls();
  updatePlacements();
  expireLoad();
}

void PacketBalancer::Impl::reportDecision(Decision::Kind Kind, const Packet &P,
                                          std::uint32_t Index, ErrorKind Error,
                                          std::size_t Candidates) const {
  if (!Options_.OnDecision_)
    return;
  Decision D;
  D.Kind_ = Kind;
  D.Caller_ = P.Caller_;
  D.Service_ = P.Service_;
  if (Index != UpstreamTable::None)
    D.Upstream_ = Upstreams_.rows()[Index].Incarnation_;
  D.Error_ = Error;
  D.Candidates_ = static_cast<std::uint32_t>(Candidates);
  D.RoutingVersion_ = Routing_ ? Routing_->Version_ : 0;
  D.HasConfirmation_ = ConfirmedAsOf_ != MonoTime{};
  D.KnowledgeAge_ = Now_ - ConfirmedAsOf_;
  Options_.OnDecision_(D);
}

} // namespace thymewall
