#include "outage-detector.h"

namespace thymewall::detail {

Micros FailedCalls::shownBetween(MonoTime Confirmed, MonoTime Next) const {
  MonoTime From = since(Confirmed);
  return From < Next ? std::min(Until_, Next) - From : Micros(0);
}

void FailedCalls::forgetUntil(MonoTime Confirmed) {
  if (Until_ <= Confirmed)
    *this = FailedCalls();
}

std::optional<ServiceOutage> OutageDetector::recordConfirmation(MonoTime Now,
                                                                MonoTime AsOf) {
  if (AsOf <= ConfirmedAsOf_)
    return std::nullopt;
  std::optional<ServiceOutage> Outage = outageBefore(AsOf);
  if (Outage)
    MayReturnUntil_ = Now + ReturnTimeout;
  ConfirmedAsOf_ = AsOf;
  Own_.forgetUntil(AsOf);
  return Outage;
}

/// The calls of other balancers may fail because of their own hosts. They count
/// only at an age of the state at which this balancer would have read it if the
/// service answered.
std::optional<ServiceOutage> OutageDetector::outageBefore(MonoTime AsOf) const {
  using Evidence = ServiceOutage::Evidence;
  if (ConfirmedAsOf_ == MonoTime{})
    return std::nullopt;
  Micros Gap = AsOf - ConfirmedAsOf_;
  bool OwnFailed = Own_.shownBetween(ConfirmedAsOf_, AsOf) >= MinFailures;
  // Nobody may have called the service before the first call that failed.
  bool Lasted = OwnFailed && AsOf - Own_.since(ConfirmedAsOf_) >= MinOutage;
  if (Lasted || (OwnFailed && Gap > GossipNode::OutageAge))
    return ServiceOutage{ConfirmedAsOf_, AsOf, Evidence::OwnCalls};
  if (ReportedFailureAt_ > ConfirmedAsOf_ && Gap > GossipNode::OutageAge)
    return ServiceOutage{ConfirmedAsOf_, AsOf, Evidence::PeerReports};
  return std::nullopt;
}

} // namespace thymewall::detail
