/// \file
/// Settings of a packet balancer's process: one JSON object, every key checked.
#ifndef THYMEWALL_PACKET_SETTINGS_H
#define THYMEWALL_PACKET_SETTINGS_H

#include "thymewall/problem.h"

#include <boost/leaf/result.hpp>

namespace thymewall {

struct PacketSettings {
  std::string Name_;
  std::string DataHall_;
  Endpoint PacketAddress_;    ///< Callers' packets arrive here.
  Endpoint ReadinessAddress_; ///< Asked by the fabric.
  Endpoint ControlAddress_;   ///< Peers' connections arrive here.
  Endpoint
      AdvertisedControlAddress_;  ///< What peers are told; default: the same.
  Endpoint ConfigServiceAddress_; ///< The configuration service.
  std::uint16_t MetricsPort_ = 0;
  std::vector<Endpoint> Seeds_; ///< Control addresses of a few peers.
  Micros MaxRoutingDelay_{};    ///< A routing table must be in force by then.
  Micros StopTimeout_{};        ///< After a stop signal, before force is used.
  Micros MaxFlowAge_{};         ///< A flow older than this may be forgotten.
  /// How far what a cold upstream gets may go over what its service publishes:
  /// so many times, and so many flows a second more.
  double ColdOver_ = 1;
  double ColdSlack_ = 0;
};
bool operator==(const PacketSettings &A, const PacketSettings &B);

/// Parses settings; the error object is `Problems`.
boost::leaf::result<PacketSettings>
parsePacketSettings(const std::string &Text, const std::string &File);

/// The keys of \p Changed that differ from \p Running and can't change while a
/// process runs: its name, its place and the addresses that it has bound.
std::vector<std::string> keysNeedingRestart(const PacketSettings &Running,
                                            const PacketSettings &Changed);

} // namespace thymewall

#endif
