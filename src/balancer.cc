#include "balancer-impl.h"

#include <algorithm>
#include <cassert>

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;

namespace {

using namespace std::chrono_literals;

constexpr Micros RequestTickLength = 5ms;
constexpr Micros FlowTickLength = 1s;
/// After a suspension, how long to wait for a source before continuing with the
/// old declaration.
constexpr Micros RefreshTimeout = 3s;
constexpr Micros PeerTimeout = 5s;
constexpr std::size_t MaxSuccessions = 4096;

} // namespace

Balancer::Impl::Impl(BalancerOptions Options)
    : Options_(std::move(Options)), Random_(Options_.Seed_),
      Flows_(Options_.MaxFlows_), Requests_(Options_.MaxRequests_),
      Forwards_(Options_.MaxForwards_) {}

void Balancer::Impl::handle(const Moment &Now, const Event &What,
                            const ActionSink &Sink) {
  if (Started_ == MonoTime{}) {
    Started_ = Now.Mono_;
    NextTickDue_ = Now.Mono_ + TickInterval;
  }
  Now_ = Now;
  Sink_ = &Sink;
  detectLateWake();
  std::visit([this](const auto &E) { on(E); }, What);
  Sink_ = nullptr;
}

/// Detects a suspension of the process. Called for every event, because the
/// first one after a suspension may be a datagram queued in a socket.
void Balancer::Impl::detectLateWake() {
  if (Now_.Mono_ < NextTickDue_ + LateTickThreshold ||
      !isEnabled(Mechanism::LateWake))
    return;
  NextTickDue_ = Now_.Mono_ + TickInterval;
  ++Counters_.LateWakes_;
  DeclarationFresh_ = false;
  RefreshDeadline_ = Now_.Mono_ + RefreshTimeout;
  Upstreams_.resetHealth();
  Peers_.clear();
  SuspectHomes_.clear();
  NextSelectAt_ = {};
  (*Sink_)(RefreshDocuments{++RefreshId_});
}

bool Balancer::Impl::ready() const {
  return Declaration_ != nullptr &&
         (DeclarationFresh_ || Now_.Mono_ >= RefreshDeadline_);
}

ServiceState *Balancer::Impl::serviceState(ServiceId Id) {
  for (ServiceState &S : Services_)
    if (S.Service_.Id_ == Id)
      return &S;
  return nullptr;
}

std::uint32_t Balancer::Impl::requestTick(MonoTime When) const {
  return static_cast<std::uint32_t>((When - Started_) / RequestTickLength);
}

std::uint32_t Balancer::Impl::flowTick(MonoTime When) const {
  return static_cast<std::uint32_t>((When - Started_) / FlowTickLength);
}

std::uint32_t Balancer::Impl::requestDue(WallTime Deadline) const {
  Micros Left = std::max(Deadline - Now_.Wall_, Micros{0});
  return requestTick(Now_.Mono_ + Left) + 1;
}

/// Returns a random number from 0 to 1.
double Balancer::Impl::randomFraction() {
  return std::generate_canonical<double, 32>(Random_);
}

std::uint64_t Balancer::Impl::nextAttempt() {
  return hashPair(raw(Options_.Incarnation_), ++LastAttempt_);
}

void Balancer::Impl::on(const DeclarationRead &E) {
  DeclarationFresh_ = DeclarationFresh_ || E.RefreshId_ == RefreshId_;
  bool Newer = !Declaration_ || supersedes(*E.Declaration_, *Declaration_);
  if (!Newer && isEnabled(Mechanism::MonotonicVersions))
    return;
  Declaration_ = E.Declaration_;
  Upstreams_.declare(*Declaration_, Now_.Mono_);
  std::vector<ServiceState> Old;
  Old.swap(Services_);
  for (const Service &S : Declaration_->Services_) {
    Services_.push_back({S, {}, 0, {}, 0});
    MaxServiceDeadline_ = std::max(MaxServiceDeadline_, S.DefaultTimeout_);
    for (const ServiceState &Previous : Old)
      if (Previous.Service_.Id_ == S.Id_)
        Services_.back().RetryTokens_ = Previous.RetryTokens_;
  }
  applyHostList();
  selectUpstreams();
  (*Sink_)(DeclarationApplied{Declaration_});
}

void Balancer::Impl::on(const DeclarationUnchanged &E) {
  DeclarationFresh_ = DeclarationFresh_ || E.RefreshId_ == RefreshId_;
}

void Balancer::Impl::on(const HostListRead &E) {
  if (HostList_ && E.HostList_->Version_ <= HostList_->Version_)
    return;
  HostList_ = E.HostList_;
  applyHostList();
}

void Balancer::Impl::applyHostList() {
  if (!HostList_)
    return;
  for (const Host &H : HostList_->Hosts_)
    if (H.Role_ == Host::Role::Upstream)
      Upstreams_.setLeaving(static_cast<UpstreamId>(nameId(H.Name_)),
                            H.Leaving_);
}

void Balancer::Impl::on(const HeartbeatReceived &E) {
  Peer Updated{E.Id_, E.Data_, E.Incarnation_, E.Leaving_,
               Now_.Mono_ + PeerTimeout};
  auto IsSameHome = [&](const SuspectHome &S) {
    return S.Home_ == E.Incarnation_;
  };
  SuspectHomes_.erase(
      std::remove_if(SuspectHomes_.begin(), SuspectHomes_.end(), IsSameHome),
      SuspectHomes_.end());
  for (Peer &P : Peers_)
    if (P.Id_ == E.Id_) {
      P = Updated;
      return;
    }
  Peers_.push_back(Updated);
}

void Balancer::Impl::on(const SuccessionReceived &E) {
  if (E.Succession_.Successors_.empty())
    return;
  for (const Succession &S : Successions_)
    if (S.Home_ == E.Succession_.Home_)
      return;
  if (Successions_.size() == MaxSuccessions)
    Successions_.erase(Successions_.begin());
  Successions_.push_back(E.Succession_);
}

/// Evaluates the selectors of each service for the current minute.
void Balancer::Impl::selectUpstreams() {
  constexpr Micros Minute = 60s;
  NextSelectAt_ =
      WallTime((Now_.Wall_.time_since_epoch() / Minute + 1) * Minute);
  for (std::size_t I = 0; I < Services_.size(); ++I) {
    ServiceState &S = Services_[I];
    S.Selected_.clear();
    S.Generation_ = 0;
    for (std::size_t Index :
         selectedUpstreams(*Declaration_, Declaration_->Services_[I],
                           Options_.Zones_, Now_.Wall_))
      S.Selected_.push_back(
          Upstreams_.findById(Declaration_->Upstreams_[Index].Id_));
  }
}

void Balancer::Impl::on(const Tick &) {
  NextTickDue_ = Now_.Mono_ + TickInterval;
  bool SelectionExpired =
      Now_.Wall_ >= NextSelectAt_ || Now_.Wall_ + 2min < NextSelectAt_;
  if (Declaration_ && SelectionExpired)
    selectUpstreams();
  expirePeers();
  Upstreams_.expireEjections(Now_.Mono_);
  expireForwards();
  expireRequests();
  expireFlows();
  if (Stopping_)
    checkStopped();
}

/// Removes peers without recent heartbeats and marks them as suspect homes, for
/// `SuspicionTimeout` or until their next heartbeat.
void Balancer::Impl::expirePeers() {
  auto Expired = [this](const SuspectHome &S) { return S.Until_ < Now_.Mono_; };
  SuspectHomes_.erase(
      std::remove_if(SuspectHomes_.begin(), SuspectHomes_.end(), Expired),
      SuspectHomes_.end());
  auto TimedOut = [this](const Peer &P) { return P.ExpiresAt_ < Now_.Mono_; };
  for (const Peer &P : Peers_)
    if (TimedOut(P))
      markSuspect(P.Incarnation_);
  Peers_.erase(std::remove_if(Peers_.begin(), Peers_.end(), TimedOut),
               Peers_.end());
}

/// Cancels requests at their deadline and retries opens at another upstream.
void Balancer::Impl::expireRequests() {
  Requests_.expire(requestTick(Now_.Mono_), [this](RequestRow &Row) {
    if (Row.Completed_)
      return;
    Upstreams_.recordFailure(Row.Upstream_, Now_.Mono_, randomFraction());
    if (Row.Key_.Number_ == 0) {
      retryOpen(Row, ErrorKind::NoAnswer);
      return;
    }
    Message Cancel;
    Cancel.Kind_ = MessageKind::Cancel;
    Cancel.Service_ = Row.Key_.Service_;
    Cancel.Flow_ = Row.Key_.Flow_;
    Cancel.Request_ = Row.Key_.Number_;
    Cancel.Attempt_ = Row.Attempt_;
    Cancel.Caller_ = Row.Caller_;
    sendToUpstream(Upstreams_[Row.Upstream_].Address_, Cancel);
    --Upstreams_[Row.Upstream_].InFlight_;
    refuseRow(Row, ErrorKind::NoAnswer, ErrorResponse::OutcomeUnknown);
  });
}

void Balancer::Impl::expireFlows() {
  Flows_.expire(flowTick(Now_.Mono_),
                [this](FlowRow &Row) { releaseFlow(Row); });
}

Status Balancer::Impl::status() const {
  Status S;
  S.DeclarationVersion_ = Declaration_ ? Declaration_->Version_ : 0;
  S.Digest_ = Declaration_ ? Declaration_->Digest_ : 0;
  S.Ready_ = ready();
  S.Stopping_ = Stopping_;
  S.Flows_ = Flows_.size();
  S.Requests_ = Requests_.size();
  S.PendingForwards_ = Forwards_.size();
  S.MemoryBytes_ =
      Flows_.memoryBytes() + Requests_.memoryBytes() + Forwards_.memoryBytes();
  S.Now_ = Now_.Mono_;
  S.Upstreams_ = Upstreams_.rows();
  return S;
}

Balancer::Balancer(BalancerOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Options))) {}
Balancer::Balancer(Balancer &&) noexcept = default;
Balancer &Balancer::operator=(Balancer &&) noexcept = default;
Balancer::~Balancer() = default;

void Balancer::handle(const Moment &Now, const Event &What,
                      const ActionSink &Sink) {
  Impl_->handle(Now, What, Sink);
}
const Counters &Balancer::counters() const { return Impl_->counters(); }
Status Balancer::status() const { return Impl_->status(); }

BalancerBuilder &BalancerBuilder::name(std::string Value) {
  Options_.Name_ = std::move(Value);
  return *this;
}
BalancerBuilder &BalancerBuilder::dataAddress(const Endpoint &Value) {
  Options_.Data_ = Value;
  return *this;
}
BalancerBuilder &BalancerBuilder::incarnation(Incarnation Value) {
  Options_.Incarnation_ = Value;
  return *this;
}
BalancerBuilder &BalancerBuilder::seed(std::uint64_t Value) {
  Options_.Seed_ = Value;
  return *this;
}
BalancerBuilder &BalancerBuilder::keys(const KeyPair &Value) {
  Options_.Keys_ = Value;
  return *this;
}
BalancerBuilder &BalancerBuilder::chooser(Chooser Value) {
  Options_.Chooser_ = std::move(Value);
  return *this;
}
BalancerBuilder &BalancerBuilder::zones(TimeZoneClock Value) {
  Options_.Zones_ = std::move(Value);
  return *this;
}
BalancerBuilder &BalancerBuilder::onDelay(DelayHook Value) {
  Options_.OnDelay_ = std::move(Value);
  return *this;
}
BalancerBuilder &BalancerBuilder::maxFlows(std::uint32_t Value) {
  Options_.MaxFlows_ = Value;
  return *this;
}
Balancer BalancerBuilder::build() const {
  assert(!Options_.Name_.empty() && !Options_.Data_.empty());
  assert(Options_.Incarnation_ != Incarnation{} && Options_.Zones_);
  return Balancer(Options_);
}

} // namespace thymewall
