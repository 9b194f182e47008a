/// \file
/// Implementation of `GossipNode`: state and choice of the reader (gossip.cc),
/// confirmations of the state and signs of life (gossip-confirmations.cc),
/// warnings (gossip-warnings.cc),
/// links and heartbeats (gossip-links.cc), starts from parts of the list
/// (gossip-parts.cc), views of the fleet (gossip-members.cc), impairment
/// (gossip-health.cc), reports of stale state (gossip-lag.cc).
#ifndef THYMEWALL_SRC_GOSSIP_IMPL_H
#define THYMEWALL_SRC_GOSSIP_IMPL_H

#include "member-list.h"
#include "outage-detector.h"
#include "peer-choice.h"
#include "peer-clock.h"
#include "thymewall/gossip.h"

#include <algorithm>
#include <deque>
#include <set>

namespace thymewall {

namespace detail {

/// The lowest reader score that was reported recently, and when.
struct LowestScore {
  std::uint64_t Score_ = 0;
  MonoTime At_{};

  /// Records \p Score as of \p At. Reports older than \p Within expire.
  void update(std::uint64_t Score, MonoTime At, MonoTime Now, Micros Within) {
    bool Lapsed = Now - At_ >= Within;
    if (Now - At >= Within || (Score > Score_ && !Lapsed))
      return;
    At_ = Score == Score_ ? std::max(At_, At) : At;
    Score_ = Score;
  }
};

/// A connection to a peer.
struct GossipLink {
  struct SentHeartbeat {
    std::uint64_t Sequence_;
    MonoTime At_;
  };

  bool Outbound_ = false;
  /// Surplus inbound link; closed once the peer knows other members.
  bool Redirected_ = false;
  std::string Peer_; ///< Name; empty before the first heartbeat.
  MonoTime ExpiresAt_{};
  std::uint64_t Sequence_ = 0;
  std::uint64_t LastReceivedSequence_ = 0;
  MonoTime LastReceivedAt_{};
  PeerClock PeerClock_;
  std::deque<SentHeartbeat> SentHeartbeats_;
  KnownByPeer PeerMembers_; ///< What the peer knows of the members.
  /// Parts and number of upstreams that the peer's last heartbeat reported.
  ListParts PeerParts_;
  std::uint32_t PeerUpstreamCount_ = 0;
  /// Parts requested from the peer and not received yet, and their deadline.
  ListParts RequestedParts_;
  MonoTime PartsRequestDeadline_{};
  bool RequestedEnded_ = false;
  struct PendingRequest {
    MonoTime SentAt_{};
    /// Only responses to such requests count as answers on ended upstreams.
    bool IncludesEnded_ = false;
  };
  /// Requests without a response, in the order of their responses.
  std::deque<PendingRequest> PendingRequests_;

  /// Removes and returns the oldest request.
  PendingRequest popRequest() {
    if (PendingRequests_.empty())
      return {};
    PendingRequest Oldest = PendingRequests_.front();
    PendingRequests_.pop_front();
    return Oldest;
  }

  /// Estimates the length of the full list from what the peer has of it.
  std::size_t estimatedListSize() const {
    return PeerUpstreamCount_ * ListPartCount /
           std::max<std::size_t>(PeerParts_.count(), 1);
  }

  /// Returns when the heartbeat was sent that the peer echoes; a message with
  /// this echo can't be older.
  MonoTime sentAt(std::uint64_t Echo) const {
    for (const SentHeartbeat &S : SentHeartbeats_)
      if (S.Sequence_ == Echo)
        return S.At_;
    return MonoTime{};
  }

  /// Returns the earliest time at which the peer can have sent a heartbeat that
  /// has just been received; far in the past if unknown.
  MonoTime sentNotBefore(MonoTime Now, const PeerHeartbeat &M) {
    MonoTime EchoSentAt = sentAt(M.EchoedSequence_);
    if (M.SentAtMs_ == 0)
      return EchoSentAt;
    if (EchoSentAt != MonoTime{})
      PeerClock_.record(Now, EchoSentAt,
                        std::chrono::milliseconds(M.EchoReceivedAtMs_));
    std::optional<MonoTime> SentAt =
        PeerClock_.sentNotBefore(Now, std::chrono::milliseconds(M.SentAtMs_));
    return std::max(EchoSentAt, SentAt.value_or(EchoSentAt));
  }
};

} // namespace detail

class GossipNode::Impl {
public:
  Impl(GossipOptions Options, GossipHooks Hooks)
      : Options_(std::move(Options)), Hooks_(std::move(Hooks)),
        Members_(Options_.Self_.Name_),
        Score_(detail::readerScore(Options_.Self_.Name_)) {}

  void opened(MonoTime Now, LinkId Link, bool Outbound);
  void closed(MonoTime Now, LinkId Link);
  void connectFailed(MonoTime Now, const Endpoint &Control);
  void received(MonoTime Now, LinkId Link, const GossipMessage &M);
  bool readSucceeded(MonoTime Now, const ConfigResponse &Response,
                     MonoTime AsOf);
  void staleListRead(MonoTime Now, const ConfigResponse &Response);
  void partialListRead(MonoTime Now, const ConfigResponse &Response);
  void readFailed(MonoTime Now, const ConfigResponse &Response);
  void listReadStarted(MonoTime Now);
  void warn(MonoTime Now, const UpstreamWarning &M);
  void setLeaving(MonoTime Now);
  void setSeeds(std::vector<Endpoint> Seeds) {
    Options_.Seeds_ = std::move(Seeds);
  }
  void tick(MonoTime Now);
  MonoTime nextReadAt() const;
  Revision through() const { return List_.through(); }
  MonoTime confirmedAsOf() const { return ConfirmedAsOf_; }
  std::size_t fleetSize() const {
    return Links_.empty() ? 1 : Members_.fleetSize();
  }
  std::size_t callers() const {
    return List_.through() != 0 && isIsolated() ? 1 : fleetSize();
  }
  FleetView fleetView(MonoTime Now) const;
  void setOwnLoad(std::vector<ServiceLoad> Load);
  FleetLoad fleetLoad(MonoTime Now) const;
  void setImpairment(std::uint8_t Impairment);
  HallView hallView(MonoTime Now) const;
  std::vector<Member> members() const { return Members_.all(); }
  bool isDataHallLost(MonoTime Now) const {
    return Members_.isDataHallLost(Now, Options_.Self_.DataHall_);
  }
  GossipCounters counters() const;
  std::vector<MemberStatus> peers() const;

private:
  void handle(MonoTime Now, LinkId Link, const PeerHeartbeat &M);
  void handle(MonoTime Now, LinkId Link, const StateRequest &M);
  void handle(MonoTime Now, LinkId Link, const StateUpdate &M);
  void handle(MonoTime Now, LinkId Link, const UpstreamWarning &M);
  static MonoTime observedAt(MonoTime Now, detail::GossipLink &L,
                             const UpstreamWarning &M);
  bool forwardWarning(MonoTime Now, const UpstreamWarning &M,
                      MonoTime ObservedAt, const LinkId *From);
  void notifyIfJoined(MonoTime Now, const PeerHeartbeat &M);
  bool apply(MonoTime Now, const RoutingTablePtr &Routing,
             const UpstreamBatch &Upstreams, const EvacuationBatch &Evacuations,
             MonoTime AsOf);
  void noteOutageEnd(MonoTime Now, MonoTime AsOf);
  void applyEvacuations(const EvacuationBatch &Batch);
  void acceptConfirmation(MonoTime Now, MonoTime SentAt,
                          const PeerHeartbeat &M);
  void noteReader(std::uint64_t Score, MonoTime At, MonoTime Now);
  void noteAlive(MonoTime Now, std::uint64_t Score, MonoTime At);
  void acceptFirstAlive(MonoTime Now, MonoTime SentAt, const PeerHeartbeat &M);
  static void noteMember(MonoTime Now, detail::GossipLink &L,
                         const Member &Reported);
  bool isSettled(MonoTime Now) const;
  std::vector<ServiceLoad> ownLoadLikePeers() const;
  Micros ownShareOf(Micros Range) const;
  MonoTime takeoverTime(MonoTime ConfirmedAt) const;
  MonoTime turnAmongPeers(std::size_t Rank, MonoTime ConfirmedAt) const;
  bool isIsolated() const;
  void acceptFailure(MonoTime Now, MonoTime At);
  void noteFailure(MonoTime Now, MonoTime At);
  void confirm(MonoTime Now, MonoTime AsOf, const std::string &Peer,
               MonoTime SentAt);
  void requestIfBehind(MonoTime Now, LinkId Link, const PeerHeartbeat &M);
  void noteNewerState(MonoTime Now, const PeerHeartbeat &M);
  void reportLag(MonoTime Now);
  void closeDuplicate(LinkId Link, const std::string &Peer);
  bool inboundLinksFull() const;
  /// Parts of the list that this balancer has, of whatever revision.
  ListParts heldParts() const {
    return List_.through() == 0 ? Parts_ : allParts();
  }
  bool startsFromParts(const detail::GossipLink &L) const {
    bool Long = Parts_.any() || L.estimatedListSize() > UpstreamsPerRequest;
    return List_.through() == 0 && !Parts_.all() && Long;
  }
  void requestParts(MonoTime Now, LinkId Link);
  void handleParts(MonoTime Now, LinkId Link, const StateUpdate &M);
  bool hasMissingParts(const ListParts &Parts) const;
  void addParts(MonoTime Now, const ListParts &Parts);
  std::optional<PartDigests> requestDigests() const;
  PeerHeartbeat heartbeat(MonoTime Now, detail::GossipLink &L,
                          std::size_t MemberCount);
  void sendHeartbeat(MonoTime Now, LinkId Link, detail::GossipLink &L,
                     std::size_t MemberCount,
                     const std::vector<Member> &Worsened);
  void sendHeartbeats(MonoTime Now);
  void maintainLinks(MonoTime Now);
  void connectSeeds();
  void connectSeed(const Endpoint &Seed);
  void probeSeeds();
  std::vector<Member> connectToChosen(MonoTime Now);
  void closeSurplusLinks(const std::vector<Member> &Chosen);
  void connect(const Endpoint &Control);
  bool linkedTo(const std::string &Name) const;
  bool hasImpairmentNews() const;
  bool impaired() const { return Options_.Self_.Impairment_ != 0; }
  std::uint32_t stateAgeMs(MonoTime Now) const {
    return ConfirmedAsOf_ == MonoTime{} ? PeerHeartbeat::UnknownAgeMs
                                        : detail::ageMs(ConfirmedAsOf_, Now);
  }

  /// Load of this balancer at a time.
  struct OwnLoad {
    MonoTime At_;
    std::vector<ServiceLoad> Services_;
  };

  GossipOptions Options_;
  GossipHooks Hooks_;
  GossipCounters Counters_;
  RoutingTablePtr Routing_;
  UpstreamList List_;
  ListParts Parts_;                ///< Parts in `List_` while it is incomplete.
  std::size_t AnnouncedParts_ = 0; ///< Number of parts last sent to peers.
  std::size_t SeedAttempts_ = 0;
  std::uint64_t ProbeCount_ = 0; ///< Seeds the random choice of `probeSeeds`.
  EvacuationList Evacuations_;
  std::map<LinkId, detail::GossipLink> Links_;
  detail::MemberList Members_;
  std::deque<OwnLoad> OwnLoads_; ///< Within `MemberList::MemberTimeout`.
  std::set<Endpoint> Connecting_;
  std::map<UpstreamWarning, MonoTime>
      RecentWarnings_;              ///< Expiry of each warning.
  std::uint64_t Score_;             ///< Reader score of this balancer.
  detail::LowestScore FirstReader_; ///< Of readers, by their last answer.
  MonoTime AnnouncedAliveAt_{};     ///< Last sent time of `FirstAlive_`.
  detail::LowestScore FirstAlive_;  ///< Of live balancers.
  /// Since when no live balancer has a lower score.
  MonoTime FirstAliveSince_{};
  std::uint64_t AnnouncedReader_ = 0; ///< Last sent `FirstReader_`.
  MonoTime FailedAt_{};               ///< Latest failed call of any balancer.
  MonoTime AnnouncedFailureAt_{};     ///< Last sent `FailedAt_`.
  detail::OutageDetector Outages_;
  MonoTime ConfirmedAsOf_{};
  MonoTime AnnouncedAsOf_{}; ///< Last sent `ConfirmedAsOf_`.
  StateLag Lag_;
  /// When a peer first reported newer state than this balancer's.
  MonoTime BehindSince_ = MonoTime::max();
  bool LagReported_ = false;
  /// End of the pause after the first read.
  MonoTime ReadPauseUntil_{};
  MonoTime LastTick_{};
  MonoTime LastReceivedAt_{}; ///< Last message on any link.
  MonoTime RunningSince_{};   ///< Start, or end of the last suspension.
  MonoTime NextHeartbeatAt_{};
  MonoTime NextMembersAt_{};
  MonoTime NextRequestAt_{};
  std::size_t EndedResponses_ = 0; ///< At most `MaxEndedRequests` are needed.
  bool HasRead_ = false;
  /// Reads for the fleet, and knows of no reader with a lower score.
  bool IsReader_ = false;
  bool Leaving_ = false;
  /// This balancer's impairment has become worse since the last heartbeats.
  bool HasImpairmentNews_ = false;
  /// Until when heartbeats include more members.
  MonoTime MoreMembersUntil_{};
};

} // namespace thymewall

#endif
