#include "outage-detector.h"

namespace thymewall::detail {

std::optional<ServiceOutage> OutageDetector::recordConfirmation(MonoTime Now,
                                                                MonoTime AsOf) {
  if (AsOf <= ConfirmedAsOf_)
    return std::nullopt;
  std::optional<ServiceOutage> Outage = outageBefore(AsOf);
  if (Outage)
    MayReturnUntil_ = Now + ReturnTimeout;
  ConfirmedAsOf_ = AsOf;
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
  if (OwnFailureAt_ > ConfirmedAsOf_ && Gap >= MinOutage)
    return ServiceOutage{ConfirmedAsOf_, AsOf, Evidence::OwnCalls};
  if (ReportedFailureAt_ > ConfirmedAsOf_ && Gap > GossipNode::OutageAge)
    return ServiceOutage{ConfirmedAsOf_, AsOf, Evidence::PeerReports};
  return std::nullopt;
}

} // namespace thymewall::detail
