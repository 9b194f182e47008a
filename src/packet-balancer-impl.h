/// \file
/// Implementation of `PacketBalancer`: packets (packet-balancer.cc), flow table
/// (packet-balancer-flows.cc), upstream list (packet-balancer-upstreams.cc),
/// failure detection (packet-balancer-evidence.cc,
/// packet-balancer-overload.cc), limits of flows and retries
/// (packet-balancer-limits.cc), addresses that several upstreams share
/// (packet-balancer-addresses.cc), placement by apertures
/// (packet-balancer-placement.cc), admission of openings
/// (packet-balancer-admission.cc) and addresses that the routing table lacks
/// (packet-balancer-unconfirmed.cc).
#ifndef THYMEWALL_SRC_PACKET_BALANCER_IMPL_H
#define THYMEWALL_SRC_PACKET_BALANCER_IMPL_H

#include "moving-average-delay.h"
#include "packet-flow.h"
#include "recent-count.h"
#include "thymewall/admission.h"
#include "thymewall/answer-sizes.h"
#include "thymewall/aperture.h"
#include "thymewall/failure-evidence.h"
#include "thymewall/flow-limit.h"
#include "thymewall/opening-backlog.h"
#include "thymewall/packet-balancer.h"
#include "thymewall/request-rates.h"
#include "thymewall/retry-budget.h"
#include "unconfirmed-flows.h"
#include "unnamed-upstreams.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace thymewall {

namespace detail {

/// Returns the cookie of an upstream: the low 32 bits of its incarnation, or 1
/// if they are 0, which means no cookie.
inline Cookie cookieOf(Incarnation Which) {
  auto Low = static_cast<std::uint32_t>(raw(Which));
  return Low == 0 ? 1 : Low;
}

/// Unanswered openings in a row after which an upstream is ejected. A wrong
/// ejection is harmless because other upstreams take the new flows.
constexpr std::uint32_t OpeningFailuresToEject = 1;

/// Lower bound of the stall timeout, which allows for two lost packets of the
/// caller.
constexpr Micros MinStallTimeout = std::chrono::milliseconds(600);

inline bool isOpening(const Packet &P) { return P.Opens_ && !P.Acknowledges_; }

} // namespace detail

class PacketBalancer::Impl {
public:
  explicit Impl(PacketBalancerOptions Options);

  Verdict steer(MonoTime Now, const Packet &P);
  Verdict retryOpening(MonoTime Now, const Packet &P);
  void setRouting(MonoTime Now, RoutingTablePtr Table);
  void applyUpstreams(MonoTime Now, const std::vector<UpstreamChange> &Changes,
                      MonoTime MayReturnUntil);
  void applyEvacuations(MonoTime Now,
                        const std::vector<EvacuationChange> &Changes);
  void onCheckResult(MonoTime Now, Incarnation Upstream, CheckResult Result,
                     MonoTime Began);
  void onPeerWarning(MonoTime Now, const UpstreamWarning &M);
  void confirmUpTo(MonoTime AsOf) {
    ConfirmedAsOf_ = std::max(ConfirmedAsOf_, AsOf);
    requestUnconfirmedReview();
  }
  void setServing(bool Serving) { Serving_ = Serving; }
  void setFleetSize(std::size_t Balancers) { FleetSize_ = Balancers; }
  void onBalancerJoined(MonoTime At) {
    ReroutesUntil_ = std::max(ReroutesUntil_, At + RerouteSettleTime);
  }
  void tick(MonoTime Now);
  void setFleet(FleetView View) { ColdAdmission_.setFleet(std::move(View)); }
  std::vector<ServiceLoad> ownLoad(MonoTime Now) const {
    return RequestRates_.at(Now);
  }
  void setFleetLoad(MonoTime Now, FleetLoad Load);
  void setPolicies(Placement Placing, Admission Admitting,
                   double RequestsPerSlot) {
    Options_.Placement_ = Placing;
    Options_.Admission_ = Admitting;
    Options_.RequestsPerSlot_ = RequestsPerSlot;
    ++LoadInputs_;
  }
  bool hasColdLimits() const {
    return Routing_ && !Routing_->ColdFlowsPerSecond_.empty();
  }
  void setLimits(Micros MaxStalenessForReset, Micros MaxFlowAge,
                 double ColdBurstFactor, double ColdBurstAllowance) {
    Options_.MaxStalenessForReset_ = MaxStalenessForReset;
    Options_.MaxFlowAge_ = MaxFlowAge;
    Options_.Cold_.BurstFactor_ = ColdBurstFactor;
    Options_.Cold_.BurstAllowance_ = ColdBurstAllowance;
  }
  bool ready() const { return Routing_ && UpstreamsKnown_; }
  const PacketCounters &counters() const { return Counters_; }
  PacketStatus status(MonoTime Now) const;
  Micros openingTimeout() const;
  MonoTime nextQueuedExpiry() const {
    return std::min(UnconfirmedReviewAt_, Backlog_.nextExpiry());
  }
  void expireQueued(MonoTime Now);
  /// Applies changed limits to all services and releases queued openings. Call
  /// it after any change other than a packet.
  void reviewAdmission();

private:
  struct PendingRequest {
    FlowId Flow_{};
    MonoTime Since_{};
  };
  /// A request that may count in `UpstreamRow::InFlight_`. It is outdated if
  /// `Number_` differs from the flow's `PacketFlowRow::CountNumber_`.
  struct CountedRequest {
    FlowId Flow_{};
    MonoTime Since_{};
    std::uint8_t Number_ = 0;
  };
  /// Additional state of the upstream table's row with the same index.
  struct UpstreamState {
    ServiceId Service_{};
    bool ListedInService_ = false; ///< Whether `Service_` is set.
    std::string DataHall_;
    Revision Revision_ = 0;
    std::uint64_t StartTimeMs_ = 0; ///< Published start time.
    /// When this balancer learned of the restart; 0 if there was none.
    MonoTime StartedAt_{};
    MonoTime ColdUntil_{};      ///< Published end of its cold start.
    MonoTime LapsedUntil_{};    ///< End of the grace period of `Lapsed_`.
    MonoTime ReleaseAt_{};      ///< When the row of a gone one is released.
    MonoTime LastProgressAt_{}; ///< Last progress of any of its flows.
    /// Requests sent since its last answer.
    std::vector<PendingRequest> PendingRequests_;
    MonoTime LastAnswerAt_{};
    bool HasLateRequest_ = false;        ///< Has not answered since.
    std::uint32_t StallEjections_ = 0;   ///< Consecutive ones.
    std::uint32_t FailingEjections_ = 0; ///< Consecutive ones.
    /// Short answers seen here since its last regular one.
    std::uint32_t ShortAnswerRun_ = 0;
    /// Openings unanswered here since it last answered one.
    std::uint32_t UnansweredOpeningRun_ = 0;
    bool CheckRequested_ = false; ///< For the next tick, by a peer's warning.
    MonoTime NextCheckAt_{};      ///< Earliest time of the next check.
    MonoTime RecheckAt_{};        ///< Next check of a dead upstream.
    std::uint32_t Rechecks_ = 0;  ///< Number of them since its death.
    bool Lapsed_ = false;
    bool Gone_ = false;
    bool Draining_ = false;
    bool Replaced_ = false; ///< Another upstream has taken over its address.
    /// Whether its requests count in `ServiceAdmission::InProgress_`.
    bool Counted_ = false;
  };
  /// Admission of openings to a service.
  struct ServiceAdmission {
    RequestLimit Limit_;
    ReleaseInterval Releases_;
    std::size_t InProgress_ = 0; ///< At upstreams that take new flows.
    std::uint64_t Slots_ = 0;    ///< Of upstreams that all balancers may use.
    std::optional<double> Share_;
    std::uint64_t LoadInputs_ = 0; ///< Of `Share_`.
    /// Of the objectives of the service's addresses.
    std::uint8_t WorstPriority_ = 0;
    Version Routing_ = 0; ///< Of `WorstPriority_`.
  };
  /// This balancer's arc of a service, with the generations of its inputs.
  struct ServicePlacement {
    std::vector<RingUpstream> Members_; ///< Those of `Ring_`.
    UpstreamRing Ring_;
    std::optional<Aperture> Aperture_; ///< Nothing if flows take two draws.
    /// Upstreams of the arc that take new flows; see `selectInArc`.
    EligibleSet Eligible_;
    std::uint64_t Generation_ = 0; ///< `Upstreams_.generation()`.
    std::uint64_t Selection_ = 0;  ///< `ServiceState::Selection_`.
    std::uint64_t Inputs_ = 0;     ///< `LoadInputs_`.
    std::size_t ReportedSize_ = 0; ///< Arc last reported; 0 for two draws.
  };
  /// Upstreams of a service, with the cached subset that takes new flows.
  struct ServiceState {
    std::vector<std::uint32_t> Members_;
    EligibleSet Eligible_;
    /// Cold upstreams with a limit on new flows, and when the first of them
    /// becomes warm.
    std::vector<std::uint32_t> ColdMembers_;
    MonoTime WarmAt_ = MonoTime::max();
    Version Routing_ = 0; ///< Version of the applied limits.
    detail::MovingAverageDelay
        AnswerDelay_; ///< From a request to its acknowledged answer.
    detail::RecentCount RecentAnswers_;
    detail::RecentCount RecentShortAnswers_;
    detail::RecentCount RecentOpenings_; ///< Answered or not.
    detail::RecentCount RecentUnansweredOpenings_;
    std::uint64_t Generation_ = 0;
    std::uint64_t Selection_ = 0; ///< Incremented with each new `Eligible_`.
    ServicePlacement Placement_;
    std::deque<CountedRequest> CountedRequests_; ///< Oldest first.
    ServiceAdmission Admission_;
    RetryBudget Retries_;
    std::optional<FlowLimit> FlowLimit_; ///< Cached until `FlowLimitUntil_`.
    MonoTime FlowLimitUntil_{};
    EligibleSet WithRoom_; ///< See `withoutFullUpstreams`.
  };

  Verdict steerListed(const Packet &P, FlowId Flow,
                      const std::vector<ServiceShare> &Shares);
  Verdict steerUnlisted(const Packet &P, FlowId Flow);
  void recordTransmission(const Packet &P, FlowId Flow);
  bool isProvenClosed(const detail::UnconfirmedFlow &Flow) const;
  bool isRejected(const detail::UnconfirmedFlow &Flow) const;
  Verdict forwardUnconfirmed(const Packet &P, FlowId Flow, std::uint32_t Index);
  Verdict awaitState(const Packet &P, FlowId Flow);
  void awaitState(const WaitingOpening &Opening);
  void endWait(FlowId Flow);
  void requestUnconfirmedReview() {
    if (!Waiting_.empty() || !ForwardedUnconfirmed_.empty())
      UnconfirmedReviewAt_ = MonoTime{};
  }
  void reviewUnconfirmed();
  void releaseListed(const detail::UnconfirmedFlow &Flow);
  void expireUnconfirmed();
  void recordDroppedAddresses(const RoutingTable &Table);
  Verdict open(const Packet &P, FlowId Flow,
               const std::vector<ServiceShare> &Shares);
  Verdict placeOpening(const Packet &P, FlowId Flow, ServiceId Service,
                       std::uint32_t Avoid);
  Verdict routeByCookie(const Packet &P, FlowId Flow);
  Verdict refuse(const Packet &P, ErrorKind Error);
  void recordUnansweredOpening(std::uint32_t Index, FlowId Flow);
  Forward sendOpening(Decision::Kind Kind, const Packet &P, FlowId Flow,
                      std::uint32_t Index);
  std::uint32_t choose(ServiceId Service, FlowId Flow, std::uint32_t Attempt,
                       std::uint32_t Avoid);
  const EligibleSet &eligibleUpstreams(ServiceId Service, ServiceState &State);
  void updatePlacements();
  void updatePlacement(ServiceId Service, ServiceState &State);
  void updateRing(ServiceState &State);
  void selectInArc(ServiceState &State);
  std::uint32_t chooseInArc(ServiceId Service, ServiceState &State, FlowId Flow,
                            std::uint32_t Avoid);
  void reportPlacement(ServiceId Service, ServicePlacement &Placing) const;
  std::vector<ApertureStatus> apertureStatus() const;
  void separateCold(ServiceState &State, const ColdLimit &Limit);
  std::uint32_t chooseCold(const ServiceState &State, FlowId Flow,
                           const ColdLimit &Limit, std::uint32_t Avoid);
  ColdLimit coldLimit(ServiceId Service) const;
  ErrorKind noCandidateError(ServiceId Service) const;
  /// Whether the service is full by the measure of admission.
  bool isServiceFull(ServiceId Service) const;
  bool isAdmissionEnabled() const;
  std::optional<Verdict> holdBack(const Packet &P, FlowId Flow,
                                  ServiceId Service);
  std::optional<Verdict> enqueue(const WaitingOpening &Opening);
  Verdict reject(const WaitingOpening &Opening, AdmissionEvent Event);
  void settle(const WaitingOpening &Opening, AdmissionEvent::Reason Reason);
  void forwardQueued(const WaitingOpening &Opening);
  bool mayBeElsewhere(const WaitingOpening &Opening) const;
  void clearFullState();
  void releaseRerouted();
  void releaseNext(ServiceAdmission &A, ServiceId Service);
  void updateAdmission(ServiceId Service);
  void countRequests(ServiceState &State);
  void countInProgress(std::uint32_t Index, bool Begins);
  bool admits(const ServiceAdmission &A, std::uint8_t Priority) const;
  void updateWorstPriority(ServiceId Service, ServiceAdmission &A) const;
  std::optional<std::size_t> requestLimit(ServiceId Service,
                                          ServiceAdmission &A) const;
  AdmissionEvent admissionEvent(AdmissionEvent::Kind Kind,
                                const WaitingOpening &Opening) const;
  void reportAdmission(const AdmissionEvent &Event) const;
  std::vector<AdmissionStatus> admissionStatus(MonoTime Now) const;
  bool isOnRing(std::uint32_t Index) const;
  std::size_t arcUpstreams(ServiceId Service, std::size_t RingUpstreams) const;
  std::optional<FlowLimit> currentFlowLimit(ServiceId Service,
                                            ServiceState &State) const;
  bool hasRoomForFlow(std::uint32_t Index,
                      const std::optional<FlowLimit> &Limit) const;
  bool isFlowLimitReached(ServiceId Service);
  const EligibleSet &withoutFullUpstreams(ServiceId Service,
                                          ServiceState &State,
                                          const EligibleSet &Candidates);
  bool limitsRetries() const;
  bool mayRetry(ServiceId Service);
  bool staysWith(ServiceId Service, std::uint32_t First);
  bool isFresh() const;
  detail::PacketFlowRow *assignFlow(const Packet &P, FlowId Flow,
                                    std::uint32_t Index);
  void recordOpening(const Packet &P, FlowId Flow, std::uint32_t Index);
  void recordProgress(const Packet &P, FlowId Flow, std::uint32_t Index);
  detail::PacketFlowRow *recordFollowed(const Packet &P, FlowId Flow,
                                        std::uint32_t Index);
  void recordDelay(const detail::PacketFlowRow &Row, DelayClass Class);
  void setInProgress(detail::PacketFlowRow &Row, bool InProgress);
  void setCounted(detail::PacketFlowRow &Row, bool Counted);
  bool expiresLoad() const;
  void countRequest(detail::PacketFlowRow &Row);
  void expireLoad();
  void endFlow(detail::PacketFlowRow &Row);
  void reassignFlow(detail::PacketFlowRow &Row, std::uint32_t Index);
  void addLoad(const detail::PacketFlowRow &Row);
  void subtractLoad(const detail::PacketFlowRow &Row);
  void applyEntry(const UpstreamChange &Change, MonoTime MayReturnUntil);
  void addOrUpdate(const UpstreamChange &Change);
  void addEnded(const UpstreamChange &Change);
  void removeUpstream(const UpstreamChange &Change, MonoTime MayReturnUntil);
  void setGone(std::uint32_t Index);
  void expireUpstreams();
  void forgetUpstream(std::uint32_t Index);
  void recordOpeningFailure(std::uint32_t Index, FlowId Flow);
  bool isOpeningFailureExpected(std::uint32_t Index, FlowId Flow);
  void recordOpeningSuccess(std::uint32_t Index);
  void requestCheck(std::uint32_t Index);
  void runDueChecks();
  void recordRequest(std::uint32_t Index, FlowId Flow);
  void recordAnswer(std::uint32_t Index);
  void detectStalls();
  void recordStallSymptoms();
  std::optional<Micros> stallTimeout(std::uint32_t Index) const;
  static std::optional<Micros> stallTimeout(const ServiceState &Service);
  double expectedAnswers(const ServiceState &Service) const;
  void classifyAnswer(const detail::PacketFlowRow &Row, const Packet &P);
  void recordShortAnswer(std::uint32_t Index, FlowId Flow, bool SeenLocally);
  void recordUnansweredRequest(std::uint32_t Index, FlowId Flow,
                               bool SeenLocally);
  std::size_t requiredEvidence(std::uint32_t Index, bool SeenLocally) const;
  bool isGuarded() const;
  std::optional<std::size_t> overloadThreshold(const FailureEvidence &Evidence,
                                               std::uint32_t Index) const;
  bool isHeldBack(const FailureEvidence &Evidence, std::uint32_t Index) const;
  static bool isExpectedRun(std::uint32_t Run,
                            const detail::RecentCount &Failed,
                            const detail::RecentCount &All);
  void ejectTemporarily(std::uint32_t Index, UpstreamEvent::Kind Reason,
                        std::uint32_t &Consecutive, std::size_t Evidence,
                        std::size_t Needed);
  std::uint32_t indexOf(Incarnation Which) const;
  void setAlive(std::uint32_t Index);
  void setDead(std::uint32_t Index);
  void warn(std::uint32_t Index, UpstreamWarning::Kind Kind, FlowId Flow) const;
  void resetState(std::uint32_t Index);
  void addToAddress(std::uint32_t Index);
  void removeFromAddress(std::uint32_t Index);
  void endReplacedUpstreams(const Endpoint &At);
  bool hasReplaced(std::uint32_t Index, std::uint32_t Previous) const;
  void setReplaced(std::uint32_t Index);
  void clearHealthState();
  void resetFlows(std::uint32_t Index);
  void reportEvent(UpstreamEvent::Kind Kind, std::uint32_t Index) const;
  void reportDecision(Decision::Kind Kind, const Packet &P, std::uint32_t Index,
                      ErrorKind Error, std::size_t Candidates) const;
  void joinService(std::uint32_t Index, ServiceId Service);
  void leaveService(std::uint32_t Index);
  std::uint32_t expiryTick(Micros After) const;
  std::string_view exclusionReason(std::uint32_t Index, MonoTime Now) const;

  PacketBalancerOptions Options_;
  PacketCounters Counters_;
  RoutingTablePtr Routing_;
  UpstreamTable Upstreams_;
  std::vector<UpstreamState> UpstreamStates_; ///< Same index as `Upstreams_`.
  std::unordered_map<std::uint32_t, ServiceState> Services_;
  detail::UnnamedUpstreams Unnamed_;
  std::set<std::string> EvacuatedHalls_;
  ColdAdmission ColdAdmission_;
  std::unordered_map<std::uint32_t, std::uint32_t> IndexOfCookie_;
  /// Upstreams that are or were published at an address.
  std::unordered_map<Endpoint, std::vector<std::uint32_t>, EndpointHash>
      IndexesByAddress_;
  detail::PacketFlowTable Flows_;
  MonoTime Now_{};
  MonoTime ConfirmedAsOf_{};
  MonoTime ReroutesUntil_{}; ///< Until then the fabric may move flows.
  MonoTime NextTickDeadline_ = MonoTime::max();
  bool UpstreamsKnown_ = false;
  bool BulkUpdate_ = false; ///< Suppresses most upstream events.
  bool Serving_ = true;
  FailureEvidence UnansweredRequests_;
  FailureEvidence ShortAnswers_;
  FailureEvidence UnansweredOpenings_;
  AnswerSizes AnswerSizes_;
  std::size_t FleetSize_ = 1;
  FleetLoad FleetLoad_;
  RequestRates RequestRates_;
  /// Changes with the fleet's load and the policies.
  std::uint64_t LoadInputs_ = 1;
  OpeningBacklog Backlog_;
  Version BacklogRouting_ = 0; ///< The routing table that it conforms to.
  /// Flows to addresses that the routing table lacks, by what their packets
  /// got: forwarded by cookie, or kept by the owner.
  detail::UnconfirmedFlows ForwardedUnconfirmed_;
  detail::UnconfirmedFlows Waiting_;
  MonoTime UnconfirmedReviewAt_ = MonoTime::max();
  /// Addresses that an earlier routing table had, and until when their flows
  /// may be open.
  std::unordered_map<Endpoint, MonoTime, EndpointHash> DroppedAddresses_;
  detail::MovingAverageDelay
      OpeningDelay_; ///< From opening to acknowledged answer.
};

} // namespace thymewall

#endif
