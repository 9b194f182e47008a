/// \file
/// A fleet of packet balancers on virtual time, of which all but one fall
/// silent.
#ifndef THYMEWALL_TEST_SURVIVOR_FLEET_H
#define THYMEWALL_TEST_SURVIVOR_FLEET_H

#include "gossip-fleet.h"
#include "thymewall/packet-balancer.h"

namespace thymewall::test {

/// A way in which a peer falls silent.
struct Silencing {
  std::string Name_;
  void (*Silence_)(GossipFleet &, std::size_t Which);
  /// Time between two peers.
  Micros Step_{0};
  /// Whether links stay open without answers, which makes the own host appear
  /// impaired.
  bool KeepsLinks_ = true;
};
const std::vector<Silencing> &silencings();

class SurvivorFleet {
public:
  static constexpr Incarnation Staying{101};
  static constexpr Incarnation Leaving{102};

  /// The survivor has the given rank in the order of readers.
  SurvivorFleet(std::size_t Count, std::size_t Rank);

  GossipFleet &gossip() { return Gossip_; }
  MonoTime clock() const { return Gossip_.clock(); }
  std::size_t survivor() const { return Order_[Rank_]; }
  /// Returns the balancer of a rank.
  std::size_t ofRank(std::size_t Rank) const { return Order_[Rank]; }
  void run(Micros For) { Gossip_.run(RunTo_ += For); }
  /// Silences all peers of the survivor, but for \p Spared.
  void silencePeers(const Silencing &Way, std::set<std::size_t> Spared = {});
  void add(Incarnation Which);
  void remove(Incarnation Which) { Gossip_.publish(Which, std::nullopt); }
  /// Fails all calls of the configuration service, by an error if it
  /// \p Responds, until `endOutage`.
  void beginOutage(bool Responds);
  void endOutage();
  MonoTime outageEndedAt() const { return OutageEndedAt_; }
  /// Runs until the state of the survivor is confirmed as of \p AsOf. Returns
  /// false if that takes longer than any read should.
  bool runUntilConfirmed(MonoTime AsOf);

  /// Whether a balancer opens flows to an upstream now.
  bool opensFlowsTo(Incarnation Which, std::size_t Balancer);
  /// Runs for \p For and returns when the survivor last opened a flow to an
  /// upstream, from the beginning of the run; 0 if never.
  Micros latestOpening(Incarnation Which, Micros For);
  /// Runs for \p For. Returns whether the survivor opens flows to an upstream
  /// all the time.
  bool alwaysOpens(Incarnation Which, Micros For);

private:
  MemberHooks hooks();

  std::vector<std::size_t> Order_; ///< Balancers by rank.
  std::size_t Rank_;
  std::vector<std::unique_ptr<PacketBalancer>> Cores_;
  GossipFleet Gossip_;
  Micros RunTo_{};
  MonoTime OutageEndedAt_{};
  std::uint16_t LastPort_ = 0;
};

} // namespace thymewall::test

#endif
