/// \file
/// Status and metrics pages of a packet balancer.
#ifndef THYMEWALL_SRC_PACKET_PAGES_H
#define THYMEWALL_SRC_PACKET_PAGES_H

#include "admission-metrics.h"
#include "peer-traffic.h"
#include "process-pages.h"
#include "thymewall/gossip.h"
#include "thymewall/local-health.h"
#include "thymewall/metrics.h"
#include "thymewall/packet-balancer.h"

namespace thymewall::detail {

/// Data for the pages.
struct PacketReport {
  std::string Name_;
  bool Ready_ = false;
  bool Stopping_ = false;
  MonoTime Now_{};
  PacketStatus Status_;
  PacketCounters Counters_;
  GossipCounters Gossip_;
  PeerTraffic Traffic_;
  std::vector<MemberStatus> Peers_;
  FleetLoad Load_;
  RoutingTablePtr Routing_;
  std::uint64_t Malformed_ = 0;
  std::uint64_t ServiceCalls_ = 0;
  std::uint64_t ServiceFailures_ = 0;
  std::uint64_t RefusedItems_ = 0;
  std::uint64_t AdjustedValues_ = 0;
  std::uint64_t UnreadablePages_ = 0;
  std::uint64_t LogLinesDropped_ = 0;
  HostHealth Health_;
  bool SteppedBack_ = false;
  /// Whether this balancer reads the configuration service for the fleet.
  bool ReadsForFleet_ = false;
  const DelayMetrics *Delays_ = nullptr;
  const AdmissionMetrics *Admission_ = nullptr;
};

/// Returns the page at \p Path: "/metrics" in Prometheus text format, "/status"
/// and "/histograms" as JSON.
HttpPage packetPage(const PacketReport &R, const std::string &Path);

} // namespace thymewall::detail

#endif
