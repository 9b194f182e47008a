/// \file
/// Detects outages of the configuration service by failed calls. The age of the
/// state alone shows none: it also grows while nobody calls the service, such
/// as after the loss of the balancers that read it first. For the same reason
/// failed calls show an outage only for as long as they go on failing.
#ifndef THYMEWALL_SRC_OUTAGE_DETECTOR_H
#define THYMEWALL_SRC_OUTAGE_DETECTOR_H

#include "thymewall/gossip.h"

#include <algorithm>
#include <optional>

namespace thymewall::detail {

/// Calls that failed since the last confirmation of the state.
class FailedCalls {
public:
  /// Records that calls failed from \p Since to \p Until.
  void record(MonoTime Since, MonoTime Until) {
    Since_ = std::min(Since_, Since);
    Until_ = std::max(Until_, Until);
  }
  /// Returns since when calls are known to have failed after \p Confirmed;
  /// `MonoTime::max()` if none failed.
  MonoTime since(MonoTime Confirmed) const {
    return Until_ > Confirmed ? std::max(Since_, Confirmed) : MonoTime::max();
  }
  /// Returns for how long calls are known to have failed between two
  /// confirmations.
  Micros shownBetween(MonoTime Confirmed, MonoTime Next) const;
  /// Forgets calls that failed before a confirmation.
  void forgetUntil(MonoTime Confirmed);

private:
  MonoTime Since_ = MonoTime::max();
  MonoTime Until_{};
};

class OutageDetector {
public:
  /// Entries of upstreams outlive a shorter outage.
  static constexpr Micros MinOutage = std::chrono::milliseconds(1500);
  /// Calls that fail for a shorter time show no outage of the service: a single
  /// one may be refused while others are served.
  static constexpr Micros MinFailures = std::chrono::milliseconds(50);
  /// How long missing upstreams may return after an outage. Live ones publish
  /// themselves again in this time.
  static constexpr Micros ReturnTimeout = std::chrono::milliseconds(2000);

  /// Records that a call of this balancer was refused at \p FailedAt, or got no
  /// response since \p Since.
  void recordOwnFailure(MonoTime Since, MonoTime FailedAt) {
    Own_.record(Since, FailedAt);
  }
  /// Records that a call of another balancer failed at \p At, at the earliest.
  void recordReportedFailure(MonoTime At) {
    ReportedFailureAt_ = std::max(ReportedFailureAt_, At);
  }
  /// Records at \p Now that the state was complete as of \p AsOf. Returns the
  /// outage that has ended, if any.
  std::optional<ServiceOutage> recordConfirmation(MonoTime Now, MonoTime AsOf);
  /// Returns until when upstreams that are missing from the list may return; it
  /// has passed unless an outage has just ended.
  MonoTime mayReturnUntil() const { return MayReturnUntil_; }

private:
  /// Returns the outage that a confirmation as of \p AsOf ends, if any.
  std::optional<ServiceOutage> outageBefore(MonoTime AsOf) const;

  MonoTime ConfirmedAsOf_{};
  FailedCalls Own_;
  MonoTime ReportedFailureAt_{};
  MonoTime MayReturnUntil_{};
};

} // namespace thymewall::detail

#endif
