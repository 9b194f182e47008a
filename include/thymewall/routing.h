/// \file
/// The routing table: which services stand behind each address that callers
/// use. Published whole by the operators, ordered by version.
#ifndef THYMEWALL_ROUTING_H
#define THYMEWALL_ROUTING_H

#include "thymewall/core.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace thymewall {

struct EndpointHash {
  std::size_t operator()(const Endpoint &At) const;
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
  /// New flows a second that a cold upstream of a service bears; only services
  /// that have such a limit.
  std::unordered_map<std::uint32_t, double> ColdFlowsPerSecond_;
  /// A flow that rests longer may be forgotten.
  Micros IdleTimeout_ = std::chrono::seconds(60);

  /// Null when callers may not use the address.
  const std::vector<ServiceShare> *find(const Endpoint &At) const;
  /// Whether it knows the service: by name, or as one that an address leads to.
  bool knowsService(ServiceId Id) const;
  /// 0 where a service has no limit for its cold upstreams.
  double coldFlowsPerSecond(ServiceId Id) const;
  /// The name of a service, or its number when no name is known.
  std::string serviceName(ServiceId Id) const;
};
using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// The service of a new flow: drawn by weight from the flow's hash, so that
/// every balancer and every copy of an opening packet agrees. \p Shares has at
/// least one weight above 0.
ServiceId chooseService(const std::vector<ServiceShare> &Shares, FlowId Flow);

} // namespace thymewall

#endif
