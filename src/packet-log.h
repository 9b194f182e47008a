/// \file
/// Log lines of a packet balancer (docs/OPERATIONS.md lists them).
#ifndef THYMEWALL_SRC_PACKET_LOG_H
#define THYMEWALL_SRC_PACKET_LOG_H

#include "thymewall/intent-reader.h"
#include "thymewall/packet-balancer.h"

namespace thymewall::detail {

/// An upstream's incarnation as lines and pages show it: hexadecimal.
std::string formatIncarnation(Incarnation Which);

void logDecisionOn(const Decision &D);
void logBelief(const Belief &B);
void logReset(const ResetFlow &R);
void logRouting(const RoutingTable &Table);

/// Tells when the configuration service is lost and when it is back, once each.
class ServiceLog {
public:
  void answered(MonoTime Now, const IntentAnswer &Answer);

private:
  MonoTime LostAt_{};
  bool Lost_ = false;
};

} // namespace thymewall::detail

#endif
