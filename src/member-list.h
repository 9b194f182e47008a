/// \file
/// Membership of the fleet, as a balancer knows it from gossip.
#ifndef THYMEWALL_SRC_MEMBER_LIST_H
#define THYMEWALL_SRC_MEMBER_LIST_H

#include "thymewall/gossip-message.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace thymewall::detail {

/// Returns the age of \p At in milliseconds, rounded up, at least 0. Rounded
/// down, it would become younger at each hop of gossip.
std::uint32_t ageMs(MonoTime At, MonoTime Now);

/// Whether the members of a data hall should hear at once that a balancer's
/// impairment has changed: it has become impaired or has stepped back. Later
/// returns only delay other balancers that are impaired.
bool isWorseImpairment(std::uint8_t Before, std::uint8_t Now);
/// Last signs of life of the members, as far as a peer knows them from messages
/// on a link. By hash of the name.
using KnownByPeer = std::unordered_map<std::uint64_t, MonoTime>;

class MemberList {
public:
  /// A member without a sign of life for longer is removed.
  static constexpr Micros MemberTimeout = std::chrono::seconds(20);
  /// A member with a more recent sign of life is alive: the heartbeat interval,
  /// plus a margin for a slow host.
  static constexpr Micros AliveWithin = std::chrono::milliseconds(1300);
  /// Members that each balancer hears of within a heartbeat interval: at least
  /// 3 on each of 6 links. In a larger fleet a live member may seem dead.
  static constexpr std::size_t MaxTrackedMembers = 18;

  /// Members whose loads are some seconds old. With 80 members, half of the
  /// changes arrive within 4 s, and nine in ten within 8 s.
  static constexpr std::size_t MaxLoadMembers = 128;
  /// In a fleet whose members are all known, at most one in `GrowthFraction`
  /// was first heard of within this time.
  static constexpr Micros GrowthInterval = std::chrono::milliseconds(2000);
  static constexpr std::size_t GrowthFraction = 16;
  /// A report is sent only if it is newer by this than what the peer knows:
  /// ages are rounded, so that the same report differs between hops.
  static constexpr Micros MinNewer = std::chrono::milliseconds(20);

  /// Members of the lowest reader scores, which every balancer tracks in a
  /// fleet of any size.
  static constexpr std::size_t FirstReaderCount = 8;

  /// \p Self, the name of this balancer, is never added.
  explicit MemberList(std::string Self) : Self_(std::move(Self)) {}

  /// Records what a peer reports about a member, unless newer is known.
  void learn(MonoTime Now, const Member &Reported);
  void remove(const std::string &Name) { Members_.erase(Name); }
  void expireSilent(MonoTime Now);
  /// Excludes a member from `reachable` until \p Until.
  void avoid(const std::string &Name, MonoTime Until);
  void avoid(const Endpoint &Control, MonoTime Until);

  /// Whether fewer than half of the members of \p Hall, among them this
  /// balancer, are alive while another data hall is healthy.
  bool isDataHallLost(MonoTime Now, const std::string &Hall) const;

  std::size_t size() const { return Members_.size(); }
  std::size_t countIf(const std::function<bool(const Member &)> &Wanted) const;
  std::vector<Member> all() const;
  /// Returns the members of a data hall, with their ages at \p Now.
  std::vector<Member> inHall(const std::string &Hall, MonoTime Now) const;
  /// Returns the hashes of the members' names, which are their reader scores.
  std::vector<std::uint64_t> hashes() const;
  /// Returns the times at which the members reported their loads.
  std::vector<MonoTime> reportTimes() const;
  /// Returns the loads that the members report.
  std::vector<BalancerLoad> loads() const;
  /// Returns the members that aren't excluded at \p Now.
  std::vector<Member> reachable(MonoTime Now) const;
  /// Returns the \p Count members whose last sign of life is newest compared to
  /// what a peer knows of them, with their ages, and records that the peer
  /// knows them.
  std::vector<Member> newestFor(MonoTime Now, std::size_t Count,
                                KnownByPeer &Peer) const;
  /// Whether the impairment of members has become worse and was not taken yet.
  bool hasWorsened() const { return !Worsened_.empty(); }
  /// Takes at most \p Count of these members, with their ages.
  std::vector<Member> takeWorsened(MonoTime Now, std::size_t Count);
  /// Returns one of the members of the lowest reader scores, in round-robin
  /// order; none if each balancer tracks all members.
  std::vector<Member> nextFirstReader(MonoTime Now);

  /// Whether the fleet is small enough to hear of each member within a
  /// heartbeat interval.
  bool tracksAllMembers() const { return Members_.size() <= MaxTrackedMembers; }
  /// Whether this balancer knows most members, so that its view of their loads
  /// is complete: it knows a third of the estimated fleet or more, not more
  /// members than gossip keeps up to date, and heard of few of them just now.
  /// The estimate of a fleet whose members are all known is off by more than
  /// that in fewer than one fleet in 200. It alone doesn't suffice: in a fleet
  /// of 300 a balancer knows a third of the members, and hears of others while
  /// it forgets some.
  bool knowsMostMembers(MonoTime Now) const;
  /// Returns the rank of a balancer by reader score. In a large fleet it is
  /// estimated from the density of the lowest scores; counting known members
  /// alone would give several balancers rank 0.
  std::size_t rankOf(std::uint64_t Score) const;
  /// Returns the number of balancers including this one, estimated likewise in
  /// a large fleet.
  std::size_t fleetSize() const;

private:
  /// Known and live members of a data hall.
  struct HallCount {
    std::size_t Total_ = 0;
    std::size_t Alive_ = 0;
    bool mostlyDead() const { return 2 * Alive_ < Total_; }
  };

  struct Record {
    Member Member_;
    std::uint64_t Score_ = 0; ///< Reader score.
    MonoTime FirstHeardAt_{};
    /// When the member last reported its load and impairment; balancers of
    /// older releases relay its record without them.
    MonoTime ReportedAt_{};
    MonoTime AliveAt_{};
    MonoTime AvoidUntil_{};
  };

  std::vector<const Record *> firstReaders() const;
  double balancersPerScore() const;

  std::string Self_;
  std::map<std::string, Record> Members_;
  /// Silent members by hash, and until when they count to the size of the
  /// fleet.
  std::unordered_map<std::uint64_t, MonoTime> Forgotten_;
  std::set<std::string> Worsened_;  ///< Names.
  std::size_t NextFirstReader_ = 0; ///< Index into `firstReaders()`.
};

} // namespace thymewall::detail

#endif
