/// \file
/// Limit of a service's requests in progress at this balancer, whether the
/// service is full, and how long its queued openings are likely to wait. For
/// loads above the capacity of a service's upstreams ("crowd"). Uses no clock.
#ifndef THYMEWALL_ADMISSION_H
#define THYMEWALL_ADMISSION_H

#include "thymewall/core.h"

#include <optional>

namespace thymewall {

/// Limit of the requests of a service that this balancer may have in progress.
/// Without a limit, everything is admitted and the service is never full.
class RequestLimit {
public:
  /// Default: one request being processed and two waiting keep a slot busy
  /// between two answers.
  static constexpr double DefaultRequestsPerSlot = 3;
  /// Time for which requests must be at the limit, or below it, without
  /// interruption before the state changes. Callers of a shorter burst are not
  /// rejected.
  static constexpr Micros ChangeAfter = std::chrono::milliseconds(200);
  /// Multiple of the limit that is admitted while the service is not full. The
  /// better priorities of a service keep it while the service is full: requests
  /// on open flows, which cannot wait, would otherwise keep them out.
  static constexpr std::size_t BurstFactor = 2;

  /// Returns the limit of a balancer that carries \p Share of the service's
  /// load, at least 1.
  static std::size_t limitFor(double Share, std::uint64_t Slots,
                              double PerSlot = DefaultRequestsPerSlot);

  /// Sets the limit, or none if the balancer's share is unknown.
  void set(std::optional<std::size_t> Limit);
  std::optional<std::size_t> get() const { return Limit_; }
  /// Records the numbers of requests in progress and of queued openings. Call
  /// it after each change. Returns whether the full state has changed.
  bool update(MonoTime Now, std::size_t InProgress, std::size_t Queued);
  bool isFull(MonoTime Now) const;
  /// Returns whether an opening may be forwarded. \p IsBetter is whether its
  /// priority is better than the worst of its service.
  bool admits(MonoTime Now, std::size_t InProgress, bool IsBetter) const;

private:
  std::optional<std::size_t> Limit_;
  bool Full_ = false;
  /// Since when the requests contradict `Full_`; `max()` if they do not.
  MonoTime ContradictedSince_ = MonoTime::max();
};

/// Average time between two releases from a queue of openings.
class ReleaseInterval {
public:
  /// Records that an opening was queued in an empty queue.
  void begin(MonoTime Now) { Last_ = Now; }
  /// Records that the first opening of the queue was released.
  void recordRelease(MonoTime Now);
  /// Returns the expected wait behind \p Ahead other openings. Releases that
  /// are overdue lengthen it.
  Micros expectedWait(MonoTime Now, std::size_t Ahead) const;

private:
  Micros Mean_{0}; ///< 0 before the first release.
  MonoTime Last_{};
};

} // namespace thymewall

#endif
