/// \file
/// Detects outages of the configuration service by failed calls. The age of the
/// state alone shows none: it also grows while nobody calls the service, such
/// as after the loss of the balancers that read it first.
#ifndef THYMEWALL_SRC_OUTAGE_DETECTOR_H
#define THYMEWALL_SRC_OUTAGE_DETECTOR_H

#include "thymewall/gossip.h"

#include <algorithm>
#include <optional>

namespace thymewall::detail {

class OutageDetector {
public:
  /// Entries of upstreams outlive a shorter outage.
  static constexpr Micros MinOutage = std::chrono::milliseconds(1500);
  /// How long missing upstreams may return after an outage. Live ones publish
  /// themselves again in this time.
  static constexpr Micros ReturnTimeout = std::chrono::milliseconds(2000);

  /// Records that a call of this balancer failed at \p At.
  void recordOwnFailure(MonoTime At) {
    OwnFailureAt_ = std::max(OwnFailureAt_, At);
  }
  /// Records that a call of any balancer failed at \p At, at the earliest.
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
  MonoTime OwnFailureAt_{};
  MonoTime ReportedFailureAt_{};
  MonoTime MayReturnUntil_{};
};

} // namespace thymewall::detail

#endif
