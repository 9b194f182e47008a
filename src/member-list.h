/// \file
/// The other balancers of a fleet, as a balancer has heard of them.
#ifndef THYMEWALL_SRC_MEMBER_LIST_H
#define THYMEWALL_SRC_MEMBER_LIST_H

#include "thymewall/news-message.h"

#include <functional>
#include <map>

namespace thymewall::detail {

/// Age of a moment, as messages carry it.
std::uint32_t ageMs(MonoTime At, MonoTime Now);

class MemberList {
public:
  /// A member not known to be alive for this long is forgotten.
  static constexpr Micros MemberTimeout = std::chrono::seconds(20);
  /// Heartbeats come at least once a second; a quarter more for a slow host.
  static constexpr Micros AliveWithin = std::chrono::milliseconds(1300);
  /// Members that each balancer hears of within a heartbeat's time: 3 on each
  /// of 6 links. In a larger fleet silence of one says nothing.
  static constexpr std::size_t MaxTrackedMembers = 18;

  /// The first members in the order of readers, which every balancer is to
  /// know whatever the size of the fleet.
  static constexpr std::size_t FirstReaderCount = 8;

  /// \p Self is never listed.
  explicit MemberList(std::string Self) : Self_(std::move(Self)) {}

  /// Takes in what a peer says of a member, unless more recent is known.
  void learn(MonoTime Now, const Member &Told);
  void remove(const std::string &Name) { Members_.erase(Name); }
  void expireSilent(MonoTime Now);
  /// Not to be linked to before \p Until.
  void avoid(const std::string &Name, MonoTime Until);
  void avoid(const Endpoint &Control, MonoTime Until);

  /// Fewer than half of the members of \p Hall live, \p Self, which is one of
  /// them, among the living; and another data hall is well.
  bool isDataHallLost(MonoTime Now, const std::string &Hall) const;

  std::size_t size() const { return Members_.size(); }
  std::size_t countIf(const std::function<bool(const Member &)> &Wanted) const;
  std::vector<Member> all() const;
  /// Those that are not avoided at \p Now.
  std::vector<Member> reachable(MonoTime Now) const;
  /// The next \p Count members, in turn, with their ages.
  std::vector<Member> nextMembers(MonoTime Now, std::size_t Count);
  /// One of the first in the order of readers, in turn; none where each hears
  /// of all members anyway.
  std::vector<Member> nextFirstReader(MonoTime Now);

  /// Members are so few that this balancer hears of each in a heartbeat's time.
  bool tracksAllMembers() const { return Members_.size() <= MaxTrackedMembers; }
  /// Place in the order of readers of a balancer with this score. Where most
  /// members are not known, judged from how dense the first ones lie: else one
  /// balancer of each few dozen takes itself for the first.
  std::size_t rankOf(std::uint64_t Score) const;
  /// How many balancers there are, this one among them; judged in the same way.
  std::size_t fleetSize() const;

private:
  /// How many of a data hall are known, and how many of these live.
  struct HallCount {
    std::size_t Total_ = 0;
    std::size_t Alive_ = 0;
    bool mostlyDead() const { return 2 * Alive_ < Total_; }
  };

  struct Record {
    Member Member_;
    std::uint64_t Score_ = 0; ///< In the order of readers.
    MonoTime AliveAt_{};
    MonoTime AvoidUntil_{};
  };

  std::vector<const Record *> firstReaders() const;
  double balancersPerScore() const;

  std::string Self_;
  std::map<std::string, Record> Members_;
  std::string LastSentName_;
  std::size_t NextFirstReader_ = 0; ///< Of `firstReaders`, to be told.
};

} // namespace thymewall::detail

#endif
