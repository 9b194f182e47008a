/// \file
/// How published state spreads among packet balancers, and which of them read
/// the configuration service. One reader serves the whole fleet: its knowledge
/// spreads with its age, and a balancer whose knowledge grows old reads for
/// itself, those of a better rank first. Nothing is elected: a reader that
/// dies, sleeps, is cut off or turned away is replaced because ages grow.
///
/// Pure: links are numbers that a harness gives to its connections.
#ifndef THYMEWALL_NEWS_H
#define THYMEWALL_NEWS_H

#include "thymewall/cold-admission.h"
#include "thymewall/intent-reader.h"
#include "thymewall/news-message.h"

#include <functional>
#include <map>
#include <memory>

namespace thymewall {

enum class LinkId : std::uint64_t {};

/// What the exchange wants done.
struct GossipHooks {
  std::function<void(LinkId, const GossipMessage &)> Send_;
  std::function<void(const Endpoint &Control)> Connect_;
  std::function<void(LinkId)> Close_;
  /// A newer routing table is known.
  std::function<void(const RoutingTablePtr &)> OnRouting_;
  /// Upstreams have changed. \p MayReturn: nobody had heard of the
  /// configuration service for a while, so missing ones may come back.
  std::function<void(const std::vector<UpstreamChange> &, bool MayReturn)>
      OnUpstreams_;
  /// Data halls are evacuated or taken back.
  std::function<void(const std::vector<EvacuationChange> &)> OnEvacuations_;
  /// Everything that was published up to \p AsOf is known.
  std::function<void(MonoTime AsOf)> OnConfirmed_;
  /// A peer warns of an upstream.
  std::function<void(const UpstreamWarning &)> OnWarning_;
  /// A peer has come \p At, from a start or a sleep; may be left out.
  std::function<void(MonoTime At)> OnPeerJoined_;
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
  std::uint64_t WarningsSent_ = 0; ///< On all links.
  std::size_t Links_ = 0;
  std::size_t Members_ = 0;
};

/// A peer as operators see it.
struct MemberStatus {
  Member Peer_;
  bool Linked_ = false;
};

class GossipNode {
public:
  /// Links that a balancer opens: with those that others open to it, about
  /// twice as many, which keeps a fleet connected when a third of it is gone.
  static constexpr std::size_t OutboundLinks = 3;
  static constexpr Micros HeartbeatInterval = std::chrono::milliseconds(1000);
  /// Knowledge that is this much more recent is told at once.
  static constexpr Micros ConfirmationStep = std::chrono::milliseconds(200);
  /// A link that is silent for longer is closed.
  static constexpr Micros LinkTimeout = std::chrono::milliseconds(2500);
  /// A claim of knowledge counts only if it was made after a heartbeat of ours
  /// that is not older than this: bounds by how much a held-up message can
  /// make knowledge look younger than it is.
  static constexpr Micros MaxEchoAge = std::chrono::milliseconds(1200);
  /// Age of knowledge at which the next balancers read for themselves: the
  /// reader confirms every 0.5 s, and every 1.1 s while there is news. Each
  /// balancer of the order waits a step more than the one before it; in a large
  /// fleet without a bound, else all those beyond it would read at once.
  static constexpr Micros TakeoverAge = std::chrono::milliseconds(1500);
  static constexpr Micros TakeoverStep = std::chrono::milliseconds(100);
  /// Word of the first that lives is passed on when it is so much fresher: less
  /// than the time of a heartbeat, more than that of a confirmation.
  static constexpr Micros AliveUpdateStep = std::chrono::milliseconds(800);
  /// Steps of a fleet in which each hears of all members.
  static constexpr std::size_t MaxTakeoverSteps = 8;
  /// In a part of a larger fleet that is cut off from the first of the order,
  /// over which its members spread their reading.
  static constexpr Micros PartitionJitter = std::chrono::milliseconds(800);
  /// A step for a balancer that knows nothing yet: of a fleet that starts at
  /// once few read before the first has told the others.
  static constexpr Micros StartupReadStep = std::chrono::milliseconds(10);
  /// A balancer that has read once gives its peers this long to tell it who
  /// reads before it reads again: links open in some ten milliseconds, and the
  /// reader confirms what is known every 0.5 s.
  static constexpr Micros FirstReadPause = std::chrono::milliseconds(700);
  /// Older knowledge means that the configuration service was away.
  static constexpr Micros OutageAge = std::chrono::milliseconds(2500);
  /// A peer that could not be reached, or was lost, is not linked to again for
  /// this long; it links to others itself when it is back.
  static constexpr Micros ReconnectDelay = std::chrono::milliseconds(2000);
  /// An answer to a request for news must come by then; else another is asked.
  static constexpr Micros RequestTimeout = std::chrono::milliseconds(300);

  /// A peer that has been running for less has just come.
  static constexpr Micros RecentStartAge = std::chrono::milliseconds(3000);
  /// Without a tick for so long this process has slept.
  static constexpr Micros SuspendThreshold = std::chrono::milliseconds(1250);

  /// Links that a balancer goes on accepting; further peers are told of members
  /// and sent on to them. Else a seed holds a link to every balancer of a fleet
  /// that starts.
  static constexpr std::size_t MaxInboundLinks = 32;
  /// Upstreams, about, that a start asks one peer for at once: what a message
  /// of some 40 KB holds.
  static constexpr std::size_t UpstreamsPerRequest = 768;

  /// A warning goes through the fleet once in this time.
  static constexpr Micros WarningInterval = std::chrono::milliseconds(1000);
  /// Different warnings of each kind in that time; more are not told: 6 links
  /// of 24 bytes and TCP's headers make 45 KB, once a data hall of upstreams is
  /// lost. Silence when hosts come back doesn't crowd out the dead.
  static constexpr std::size_t MaxWarningsPerInterval = 128;

  GossipNode(GossipOptions Options, GossipHooks Hooks);
  ~GossipNode();

  void opened(MonoTime Now, LinkId Link, bool Outbound);
  void closed(MonoTime Now, LinkId Link);
  /// A connection that was asked for has failed.
  void connectFailed(MonoTime Now, const Endpoint &Control);
  void received(MonoTime Now, LinkId Link, const GossipMessage &M);
  /// The configuration service was read; what it answered was complete at
  /// \p AsOf. False when changes are missing, so that the whole list is needed.
  bool readSucceeded(MonoTime Now, const ConfigResponse &Answer, MonoTime AsOf);
  /// A stale list was read: callers can be served by it, but peers or a list
  /// have yet to tell what is current.
  void staleListRead(MonoTime Now, const ConfigResponse &Answer);
  /// A call of the configuration service was not served: another may take over.
  void readFailed();
  /// This balancer has begun to read the whole list for the fleet.
  void listReadStarted(MonoTime Now);
  /// This balancer has evidence against an upstream: tells the fleet.
  void warn(MonoTime Now, const UpstreamWarning &M);
  void setLeaving(MonoTime Now);
  void setSeeds(std::vector<Endpoint> Seeds);
  void tick(MonoTime Now);

  /// When this balancer should read the configuration service itself.
  MonoTime nextReadAt() const;
  /// Everything through this revision is known.
  Revision through() const;
  MonoTime confirmedAsOf() const;
  /// Balancers that share the reading, at least 1 (this one).
  std::size_t fleetSize() const;
  FleetView fleetView(MonoTime Now) const;
  /// Most of this balancer's data hall is dead, and another data hall is well.
  /// The fabric goes on using every host of a data hall in which fewer than
  /// half answer, dead ones too, but none of a hall in which nobody does: the
  /// living then serve callers best by answering that they are not ready.
  /// Always false where members are too many for each to hear of all in time.
  bool isDataHallLost(MonoTime Now) const;
  GossipCounters counters() const;
  std::vector<MemberStatus> peers() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall

#endif
