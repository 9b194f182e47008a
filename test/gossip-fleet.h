/// \file
/// Test fleet of gossip nodes and config readers on virtual time, with a
/// simulated configuration service, link failures and outages.
#ifndef THYMEWALL_TEST_GOSSIP_FLEET_H
#define THYMEWALL_TEST_GOSSIP_FLEET_H

#include "event-queue.h"
#include "thymewall/config-reader.h"
#include "thymewall/gossip.h"

#include <map>
#include <set>

namespace thymewall::test {

/// Optional callbacks for what a test runs on each member.
struct MemberHooks {
  using Upstreams = std::vector<UpstreamChange>;

  std::function<void(std::size_t Which)> OnStart_;
  std::function<void(std::size_t Which)> OnTick_;
  std::function<void(std::size_t Which, const RoutingTablePtr &)> OnRouting_;
  std::function<void(std::size_t Which, const Upstreams &,
                     MonoTime MayReturnUntil)>
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

  /// Runs until the virtual time \p Until since the start.
  void run(Micros Until) { Events_.run(Until); }
  void after(Micros Delay, std::function<void()> Task) {
    Events_.after(Delay, std::move(Task));
  }
  /// Publishes the start of an upstream, or the end of the last one, in turn.
  /// Returns its revision.
  Revision publish();
  /// Publishes an upstream; without an entry it has ended.
  Revision publish(Incarnation Which,
                   const std::optional<UpstreamEntry> &Entry);
  /// Publishes the start or end of an evacuation.
  Revision publishEvacuation(const std::string &DataHall, bool Evacuated);
  /// Publishes the routing table with the next version.
  Version publishRouting();
  /// Publishes a routing table with the addresses of \p Table.
  Version publishRouting(const RoutingTable &Table);

  // Faults; each lasts until it is reset.
  void setSuspended(std::size_t Which, bool Suspended);
  /// A process whose host has no processor time left: it handles what has
  /// arrived, and its ticks, once per \p ReadInterval; 0 ends the fault.
  void setStarved(std::size_t Which, Micros ReadInterval) {
    Nodes_[Which].ReadInterval_ = ReadInterval;
  }
  void setRefused(std::size_t Which, bool Refused);
  /// Refuses the next calls of a member.
  void refuseCalls(std::size_t Which, std::size_t Count) {
    Nodes_[Which].CallsToRefuse_ = Count;
  }
  /// Calls of the configuration service get no response.
  void setUnresponsive(std::size_t Which, bool Unresponsive);
  /// Messages between two members are delayed until the fault ends.
  void setBlocked(std::size_t A, std::size_t B, bool Blocked);
  void setServiceDown(bool Down) { ServiceDown_ = Down; }
  /// Makes watches from earlier revisions fail, and delays full lists.
  void compactHistory(Micros ListDelay) {
    HistoryFrom_ = Log_.size();
    ListDelay_ = ListDelay;
  }
  /// Sets the age of stale lists.
  void setStaleListAge(Micros Age) { StaleListAge_ = Age; }
  std::size_t staleCalls() const { return StaleCalls_; }
  /// Number of upstreams in all responses of the configuration service.
  std::size_t upstreamsServed() const { return UpstreamsServed_; }
  /// Number of upstreams that a member has received from peers since its start.
  std::size_t upstreamsReceived(std::size_t Which) const {
    return Nodes_[Which].UpstreamsReceived_;
  }
  /// Total size of gossip messages sent.
  std::size_t bytesSent() const { return BytesSent_; }
  std::size_t maxLinks(std::size_t Which) const {
    return Nodes_[Which].MaxLinks_;
  }
  /// Number of upstreams that a member knows.
  std::size_t listed(std::size_t Which) const {
    return Nodes_[Which].Listed_.size();
  }
  /// Drops all traffic of open links and calls in flight; new ones work.
  void blackholeConnections();
  /// Open connections to the configuration service go silent; new ones work.
  void silenceServiceConnections();
  void kill(std::size_t Which);
  void restart(std::size_t Which);

  Micros now() const { return Events_.now().time_since_epoch(); }
  std::size_t size() const { return Nodes_.size(); }
  /// Number of calls, without those for stale lists.
  std::size_t calls() const { return Calls_; }
  GossipNode &gossip(std::size_t Which) { return *Nodes_[Which].Gossip_; }
  /// Warnings that a member has received from peers.
  const std::vector<UpstreamWarning> &warnings(std::size_t Which) const {
    return Nodes_[Which].Warnings_;
  }
  MonoTime clock() const { return Events_.now(); }
  Version routing(std::size_t Which) const { return Nodes_[Which].Routing_; }
  const std::set<std::string> &evacuated(std::size_t Which) const {
    return Nodes_[Which].Evacuated_;
  }
  /// Whether every running member has exactly these halls evacuated.
  bool allEvacuated(const std::set<std::string> &Halls) const;
  bool mayReturn(std::size_t Which) const { return Nodes_[Which].MayReturn_; }
  /// Returns the member that made the last call.
  std::size_t lastReader() const { return LastReader_; }
  /// Largest error of a confirmation: the time between the publication of a
  /// change and a later time as of which a member confirmed its state without
  /// it.
  Micros worstConfirmationError() const { return WorstConfirmationError_; }
  /// Whether every running member knows revision \p R.
  bool allKnow(Revision R) const;

private:
  struct Node {
    std::unique_ptr<GossipNode> Gossip_;
    std::unique_ptr<ConfigReader> Reader_;
    std::map<LinkId, std::pair<std::size_t, LinkId>> Links_;
    std::set<LinkId> DeadLinks_;
    MonoTime CallsLostBefore_{}; ///< Earlier calls get no response.
    /// Until when a call uses the connection of the calls before it.
    MonoTime ConnectedUntil_{};
    bool ConnectionSilent_ = false;               ///< That connection.
    std::vector<std::function<void()>> Deferred_; ///< While suspended.
    std::vector<UpstreamWarning> Warnings_;
    std::set<std::string> Evacuated_;
    std::set<Incarnation> Listed_;
    std::size_t UpstreamsReceived_ = 0;
    std::size_t MaxLinks_ = 0;
    Version Routing_ = 0;
    std::size_t CallsToRefuse_ = 0;
    Micros ReadInterval_{0};       ///< 0 unless the process is starved.
    std::uint64_t StartCount_ = 0; ///< Incremented at each start.
    bool Alive_ = true;
    bool Suspended_ = false;
    bool Refused_ = false;
    bool Unresponsive_ = false;
    bool MayReturn_ = false;
  };
  Member member(std::size_t Which) const;
  void start(std::size_t Which);
  /// Runs \p Do on a member: deferred while it is suspended or starved, dropped
  /// if it is dead.
  void runOnNode(std::size_t Which, std::function<void()> Do);
  void runUnlessSuspended(std::size_t Which, std::function<void()> Do);
  GossipHooks hooks(std::size_t Which);
  void connect(std::size_t From, const Endpoint &To);
  void deliver(std::size_t From, LinkId Link, const std::string &Bytes);
  void unlink(std::size_t Which, LinkId Link);
  void pollReader(std::size_t Which);
  void tick(std::size_t Which);
  void serve(std::size_t Which, const ConfigRequest &Request, MonoTime Began);
  /// Returns the result of a call without a response, and when it ends.
  std::pair<ConfigResponse, MonoTime>
  unanswered(std::size_t Which, const ConfigRequest &Request, MonoTime Began);
  ConfigResponse currentResponse(const ConfigRequest &Request) const;
  EvacuationBatch currentEvacuations(const ConfigRequest &Request,
                                     Revision End) const;
  void keepReadParts(const ConfigRequest &Request,
                     ConfigResponse &Response) const;
  void handleResponse(std::size_t Which, ConfigResponse Response);
  void checkConfirmation(std::size_t Which, MonoTime AsOf);

  std::vector<Node> Nodes_;
  EventQueue Events_;
  std::set<std::pair<std::size_t, std::size_t>> Blocked_;
  std::map<std::pair<std::size_t, std::size_t>,
           std::vector<std::function<void()>>>
      BlockedMessages_;
  std::vector<UpstreamChange> Log_; ///< Index I has revision I + 1.
  std::vector<MonoTime> PublishedAt_;
  std::vector<EvacuationChange> EvacuationLog_; ///< In order of revisions.
  RoutingTable Table_;                          ///< As published.
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
