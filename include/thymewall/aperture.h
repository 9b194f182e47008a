/// \file
/// Load-weighted apertures: the arc of a service's upstreams to which one
/// balancer opens flows. Addresses skewed load at moderate to high utilization:
/// where many balancers share all upstreams, none of them sees enough of an
/// upstream's requests to tell whether it is busy.
///
/// Upstreams and balancers lie on a ring of length 1, ordered by data hall and
/// then by hash. Each upstream has a segment in proportion to its slots, each
/// balancer one in proportion to its share of the service's load. The segments
/// of all balancers cover the ring exactly, so that balancers with the same
/// view leave out no upstream. Uses no clock and no randomness.
#ifndef THYMEWALL_APERTURE_H
#define THYMEWALL_APERTURE_H

#include "thymewall/fleet-load.h"

namespace thymewall {

/// An upstream of a service's ring.
struct RingUpstream {
  std::uint32_t Index_ = 0; ///< Into the upstream table.
  Incarnation Incarnation_{};
  std::string DataHall_;
  std::uint32_t Slots_ = 1;
};
inline bool operator==(const RingUpstream &A, const RingUpstream &B) {
  auto Fields = [](const RingUpstream &U) {
    return std::tie(U.Index_, U.Incarnation_, U.DataHall_, U.Slots_);
  };
  return Fields(A) == Fields(B);
}

/// A section of the ring, which may wrap around.
struct Arc {
  double Start_ = 0;  ///< From 0 to below 1.
  double Length_ = 0; ///< From 0 to 1.
};
inline bool operator==(const Arc &A, const Arc &B) {
  return std::tie(A.Start_, A.Length_) == std::tie(B.Start_, B.Length_);
}

/// The upstreams of a service in ring order.
class UpstreamRing {
public:
  UpstreamRing() = default;
  /// Upstreams without slots are left out.
  explicit UpstreamRing(std::vector<RingUpstream> Upstreams);

  std::size_t size() const { return Upstreams_.size(); }
  /// Returns the indexes of the upstreams whose segments \p Section touches,
  /// in ring order from its start.
  std::vector<std::uint32_t> within(const Arc &Section) const;

private:
  std::vector<RingUpstream> Upstreams_;
  std::vector<double> Ends_; ///< Ends of their segments.
};

/// By how many upstreams of average size an arc exceeds the balancer's own
/// segment. Adjacent arcs overlap by as much, which closes the gaps between
/// arcs that are computed from different views.
constexpr double ExtraUpstreams = 4;
/// By how many upstreams of average size an end of an arc may be off before the
/// arc moves. Without it, arcs would move with each small change of a rate. Two
/// adjacent arcs that are off in opposite directions still overlap by three
/// upstreams. Rejections are the same with 0 and 0.5, and higher with 1
/// (bench/placement-ways.cc).
constexpr double MaxArcDrift = 0.5;

/// Balancers have no arc while those of their data hall carry less than this
/// part of the fleet's average load. When a data hall's traffic begins, its
/// members know only later of each other's load: all their segments would be
/// empty, and all their arcs would start at the same upstream.
constexpr double IdleHallLoad = 0.25;

/// Returns the arc of this balancer on a ring of \p RingSize upstreams, or
/// nothing if its share is unknown, its data hall is idle or the ring is empty.
std::optional<Arc> arcOf(const FleetLoad &Fleet, ServiceId Service,
                         std::size_t RingSize, double Extra = ExtraUpstreams);

/// A balancer's arc of a service.
struct Aperture {
  Arc Arc_;
  double Share_ = 0; ///< Of the fleet's load of the service, from 0 to 1.
  std::vector<std::uint32_t> Upstreams_; ///< Indexes into the upstream table.
};
inline bool operator==(const Aperture &A, const Aperture &B) {
  return std::tie(A.Arc_, A.Share_, A.Upstreams_) ==
         std::tie(B.Arc_, B.Share_, B.Upstreams_);
}

/// Returns the aperture that follows \p Current, or nothing if the balancer's
/// share is unknown. The arc of \p Current is kept while each of its ends is
/// within `MaxArcDrift` of the one by the present load.
std::optional<Aperture> nextAperture(const std::optional<Aperture> &Current,
                                     const FleetLoad &Fleet, ServiceId Service,
                                     const UpstreamRing &Ring);

} // namespace thymewall

#endif
