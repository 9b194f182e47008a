/// \file
/// The decisions of a packet balancer: a caller's packet and the time go in,
/// and what to do with the packet comes out. Answers do not pass here:
/// upstreams send them to the caller directly. No socket, thread, clock or
/// randomness.
///
///   PacketBalancer B = PacketBalancerBuilder().build();
///   B.setRouting(Now, Table);
///   B.applyUpstreams(Now, Changes);
///   Verdict V = B.steer(Now, Packet);
///   B.tick(Now); // about every `TickEvery`
#ifndef THYMEWALL_PACKET_BALANCER_H
#define THYMEWALL_PACKET_BALANCER_H

#include "thymewall/cold-admission.h"
#include "thymewall/evacuation.h"
#include "thymewall/packet.h"
#include "thymewall/routing.h"
#include "thymewall/upstream-list.h"
#include "thymewall/upstream-table.h"
#include "thymewall/upstream-warning.h"

#include <memory>
#include <variant>

namespace thymewall {

/// Send the packet on with this cookie in it.
struct Forward {
  Endpoint To_;
  Incarnation Upstream_{}; ///< Only this start of the upstream may take it.
  Cookie Cookie_ = 0;
};
/// Tell the caller that its flow is over.
struct ResetFlow {
  Endpoint Caller_;
  Endpoint Service_;
  std::uint32_t Sequence_ = 0; ///< One that the caller accepts.
  ErrorKind Why_ = ErrorKind::None;
};
struct Dropped {
  ErrorKind Why_ = ErrorKind::None;
};
using Verdict = std::variant<Forward, ResetFlow, Dropped>;

/// A decision about a flow, with what decided it; for logs.
struct Decision {
  enum class Kind : std::uint8_t {
    Opened,      ///< First opening packet, sent to an upstream.
    OpenMoved,   ///< A copy of the opening packet, sent to another one.
    OpenRetried, ///< The opening packet itself, unanswered, sent to another.
    Followed,    ///< First data here of a flow that another balancer opened.
    Refused      ///< Reset or dropped; `Why_` tells.
  };
  Kind Kind_ = Kind::Opened;
  Endpoint Caller_;
  Endpoint Service_;
  Incarnation Upstream_{};
  ErrorKind Why_ = ErrorKind::None;
  std::uint32_t Candidates_ = 0; ///< Upstreams that could take new flows.
  Version RoutingVersion_ = 0;
  bool Known_ = false;    ///< Anything was ever confirmed.
  Micros KnowledgeAge_{}; ///< Since what is known was last confirmed.
};
using DecisionHook = std::function<void(const Decision &)>;

/// A change in what is believed of an upstream; for logs.
struct Belief {
  enum class Kind : std::uint8_t {
    Listed,
    Restarted, ///< Under its incarnation; what was believed of it is void.
    Draining,
    Lapsed,
    Gone,
    Ejected,
    Stalled, ///< It leaves more requests unanswered than chance explains.
    Failing, ///< It gives more short answers than chance explains.
    Checked, ///< It was suspected, and lives.
    Dead     ///< Its flows are given up.
  };
  Kind Kind_ = Kind::Listed;
  Incarnation Upstream_{};
  Endpoint At_;
  Revision Revision_ = 0;
  /// Requests that led to `Stalled` or `Failing`, and how many were needed.
  std::size_t Evidence_ = 0;
  std::size_t Needed_ = 0;
};
using BeliefHook = std::function<void(const Belief &)>;

/// Asks for proof that an upstream lives: a TCP connection to its address.
struct UpstreamCheck {
  Incarnation Upstream_{};
  Endpoint At_;
};
using CheckHook = std::function<void(const UpstreamCheck &)>;
/// Evidence against an upstream that peers should have.
using WarningHook = std::function<void(const UpstreamWarning &)>;
/// What came of a check.
enum class CheckResult : std::uint8_t {
  Connected, ///< Something accepts connections there.
  Dead,      ///< Refused, or silent for as long as a check lasts.
  Unclear    ///< The check itself was disturbed.
};
/// Called with each flow that is given up because its upstream is dead.
using ResetHook = std::function<void(const ResetFlow &)>;

/// What a delay was measured of.
enum class DelayClass : std::uint8_t {
  Open,   ///< From the opening packet to the caller's acknowledgement.
  Request ///< From a request's data to the first acknowledged answer.
};
using PacketDelayHook =
    std::function<void(ServiceId Service, DelayClass Class, Micros Delay)>;

/// Totals since the start of the process.
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
  std::uint64_t Dead_ = 0; ///< Upstreams held to be dead.
  std::uint64_t Stalled_ = 0;
  std::uint64_t Failing_ = 0;
  std::uint64_t LateWakes_ = 0;
};

/// An upstream as operators see it.
struct SteeredUpstream {
  Incarnation Incarnation_{};
  std::string DataHall_;
  ServiceId Service_{};
  UpstreamRow Row_;
  /// Why it takes no new flow now; empty when it takes them.
  std::string_view NotChosen_;
};

struct PacketStatus {
  Version RoutingVersion_ = 0;
  MonoTime KnownAsOf_{};
  std::size_t Flows_ = 0;
  std::size_t MemoryBytes_ = 0;
  std::vector<std::string> EvacuatedHalls_;
  std::vector<SteeredUpstream> Upstreams_;
};

/// Settings of a packet balancer; the defaults suit an entry host of today.
struct PacketBalancerOptions {
  Chooser Chooser_ = chooseByInProgress;
  DecisionHook OnDecision_;
  BeliefHook OnBelief_;
  PacketDelayHook OnDelay_;
  CheckHook OnCheck_; ///< Without it no upstream is ever held to be dead.
  ResetHook OnReset_;
  WarningHook OnWarning_;
  /// An unknown address is reset only if all that was published this long ago
  /// is known; from the time within which a routing table must be in force.
  Micros ResetWhenKnown_ = std::chrono::milliseconds(2500);
  /// A flow older than this may be forgotten, and so may its upstream.
  Micros FlowLimit_ = std::chrono::seconds(60);
  std::uint32_t FlowBound_ = 200'000;
  /// `BurstFactor_` and `BurstAllowance_` hold for every service that publishes
  /// a limit.
  ColdLimit Cold_;
};

class PacketBalancer {
public:
  static constexpr Micros TickEvery = std::chrono::milliseconds(250);
  /// A tick this late means that the process has not run meanwhile.
  static constexpr Micros LateAfter = std::chrono::milliseconds(1000);
  /// How long an upstream may be missing after the configuration service was
  /// away before it is gone: those that live are back within 2 s.
  static constexpr Micros LapseLimit = std::chrono::milliseconds(2000);

  /// Changes told at once of which beliefs name each upstream: a list of
  /// thousands at a start would drop all other lines.
  static constexpr std::size_t NamedOneByOne = 16;

  /// The fabric leads flows to a host 0.5 to 1 s after its start; what was
  /// under way then is missed 0.6 s later, and counts for 2 s.
  static constexpr Micros SettlesWithin = std::chrono::milliseconds(2500);

  explicit PacketBalancer(PacketBalancerOptions Options);
  PacketBalancer(PacketBalancer &&) noexcept;
  PacketBalancer &operator=(PacketBalancer &&) noexcept;
  ~PacketBalancer();

  Verdict steer(MonoTime Now, const Packet &P);
  /// Where \p P, which `steer` sent to an upstream, is to be sent once more
  /// because it opens a flow and nobody has answered yet. `Dropped` without an
  /// error when that is not needed or there is no other upstream.
  Verdict retryOpening(MonoTime Now, const Packet &P);
  /// Puts a routing table in force; an older one is ignored.
  void setRouting(MonoTime Now, RoutingTablePtr Table);
  /// \p MayReturn: the configuration service was away, so upstreams that are
  /// missing count as gone only after `LapseLimit`.
  void applyUpstreams(MonoTime Now, const std::vector<UpstreamChange> &Changes,
                      bool MayReturn = false);
  /// From now on an evacuated hall gets no opening, nor a copy or a retry of
  /// one; open flows stay where they are.
  void applyEvacuations(MonoTime Now,
                        const std::vector<EvacuationChange> &Changes);
  /// The answer to a check that began at \p Began.
  void checked(MonoTime Now, Incarnation Upstream, CheckResult Result,
               MonoTime Began);
  /// A peer has evidence against an upstream. A dead one is checked here too,
  /// at the next tick. One that left a peer's request unanswered gets no new
  /// flows for a while, unless it has just answered here; while flows are moved
  /// it takes more requests than chance explains, two at least. So it does
  /// always for one whose answers are short.
  void warned(MonoTime Now, const UpstreamWarning &M);
  /// All that was published up to \p AsOf is known.
  void confirm(MonoTime AsOf);
  /// Whether the fabric is asked to send callers here. While it is not, a
  /// flow's next packet comes to another balancer, so that silence here says
  /// nothing of an upstream.
  void setServing(bool Serving);
  /// How many balancers share the callers, this one among them.
  void setFleetSize(std::size_t Balancers);
  /// A balancer has come \p At, so that the fabric leads flows from others to
  /// it: silence within `SettlesWithin` may be theirs.
  void arrived(MonoTime At);
  void tick(MonoTime Now);
  /// The fleet as it is believed to be, about at every tick: parts the limits
  /// of cold upstreams. Without it they get no flow that has a limit.
  void setFleet(FleetView View);
  /// Whether any service limits its cold upstreams, so that the fleet matters.
  bool limitsCold() const;
  /// Changes these options.
  void setLimits(Micros ResetWhenKnown, Micros FlowLimit, double ColdOver,
                 double ColdSlack);

  /// How long an opening may stay unanswered before it is worth a retry: what
  /// openings usually take here decides.
  Micros openingWait() const;
  /// True once a routing table and a list of upstreams are in hand.
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
  PacketBalancerBuilder &onBelief(BeliefHook Value);
  PacketBalancerBuilder &onDelay(PacketDelayHook Value);
  PacketBalancerBuilder &onCheck(CheckHook Value);
  PacketBalancerBuilder &onReset(ResetHook Value);
  PacketBalancerBuilder &onWarning(WarningHook Value);
  PacketBalancerBuilder &resetWhenKnown(Micros Value);
  PacketBalancerBuilder &flowLimit(Micros Value);
  PacketBalancerBuilder &coldOver(double Times, double Slack);
  PacketBalancer build() const;

private:
  PacketBalancerOptions Options_;
};

} // namespace thymewall

#endif
