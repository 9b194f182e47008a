/// \file
/// Inside of `GossipNode`: what is known and who reads (news.cc), links and
/// heartbeats (news-links.cc), and starts by parts of the list (news-parts.cc).
#ifndef THYMEWALL_SRC_NEWS_IMPL_H
#define THYMEWALL_SRC_NEWS_IMPL_H

#include "member-list.h"
#include "peer-choice.h"
#include "thymewall/news.h"

#include <algorithm>
#include <deque>
#include <set>

namespace thymewall {

namespace detail {

/// The first balancer in the order of readers that something was heard of
/// lately, and when that was so.
struct LowestScore {
  std::uint64_t Score_ = 0;
  MonoTime At_{};

  /// Takes in that it was so of \p Score \p At; what is older than \p Within
  /// counts no more.
  void update(std::uint64_t Score, MonoTime At, MonoTime Now, Micros Within) {
    bool Lapsed = Now - At_ >= Within;
    if (Now - At >= Within || (Score > Score_ && !Lapsed))
      return;
    At_ = Score == Score_ ? std::max(At_, At) : At;
    Score_ = Score;
  }
};

/// One connection to a peer.
struct GossipLink {
  struct SentHeartbeat {
    std::uint64_t Sequence_;
    MonoTime At_;
  };

  bool Outbound_ = false;
  bool Redirected_ = false; ///< One too many: the peer is to link to others.
  std::string Peer_;        ///< Name, once a heartbeat came.
  MonoTime ExpiresAt_{};
  std::uint64_t Sequence_ = 0;
  std::uint64_t LastReceivedSequence_ = 0;
  std::deque<SentHeartbeat> SentHeartbeats_;
  MonoTime RequestedAt_{}; ///< When news was last asked for.
  /// As the peer's last heartbeat told: what it has of the list.
  ListParts PeerParts_;
  std::uint32_t PeerUpstreamCount_ = 0;
  /// Parts that it was asked for and has yet to send, at most until then.
  ListParts RequestedParts_;
  MonoTime PartsRequestDeadline_{};
  bool RequestedEnded_ = false;
  /// Questions that wait for their answers, which come in the same order: true
  /// for those that ask for ended upstreams too. Without the order any three
  /// news of one peer end the asking of others.
  std::deque<bool> PendingRequests_;

  /// True when the answer that has come is one on ended upstreams.
  bool popRequest() {
    if (PendingRequests_.empty())
      return false;
    bool Ended = PendingRequests_.front();
    PendingRequests_.pop_front();
    return Ended;
  }

  /// How many upstreams there are, judged by what the peer has of them.
  std::size_t estimatedListSize() const {
    return PeerUpstreamCount_ * ListPartCount /
           std::max<std::size_t>(PeerParts_.count(), 1);
  }

  /// The time after which the peer must have sent a message with this echo.
  MonoTime sentAt(std::uint64_t Echo) const {
    for (const SentHeartbeat &S : SentHeartbeats_)
      if (S.Sequence_ == Echo)
        return S.At_;
    return MonoTime{};
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
  void readFailed() { IsReader_ = false; }
  void listReadStarted(MonoTime Now);
  void warn(MonoTime Now, const UpstreamWarning &M) {
    forwardWarning(Now, M, nullptr);
  }
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
  FleetView fleetView(MonoTime Now) const;
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
  bool forwardWarning(MonoTime Now, const UpstreamWarning &M,
                      const LinkId *From);
  void notifyIfJoined(MonoTime Now, const PeerHeartbeat &M);
  bool apply(MonoTime Now, const RoutingTablePtr &Routing,
             const UpstreamBatch &Upstreams,
             const EvacuationBatch &Evacuations);
  void applyEvacuations(const EvacuationBatch &Batch);
  void acceptConfirmation(MonoTime Now, const detail::GossipLink &L,
                          const PeerHeartbeat &M);
  void noteReader(std::uint64_t Score, MonoTime At, MonoTime Now);
  void noteAlive(MonoTime Now, std::uint64_t Score, MonoTime At);
  void acceptFirstAlive(MonoTime Now, const detail::GossipLink &L,
                        const PeerHeartbeat &M);
  Micros partitionJitter() const;
  MonoTime takeoverTime(MonoTime ToldAt) const;
  void confirm(MonoTime Now, MonoTime AsOf);
  void requestIfBehind(MonoTime Now, LinkId Link, const PeerHeartbeat &M);
  void closeDuplicate(LinkId Link, const std::string &Peer);
  bool inboundLinksFull() const;
  /// The parts of the list that are here, whichever revision they are of.
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
  PeerHeartbeat heartbeat(MonoTime Now, std::size_t Members);
  void sendHeartbeat(MonoTime Now, LinkId Link, detail::GossipLink &L,
                     std::size_t Members);
  void sendHeartbeats(MonoTime Now);
  void maintainLinks(MonoTime Now);
  void connectSeeds();
  void connectSeed(const Endpoint &Seed);
  void probeSeeds();
  std::vector<Member> connectToChosen(MonoTime Now);
  void closeSurplusLinks(const std::vector<Member> &Chosen);
  void connect(const Endpoint &Control);
  bool linkedTo(const std::string &Name) const;
  std::uint32_t stateAgeMs(MonoTime Now) const {
    return ConfirmedAsOf_ == MonoTime{} ? PeerHeartbeat::UnknownAgeMs
                                        : detail::ageMs(ConfirmedAsOf_, Now);
  }

  GossipOptions Options_;
  GossipHooks Hooks_;
  GossipCounters Counters_;
  RoutingTablePtr Routing_;
  UpstreamList List_;
  ListParts Parts_; ///< That `List_` has while it isn't complete.
  std::size_t AnnouncedParts_ = 0; ///< How many of them peers were told of.
  std::size_t SeedAttempts_ = 0;
  std::uint64_t ProbeCount_ = 0; ///< Of balancers that look for other parts.
  EvacuationList Evacuations_;
  std::map<LinkId, detail::GossipLink> Links_;
  detail::MemberList Members_;
  std::set<Endpoint> Connecting_;
  std::map<UpstreamWarning, MonoTime>
      RecentWarnings_;              ///< Until when not told again.
  std::uint64_t Score_;             ///< Place in the order of readers.
  detail::LowestScore FirstReader_; ///< Of those that read, by its last answer.
  MonoTime AnnouncedAliveAt_{};     ///< `FirstAlive_` when it was last told.
  detail::LowestScore FirstAlive_;  ///< Of those that live.
  MonoTime FirstAliveSince_{}; ///< Since when nobody before this one lives.
  std::uint64_t AnnouncedReader_ =
      0; ///< Whom of `FirstReader_` peers were told.
  MonoTime ConfirmedAsOf_{};
  MonoTime AnnouncedAsOf_{}; ///< `ConfirmedAsOf_` when it was last told.
  /// Not before: peers have yet to tell who reads.
  MonoTime ReadPauseUntil_{};
  MonoTime LastTick_{};
  MonoTime RunningSince_{}; ///< The start, or the end of the last sleep.
  MonoTime NextHeartbeatAt_{};
  MonoTime NextMembersAt_{};
  MonoTime NextRequestAt_{};
  std::size_t EndedResponses_ = 0; ///< Not more are asked for than are needed.
  bool HasRead_ = false;
  bool IsReader_ = false; ///< Reads, and knows of no better one that does.
  bool Leaving_ = false;
};

} // namespace thymewall

#endif
