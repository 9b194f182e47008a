/// \file
/// Outlier detection: counts failed requests of each upstream and computes how
/// many of them it takes to blame the upstream.
///
/// When hosts return after an outage, the fabric moves many flows to them at
/// once, and the balancers that forwarded the pending requests miss their
/// answers: about one for each of many healthy upstreams. An upstream that
/// hangs fails request after request. The threshold therefore rises with the
/// share of the service's other upstreams that have failures. Judged by one
/// request each, 578 of 600 healthy upstreams got no new flows after a loss of
/// 80% of 295 hosts.
///
/// Addresses overload, too: upstreams of a full service answer late or with
/// rejections, all of them at once, and that proves no fault.
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
  /// a few requests a second, about six in a fleet of hundreds, to reach the
  /// threshold.
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
  /// Records that an upstream has a failed request, without counting it.
  void recordSymptom(MonoTime Now, std::uint32_t Upstream);
  /// Sets the count of an upstream to 0, but not the time of its last symptom.
  void resetCount(std::uint32_t Upstream);
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

  /// The failures of the other upstreams of a service.
  struct Comparison {
    std::size_t Others_ = 0;
    /// How many of them had a failure within `CountingWindow`.
    std::size_t Failing_ = 0;
    std::size_t MedianCount_ = 0; ///< Of their numbers of failed requests.
    double MeanCount_ = 0;
    double CountDeviation_ = 0; ///< Standard deviation.
  };
  /// Compares the upstream with the other \p Members of its service.
  Comparison compare(MonoTime Now, std::uint32_t Upstream,
                     const std::vector<std::uint32_t> &Members) const;
  /// Returns whether failures are likely due to the load of the service, which
  /// is \p Full by the measure of admission.
  static bool isOverload(bool Full, const Comparison &Rest);
  /// Returns the threshold during overload. Exceeds `MaxRequests`, and is not
  /// reached, where the other upstreams have about as many failures.
  static std::size_t overloadThreshold(const Comparison &Rest);
  /// Returns how many failed requests without a successful one between them it
  /// takes to blame an upstream during overload, where \p FailedShare of the
  /// service's requests fail.
  static std::size_t overloadRunThreshold(double FailedShare);

private:
  struct Request {
    FlowId Flow_{};
    MonoTime ExpiresAt_{};
  };
  struct Failures {
    std::vector<Request> Requests_;
    MonoTime SymptomUntil_{}; ///< End of the last symptom's `CountingWindow`.
  };

  std::unordered_map<std::uint32_t, Failures> FailedRequests_;
};

} // namespace thymewall

#endif
