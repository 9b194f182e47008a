/// \file
/// Admission control for new flows to cold upstreams, which have just started
/// and bear only a limited rate.
///
/// The limit applies to the whole fleet, and the balancers do not coordinate.
/// Dividing it by the fleet size would give each of hundreds of balancers less
/// than one flow a second, and overshoot wherever a balancer knows only some of
/// its peers. Instead, rendezvous hashing selects a few balancers as owners of
/// each cold upstream, and only they open flows to it. Packets are never held
/// back until an upstream is warm.
#ifndef THYMEWALL_COLD_ADMISSION_H
#define THYMEWALL_COLD_ADMISSION_H

#include "thymewall/core.h"

#include <unordered_map>
#include <vector>

namespace thymewall {

/// Limit on the new flows of the whole fleet to one cold upstream.
struct ColdLimit {
  double PerSecond_ = 0;      ///< Published for the service; 0 for no limit.
  double BurstFactor_ = 1;    ///< Multiplier of `PerSecond_`.
  double BurstAllowance_ = 0; ///< Added to the product.

  bool isSet() const { return PerSecond_ > 0; }
  /// Maximum number of new flows in any second.
  double burstLimit() const {
    return PerSecond_ * BurstFactor_ + BurstAllowance_;
  }
};
inline bool operator==(const ColdLimit &A, const ColdLimit &B) {
  auto Fields = [](const ColdLimit &L) {
    return std::tie(L.PerSecond_, L.BurstFactor_, L.BurstAllowance_);
  };
  return Fields(A) == Fields(B);
}

/// The fleet as known to one balancer.
struct FleetView {
  std::uint64_t SelfHash_ = 0;            ///< Hash of this balancer's name.
  std::vector<std::uint64_t> PeerHashes_; ///< Hashes of the known peers' names.
  /// The balancer has run for long enough to know its peers and is not about
  /// to leave.
  bool Settled_ = false;
  /// Estimated number of balancers, at least the number known.
  std::size_t EstimatedSize_ = 1;
};
inline bool operator==(const FleetView &A, const FleetView &B) {
  auto Fields = [](const FleetView &V) {
    return std::tie(V.SelfHash_, V.PeerHashes_, V.Settled_, V.EstimatedSize_);
  };
  return Fields(A) == Fields(B);
}

/// How the limit of a cold upstream is divided among its owners.
struct ColdQuota {
  std::size_t Owners_ = 0; ///< 0 if the limit is too low for any.
  Micros MinInterval_{};   ///< Between two flows of one owner.
};
/// Divides a limit among as many owners as leave each a few flows a second. The
/// quotas add up to a sixth of the limit, so that it holds even if six times as
/// many balancers consider themselves owners because they know few peers. In
/// virtual time at most 0.70 of the limit is used in any second; a token bucket
/// divided by the members exceeds it 37.5 times at 300 balancers.
ColdQuota coldQuota(const ColdLimit &Limit);

/// Decides for one balancer whether it may open flows to cold upstreams.
class ColdAdmission {
public:
  void setFleet(FleetView View);
  /// Returns whether this balancer may open a flow to \p Upstream at \p Now.
  bool admits(MonoTime Now, Incarnation Upstream, const ColdLimit &Limit);
  /// Charges a flow that was opened to \p Upstream at \p Now.
  void recordOpening(MonoTime Now, Incarnation Upstream,
                     const ColdLimit &Limit);
  void forget(Incarnation Upstream) { States_.erase(raw(Upstream)); }

private:
  struct State {
    MonoTime NextAt_{};
    std::uint64_t OwnedAsOf_ = 0; ///< The `ViewGeneration_` of `Owns_`.
    bool Owns_ = false;
  };
  bool owns(Incarnation Upstream, std::size_t Owners) const;
  std::size_t estimatedRank(std::uint64_t Own) const;

  FleetView View_;
  std::uint64_t ViewGeneration_ = 0;
  std::unordered_map<std::uint64_t, State> States_;
};

} // namespace thymewall

#endif
