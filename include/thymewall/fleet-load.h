/// \file
/// The load of each balancer of the fleet, as told by gossip, and the share of
/// a service's load that each balancer carries.
#ifndef THYMEWALL_FLEET_LOAD_H
#define THYMEWALL_FLEET_LOAD_H

#include "thymewall/core.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace thymewall {

/// Rate at which a balancer forwards requests of a service.
struct ServiceLoad {
  ServiceId Service_{};
  std::uint32_t RequestsPerMinute_ = 0;
};
inline bool operator==(const ServiceLoad &A, const ServiceLoad &B) {
  return A.Service_ == B.Service_ &&
         A.RequestsPerMinute_ == B.RequestsPerMinute_;
}

/// Load of one balancer.
struct BalancerLoad {
  std::uint64_t Hash_ = 0; ///< Hash of the balancer's name.
  std::string DataHall_;
  bool Told_ = false; ///< False for a release that doesn't report its load.
  std::vector<ServiceLoad> Services_;
};
inline bool operator==(const BalancerLoad &A, const BalancerLoad &B) {
  auto Fields = [](const BalancerLoad &L) {
    return std::tie(L.Hash_, L.DataHall_, L.Told_, L.Services_);
  };
  return Fields(A) == Fields(B);
}

/// Returns the load of \p Service, in requests per minute; 0 if none is
/// reported.
std::uint32_t loadOf(const BalancerLoad &Balancer, ServiceId Service);

/// Load of the fleet as known to one balancer.
struct FleetLoad {
  BalancerLoad Self_;
  std::vector<BalancerLoad> Peers_;
  /// The balancer has run for long enough to know its peers, it knows most
  /// members of the fleet, and it isn't about to leave.
  bool Complete_ = false;
};
inline bool operator==(const FleetLoad &A, const FleetLoad &B) {
  return std::tie(A.Self_, A.Peers_, A.Complete_) ==
         std::tie(B.Self_, B.Peers_, B.Complete_);
}

/// Returns the share of the fleet's load of \p Service that this balancer
/// carries, from 0 to 1. Returns nothing if the view is incomplete, a peer
/// doesn't report its load, or the service has none.
std::optional<double> ownShare(const FleetLoad &Fleet, ServiceId Service);

} // namespace thymewall

#endif
