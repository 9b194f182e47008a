/// \file
/// Settings of a packet balancer's process, read from one JSON object. Unknown
/// keys and missing required ones are errors.
#ifndef THYMEWALL_PACKET_SETTINGS_H
#define THYMEWALL_PACKET_SETTINGS_H

#include "thymewall/admission.h"
#include "thymewall/load-policy.h"
#include "thymewall/problem.h"

#include <boost/leaf/result.hpp>

namespace thymewall {

struct PacketSettings {
  std::string Name_;
  std::string DataHall_;
  Endpoint PacketAddress_;            ///< Listens for callers' packets.
  Endpoint ReadinessAddress_;         ///< Listens for readiness checks.
  Endpoint ControlAddress_;           ///< Listens for peers' connections.
  Endpoint AdvertisedControlAddress_; ///< Defaults to `ControlAddress_`.
  Endpoint ConfigServiceAddress_;
  std::uint16_t MetricsPort_ = 0;
  std::vector<Endpoint> Seeds_; ///< Control addresses of some peers.
  /// Upper bound on the time until a published routing table is in force.
  Micros MaxRoutingDelay_{};
  /// Time from a stop signal until the platform kills the process.
  Micros StopTimeout_{};
  /// Age at which a flow may be removed from the table.
  Micros MaxFlowAge_{};
  /// A cold upstream gets at most the limit that its service publishes times
  /// `ColdBurstFactor_`, plus `ColdBurstAllowance_` flows a second.
  double ColdBurstFactor_ = 1;
  double ColdBurstAllowance_ = 0;
  Placement Placement_ = Placement::TwoDraws;
  Admission Admission_ = Admission::Open;
  /// See `PacketBalancerOptions::RequestsPerSlot_`.
  double RequestsPerSlot_ = RequestLimit::DefaultRequestsPerSlot;
  /// Whether the balancer reports not ready while its host is impaired.
  bool StepsBack_ = false;
};
bool operator==(const PacketSettings &A, const PacketSettings &B);

/// Parses settings. On failure the error object is `Problems`, one for each bad
/// key. \p File names the source in them.
boost::leaf::result<PacketSettings>
parsePacketSettings(const std::string &Text, const std::string &File);

/// Returns the keys that differ and take effect only after a restart: the name,
/// the data hall and the addresses.
std::vector<std::string> keysNeedingRestart(const PacketSettings &Running,
                                            const PacketSettings &Changed);

} // namespace thymewall

#endif
