/// \file
/// Gossip of the published state among packet balancers, and the choice of the
/// balancer that reads the configuration service. Normally one reader serves
/// the whole fleet: its state spreads together with its age, and a balancer
/// whose state becomes too old reads for itself, those with the lowest reader
/// score first. There is no election: a reader that fails, is suspended,
/// partitioned or refused is replaced because its state ages.
///
/// Does no I/O: links are numbers that the caller assigns to its connections.
#ifndef THYMEWALL_GOSSIP_H
#define THYMEWALL_GOSSIP_H

#include "thymewall/cold-admission.h"
#include "thymewall/config-reader.h"
#include "thymewall/gossip-message.h"
#include "thymewall/step-back.h"

#include <functional>
#include <map>
#include <memory>

namespace thymewall {

enum class LinkId : std::uint64_t {};

/// How far the state of a balancer is behind the newest that a peer has
/// reported, and where it was last confirmed.
struct StateLag {
  std::string NewestPeer_; ///< Peer that reported `NewestRevision_`.
  Revision NewestRevision_ = 0;
  Micros BehindFor_{0};
  /// Peer whose message last confirmed the state; empty if this balancer read
  /// it from the configuration service.
  std::string ConfirmedBy_;
  /// Upper bound on the transit time of that message.
  Micros MaxTransit_{0};
};
inline bool operator==(const StateLag &A, const StateLag &B) {
  auto Fields = [](const StateLag &L) {
    return std::tie(L.NewestPeer_, L.NewestRevision_, L.BehindFor_,
                    L.ConfirmedBy_, L.MaxTransit_);
  };
  return Fields(A) == Fields(B);
}

/// An outage of the configuration service that has ended.
struct ServiceOutage {
  enum class Evidence : std::uint8_t {
    OwnCalls,   ///< Calls of this balancer failed.
    PeerReports ///< Other balancers reported failed calls.
  };

  MonoTime LastConfirmedAt_{}; ///< Last confirmation of the state before it.
  MonoTime ConfirmedAt_{};     ///< First one after it.
  Evidence Evidence_ = Evidence::OwnCalls;
};
inline bool operator==(const ServiceOutage &A, const ServiceOutage &B) {
  auto Fields = [](const ServiceOutage &O) {
    return std::tie(O.LastConfirmedAt_, O.ConfirmedAt_, O.Evidence_);
  };
  return Fields(A) == Fields(B);
}

/// Callbacks for outgoing messages, connections and changes of state.
struct GossipHooks {
  std::function<void(LinkId, const GossipMessage &)> Send_;
  std::function<void(const Endpoint &Control)> Connect_;
  std::function<void(LinkId)> Close_;
  /// A newer routing table has arrived.
  std::function<void(const RoutingTablePtr &)> OnRouting_;
  /// Upstreams have changed. Those missing from the list may come back until
  /// \p MayReturnUntil, which has passed unless an outage of the configuration
  /// service has just ended.
  std::function<void(const std::vector<UpstreamChange> &,
                     MonoTime MayReturnUntil)>
      OnUpstreams_;
  /// An outage of the configuration service has ended. Optional.
  std::function<void(const ServiceOutage &)> OnOutageEnded_;
  /// Evacuations of data halls have changed.
  std::function<void(const std::vector<EvacuationChange> &)> OnEvacuations_;
  /// The state is complete as of \p AsOf.
  std::function<void(MonoTime AsOf)> OnConfirmed_;
  /// A peer has sent a warning about an upstream.
  std::function<void(const UpstreamWarning &)> OnWarning_;
  /// A peer started or resumed \p At. Optional.
  std::function<void(MonoTime At)> OnPeerJoined_;
  /// This balancer's state has been older than a peer's for
  /// `GossipNode::LagReportDelay`, or has caught up after that. Optional.
  std::function<void(const StateLag &, bool IsBehind)> OnLag_;
};

struct GossipOptions {
  Member Self_;
  std::vector<Endpoint> Seeds_;
};

struct GossipCounters {
  std::uint64_t HeartbeatsSent_ = 0;
  std::uint64_t UpdatesSent_ = 0;
  std::uint64_t UpdatesReceived_ = 0;
  std::uint64_t RevisionGaps_ = 0;
  std::uint64_t StaleConfirmations_ = 0;
  std::uint64_t WarningsSent_ = 0;    ///< Counted once per link.
  std::uint64_t ExpiredWarnings_ = 0; ///< Received too late.
  std::size_t Links_ = 0;
  std::size_t Members_ = 0;
};

/// Status of a member for the operators' pages.
struct MemberStatus {
  Member Peer_;
  bool Linked_ = false;
};

class GossipNode {
public:
  /// Links that a balancer opens. Together with inbound links it has about
  /// twice as many, which keeps a fleet connected when a third of it is lost.
  static constexpr std::size_t OutboundLinks = 3;
  static constexpr Micros HeartbeatInterval = std::chrono::milliseconds(1000);
  /// A confirmation that is more recent by at least this is sent at once.
  static constexpr Micros ConfirmationStep = std::chrono::milliseconds(200);
  /// A link without messages for longer is closed.
  static constexpr Micros LinkTimeout = std::chrono::milliseconds(2500);
  /// Age of the state at which another balancer starts to read; longer than the
  /// interval between two confirmations of a reader, which is 0.5 s, and 1.1 s
  /// while there are changes. Each further rank waits
  /// one more `TakeoverStep`.
  static constexpr Micros TakeoverAge = std::chrono::milliseconds(1500);
  static constexpr Micros TakeoverStep = std::chrono::milliseconds(100);
  /// Additional age of the state at which an impaired balancer reads, so that
  /// the next ranks take over first.
  static constexpr Micros ImpairedReadDelay = 4 * TakeoverStep;
  /// A sign of life of the first live balancer, or the report of a failed call,
  /// is forwarded at once if it is newer by more than this than the last
  /// forwarded one. Shorter than a
  /// heartbeat interval, longer than the interval of confirmations.
  static constexpr Micros AliveUpdateStep = std::chrono::milliseconds(800);
  /// Upper bound on steps. In a large fleet, balancers beyond the bound spread
  /// their reads over `TakeoverSpread`, and wait for their turn as long as
  /// other balancers report failed calls: all of them calling at once would not
  /// help in an outage.
  static constexpr std::size_t MaxTakeoverSteps = 8;
  static constexpr Micros TakeoverSpread = std::chrono::milliseconds(400);
  /// For how long the report of a failed call counts. Until an outage ends,
  /// more calls fail within it.
  static constexpr Micros FailureLifetime = TakeoverAge;
  /// A balancer of a large fleet that has heard no peer for this long is
  /// isolated. Peers short of processor time may miss a heartbeat interval.
  static constexpr Micros IsolationTimeout = 2 * HeartbeatInterval;
  /// Range over which the members of a network partition spread their first
  /// reads when the balancer of rank 0 is on the other side.
  static constexpr Micros PartitionJitter = std::chrono::milliseconds(800);
  /// Delay per rank of the first read after a start, so that few balancers of a
  /// fleet that starts at once read before the first shares its state.
  static constexpr Micros StartupReadStep = std::chrono::milliseconds(10);
  /// Pause after a balancer's first read: time for links to open and for peers
  /// to report the current reader, which confirms once per
  /// `ConfigReader::WatchTimeout`.
  static constexpr Micros FirstReadPause = std::chrono::milliseconds(700);
  /// Age of the state from which failed calls of other balancers mean that the
  /// configuration service has an outage. While it answers, each balancer of a
  /// small fleet reads it before that age, whatever its rank.
  static constexpr Micros OutageAge = std::chrono::milliseconds(2500);
  /// Delay before reconnecting to a peer that was lost or unreachable; a peer
  /// that is back opens links itself.
  static constexpr Micros ReconnectDelay = std::chrono::milliseconds(2000);
  /// Deadline for an answer to a state request; another peer is asked after it.
  static constexpr Micros RequestTimeout = std::chrono::milliseconds(300);

  /// A balancer whose state is older than a peer's for longer reports it; a
  /// response usually arrives within some milliseconds.
  static constexpr Micros LagReportDelay = std::chrono::milliseconds(1000);

  /// A peer with a shorter uptime has just joined.
  static constexpr Micros RecentStartAge = std::chrono::milliseconds(3000);
  /// A process without a tick for this long was suspended.
  static constexpr Micros SuspendThreshold = std::chrono::milliseconds(1250);

  /// Inbound links that are kept open. Further peers receive members to connect
  /// to and are disconnected; otherwise a seed would hold a link to every
  /// balancer of a fleet that starts.
  static constexpr std::size_t MaxInboundLinks = 32;
  /// Approximate number of upstreams that a starting balancer requests from one
  /// peer at a time. Bounds the response to about 40 KB.
  static constexpr std::size_t UpstreamsPerRequest = 768;

  /// A warning is forwarded at most once in this interval, and not after it.
  static constexpr Micros WarningInterval = std::chrono::milliseconds(1000);
  /// Maximum number of warnings of each kind that are sent in an interval.
  /// Bounds the traffic when a whole data hall is lost to about 45 KB: 24 bytes
  /// and TCP's headers on each of 6 links. Kinds are counted apart
  /// so that stalls don't crowd out dead upstreams.
  static constexpr std::size_t MaxWarningsPerInterval = 128;

  GossipNode(GossipOptions Options, GossipHooks Hooks);
  ~GossipNode();

  void opened(MonoTime Now, LinkId Link, bool Outbound);
  void closed(MonoTime Now, LinkId Link);
  /// Records that an attempt to connect to \p Control has failed.
  void connectFailed(MonoTime Now, const Endpoint &Control);
  void received(MonoTime Now, LinkId Link, const GossipMessage &M);
  /// The configuration service has answered with a state that was complete at
  /// \p AsOf. Returns false if changes are missing and the full list must be
  /// read.
  bool readSucceeded(MonoTime Now, const ConfigResponse &Response,
                     MonoTime AsOf);
  /// A stale list was read. It suffices to serve callers, but doesn't make the
  /// state current.
  void staleListRead(MonoTime Now, const ConfigResponse &Response);
  /// A list could not be read to its end. While nothing else is known, what was
  /// read serves callers.
  void partialListRead(MonoTime Now, const ConfigResponse &Response);
  /// A call of the configuration service failed. Another balancer may take over
  /// unless the failure says nothing about the service.
  void readFailed(MonoTime Now, const ConfigResponse &Response);
  /// Records that this balancer has begun to read the full list for the fleet.
  void listReadStarted(MonoTime Now);
  /// Sends a warning about an upstream to the fleet.
  void warn(MonoTime Now, const UpstreamWarning &M);
  void setLeaving(MonoTime Now);
  void setSeeds(std::vector<Endpoint> Seeds);
  void tick(MonoTime Now);

  /// Returns when this balancer should next read the configuration service.
  MonoTime nextReadAt() const;
  /// Returns the revision up to which all changes are known.
  Revision through() const;
  MonoTime confirmedAsOf() const;
  /// Returns the estimated number of balancers, at least 1 (this one).
  std::size_t fleetSize() const;
  /// Returns the estimated number of balancers that share the calls of the
  /// configuration service: after its start, 1 while this one hears no peer.
  std::size_t callers() const;
  FleetView fleetView(MonoTime Now) const;
  /// Sets the load of this balancer, which heartbeats report.
  void setOwnLoad(std::vector<ServiceLoad> Load);
  /// Returns the load of the fleet, of the same members as `fleetView`.
  FleetLoad fleetLoad(MonoTime Now) const;
  /// Sets the impairment of this balancer, which heartbeats report. An impaired
  /// balancer sends no warnings of its own and reads the configuration service
  /// only when nobody else does.
  void setImpairment(std::uint8_t Impairment);
  /// Returns the members of this balancer's data hall, for `StepBack`.
  HallView hallView(MonoTime Now) const;
  /// Returns the known members, without this balancer.
  std::vector<Member> members() const;
  /// Whether most of this balancer's data hall is dead while another data hall
  /// is healthy. The fabric keeps using all hosts of a data hall, dead ones
  /// included, if fewer than half of them respond, but none if no host
  /// responds: the live ones should then report not ready. Always false in a
  /// fleet too large for each balancer to track all members.
  bool isDataHallLost(MonoTime Now) const;
  GossipCounters counters() const;
  std::vector<MemberStatus> peers() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall

#endif
