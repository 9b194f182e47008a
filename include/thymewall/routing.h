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

/// What callers of an address expect.
struct ServiceObjective {
  /// Longest latency and deadline.
  static constexpr Micros MaxDeadline = std::chrono::hours(24);

  std::uint8_t Priority_ = 0; ///< 0 is the most urgent.
  Micros Latency_{};        ///< From the caller's first attempt to the answer.
  Micros Deadline_{};       ///< At least `Latency_`.
  bool Repeatable_ = false; ///< Whether a request may run more than once.
};
inline bool operator==(const ServiceObjective &A, const ServiceObjective &B) {
  auto Fields = [](const ServiceObjective &O) {
    return std::tie(O.Priority_, O.Latency_, O.Deadline_, O.Repeatable_);
  };
  return Fields(A) == Fields(B);
}

struct RoutingTable {
  /// Highest value in `MaxFlowsPerUpstream_`.
  static constexpr std::uint32_t HighestFlowLimit = 1'000'000;
  /// Highest value in `ColdFlowsPerSecond_`.
  static constexpr double HighestColdFlowsPerSecond = 1e6;
  static constexpr Micros LongestIdleTimeout = std::chrono::hours(24);

  Version Version_ = 0;
  std::unordered_map<Endpoint, std::vector<ServiceShare>, EndpointHash>
      Addresses_;
  std::unordered_map<std::uint32_t, std::string> ServiceNames_;
  /// Maximum rate of new flows to one cold upstream, by service. Services
  /// without a limit have no entry.
  std::unordered_map<std::uint32_t, double> ColdFlowsPerSecond_;
  /// Objectives of the addresses that have one.
  std::unordered_map<Endpoint, ServiceObjective, EndpointHash> Objectives_;
  /// Maximum number of flows of one upstream, by service. Services without a
  /// limit have no entry.
  std::unordered_map<std::uint32_t, std::uint32_t> MaxFlowsPerUpstream_;
  /// Time without packets after which a flow may be dropped from the table.
  Micros IdleTimeout_ = std::chrono::seconds(60);

  /// Returns the services of an address, or null if it is not published.
  const std::vector<ServiceShare> *find(const Endpoint &Address) const;
  /// Returns true if the service has a name or an address in the table.
  bool knowsService(ServiceId Id) const;
  /// Returns the limit for cold upstreams of a service, or 0 for no limit.
  double coldFlowsPerSecond(ServiceId Id) const;
  /// Returns the objective of an address, or null if it has none.
  const ServiceObjective *objective(const Endpoint &Address) const;
  /// Returns the maximum number of flows of one upstream, or 0 for no limit.
  std::uint32_t maxFlowsPerUpstream(ServiceId Id) const;
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
