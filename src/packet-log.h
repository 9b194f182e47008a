/// \file
/// Log lines of a packet balancer (docs/OPERATIONS.md lists them).
#ifndef THYMEWALL_SRC_PACKET_LOG_H
#define THYMEWALL_SRC_PACKET_LOG_H

#include "thymewall/intent-reader.h"
#include "thymewall/log.h"
#include "thymewall/packet-balancer.h"

namespace thymewall::detail {

/// An upstream's incarnation as lines and pages show it: hexadecimal.
std::string formatIncarnation(Incarnation Which);

void logDecisionOn(const Decision &D);
void logBelief(const Belief &B);
void logReset(const ResetFlow &R);
void logEvacuation(const EvacuationChange &Change);
/// Many changes of the list at once: their numbers in place of a line each.
void logUpstreams(const std::vector<UpstreamChange> &Changes, Revision Through);
void logRouting(const RoutingTable &Table);

/// Tells what this process knows of the configuration service: that calls to it
/// have begun to fail, and then either that one was served again or that a peer
/// reads it, so that this process no longer calls.
class ServiceLog {
public:
  using Writer = std::function<void(std::string_view, const LogFields &)>;

  explicit ServiceLog(Writer Write = logState) : Write_(std::move(Write)) {}

  void answered(MonoTime Now, const IntentAnswer &Answer);
  /// All that was published up to \p AsOf is known, whoever read it.
  void confirmed(MonoTime AsOf);

private:
  bool failing() const { return FailedAt_ != MonoTime{}; }

  Writer Write_;
  MonoTime FailedAt_{}; ///< Of the first failure since a success; none: 0.
};

} // namespace thymewall::detail

#endif
