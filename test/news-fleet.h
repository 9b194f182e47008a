/// \file
/// A fleet of news exchanges and readers on virtual time, with a configuration
/// service and links that lose contact. For tests.
#ifndef THYMEWALL_TEST_NEWS_FLEET_H
#define THYMEWALL_TEST_NEWS_FLEET_H

#include "event-queue.h"
#include "thymewall/intent-reader.h"
#include "thymewall/news.h"

#include <map>
#include <set>

namespace thymewall::test {

/// What a test runs on each member beside its news; all of it optional.
struct MemberHooks {
  using Upstreams = std::vector<UpstreamChange>;

  std::function<void(std::size_t Which)> OnStart_;
  std::function<void(std::size_t Which)> OnTick_;
  std::function<void(std::size_t Which, const RoutingTablePtr &)> OnRouting_;
  std::function<void(std::size_t Which, const Upstreams &, bool MayReturn)>
      OnUpstreams_;
  std::function<void(std::size_t Which, const std::vector<EvacuationChange> &)>
      OnEvacuations_;
  std::function<void(std::size_t Which, MonoTime AsOf)> OnConfirmed_;
  std::function<void(std::size_t Which, MonoTime At)> OnPeerJoined_;
};

class GossipFleet {
public:
  explicit GossipFleet(std::size_t Count, std::size_t Halls = 3,
                       MemberHooks Hooks = {});

  /// Runs to \p Until, in virtual time from the start.
  void run(Micros Until) { Events_.run(Until); }
  /// Publishes a change: an upstream comes, or goes again. Gives its revision.
  Revision publish();
  /// Publishes an upstream as it is now; without an entry it has ended.
  Revision publish(Incarnation Which,
                   const std::optional<UpstreamEntry> &Entry);
  /// Publishes that a data hall is evacuated, or taken back.
  Revision publishEvacuation(const std::string &DataHall, bool Evacuated);
  /// Publishes a routing table with the next version.
  Version publishRouting();
  /// The same, with these addresses.
  Version publishRouting(const RoutingTable &Table);

  // Troubles; each holds until it is set back.
  void setSuspended(std::size_t Which, bool Suspended);
  void setRefused(std::size_t Which, bool Refused);
  /// Calls of the configuration service are never answered.
  void setUnresponsive(std::size_t Which, bool Unresponsive);
  /// Packets between two members are held up; they arrive when it ends.
  void setBlocked(std::size_t A, std::size_t B, bool Blocked);
  void setServiceDown(bool Down) { ServiceDown_ = Down; }
  /// Changes so far are no longer told by watches, and a list takes so long.
  void compactHistory(Micros ListDelay) {
    HistoryFrom_ = Log_.size();
    ListDelay_ = ListDelay;
  }
  /// Stale lists are so old from now on.
  void setStaleListAge(Micros Age) { StaleListAge_ = Age; }
  std::size_t staleCalls() const { return StaleCalls_; }
  /// Upstreams in all answers of the configuration service.
  std::size_t upstreamsServed() const { return UpstreamsServed_; }
  /// Upstreams that peers have told a member since its start, and all links
  /// that it has had at once.
  std::size_t upstreamsReceived(std::size_t Which) const {
    return Nodes_[Which].UpstreamsReceived_;
  }
  /// Bytes of messages that all members have sent.
  std::size_t bytesSent() const { return BytesSent_; }
  std::size_t maxLinks(std::size_t Which) const {
    return Nodes_[Which].MaxLinks_;
  }
  /// Upstreams that a member has been told of, by whomever.
  std::size_t listed(std::size_t Which) const {
    return Nodes_[Which].Listed_.size();
  }
  /// Every open link, and every call under way, says nothing any more; new ones
  /// work.
  void blackholeConnections();
  void kill(std::size_t Which);
  void restart(std::size_t Which);

  Micros now() const { return Events_.now().time_since_epoch(); }
  std::size_t size() const { return Nodes_.size(); }
  /// Calls but those for stale lists.
  std::size_t calls() const { return Calls_; }
  GossipNode &gossip(std::size_t Which) { return *Nodes_[Which].Gossip_; }
  /// Warnings that a member had from peers.
  const std::vector<UpstreamWarning> &warnings(std::size_t Which) const {
    return Nodes_[Which].Warnings_;
  }
  MonoTime clock() const { return Events_.now(); }
  Version routing(std::size_t Which) const { return Nodes_[Which].Routing_; }
  const std::set<std::string> &evacuated(std::size_t Which) const {
    return Nodes_[Which].Evacuated_;
  }
  /// Every living member, awake and not, has exactly these halls evacuated.
  bool allEvacuated(const std::set<std::string> &Halls) const;
  bool mayReturn(std::size_t Which) const { return Nodes_[Which].MayReturn_; }
  /// The member that made the last call.
  std::size_t lastReader() const { return LastReader_; }
  /// How far claimed knowledge was ever younger than true: the largest time by
  /// which a member said to know something that it did not.
  Micros worstConfirmationError() const { return WorstConfirmationError_; }
  /// Every living member, awake and not, knows this.
  bool allKnow(Revision R) const;

private:
  struct Node {
    std::unique_ptr<GossipNode> Gossip_;
    std::unique_ptr<ConfigReader> Reader_;
    std::map<LinkId, std::pair<std::size_t, LinkId>> Links_;
    std::set<LinkId> DeadLinks_;
    MonoTime CallsLostBefore_{}; ///< Calls begun before it get no answer.
    std::vector<std::function<void()>> Deferred_; ///< While it is asleep.
    std::vector<UpstreamWarning> Warnings_;
    std::set<std::string> Evacuated_;
    std::set<Incarnation> Listed_;
    std::size_t UpstreamsReceived_ = 0;
    std::size_t MaxLinks_ = 0;
    Version Routing_ = 0;
    std::uint64_t StartCount_ = 0; ///< Counts restarts.
    bool Alive_ = true;
    bool Suspended_ = false;
    bool Refused_ = false;
    bool Unresponsive_ = false;
    bool MayReturn_ = false;
  };
  Member member(std::size_t Which) const;
  void start(std::size_t Which);
  /// Does it on behalf of a member: later if it sleeps, never if it restarts.
  void runOnNode(std::size_t Which, std::function<void()> Do);
  GossipHooks hooks(std::size_t Which);
  void connect(std::size_t From, const Endpoint &To);
  void deliver(std::size_t From, LinkId Link, const std::string &Bytes);
  void unlink(std::size_t Which, LinkId Link);
  void pollReader(std::size_t Which);
  void tick(std::size_t Which);
  void serve(std::size_t Which, const ConfigRequest &Request, MonoTime Began);
  ConfigResponse currentResponse(const ConfigRequest &Request) const;
  EvacuationBatch currentEvacuations(const ConfigRequest &Request,
                                     Revision End) const;
  void keepReadParts(const ConfigRequest &Request,
                     ConfigResponse &Response) const;
  void handleResponse(std::size_t Which, const ConfigResponse &Response);
  void checkConfirmation(std::size_t Which, MonoTime AsOf);

  std::vector<Node> Nodes_;
  EventQueue Events_;
  std::set<std::pair<std::size_t, std::size_t>> Blocked_;
  std::map<std::pair<std::size_t, std::size_t>,
           std::vector<std::function<void()>>>
      BlockedMessages_;
  std::vector<UpstreamChange> Log_; ///< Index I has revision I + 1.
  std::vector<MonoTime> PublishedAt_;
  std::vector<EvacuationChange> EvacuationLog_; ///< In the order of revisions.
  RoutingTable Table_;                          ///< As it is published.
  Revision RoutingAt_ = 0;
  std::size_t Halls_;
  MemberHooks MemberHooks_;
  std::uint64_t LastLink_ = 0;
  std::size_t Calls_ = 0;
  std::size_t LastReader_ = 0;
  Micros WorstConfirmationError_{};
  std::size_t StaleCalls_ = 0;
  std::size_t UpstreamsServed_ = 0;
  std::size_t BytesSent_ = 0;
  Micros StaleListAge_{0};
  Micros ListDelay_{0};
  Revision HistoryFrom_ = 0;
  bool ServiceDown_ = false;
};

} // namespace thymewall::test

#endif
