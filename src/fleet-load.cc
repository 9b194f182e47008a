#include "thymewall/fleet-load.h"

#include <algorithm>

namespace thymewall {

std::uint32_t loadOf(const BalancerLoad &Balancer, ServiceId Service) {
  for (const ServiceLoad &Load : Balancer.Services_)
    if (Load.Service_ == Service)
      return Load.RequestsPerMinute_;
  return 0;
}

std::optional<double> ownShare(const FleetLoad &Fleet, ServiceId Service) {
  bool AllTold =
      std::all_of(Fleet.Peers_.begin(), Fleet.Peers_.end(),
                  [](const BalancerLoad &Peer) { return Peer.Told_; });
  if (!Fleet.Complete_ || !Fleet.Self_.Told_ || !AllTold)
    return std::nullopt;
  double Own = loadOf(Fleet.Self_, Service);
  double Total = Own;
  for (const BalancerLoad &Peer : Fleet.Peers_)
    Total += loadOf(Peer, Service);
  if (Total == 0)
    return std::nullopt;
  return Own / Total;
}

} // namespace thymewall
