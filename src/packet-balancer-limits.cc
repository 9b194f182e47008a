#include "mechanism.h"
#include "packet-balancer-impl.h"

#include "thymewall/flow-limit.h"

#include <algorithm>

namespace thymewall {

using detail::isEnabled;
using detail::Mechanism;

FlowLimit flowLimit(std::uint32_t MaxFlowsPerUpstream, double Share,
                    std::size_t Upstreams, std::size_t ArcUpstreams) {
  double Total = MaxFlowsPerUpstream * Share * static_cast<double>(Upstreams);
  double PerUpstream =
      Total / static_cast<double>(std::max<std::size_t>(ArcUpstreams, 1));
  auto AtLeastOne = [](double Limit) {
    return static_cast<std::uint64_t>(std::max(Limit, 1.0));
  };
  return {AtLeastOne(PerUpstream), AtLeastOne(Total)};
}

/// Returns whether all balancers consider the upstream able to take flows.
bool PacketBalancer::Impl::isOnRing(std::uint32_t Index) const {
  const UpstreamRow &Row = Upstreams_.rows()[Index];
  return Row.Declared_ && !Row.Leaving_ && !Row.Evacuated_ && !Row.Dead_;
}

/// Returns to how many of \p RingUpstreams this balancer opens flows.
std::size_t
PacketBalancer::Impl::arcUpstreams(ServiceId Service,
                                   std::size_t RingUpstreams) const {
  auto It = Services_.find(raw(Service));
  if (It == Services_.end() || !It->second.Placement_.Aperture_)
    return RingUpstreams;
  return It->second.Placement_.Aperture_->Upstreams_.size();
}

/// Returns the limits of this balancer's flows of a service, or nothing if
/// there are none or the balancer's share is unknown.
std::optional<FlowLimit>
PacketBalancer::Impl::currentFlowLimit(ServiceId Service,
                                       ServiceState &State) const {
  std::uint32_t MaxFlows = Routing_->maxFlowsPerUpstream(Service);
  bool Limited = MaxFlows > 0 && Options_.Admission_ == Admission::Backlog &&
                 isEnabled(Mechanism::FlowLimit);
  if (!Limited) {
    State.FlowLimitUntil_ = {};
    State.FlowLimit_.reset();
    return std::nullopt;
  }
  if (State.FlowLimitUntil_ > Now_)
    return State.FlowLimit_;
  State.FlowLimitUntil_ = Now_ + TickInterval;
  State.FlowLimit_.reset();
  std::optional<double> Share = ownShare(FleetLoad_, Service);
  auto Ring = static_cast<std::size_t>(
      std::count_if(State.Members_.begin(), State.Members_.end(),
                    [this](std::uint32_t Index) { return isOnRing(Index); }));
  if (Share)
    State.FlowLimit_ =
        flowLimit(MaxFlows, *Share, Ring, arcUpstreams(Service, Ring));
  return State.FlowLimit_;
}

bool PacketBalancer::Impl::hasRoomForFlow(
    std::uint32_t Index, const std::optional<FlowLimit> &Limit) const {
  return !Limit || Upstreams_.rows()[Index].OwnFlows_ < Limit->PerUpstream_;
}

/// Returns whether no further flow of the service may be opened here.
bool PacketBalancer::Impl::isFlowLimitReached(ServiceId Service) {
  auto It = Services_.find(raw(Service));
  if (It == Services_.end())
    return false;
  ServiceState &State = It->second;
  std::optional<FlowLimit> Limit = currentFlowLimit(Service, State);
  if (!Limit)
    return false;
  if (Flows_.size() < Limit->PerUpstream_)
    return false; // spares the sum over all upstreams
  std::uint64_t OwnFlows = 0;
  for (std::uint32_t Index : State.Members_)
    if (isOnRing(Index))
      OwnFlows += Upstreams_[Index].OwnFlows_;
  if (OwnFlows >= Limit->Total_)
    return true;
  const EligibleSet &Eligible = eligibleUpstreams(Service, State);
  auto HasRoom = [&](std::uint32_t Index) {
    return hasRoomForFlow(Index, Limit);
  };
  auto AnyHasRoom = [&](const std::vector<std::uint32_t> &Indexes) {
    return std::any_of(Indexes.begin(), Indexes.end(), HasRoom);
  };
  bool HasCandidates = !Eligible.empty() || !State.ColdMembers_.empty();
  return HasCandidates && !AnyHasRoom(Eligible.Indexes_) &&
         !AnyHasRoom(State.ColdMembers_);
}

/// Returns the candidates without those at their flow limit. If all are at it,
/// returns all: that is the case only for a further copy of an opening, which
/// counts already.
const EligibleSet &PacketBalancer::Impl::withoutFullUpstreams(
    ServiceId Service, ServiceState &State, const EligibleSet &Candidates) {
  std::optional<FlowLimit> Limit = currentFlowLimit(Service, State);
  auto HasRoom = [&](std::uint32_t Index) {
    return hasRoomForFlow(Index, Limit);
  };
  const std::vector<std::uint32_t> &Indexes = Candidates.Indexes_;
  bool NoneIsFull = !Limit || Flows_.size() < Limit->PerUpstream_;
  if (NoneIsFull || std::all_of(Indexes.begin(), Indexes.end(), HasRoom))
    return Candidates;
  State.WithRoom_.clear();
  for (std::uint32_t Index : Indexes)
    if (HasRoom(Index))
      State.WithRoom_.add(Index, Upstreams_[Index].Slots_);
  return State.WithRoom_.empty() ? Candidates : State.WithRoom_;
}

/// Returns whether retries of unanswered openings are limited.
bool PacketBalancer::Impl::limitsRetries() const {
  return Options_.Admission_ == Admission::Backlog &&
         isEnabled(Mechanism::RetryBudget);
}

/// Returns whether an unanswered opening may be sent to a second upstream.
bool PacketBalancer::Impl::mayRetry(ServiceId Service) {
  if (!limitsRetries() ||
      Services_[raw(Service)].Retries_.tryRetry(Now_, isServiceFull(Service)))
    return true;
  ++Counters_.RetriesRefused_;
  return false;
}

/// Returns whether a copy of an opening stays with its first upstream.
bool PacketBalancer::Impl::staysWith(ServiceId Service, std::uint32_t First) {
  auto It = Services_.find(raw(Service));
  bool Stays = First != UpstreamTable::None && It != Services_.end() &&
               limitsRetries() && isServiceFull(Service);
  if (!Stays)
    return false;
  const std::vector<std::uint32_t> &Eligible =
      eligibleUpstreams(Service, It->second).Indexes_;
  return std::find(Eligible.begin(), Eligible.end(), First) != Eligible.end();
}

} // namespace thymewall
