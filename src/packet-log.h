/// \file
/// Log lines of a packet balancer, which docs/OPERATIONS.md lists.
#ifndef THYMEWALL_SRC_PACKET_LOG_H
#define THYMEWALL_SRC_PACKET_LOG_H

#include "thymewall/config-reader.h"
#include "thymewall/gossip.h"
#include "thymewall/local-health.h"
#include "thymewall/log.h"
#include "thymewall/packet-balancer.h"

namespace thymewall::detail {

/// Formats an incarnation as a hexadecimal number, as logs and pages show it.
std::string formatIncarnation(Incarnation Id);

void logPacketDecision(const Decision &D);
void logUpstreamEvent(const UpstreamEvent &Event);
void logPlacement(const PlacementChange &Change, const std::string &Service);
void logReset(const ResetFlow &R);
void logAdmission(const AdmissionEvent &Event, const std::string &Service);
/// Returns the name of a reason as logs and metrics show it.
const char *nameOf(AdmissionEvent::Reason Reason);
void logEvacuation(const EvacuationChange &Change);
/// Logs the numbers of listed and ended upstreams instead of a line for each.
void logUpstreamSummary(const std::vector<UpstreamChange> &Changes,
                        Revision Through);
/// Logs that the state is older than a peer's, or no longer is.
void logStateLag(const StateLag &Lag, bool IsBehind, Revision Through,
                 Micros StateAge);
void logRouting(const RoutingTable &Table);
/// Logs that an outage of the configuration service has ended.
void logServiceOutage(const ServiceOutage &Outage);

void logHostImpaired(const HostHealth &Health);
void logStepBack(StepBack::Change Change, const HostHealth &Health,
                 const StepBack &Decision);

/// Logs the availability of the configuration service: the first failed call,
/// then either the next successful one or that a peer reads the service, so
/// that this process no longer calls it.
class ConfigServiceLog {
public:
  using Writer = std::function<void(std::string_view, const LogFields &)>;

  explicit ConfigServiceLog(Writer Write = logState)
      : Write_(std::move(Write)) {}

  void answered(MonoTime Now, const ConfigResponse &Response);
  /// Records that the state is complete as of \p AsOf, whoever read it.
  void confirmed(MonoTime AsOf);

private:
  bool failing() const { return FailedAt_ != MonoTime{}; }

  Writer Write_;
  MonoTime FailedAt_{}; ///< First failure since a success, or 0.
};

} // namespace thymewall::detail

#endif
