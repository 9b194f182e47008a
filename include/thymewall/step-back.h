/// \file
/// Decides whether a balancer on an impaired host reports not ready, so that
/// the fabric moves its flows to others. Load addressed: narrow links on many
/// hosts at the same time.
///
/// The fabric sends packets to all balancers of a data hall if fewer than half
/// of them are ready. So at most `MaxNotReadyPercent` of them step back,
/// without coordination and on records of members that are seconds old:
///
/// - A balancer takes its place behind the members that have stepped back, that
///   are silent, and that come before it in the order of hashes unless they are
///   known to be healthy since it was impaired itself. All views agree on the
///   order of hashes, while reported impairments change and arrive late: if the
///   worst went first at once, each balancer could consider itself the worst.
/// - If others were impaired before, or have taken half of the places, members
///   that come later in the order may have stepped back already. It then waits
///   until it knows of them.
/// - While no peer answers, none steps back: either this balancer is the only
/// one
///   left, or the fabric can't reach it anyway.
/// - Once every member has heard of its impairment, the worst goes first.
/// - A balancer that has stepped back reports `SteppedBackImpairment` and is
///   first in every view. A worse one doesn't replace it: until both know of
///   each other, neither would be ready.
#ifndef THYMEWALL_STEP_BACK_H
#define THYMEWALL_STEP_BACK_H

#include "thymewall/core.h"

#include <unordered_map>
#include <vector>

namespace thymewall {

/// Another balancer of the own data hall, as last reported.
struct HallMember {
  std::uint64_t Hash_ = 0; ///< Hash of the balancer's name.
  std::uint8_t Impairment_ = 0;
  /// False for a release that doesn't step back.
  bool Reports_ = false;
  Micros Age_{0}; ///< Time since the member's last sign of life.
};
inline bool operator==(const HallMember &A, const HallMember &B) {
  auto Fields = [](const HallMember &M) {
    return std::tie(M.Hash_, M.Impairment_, M.Reports_, M.Age_);
  };
  return Fields(A) == Fields(B);
}

/// The data hall of a balancer as it knows it.
struct HallView {
  std::uint64_t SelfHash_ = 0;      ///< Hash of this balancer's name.
  std::vector<HallMember> Members_; ///< Without this balancer.
  std::size_t FleetSize_ = 1;       ///< Of all data halls.
};
inline bool operator==(const HallView &A, const HallView &B) {
  return std::tie(A.SelfHash_, A.Members_, A.FleetSize_) ==
         std::tie(B.SelfHash_, B.Members_, B.FleetSize_);
}

class StepBack {
public:
  /// Leaves a margin of a tenth of the data hall for views that differ.
  static constexpr std::size_t MaxNotReadyPercent = 40;
  /// Reported by a balancer that has stepped back.
  static constexpr std::uint8_t SteppedBackImpairment = 255;
  /// Age of the oldest records in a fleet of 80 to 90 while members are
  /// impaired and heartbeats therefore include more members.
  static constexpr Micros MaxRecordAge = std::chrono::seconds(5);
  /// Hosts that are impaired at the same time notice it within this: two rounds
  /// of `LocalHealth`.
  static constexpr Micros DetectionSpread = std::chrono::seconds(1);
  /// Time for which a balancer must be healthy to return; doubled if it is
  /// impaired again soon after its return.
  static constexpr Micros MinHealthyTime = std::chrono::seconds(3);
  static constexpr Micros MaxHealthyTime = std::chrono::seconds(24);
  static constexpr Micros RelapseTime = std::chrono::seconds(5);
  /// Time without impairment after which `MinHealthyTime` applies again.
  static constexpr Micros ForgetRelapsesAfter = std::chrono::seconds(30);
  /// Range of the additional delays of returns in a data hall, by hash. If all
  /// returned at once, their flows would move at once.
  static constexpr Micros ReturnSpread = std::chrono::seconds(1);
  /// Time for which a member that has left or expired counts as not ready: the
  /// fabric may still count it.
  static constexpr Micros RememberGone = std::chrono::minutes(10);

  enum class Change : std::uint8_t { None, SteppedBack, Returned };

  /// Place of the balancer among those that should step back.
  struct Place {
    std::size_t Ahead_ = 0;    ///< Balancers that come first.
    std::size_t Limit_ = 0;    ///< Balancers that may be not ready.
    std::size_t HallSize_ = 1; ///< Including this one and those gone.
    friend bool operator==(const Place &A, const Place &B) {
      return std::tie(A.Ahead_, A.Limit_, A.HallSize_) ==
             std::tie(B.Ahead_, B.Limit_, B.HallSize_);
    }
  };

  /// Decides anew with the \p Impairment of the own host, 0 if healthy, and
  /// whether peers answer its pings. Call it a few times per second.
  Change update(MonoTime Now, std::uint8_t Impairment, const HallView &Hall,
                bool PeersAnswer = true);
  bool isSteppedBack() const { return SteppedBack_; }
  const Place &place() const { return Place_; }
  /// Returns the impairment to report to members. It stays the same while the
  /// host is impaired, so that the order of two balancers is the same in all
  /// views.
  std::uint8_t reportedImpairment() const {
    return SteppedBack_ ? SteppedBackImpairment : ClaimedImpairment_;
  }
  /// Age at which a member's record shows that it is dead. Records of live
  /// members get older with the size of the fleet; from 120 balancers on, only
  /// their expiry shows it.
  static Micros silentAfter(std::size_t FleetSize);

private:
  void noteImpairment(MonoTime Now, std::uint8_t Impairment,
                      const HallView &Hall);
  void findPlace(MonoTime Now, const HallView &Hall);
  bool isAhead(MonoTime Now, const HallMember &M) const;
  bool allHaveHeard(MonoTime Now) const {
    return Now - ImpairedSince_ >= MaxRecordAge;
  }
  std::size_t countGone(MonoTime Now, const HallView &Hall);
  Micros returnDelay() const;

  std::uint64_t SelfHash_ = 0;
  bool SteppedBack_ = false;
  Place Place_;
  /// Impairment when the host became impaired; 0 while it is healthy.
  std::uint8_t ClaimedImpairment_ = 0;
  MonoTime ImpairedSince_{};
  /// Other hosts were impaired before this one, so that members that come later
  /// in the order of hashes may have stepped back already.
  bool WaitsForOthers_ = false;
  MonoTime HealthySince_{};
  MonoTime ReturnedAt_{};
  bool HasReturned_ = false;
  Micros HealthyTime_ = MinHealthyTime;
  /// Until when each member that was seen counts if it disappears.
  std::unordered_map<std::uint64_t, MonoTime> RememberUntil_;
};

} // namespace thymewall

#endif
