/// \file
/// The routing table: the services behind each address that callers use.
/// Operators publish it as a whole under a version number.
#ifndef THYMEWALL_ROUTING_H
#define THYMEWALL_ROUTING_H

#include "thymewall/core.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace thymewall {

struct EndpointHash {
  std::size_t operator()(const Endpoint &Address) const;
};

/// A service's share of the new flows of an address.
struct ServiceShare {
  ServiceId Service_{};
  std::uint32_t Weight_ = 1;
};
inline bool operator==(const ServiceShare &A, const ServiceShare &B) {
  return A.Service_ == B.Service_ && A.Weight_ == B.Weight_;
}

struct RoutingTable {
  Version Version_ = 0;
  std::unordered_map<Endpoint, std::vector<ServiceShare>, EndpointHash>
      Addresses_;
  std::unordered_map<std::uint32_t, std::string> ServiceNames_;
  /// Maximum rate of new flows to one cold upstream, by service. Services
  /// without a limit have no entry.
  std::unordered_map<std::uint32_t, double> ColdFlowsPerSecond_;
  /// Time without packets after which a flow may be dropped from the table.
  Micros IdleTimeout_ = std::chrono::seconds(60);

  /// Returns the services of an address, or null if it is not published.
  const std::vector<ServiceShare> *find(const Endpoint &Address) const;
  /// Returns true if the service has a name or an address in the table.
  bool knowsService(ServiceId Id) const;
  /// Returns the limit for cold upstreams of a service, or 0 for no limit.
  double coldFlowsPerSecond(ServiceId Id) const;
  /// Returns the name of a service, or its number if it has no name.
  std::string serviceName(ServiceId Id) const;
};
using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// Chooses the service of a new flow by weight. The choice depends only on the
/// flow's hash, so that all balancers choose the same service for it. \p Shares
/// must have at least one weight above 0.
ServiceId chooseService(const std::vector<ServiceShare> &Shares, FlowId Flow);

} // namespace thymewall

#endif
