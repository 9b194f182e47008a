/// \file
/// Outlier detection: counts failed requests of each upstream and computes how
/// many of them it takes to blame the upstream.
///
/// When hosts return after an outage, the fabric moves many flows to them at
/// once, and the balancers that forwarded the pending requests miss their
/// answers: about one for each of many healthy upstreams. An upstream that
/// hangs fails request after request. The threshold therefore rises with the
/// share of the service's other upstreams that have failures.
#ifndef THYMEWALL_FAILURE_EVIDENCE_H
#define THYMEWALL_FAILURE_EVIDENCE_H

#include "thymewall/core.h"

#include <unordered_map>
#include <vector>

namespace thymewall {

/// Recent failed requests by upstream, seen by any balancer of the fleet. A
/// failure is an unanswered request or a short answer, as the user of the class
/// chooses. Upstreams are given by their indexes in the upstream table.
class FailureEvidence {
public:
  /// Time for which a failed request counts. Long enough for an upstream with
  /// a few requests a second to reach the threshold.
  static constexpr Micros CountingWindow = std::chrono::milliseconds(2000);
  /// Maximum number of requests kept for an upstream, and upper bound of the
  /// threshold.
  static constexpr std::size_t MaxRequests = 16;
  /// Share of healthy upstreams that may reach the threshold by chance. The
  /// remaining ones can take their flows; a lower rate delays detection.
  static constexpr double DefaultFalsePositiveRate = 0.025;

  /// Records that a request of \p Flow failed at the upstream. Returns false if
  /// that is recorded already or the upstream has `MaxRequests`.
  bool add(MonoTime Now, std::uint32_t Upstream, FlowId Flow);
  /// Forgets the failures of an upstream.
  void clear(std::uint32_t Upstream) { FailedRequests_.erase(Upstream); }
  void clearAll() { FailedRequests_.clear(); }
  /// Removes upstreams without a request that still counts.
  void expire(MonoTime Now);

  /// Returns the number of failed requests that count at \p Now.
  std::size_t count(MonoTime Now, std::uint32_t Upstream) const;
  /// Returns how many failed requests it takes to blame the upstream, given how
  /// many of the other \p Members of its service have any.
  std::size_t
  threshold(MonoTime Now, std::uint32_t Upstream,
            const std::vector<std::uint32_t> &Members,
            double FalsePositiveRate = DefaultFalsePositiveRate) const;
  /// Returns the threshold where \p Failing of \p Others have failed requests:
  /// if failures hit all of them at random, at most \p FalsePositiveRate of
  /// them would reach it.
  static std::size_t
  thresholdAmong(std::size_t Others, std::size_t Failing,
                 double FalsePositiveRate = DefaultFalsePositiveRate);

private:
  struct Request {
    FlowId Flow_{};
    MonoTime ExpiresAt_{};
  };

  std::unordered_map<std::uint32_t, std::vector<Request>> FailedRequests_;
};

} // namespace thymewall

#endif
