/// \file
/// How many unanswered requests, seen anywhere in the fleet, speak against an
/// upstream.
///
/// The load pattern: hosts come back after a loss, and the fabric leads most
/// flows to them in one moment. Answers to what was under way are acknowledged
/// there, so that the balancers which sent those requests on see silence: of
/// many upstreams at once, of each about once. An upstream that hangs leaves
/// request after request unanswered, whatever happens to the others. So silence
/// counts by how much more of it an upstream has than the rest of its service.
/// Judged by one request each, 578 of 600 well upstreams got no new flows after
/// a loss of 80% of 295 hosts.
#ifndef THYMEWALL_SILENCE_EVIDENCE_H
#define THYMEWALL_SILENCE_EVIDENCE_H

#include "thymewall/core.h"

#include <unordered_map>
#include <vector>

namespace thymewall {

/// Unanswered requests by upstream, which is named by its index in the upstream
/// table. No clock of its own.
class FailureEvidence {
public:
  /// A request counts for this long. In a fleet of hundreds an upstream has
  /// some six requests a second: those of a hang add up within it.
  static constexpr Micros CountingWindow = std::chrono::milliseconds(2000);
  /// Requests kept of an upstream; more would decide nothing.
  static constexpr std::size_t MaxRequests = 16;
  /// The share of well upstreams that chance may leave out: new flows of the
  /// others fit into what is left, and a smaller one delays the verdict on a
  /// fifth of a service that hangs.
  static constexpr double DefaultFalsePositiveRate = 0.025;

  /// A request of \p Flow was left unanswered by the upstream. False when it is
  /// known already.
  bool add(MonoTime Now, std::uint32_t Upstream, FlowId Flow);
  /// The upstream has answered.
  void clear(std::uint32_t Upstream) { Unanswered_.erase(Upstream); }
  void clearAll() { Unanswered_.clear(); }
  /// Gives the room of requests that count no more back.
  void expire(MonoTime Now);

  /// Requests that count against the upstream now.
  std::size_t count(MonoTime Now, std::uint32_t Upstream) const;
  /// Requests that it takes to believe that the upstream hangs, given how many
  /// of the other \p Members of its service are silent too.
  std::size_t
  threshold(MonoTime Now, std::uint32_t Upstream,
            const std::vector<std::uint32_t> &Members,
            double FalsePositiveRate = DefaultFalsePositiveRate) const;
  /// The same for \p Silent silent ones among \p Others: if silence fell on all
  /// alike, at most \p FalsePositiveRate of them would have so many requests.
  static std::size_t
  thresholdAmong(std::size_t Others, std::size_t Silent,
                 double FalsePositiveRate = DefaultFalsePositiveRate);

private:
  struct Request {
    FlowId Flow_{};
    MonoTime CountsUntil_{};
  };

  std::unordered_map<std::uint32_t, std::vector<Request>> Unanswered_;
};

} // namespace thymewall

#endif
