#include "mechanism.h"
#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;

/// Returns whether symptoms of overload eject no upstream.
bool PacketBalancer::Impl::isGuarded() const {
  return Options_.Admission_ == Admission::Backlog &&
         isEnabled(Mechanism::OverloadGuard);
}

/// Records which upstreams have a late request and haven't answered since, so
/// that their number is known before the first of them is judged.
void PacketBalancer::Impl::recordStallSymptoms() {
  for (std::uint32_t Index = 0; Index < UpstreamStates_.size(); ++Index) {
    UpstreamState &State = UpstreamStates_[Index];
    std::optional<Micros> Limit = stallTimeout(Index);
    bool Late = Limit && !State.PendingRequests_.empty() &&
                Now_ - State.PendingRequests_.front().Since_ > *Limit;
    State.HasLateRequest_ = Serving_ && (State.HasLateRequest_ || Late);
    if (State.HasLateRequest_)
      UnansweredRequests_.recordSymptom(Now_, Index);
  }
}

/// Returns how many failed requests blame the upstream while its service is
/// overloaded, or nothing if it is not.
std::optional<std::size_t>
PacketBalancer::Impl::overloadThreshold(const FailureEvidence &Evidence,
                                        std::uint32_t Index) const {
  ServiceId Service = UpstreamStates_[Index].Service_;
  auto State = Services_.find(raw(Service));
  if (!isGuarded() || State == Services_.end())
    return std::nullopt;
  std::vector<std::uint32_t> Members;
  for (std::uint32_t Member : State->second.Members_)
    if (isOnRing(Member))
      Members.push_back(Member);
  FailureEvidence::Comparison Rest = Evidence.compare(Now_, Index, Members);
  if (!FailureEvidence::isOverload(isServiceFull(Service), Rest))
    return std::nullopt;
  return FailureEvidence::overloadThreshold(Rest);
}

/// Returns whether the load of the service explains the failed requests of the
/// upstream, which would be ejected otherwise.
bool PacketBalancer::Impl::isHeldBack(const FailureEvidence &Evidence,
                                      std::uint32_t Index) const {
  std::optional<std::size_t> Needed = overloadThreshold(Evidence, Index);
  return Needed && Evidence.count(Now_, Index) < *Needed;
}

/// Records an unanswered opening; returns whether the load of the service
/// explains it.
bool PacketBalancer::Impl::isOpeningFailureExpected(std::uint32_t Index,
                                                    FlowId Flow) {
  UnansweredOpenings_.add(Now_, Index, Flow);
  ServiceState &Service = Services_[raw(UpstreamStates_[Index].Service_)];
  Service.RecentUnansweredOpenings_.add();
  Service.RecentOpenings_.add();
  std::uint32_t Run = ++UpstreamStates_[Index].UnansweredOpeningRun_;
  return isHeldBack(UnansweredOpenings_, Index) &&
         isExpectedRun(Run, Service.RecentUnansweredOpenings_,
                       Service.RecentOpenings_);
}

/// Records that an upstream answered an opening.
void PacketBalancer::Impl::recordOpeningSuccess(std::uint32_t Index) {
  Upstreams_.recordSuccess(Index);
  if (!isGuarded())
    return;
  UpstreamState &State = UpstreamStates_[Index];
  State.UnansweredOpeningRun_ = 0;
  Services_[raw(State.Service_)].RecentOpenings_.add();
}

/// Returns whether chance explains that an upstream failed the last \p Run
/// requests seen here, given which part of \p All requests of its service
/// failed recently. In a crowd, the bounded counts of `FailureEvidence` don't
/// tell a faulty upstream, since all upstreams reach the bound.
bool PacketBalancer::Impl::isExpectedRun(std::uint32_t Run,
                                         const detail::RecentCount &Failed,
                                         const detail::RecentCount &All) {
  auto Share = [](std::size_t FailedRequests, std::size_t Requests) {
    return static_cast<double>(FailedRequests + 1) /
           static_cast<double>(Requests + 2);
  };
  // The latest part shows a crowd that has just begun.
  double FailedShare = std::max(Share(Failed.count(), All.count()),
                                Share(Failed.latest(), All.latest()));
  return Run < FailureEvidence::overloadRunThreshold(FailedShare);
}

/// Estimates how many answers an upstream of the service gives to the whole
/// fleet in `FailureEvidence::CountingWindow`, from those seen here.
double
PacketBalancer::Impl::expectedAnswers(const ServiceState &Service) const {
  std::size_t Upstreams = std::max<std::size_t>(Service.Eligible_.size(), 1);
  return static_cast<double>(Service.RecentAnswers_.count() * FleetSize_) /
         static_cast<double>(Upstreams);
}

} // namespace thymewall
