// Public functions of `PacketBalancer`, and its builder.
#include "opening-copies.h"
#include "packet-balancer-impl.h"

namespace thymewall {

PacketBalancer::PacketBalancer(PacketBalancerOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Options))) {}
PacketBalancer::PacketBalancer(PacketBalancer &&) noexcept = default;
PacketBalancer &PacketBalancer::operator=(PacketBalancer &&) noexcept = default;
PacketBalancer::~PacketBalancer() = default;
Verdict PacketBalancer::steer(MonoTime Now, const Packet &P) {
  if (Impl_->nextQueuedExpiry() <= Now)
    Impl_->expireQueued(Now);
  return Impl_->steer(Now, P);
}
Verdict PacketBalancer::steerHeld(MonoTime Now, MonoTime HeldSince,
                                  const Packet &P) {
  return steer(Now, detail::latestCopy(P, Now - HeldSince));
}
Verdict PacketBalancer::retryOpening(MonoTime Now, const Packet &P) {
  return Impl_->retryOpening(Now, P);
}
void PacketBalancer::setRouting(MonoTime Now, RoutingTablePtr Table) {
  Impl_->setRouting(Now, std::move(Table));
  Impl_->reviewAdmission();
}
void PacketBalancer::applyUpstreams(MonoTime Now,
                                    const std::vector<UpstreamChange> &Changes,
                                    MonoTime MayReturnUntil) {
  Impl_->applyUpstreams(Now, Changes, MayReturnUntil);
  Impl_->reviewAdmission();
}
void PacketBalancer::applyEvacuations(
    MonoTime Now, const std::vector<EvacuationChange> &Changes) {
  Impl_->applyEvacuations(Now, Changes);
  Impl_->reviewAdmission();
}
void PacketBalancer::onCheckResult(MonoTime Now, Incarnation Upstream,
                                   CheckResult Result, MonoTime Began) {
  Impl_->onCheckResult(Now, Upstream, Result, Began);
}
void PacketBalancer::onPeerWarning(MonoTime Now, const UpstreamWarning &M) {
  Impl_->onPeerWarning(Now, M);
}
void PacketBalancer::confirmUpTo(MonoTime AsOf) { Impl_->confirmUpTo(AsOf); }
void PacketBalancer::setServing(bool Serving) { Impl_->setServing(Serving); }
void PacketBalancer::setFleetSize(std::size_t Balancers) {
  Impl_->setFleetSize(Balancers);
}
void PacketBalancer::onBalancerJoined(MonoTime At) {
  Impl_->onBalancerJoined(At);
}
MonoTime PacketBalancer::nextQueuedExpiry() const {
  return Impl_->nextQueuedExpiry();
}
void PacketBalancer::expireQueued(MonoTime Now) { Impl_->expireQueued(Now); }
void PacketBalancer::tick(MonoTime Now) {
  Impl_->expireQueued(Now);
  Impl_->tick(Now);
  Impl_->reviewAdmission();
}
void PacketBalancer::setFleet(FleetView View) {
  Impl_->setFleet(std::move(View));
}
void PacketBalancer::setFleetLoad(MonoTime Now, FleetLoad Load) {
  Impl_->setFleetLoad(Now, std::move(Load));
  Impl_->reviewAdmission();
}
std::vector<ServiceLoad> PacketBalancer::ownLoad(MonoTime Now) const {
  return Impl_->ownLoad(Now);
}
void PacketBalancer::setPolicies(Placement Placing, Admission Admitting,
                                 double RequestsPerSlot) {
  Impl_->setPolicies(Placing, Admitting, RequestsPerSlot);
  Impl_->reviewAdmission();
}
bool PacketBalancer::hasColdLimits() const { return Impl_->hasColdLimits(); }
void PacketBalancer::setLimits(Micros MaxStalenessForReset, Micros MaxFlowAge,
                               double ColdBurstFactor,
                               double ColdBurstAllowance) {
  Impl_->setLimits(MaxStalenessForReset, MaxFlowAge, ColdBurstFactor,
                   ColdBurstAllowance);
}
Micros PacketBalancer::openingTimeout() const {
  return Impl_->openingTimeout();
}
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
PacketBalancerBuilder &
PacketBalancerBuilder::onUpstreamEvent(UpstreamEventHook Value) {
  Options_.OnUpstreamEvent_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::onPlacement(PlacementHook Value) {
  Options_.OnPlacement_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &
PacketBalancerBuilder::maxStalenessForReset(Micros Value) {
  Options_.MaxStalenessForReset_ = Value;
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::maxFlowAge(Micros Value) {
  Options_.MaxFlowAge_ = Value;
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
PacketBalancerBuilder &
PacketBalancerBuilder::onQueuedVerdict(QueuedVerdictHook Value) {
  Options_.OnQueuedVerdict_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &
PacketBalancerBuilder::onAdmissionEvent(AdmissionEventHook Value) {
  Options_.OnAdmissionEvent_ = std::move(Value);
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::coldBurst(double Factor,
                                                        double Allowance) {
  Options_.Cold_.BurstFactor_ = Factor;
  Options_.Cold_.BurstAllowance_ = Allowance;
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::policies(Placement Placing,
                                                       Admission Admitting) {
  Options_.Placement_ = Placing;
  Options_.Admission_ = Admitting;
  return *this;
}
PacketBalancerBuilder &PacketBalancerBuilder::requestsPerSlot(double Value) {
  Options_.RequestsPerSlot_ = Value;
  return *this;
}
PacketBalancer PacketBalancerBuilder::build() const {
  return PacketBalancer(Options_);
}

} // namespace thymewall
