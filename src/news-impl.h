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
struct FirstHeard {
  std::uint64_t Score_ = 0;
  MonoTime At_{};

  /// Takes in that it was so of \p Score \p At; what is older than \p Within
  /// counts no more.
  void note(std::uint64_t Score, MonoTime At, MonoTime Now, Micros Within) {
    bool Lapsed = Now - At_ >= Within;
    if (Now - At >= Within || (Score > Score_ && !Lapsed))
      return;
    At_ = Score == Score_ ? std::max(At_, At) : At;
    Score_ = Score;
  }
};

/// One connection to a peer.
struct GossipLink {
  struct Sent {
    std::uint64_t Sequence_;
    MonoTime At_;
  };

  bool Outbound_ = false;
  bool SentOn_ = false; ///< One too many: the peer is to link to others.
  std::string Peer_;    ///< Name, once a heartbeat came.
  MonoTime SilentAt_{};
  std::uint64_t Sequence_ = 0;
  std::uint64_t LastHeard_ = 0;
  std::deque<Sent> Sent_;
  MonoTime AskedAt_{}; ///< When news was last asked for.
  /// As the peer's last heartbeat told: what it has of the list.
  ListParts PeerParts_;
  std::uint32_t PeerListed_ = 0;
  /// Parts that it was asked for and has yet to send, at most until then.
  ListParts AskedParts_;
  MonoTime AskedPartsUntil_{};
  bool AskedEnded_ = false;
  /// Questions that wait for their answers, which come in the same order: true
  /// for those that ask for ended upstreams too. Without the order any three
  /// news of one peer end the asking of others.
  std::deque<bool> Questions_;

  /// True when the answer that has come is one on ended upstreams.
  bool takeAnswer() {
    if (Questions_.empty())
      return false;
    bool Ended = Questions_.front();
    Questions_.pop_front();
    return Ended;
  }

  /// How many upstreams there are, judged by what the peer has of them.
  std::size_t peerList() const {
    return PeerListed_ * ListPartCount /
           std::max<std::size_t>(PeerParts_.count(), 1);
  }

  /// The time after which the peer must have sent a message with this echo.
  MonoTime sentAt(std::uint64_t Echo) const {
    for (const Sent &S : Sent_)
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

  void opened(MonoTime Now, LinkId Which, bool Outbound);
  void closed(MonoTime Now, LinkId Which);
  void connectFailed(MonoTime Now, const Endpoint &Control);
  void received(MonoTime Now, LinkId Which, const GossipMessage &M);
  bool readSucceeded(MonoTime Now, const ConfigResponse &Answer, MonoTime AsOf);
  void staleListRead(MonoTime Now, const ConfigResponse &Answer);
  void readFailed() { Reading_ = false; }
  void listReadStarted(MonoTime Now);
  void warn(MonoTime Now, const UpstreamWarning &M) { tell(Now, M, nullptr); }
  void setLeaving(MonoTime Now);
  void setSeeds(std::vector<Endpoint> Seeds) {
    Options_.Seeds_ = std::move(Seeds);
  }
  void tick(MonoTime Now);
  MonoTime nextReadAt() const;
  Revision through() const { return List_.through(); }
  MonoTime confirmedAsOf() const { return KnownAsOf_; }
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
  void take(MonoTime Now, LinkId Which, const PeerHeartbeat &M);
  void take(MonoTime Now, LinkId Which, const StateRequest &M);
  void take(MonoTime Now, LinkId Which, const StateUpdate &M);
  void take(MonoTime Now, LinkId Which, const UpstreamWarning &M);
  bool tell(MonoTime Now, const UpstreamWarning &M, const LinkId *From);
  void noteArrival(MonoTime Now, const PeerHeartbeat &M);
  bool apply(MonoTime Now, const RoutingTablePtr &Routing,
             const UpstreamBatch &Upstreams,
             const EvacuationBatch &Evacuations);
  void applyEvacuations(const EvacuationBatch &Batch);
  void takeClaim(MonoTime Now, const detail::GossipLink &L,
                 const PeerHeartbeat &M);
  void noteReader(std::uint64_t Score, MonoTime At, MonoTime Now);
  void noteLiving(MonoTime Now, std::uint64_t Score, MonoTime At);
  void takeLiving(MonoTime Now, const detail::GossipLink &L,
                  const PeerHeartbeat &M);
  Micros cutOffSpread() const;
  MonoTime turnToRead(MonoTime ToldAt) const;
  void confirm(MonoTime Now, MonoTime AsOf);
  void askIfBehind(MonoTime Now, LinkId Which, const PeerHeartbeat &M);
  void closeSpare(LinkId Which, const std::string &Peer);
  bool acceptsNoMore() const;
  /// The parts of the list that are here, whichever revision they are of.
  ListParts partsHere() const {
    return List_.through() == 0 ? Parts_ : allParts();
  }
  bool startsByParts(const detail::GossipLink &L) const {
    bool Long = Parts_.any() || L.peerList() > UpstreamsPerRequest;
    return List_.through() == 0 && !Parts_.all() && Long;
  }
  void askForParts(MonoTime Now, LinkId Which);
  void takeParts(MonoTime Now, LinkId Which, const StateUpdate &M);
  bool bringsParts(const ListParts &Parts) const;
  void addParts(MonoTime Now, const ListParts &Parts);
  std::optional<PartDigests> digestsToSend() const;
  PeerHeartbeat heartbeat(MonoTime Now, std::size_t Members);
  void beat(MonoTime Now, LinkId Which, detail::GossipLink &L,
            std::size_t Members);
  void beatAll(MonoTime Now);
  void keepLinks(MonoTime Now);
  void connectSeeds();
  void connectSeed(const Endpoint &Seed);
  void lookForOthers();
  std::vector<Member> linkToWanted(MonoTime Now);
  void closeUnwanted(const std::vector<Member> &Wanted);
  void connect(const Endpoint &Control);
  bool linkedTo(const std::string &Name) const;
  std::uint32_t knownAgeMs(MonoTime Now) const {
    return KnownAsOf_ == MonoTime{} ? PeerHeartbeat::UnknownAgeMs
                                    : detail::ageMs(KnownAsOf_, Now);
  }

  GossipOptions Options_;
  GossipHooks Hooks_;
  GossipCounters Counters_;
  RoutingTablePtr Routing_;
  UpstreamList List_;
  ListParts Parts_;           ///< That `List_` has while it isn't complete.
  std::size_t ToldParts_ = 0; ///< How many of them peers were told of.
  std::size_t SeedAttempts_ = 0;
  std::uint64_t Draws_ = 0; ///< Of balancers that look for other parts.
  EvacuationList Evacuations_;
  std::map<LinkId, detail::GossipLink> Links_;
  detail::MemberList Members_;
  std::set<Endpoint> Connecting_;
  std::map<UpstreamWarning, MonoTime> Told_; ///< Until when not told again.
  std::uint64_t Score_;                      ///< Place in the order of readers.
  detail::FirstHeard Reader_;    ///< Of those that read, by its last answer.
  MonoTime ToldLivingAt_{};      ///< `Living_` when it was last told.
  detail::FirstHeard Living_;    ///< Of those that live.
  MonoTime FirstSince_{};        ///< Since when nobody before this one lives.
  std::uint64_t ToldReader_ = 0; ///< Whom of `Reader_` peers were told.
  MonoTime KnownAsOf_{};
  MonoTime ToldAsOf_{}; ///< `KnownAsOf_` when it was last told.
  /// Not before: peers have yet to tell who reads.
  MonoTime ReadAgainFrom_{};
  MonoTime LastTick_{};
  MonoTime PresentSince_{}; ///< The start, or the end of the last sleep.
  MonoTime NextBeat_{};
  MonoTime TellMembersAt_{};
  MonoTime AskAgainAt_{};
  std::size_t EndedAnswers_ = 0; ///< Not more are asked for than are needed.
  bool EverRead_ = false;
  bool Reading_ = false; ///< Reads, and knows of no better one that does.
  bool Leaving_ = false;
};

} // namespace thymewall

#endif
