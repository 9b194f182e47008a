/// \file
/// Decides for each packet of a caller where it is forwarded. Answers do not
/// pass through the balancer; upstreams send them to the caller directly
/// (direct server return). Uses no socket, thread, clock or random numbers.
///
///   PacketBalancer B = PacketBalancerBuilder().build();
///   B.setRouting(Now, Table);
///   B.applyUpstreams(Now, Changes);
///   Verdict V = B.steer(Now, Packet);
///   B.tick(Now); // about every `TickInterval`
#ifndef THYMEWALL_PACKET_BALANCER_H
#define THYMEWALL_PACKET_BALANCER_H

#include "thymewall/admission.h"
#include "thymewall/cold-admission.h"
#include "thymewall/evacuation.h"
#include "thymewall/fleet-load.h"
#include "thymewall/load-policy.h"
#include "thymewall/packet.h"
#include "thymewall/routing.h"
#include "thymewall/upstream-list.h"
#include "thymewall/upstream-table.h"
#include "thymewall/upstream-warning.h"

#include <memory>
#include <variant>

namespace thymewall {

/// Forward the packet with this cookie.
struct Forward {
  Endpoint To_;
  Incarnation Upstream_{}; ///< The only incarnation that accepts it.
  Cookie Cookie_ = 0;
};
/// Send the caller a reset of its flow.
struct ResetFlow {
  Endpoint Caller_;
  Endpoint Service_;
  std::uint32_t Sequence_ = 0; ///< A number that the caller accepts.
  ErrorKind Error_ = ErrorKind::None;
};
/// Drop the packet.
struct Dropped {
  ErrorKind Error_ = ErrorKind::None;
};
/// Keep the packet until `PacketBalancerOptions::OnQueuedVerdict_` is called
/// with this flow. Further packets of the flow may be dropped.
struct Queued {
  FlowId Flow_{};
};
using Verdict = std::variant<Forward, ResetFlow, Dropped, Queued>;
/// Called with the verdict on a queued packet, which is never `Queued`.
using QueuedVerdictHook = std::function<void(FlowId Flow, const Verdict &)>;

/// A decision on a packet and its reasons, for logs.
struct Decision {
  enum class Kind : std::uint8_t {
    Opened,      ///< First opening packet.
    OpenMoved,   ///< Opening packet that the caller retransmitted.
    OpenRetried, ///< Unanswered opening packet, sent to another upstream.
    Followed,    ///< First data of a flow that another balancer opened.
    /// First packet of a flow to an address that the routing table lacks: it is
    /// forwarded by its cookie or, without an upstream, waits.
    Unconfirmed,
    Refused ///< Reset or dropped because of `Error_`.
  };
  Kind Kind_ = Kind::Opened;
  Endpoint Caller_;
  Endpoint Service_;
  Incarnation Upstream_{};
  ErrorKind Error_ = ErrorKind::None;
  std::uint32_t Candidates_ = 0; ///< Number of eligible upstreams.
  Version RoutingVersion_ = 0;
  bool HasConfirmation_ = false; ///< Whether any state was ever confirmed.
  Micros KnowledgeAge_{};        ///< Time since the last confirmation.
};
using DecisionHook = std::function<void(const Decision &)>;

/// A change of an upstream's state, for logs.
struct UpstreamEvent {
  enum class Kind : std::uint8_t {
    Listed,    ///< Published for the first time or again.
    Restarted, ///< Started again under its incarnation.
    Draining,
    Lapsed,  ///< Missing from the list after an outage; may return.
    Gone,    ///< No longer published.
    Ejected, ///< Left openings unanswered.
    Stalled, ///< Left requests unanswered.
    Failing, ///< Gave short answers.
    Checked, ///< A check found it alive.
    Dead     ///< Its flows are reset.
  };
  Kind Kind_ = Kind::Listed;
  Incarnation Upstream_{};
  Endpoint Address_;
  Revision Revision_ = 0;
  /// For `Stalled` and `Failing`: number of bad requests and the threshold.
  std::size_t Evidence_ = 0;
  std::size_t Needed_ = 0;
};
using UpstreamEventHook = std::function<void(const UpstreamEvent &)>;

/// A change of how the upstreams of a service's new flows are chosen, for logs.
struct PlacementChange {
  ServiceId Service_{};
  Placement Placement_ = Placement::TwoDraws; ///< The one in effect.
  double Share_ = 0;    ///< This balancer's share of the load; 0 if unknown.
  std::size_t Arc_ = 0; ///< Upstreams of its arc; 0 without apertures.
};
using PlacementHook = std::function<void(const PlacementChange &)>;

/// Request for a liveness check, which is a TCP connection to the upstream.
struct UpstreamCheck {
  Incarnation Upstream_{};
  Endpoint Address_;
};
using CheckHook = std::function<void(const UpstreamCheck &)>;
/// Called with evidence against an upstream that is to be sent to peers.
using WarningHook = std::function<void(const UpstreamWarning &)>;
/// Result of a liveness check.
enum class CheckResult : std::uint8_t {
  Connected, ///< The address accepts connections.
  Dead,      ///< Connection refused or timed out.
  Unclear    ///< The check itself failed.
};
/// Called with each flow that is reset because its upstream is dead, or because
/// its address turned out not to be published.
using ResetHook = std::function<void(const ResetFlow &)>;

/// A step of the admission of openings, for logs and metrics.
struct AdmissionEvent {
  enum class Kind : std::uint8_t {
    Queued,   ///< An opening has to wait.
    Admitted, ///< A queued opening is forwarded.
    Rejected, ///< An opening is reset.
    Full,     ///< The service has become full.
    HasRoom   ///< The service is no longer full.
  };
  /// Why an opening is rejected.
  enum class Reason : std::uint8_t {
    None,
    ExpectedWait, ///< On arrival, too many openings were ahead.
    Waited,       ///< It has waited for as long as it may.
    Displaced     ///< The backlog holds better openings.
  };
  Kind Kind_ = Kind::Queued;
  Reason Reason_ = Reason::None;
  Endpoint Caller_; ///< Empty for `Full` and `HasRoom`.
  ServiceId Service_{};
  std::uint8_t Priority_ = 0;
  std::size_t InProgress_ = 0;
  std::size_t Limit_ = 0;
  std::size_t Ahead_ = 0; ///< Openings of the service that go first.
  Micros ExpectedWait_{};
  Micros Waited_{};
};
using AdmissionEventHook = std::function<void(const AdmissionEvent &)>;

/// Interval that a delay measures.
enum class DelayClass : std::uint8_t {
  Open,   ///< From the opening packet to the caller's acknowledgement.
  Request ///< From a request's data to the first acknowledged answer.
};
using PacketDelayHook =
    std::function<void(ServiceId Service, DelayClass Class, Micros Delay)>;

/// Event counts since the start of the process.
struct PacketCounters {
  std::array<std::uint64_t, static_cast<std::size_t>(ErrorKind::Count)>
      Errors_{};
  std::uint64_t Packets_ = 0;
  std::uint64_t Opened_ = 0;
  std::uint64_t OpenMoved_ = 0;
  std::uint64_t OpenRetried_ = 0;
  std::uint64_t Followed_ = 0;
  std::uint64_t Resets_ = 0;
  std::uint64_t Checks_ = 0;
  std::uint64_t Dead_ = 0; ///< Upstreams declared dead.
  std::uint64_t Stalled_ = 0;
  std::uint64_t Failing_ = 0;
  std::uint64_t LateWakes_ = 0;
  /// Distributions of answer sizes that were discarded, see `AnswerSizes`.
  std::uint64_t BaselinesDiscarded_ = 0;
  /// Evidence that ejected no upstream because its service is overloaded.
  std::uint64_t HeldBack_ = 0;
  std::uint64_t RetriesRefused_ = 0;      ///< By the retry limit.
  std::uint64_t RejectedByFlowLimit_ = 0; ///< Openings.
  /// Packets to addresses that the routing table lacks: forwarded by their
  /// cookie, or kept until the state shows whether the address is published.
  std::uint64_t ForwardedUnconfirmed_ = 0;
  std::uint64_t WaitedForState_ = 0;
};

/// State of an upstream for status pages.
struct UpstreamStatus {
  Incarnation Incarnation_{};
  std::string DataHall_;
  ServiceId Service_{};
  UpstreamRow Row_;
  /// Why it gets no new flows; empty if it gets them.
  std::string_view ExclusionReason_;
};

/// This balancer's arc of a service for status pages.
struct ApertureStatus {
  ServiceId Service_{};
  double Share_ = 0; ///< Of the fleet's load of the service, from 0 to 1.
  std::vector<Incarnation> Upstreams_; ///< In ring order.
};
/// Admission state of a service for status pages.
struct AdmissionStatus {
  ServiceId Service_{};
  std::optional<std::size_t> Limit_; ///< None if everything is admitted.
  std::size_t InProgress_ = 0;
  std::size_t Queued_ = 0;
  bool Full_ = false;
};

struct PacketStatus {
  Version RoutingVersion_ = 0;
  MonoTime ConfirmedAsOf_{};
  std::size_t Flows_ = 0;
  std::size_t MemoryBytes_ = 0;
  std::vector<std::string> EvacuatedHalls_;
  /// Published upstreams of services that the routing table doesn't name.
  std::size_t UnnamedUpstreams_ = 0;
  std::vector<UpstreamStatus> Upstreams_;
  std::vector<ApertureStatus> Apertures_; ///< Services placed by apertures.
  std::vector<AdmissionStatus> Admission_;
};

/// Options of a packet balancer.
struct PacketBalancerOptions {
  Chooser Chooser_ = chooseByInProgress;
  DecisionHook OnDecision_;
  UpstreamEventHook OnUpstreamEvent_;
  PlacementHook OnPlacement_;
  PacketDelayHook OnDelay_;
  CheckHook OnCheck_; ///< If empty, no upstream is declared dead.
  ResetHook OnReset_;
  WarningHook OnWarning_;
  QueuedVerdictHook OnQueuedVerdict_; ///< If empty, no packet is queued.
  AdmissionEventHook OnAdmissionEvent_;
  /// Openings are rejected because the routing table lacks their address, or
  /// because their upstreams are all cold or evacuated, only while the last
  /// confirmation of the state is younger than this. Otherwise they are
  /// dropped, since that may have changed meanwhile.
  Micros MaxStalenessForReset_ = std::chrono::milliseconds(2500);
  /// Lifetime of a flow's row and of a removed upstream's row.
  Micros MaxFlowAge_ = std::chrono::seconds(60);
  std::uint32_t MaxFlows_ = 200'000;
  /// `BurstFactor_` and `BurstAllowance_` apply to every service that publishes
  /// a limit.
  ColdLimit Cold_;
  Placement Placement_ = Placement::TwoDraws;
  Admission Admission_ = Admission::Open;
  /// Requests in progress that admission allows for each slot of an upstream.
  double RequestsPerSlot_ = RequestLimit::DefaultRequestsPerSlot;
};

class PacketBalancer {
public:
  static constexpr Micros TickInterval = std::chrono::milliseconds(250);
  /// A tick this late means that the process was suspended.
  static constexpr Micros LateTickThreshold = std::chrono::milliseconds(1000);

  /// Largest update whose upstreams are reported as one event each. The initial
  /// list of thousands would displace all other log lines.
  static constexpr std::size_t MaxIndividualEvents = 16;

  /// How long after the start of a balancer the fabric may still move flows
  /// between balancers. Their answers are acknowledged elsewhere, so that
  /// upstreams seem silent here. The fabric uses a host 0.5 to 1 s after its
  /// start; requests in progress then are missed 0.6 s later and count for 2 s.
  static constexpr Micros RerouteSettleTime = std::chrono::milliseconds(2500);

  explicit PacketBalancer(PacketBalancerOptions Options);
  PacketBalancer(PacketBalancer &&) noexcept;
  PacketBalancer &operator=(PacketBalancer &&) noexcept;
  ~PacketBalancer();

  /// Decides what happens to a packet.
  Verdict steer(MonoTime Now, const Packet &P);
  /// Decides what happens to a packet that was held since \p HeldSince. An
  /// opening counts as the latest copy that its caller may have sent meanwhile,
  /// since another balancer may have forwarded that one.
  Verdict steerHeld(MonoTime Now, MonoTime HeldSince, const Packet &P);
  /// Chooses another upstream for an opening packet that `steer` forwarded and
  /// that is still unanswered. Returns `Dropped` without an error if it was
  /// answered or there is no other upstream.
  Verdict retryOpening(MonoTime Now, const Packet &P);
  /// Replaces the routing table; ignores one that is not newer.
  void setRouting(MonoTime Now, RoutingTablePtr Table);
  /// Applies changes of the upstream list. Missing upstreams are removed once
  /// the state is confirmed as of \p MayReturnUntil, or at once if it has
  /// passed.
  void applyUpstreams(MonoTime Now, const std::vector<UpstreamChange> &Changes,
                      MonoTime MayReturnUntil = {});
  /// Applies changes of the evacuated data halls. Their upstreams get no
  /// opening packets, retransmitted or retried ones included; open flows stay.
  void applyEvacuations(MonoTime Now,
                        const std::vector<EvacuationChange> &Changes);
  /// Handles the result of a liveness check that began at \p Began.
  void onCheckResult(MonoTime Now, Incarnation Upstream, CheckResult Result,
                     MonoTime Began);
  /// Handles a peer's evidence against an upstream. A `Dead` one is checked at
  /// the next tick. `Stalled` counts as an unanswered request, unless the
  /// upstream has answered here recently; `Failing` counts as a short answer.
  /// Either may lead to an ejection.
  void onPeerWarning(MonoTime Now, const UpstreamWarning &M);
  /// Records that all state published up to \p AsOf is known. Packets to
  /// addresses that the routing table lacks are decided on by the next call of
  /// `expireQueued`, which is due then.
  void confirmUpTo(MonoTime AsOf);
  /// Sets whether this balancer announces itself to the fabric. If not, packets
  /// of its flows reach other balancers, so that a missing answer is no
  /// evidence against an upstream.
  void setServing(bool Serving);
  /// Sets the number of balancers in the fleet, including this one.
  void setFleetSize(std::size_t Balancers);
  /// Records that a balancer joined at \p At. The fabric moves flows to it, so
  /// that missing answers are weak evidence for `RerouteSettleTime`.
  void onBalancerJoined(MonoTime At);
  /// Returns the time for the next call of `expireQueued`, or
  /// `MonoTime::max()`.
  MonoTime nextQueuedExpiry() const;
  /// Decides on queued packets that may wait no longer, or need not.
  void expireQueued(MonoTime Now);
  /// Runs expiry, checks and failure detection; call it every `TickInterval`.
  void tick(MonoTime Now);
  /// Sets the members of the fleet, among which the limits of cold upstreams
  /// are divided. Until it is set, cold upstreams with a limit get no flows.
  void setFleet(FleetView View);
  /// Sets the load of the fleet, by which upstreams and their capacity are
  /// divided among balancers.
  void setFleetLoad(MonoTime Now, FleetLoad Load);
  /// Returns the load that this balancer carries, by service.
  std::vector<ServiceLoad> ownLoad(MonoTime Now) const;
  /// Replaces these policies of `PacketBalancerOptions`.
  void
  setPolicies(Placement Placing, Admission Admitting,
              double RequestsPerSlot = RequestLimit::DefaultRequestsPerSlot);
  /// Returns whether any service limits new flows to its cold upstreams.
  bool hasColdLimits() const;
  /// Replaces these limits of `PacketBalancerOptions`.
  void setLimits(Micros MaxStalenessForReset, Micros MaxFlowAge,
                 double ColdBurstFactor, double ColdBurstAllowance);

  /// Returns the retry timeout of opening packets, which follows the measured
  /// opening delay.
  Micros openingTimeout() const;
  /// Returns whether a routing table and an upstream list are present.
  bool ready() const;
  const PacketCounters &counters() const;
  PacketStatus status(MonoTime Now) const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

class PacketBalancerBuilder {
public:
  PacketBalancerBuilder &chooser(Chooser Value);
  PacketBalancerBuilder &onDecision(DecisionHook Value);
  PacketBalancerBuilder &onUpstreamEvent(UpstreamEventHook Value);
  PacketBalancerBuilder &onPlacement(PlacementHook Value);
  PacketBalancerBuilder &onDelay(PacketDelayHook Value);
  PacketBalancerBuilder &onCheck(CheckHook Value);
  PacketBalancerBuilder &onReset(ResetHook Value);
  PacketBalancerBuilder &onWarning(WarningHook Value);
  PacketBalancerBuilder &onQueuedVerdict(QueuedVerdictHook Value);
  PacketBalancerBuilder &onAdmissionEvent(AdmissionEventHook Value);
  PacketBalancerBuilder &maxStalenessForReset(Micros Value);
  PacketBalancerBuilder &maxFlowAge(Micros Value);
  PacketBalancerBuilder &coldBurst(double Factor, double Allowance);
  PacketBalancerBuilder &policies(Placement Placing, Admission Admitting);
  PacketBalancerBuilder &requestsPerSlot(double Value);
  PacketBalancer build() const;

private:
  PacketBalancerOptions Options_;
};

} // namespace thymewall

#endif
