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
constexpr std::uint32_t UnansweredToEject = 1;

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
  void checked(MonoTime Now, Incarnation Upstream, CheckResult Result,
               MonoTime Began);
  void warned(MonoTime Now, const UpstreamWarning &M);
  void confirm(MonoTime AsOf) { KnownAsOf_ = std::max(KnownAsOf_, AsOf); }
  void setServing(bool Serving) { Serving_ = Serving; }
  void setFleetSize(std::size_t Balancers) { FleetSize_ = Balancers; }
  void arrived(MonoTime At) {
    UnsettledUntil_ = std::max(UnsettledUntil_, At + SettlesWithin);
  }
  void tick(MonoTime Now);
  void setFleet(FleetView View) { Cold_.setFleet(std::move(View)); }
  bool limitsCold() const {
    return Routing_ && !Routing_->ColdFlowsPerSecond_.empty();
  }
  void setLimits(Micros ResetWhenKnown, Micros FlowLimit, double ColdOver,
                 double ColdSlack) {
    Options_.ResetWhenKnown_ = ResetWhenKnown;
    Options_.FlowLimit_ = FlowLimit;
    Options_.Cold_.Over_ = ColdOver;
    Options_.Cold_.Slack_ = ColdSlack;
  }
  bool ready() const { return Routing_ && ListKnown_; }
  const PacketCounters &counters() const { return Counters_; }
  PacketStatus status(MonoTime Now) const;
  Micros openingWait() const;

private:
  struct WaitingRequest {
    FlowId Flow_{};
    MonoTime Since_{};
  };
  /// What belongs to a row of the upstream table with the same index.
  struct Detail {
    ServiceId Service_{};
    bool Member_ = false; ///< Of the service.
    std::string DataHall_;
    Revision Revision_ = 0;
    std::uint64_t BornMs_ = 0; ///< Of the start that is published.
    /// When that start took the place of an earlier one here.
    MonoTime StartedAt_{};
    MonoTime ColdUntil_{};   ///< As it is published.
    MonoTime LapsedUntil_{}; ///< While it may come back.
    MonoTime ForgetAt_{};    ///< When a gone upstream's row is given back.
    MonoTime ProgressAt_{};  ///< Last sign of life in any of its flows.
    /// Requests that were sent to it since its last answer.
    std::vector<WaitingRequest> Waiting_;
    MonoTime AnswerAt_{};
    std::uint32_t Stalls_ = 0;   ///< In a row.
    std::uint32_t Failings_ = 0; ///< In a row.
    bool CheckWanted_ = false;   ///< At the next tick: a peer found it dead.
    MonoTime NextCheckAt_{};     ///< Not checked before, whatever is suspected.
    MonoTime RecheckAt_{};       ///< While it is dead.
    std::uint32_t Rechecks_ = 0; ///< Since it was found dead.
    bool Lapsed_ = false;
    bool Gone_ = false;
    bool Draining_ = false;
    bool Ended_ = false; ///< Another upstream has taken its address over.
  };
  /// The upstreams of a service and those among them that take new flows.
  struct ServiceState {
    std::vector<std::uint32_t> Members_;
    Eligible Eligible_;
    /// Those that only the owners of their limit may choose, and when the first
    /// of them is warm.
    std::vector<std::uint32_t> Cold_;
    MonoTime WarmAt_ = MonoTime::max();
    Version Routing_ = 0;           ///< Whose limits were applied.
    detail::ObservedDelay Answers_; ///< From request to acknowledged answer.
    detail::RecentCount RecentAnswers_;
    std::uint64_t Generation_ = 0;
  };

  Verdict open(const Packet &P, FlowId Flow,
               const std::vector<ServiceShare> &Shares);
  Verdict follow(const Packet &P, FlowId Flow);
  Verdict refuse(const Packet &P, ErrorKind Why);
  void noteSilence(std::uint32_t Index);
  Forward sendOpening(Decision::Kind Kind, const Packet &P, FlowId Flow,
                      std::uint32_t Index);
  std::uint32_t choose(ServiceId Service, FlowId Flow, std::uint32_t Copy,
                       std::uint32_t Avoid);
  const Eligible &eligible(ServiceId Service, ServiceState &State);
  void partCold(ServiceState &State, const ColdLimit &Limit);
  std::uint32_t chooseCold(const ServiceState &State, FlowId Flow,
                           const ColdLimit &Limit, std::uint32_t Avoid);
  ColdLimit coldLimit(ServiceId Service) const;
  ErrorKind whyNone(ServiceId Service) const;
  bool fresh() const;
  detail::PacketFlowRow *place(const Packet &P, FlowId Flow,
                               std::uint32_t Index);
  void noteOpening(const Packet &P, FlowId Flow, std::uint32_t Index);
  void noteProgress(const Packet &P, FlowId Flow, std::uint32_t Index);
  detail::PacketFlowRow *noteFollowed(const Packet &P, FlowId Flow,
                                      std::uint32_t Index);
  void measure(const detail::PacketFlowRow &Row, DelayClass Class);
  void setInProgress(detail::PacketFlowRow &Row, bool InProgress);
  void endFlow(detail::PacketFlowRow &Row);
  void moveFlow(detail::PacketFlowRow &Row, std::uint32_t Index);
  void countIn(const detail::PacketFlowRow &Row);
  void countOut(const detail::PacketFlowRow &Row);
  void put(const UpstreamChange &Change);
  void putEnded(const UpstreamChange &Change);
  void end(const UpstreamChange &Change, bool MayReturn);
  void setGone(std::uint32_t Index);
  void expireUpstreams();
  void forget(std::uint32_t Index);
  void suspect(std::uint32_t Index);
  void check(std::uint32_t Index);
  void checkDue();
  void noteRequest(std::uint32_t Index, FlowId Flow);
  void noteAnswer(std::uint32_t Index);
  void noteStalls();
  std::optional<Micros> stallLimit(std::uint32_t Index) const;
  double usualAnswers(const ServiceState &Of) const;
  void judgeAnswer(const detail::PacketFlowRow &Row, const Packet &P);
  void noteFailing(std::uint32_t Index, FlowId Flow, bool SeenHere);
  void noteUnanswered(std::uint32_t Index, FlowId Flow, bool SeenHere);
  std::size_t neededAgainst(std::uint32_t Index, bool SeenHere) const;
  void putAside(std::uint32_t Index, Belief::Kind Why, std::uint32_t &InARow,
                std::size_t Evidence, std::size_t Needed);
  std::uint32_t indexOf(Incarnation Which) const;
  void setAlive(std::uint32_t Index);
  void setDead(std::uint32_t Index);
  void warn(std::uint32_t Index, UpstreamWarning::Kind Kind, FlowId Flow) const;
  void restart(std::uint32_t Index);
  void joinAddress(std::uint32_t Index);
  void leaveAddress(std::uint32_t Index);
  void settleAddress(const Endpoint &At);
  bool hasTakenOver(std::uint32_t Index, std::uint32_t From) const;
  void setEnded(std::uint32_t Index);
  void forgetBeliefs();
  void giveUpFlows(std::uint32_t Index);
  void believe(Belief::Kind Kind, std::uint32_t Index) const;
  void decide(Decision::Kind Kind, const Packet &P, std::uint32_t Index,
              ErrorKind Why, std::size_t Candidates) const;
  void joinService(std::uint32_t Index, ServiceId Service);
  void leaveService(std::uint32_t Index);
  std::uint32_t dueTick(Micros After) const;
  std::string_view whyNotChosen(std::uint32_t Index, MonoTime Now) const;

  PacketBalancerOptions Options_;
  PacketCounters Counters_;
  RoutingTablePtr Routing_;
  UpstreamTable Upstreams_;
  std::vector<Detail> Details_; ///< Same index as `Upstreams_`.
  std::unordered_map<std::uint32_t, ServiceState> Services_;
  std::set<std::string> EvacuatedHalls_;
  ColdAdmission Cold_;
  std::unordered_map<std::uint32_t, std::uint32_t> IndexOfCookie_;
  /// The upstreams that are or were published at an address.
  std::unordered_map<Endpoint, std::vector<std::uint32_t>, EndpointHash>
      AtAddress_;
  detail::PacketFlowTable Flows_;
  MonoTime Now_{};
  MonoTime KnownAsOf_{};
  MonoTime UnsettledUntil_{}; ///< The fabric may be moving flows.
  MonoTime NextTickBy_ = MonoTime::max();
  bool ListKnown_ = false;
  bool InBulk_ = false; ///< Too many changes are told to name each.
  bool Serving_ = true;
  SilenceEvidence Evidence_;
  SilenceEvidence ShortAnswers_;
  AnswerSizes Sizes_;
  std::size_t FleetSize_ = 1;
  detail::ObservedDelay Openings_; ///< From opening to acknowledged answer.
};

} // namespace thymewall

#endif
