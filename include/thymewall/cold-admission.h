/// \file
/// Which balancer may open a flow to a cold upstream now, so that the fleet as
/// a whole stays within what the upstream bears.
///
/// Load pattern: a release, an added upstream or a data hall that is taken back
/// is cold for seconds, while each balancer of hundreds has a flow for it in
/// the same moment; a share of the limit for each of them would be far below
/// one flow a second, and nobody knows how many they are. So each cold upstream
/// has few owners, by rendezvous over the members that a balancer believes in:
/// a balancer that does not hear of the others overshoots alone, not by a
/// division through too small a number. A caller's packet is never held for a
/// cold upstream.
#ifndef THYMEWALL_COLD_ADMISSION_H
#define THYMEWALL_COLD_ADMISSION_H

#include "thymewall/core.h"

#include <unordered_map>
#include <vector>

namespace thymewall {

/// New flows that a cold upstream bears in any second, from the whole fleet.
struct ColdLimit {
  double PerSecond_ = 0;      ///< As published for its service; 0 is no limit.
  double BurstFactor_ = 1;    ///< At most so many times that,
  double BurstAllowance_ = 0; ///< and so many flows more.

  bool isSet() const { return PerSecond_ > 0; }
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

/// The fleet as one balancer believes it to be.
struct FleetView {
  std::uint64_t SelfHash_ = 0;            ///< Hash of this balancer's name.
  std::vector<std::uint64_t> PeerHashes_; ///< That it has heard of.
  /// It has been here for long enough to have heard of the others, and stays.
  bool Settled_ = false;
  /// How many balancers there are, as it judges; not below those it knows.
  std::size_t EstimatedSize_ = 1;
};
inline bool operator==(const FleetView &A, const FleetView &B) {
  auto Fields = [](const FleetView &V) {
    return std::tie(V.SelfHash_, V.PeerHashes_, V.Settled_, V.EstimatedSize_);
  };
  return Fields(A) == Fields(B);
}

/// How a cold upstream's limit is parted: `Owners_` balancers, each of which
/// opens a flow at most once in `MinInterval_`.
struct ColdQuota {
  std::size_t Owners_ = 0; ///< 0: nothing fits into the limit.
  Micros MinInterval_{};
};
/// As many owners as give each a few flows a second. All parts together are a
/// sixth of the limit, so that it holds while six times as many balancers as
/// there should be take themselves for owners, each unaware of the others.
/// Gain: on virtual time at most .70 of the limit in any second, where a bucket
/// divided by the members gives 37.5 times it at 300 balancers.
ColdQuota coldQuota(const ColdLimit &Limit);

/// One balancer's part in all cold upstreams.
class ColdAdmission {
public:
  void setFleet(FleetView View);
  /// Whether this balancer may open a flow to \p Upstream at \p Now.
  bool admits(MonoTime Now, Incarnation Upstream, const ColdLimit &Limit);
  /// It has opened one.
  void recordOpening(MonoTime Now, Incarnation Upstream,
                     const ColdLimit &Limit);
  void forget(Incarnation Upstream) { Parts_.erase(raw(Upstream)); }

private:
  struct Part {
    MonoTime NextAt_{};
    std::uint64_t View_ = 0; ///< `ViewGeneration_` when `Owns_` was worked out.
    bool Owns_ = false;
  };
  bool owns(Incarnation Upstream, std::size_t Owners) const;
  std::size_t estimatedRank(std::uint64_t Own) const;

  FleetView View_;
  std::uint64_t ViewGeneration_ = 0;
  std::unordered_map<std::uint64_t, Part> Parts_;
};

} // namespace thymewall

#endif
