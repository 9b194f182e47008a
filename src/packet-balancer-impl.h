/// \file
/// Inside of `PacketBalancer`: packets (packet-balancer.cc), what is remembered
/// of flows (packet-balancer-flows.cc), which upstreams there are
/// (packet-balancer-upstreams.cc) and which of them are suspected, stalled or
/// dead (packet-balancer-evidence.cc), and who has an address
/// (packet-balancer-addresses.cc).
#ifndef THYMEWALL_SRC_PACKET_BALANCER_IMPL_H
#define THYMEWALL_SRC_PACKET_BALANCER_IMPL_H

#include "observed-delay.h"
#include "packet-flow.h"
#include "recent-count.h"
#include "thymewall/answer-sizes.h"
#include "thymewall/packet-balancer.h"
#include "thymewall/silence-evidence.h"

#include <set>
#include <unordered_map>

namespace thymewall {

namespace detail {

/// The cookie of an upstream: what fits of its incarnation. Never 0, which
/// stands for no cookie.
inline Cookie cookieOf(Incarnation Which) {
  auto Low = static_cast<std::uint32_t>(raw(Which));
  return Low == 0 ? 1 : Low;
}

/// A single opening that got no answer in the caller's 200 ms moves new flows
/// elsewhere for a while: a mistake costs nothing, since they are served there.
constexpr std::uint32_t OpeningFailuresToEject = 1;

} // namespace detail

class PacketBalancer::Impl {
public:
  explicit Impl(PacketBalancerOptions Options);

  Verdict steer(MonoTime Now, const Packet &P);
  Verdict retryOpening(MonoTime Now, const Packet &P);
  void setRouting(RoutingTablePtr Table);
  void applyUpstreams(MonoTime Now, const std::vector<UpstreamChange> &Changes,
                      bool MayReturn);
  void applyEvacuations(MonoTime Now,
                        const std::vector<EvacuationChange> &Changes);
  void onCheckResult(MonoTime Now, Incarnation Upstream, CheckResult Result,
                     MonoTime Began);
  void onPeerWarning(MonoTime Now, const UpstreamWarning &M);
  void confirmUpTo(MonoTime AsOf) {
    ConfirmedAsOf_ = std::max(ConfirmedAsOf_, AsOf);
  }
  void setServing(bool Serving) { Serving_ = Serving; }
  void setFleetSize(std::size_t Balancers) { FleetSize_ = Balancers; }
  void onBalancerJoined(MonoTime At) {
    ReroutesUntil_ = std::max(ReroutesUntil_, At + RerouteSettleTime);
  }
  void tick(MonoTime Now);
  void setFleet(FleetView View) { ColdAdmission_.setFleet(std::move(View)); }
  bool hasColdLimits() const {
    return Routing_ && !Routing_->ColdPerSecond_.empty();
  }
  void setLimits(Micros MaxStalenessForReset, Micros MaxFlowAge,
                 double ColdOver, double ColdSlack) {
    Options_.MaxStalenessForReset_ = MaxStalenessForReset;
    Options_.MaxFlowAge_ = MaxFlowAge;
    Options_.Cold_.Over_ = ColdOver;
    Options_.Cold_.Slack_ = ColdSlack;
  }
  bool ready() const { return Routing_ && UpstreamsKnown_; }
  const PacketCounters &counters() const { return Counters_; }
  PacketStatus status(MonoTime Now) const;
  Micros openingTimeout() const;

private:
  struct PendingRequest {
    FlowId Flow_{};
    MonoTime Since_{};
  };
  /// What belongs to a row of the upstream table with the same index.
  struct UpstreamState {
    ServiceId Service_{};
    bool ListedInService_ = false; ///< Of the service.
    std::string DataHall_;
    Revision Revision_ = 0;
    std::uint64_t BornMs_ = 0; ///< Of the start that is published.
    /// When that start took the place of an earlier one here.
    MonoTime StartedAt_{};
    MonoTime ColdUntil_{};      ///< As it is published.
    MonoTime LapsedUntil_{};    ///< While it may come back.
    MonoTime ReleaseAt_{};      ///< When a gone upstream's row is given back.
    MonoTime LastProgressAt_{}; ///< Last sign of life in any of its flows.
    /// Requests that were sent to it since its last answer.
    std::vector<PendingRequest> PendingRequests_;
    MonoTime LastAnswerAt_{};
    std::uint32_t StallEjections_ = 0;   ///< In a row.
    std::uint32_t FailingEjections_ = 0; ///< In a row.
    bool CheckRequested_ = false; ///< At the next tick: a peer found it dead.
    MonoTime NextCheckAt_{};     ///< Not checked before, whatever is suspected.
    MonoTime RecheckAt_{};       ///< While it is dead.
    std::uint32_t Rechecks_ = 0; ///< Since it was found dead.
    bool Lapsed_ = false;
    bool Gone_ = false;
    bool Draining_ = false;
    bool Replaced_ = false; ///< Another upstream has taken its address over.
  };
  /// The upstreams of a service and those among them that take new flows.
  struct ServiceState {
    std::vector<std::uint32_t> Members_;
    Eligible Eligible_;
    /// Those that only the owners of their limit may choose, and when the first
    /// of them is warm.
    std::vector<std::uint32_t> ColdMembers_;
    MonoTime WarmAt_ = MonoTime::max();
    Version Routing_ = 0; ///< Whose limits were applied.
    detail::MovingAverageDelay
        AnswerDelay_; ///< From request to acknowledged answer.
    detail::RecentCount RecentAnswers_;
    std::uint64_t Generation_ = 0;
  };

  Verdict open(const Packet &P, FlowId Flow,
               const std::vector<ServiceShare> &Shares);
  Verdict routeByCookie(const Packet &P, FlowId Flow);
  Verdict refuse(const Packet &P, ErrorKind Error);
  void recordUnansweredOpening(std::uint32_t Index);
  Forward sendOpening(Decision::Kind Kind, const Packet &P, FlowId Flow,
                      std::uint32_t Index);
  std::uint32_t choose(ServiceId Service, FlowId Flow, std::uint32_t Attempt,
                       std::uint32_t Avoid);
  const Eligible &eligible(ServiceId Service, ServiceState &State);
  void separateCold(ServiceState &State, const ColdLimit &Limit);
  std::uint32_t chooseCold(const ServiceState &State, FlowId Flow,
                           const ColdLimit &Limit, std::uint32_t Avoid);
  ColdLimit coldLimit(ServiceId Service) const;
  ErrorKind noCandidateError(ServiceId Service) const;
  bool isFresh() const;
  detail::PacketFlowRow *assignFlow(const Packet &P, FlowId Flow,
                                    std::uint32_t Index);
  void recordOpening(const Packet &P, FlowId Flow, std::uint32_t Index);
  void recordProgress(const Packet &P, FlowId Flow, std::uint32_t Index);
  detail::PacketFlowRow *recordFollowed(const Packet &P, FlowId Flow,
                                        std::uint32_t Index);
  void recordDelay(const detail::PacketFlowRow &Row, DelayClass Class);
  void setInProgress(detail::PacketFlowRow &Row, bool InProgress);
  void endFlow(detail::PacketFlowRow &Row);
  void reassignFlow(detail::PacketFlowRow &Row, std::uint32_t Index);
  void addLoad(const detail::PacketFlowRow &Row);
  void subtractLoad(const detail::PacketFlowRow &Row);
  void addOrUpdate(const UpstreamChange &Change);
  void addEnded(const UpstreamChange &Change);
  void remove(const UpstreamChange &Change, bool MayReturn);
  void setGone(std::uint32_t Index);
  void expireUpstreams();
  void forgetUpstream(std::uint32_t Index);
  void recordOpeningFailure(std::uint32_t Index);
  void requestCheck(std::uint32_t Index);
  void runDueChecks();
  void recordRequest(std::uint32_t Index, FlowId Flow);
  void recordAnswer(std::uint32_t Index);
  void detectStalls();
  std::optional<Micros> stallTimeout(std::uint32_t Index) const;
  double expectedAnswers(const ServiceState &Service) const;
  void classifyAnswer(const detail::PacketFlowRow &Row, const Packet &P);
  void recordShortAnswer(std::uint32_t Index, FlowId Flow, bool SeenLocally);
  void recordUnansweredRequest(std::uint32_t Index, FlowId Flow,
                               bool SeenLocally);
  std::size_t requiredEvidence(std::uint32_t Index, bool SeenLocally) const;
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
  std::set<std::string> EvacuatedHalls_;
  ColdAdmission ColdAdmission_;
  std::unordered_map<std::uint32_t, std::uint32_t> IndexOfCookie_;
  /// The upstreams that are or were published at an address.
  std::unordered_map<Endpoint, std::vector<std::uint32_t>, EndpointHash>
      IndexesByAddress_;
  detail::PacketFlowTable Flows_;
  MonoTime Now_{};
  MonoTime ConfirmedAsOf_{};
  MonoTime ReroutesUntil_{}; ///< The fabric may be moving flows.
  MonoTime NextTickDeadline_ = MonoTime::max();
  bool UpstreamsKnown_ = false;
  bool BulkUpdate_ = false; ///< Too many changes are told to name each.
  bool Serving_ = true;
  SilenceEvidence UnansweredRequests_;
  SilenceEvidence ShortAnswers_;
  AnswerSizes AnswerSizes_;
  std::size_t FleetSize_ = 1;
  detail::MovingAverageDelay
      OpeningDelay_; ///< From opening to acknowledged answer.
};

} // namespace thymewall

#endif
