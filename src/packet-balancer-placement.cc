#include "mechanism.h"
#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

/// Called with each tick; equal loads leave the arcs as they are.
void PacketBalancer::Impl::setFleetLoad(MonoTime Now, FleetLoad Load) {
  Now_ = Now;
  if (Load == FleetLoad_)
    return;
  FleetLoad_ = std::move(Load);
  ++LoadInputs_;
}

/// Keeps the arcs current for status pages, also without new flows.
void PacketBalancer::Impl::updatePlacements() {
  if (!Routing_)
    return;
  for (auto &[Id, State] : Services_) {
    if (Options_.Placement_ == Placement::TwoDraws &&
        !State.Placement_.Aperture_)
      continue;
    auto Service = static_cast<ServiceId>(Id);
    eligibleUpstreams(Service, State);
    updatePlacement(Service, State);
  }
}

void PacketBalancer::Impl::updatePlacement(ServiceId Service,
                                           ServiceState &State) {
  ServicePlacement &Placing = State.Placement_;
  bool Current = Placing.Generation_ == Upstreams_.generation() &&
                 Placing.Selection_ == State.Selection_ &&
                 Placing.Inputs_ == LoadInputs_;
  if (Current)
    return;
  bool Active = Options_.Placement_ == Placement::Apertures &&
                detail::isEnabled(detail::Mechanism::Apertures);
  if (!Active) {
    Placing.Aperture_.reset();
  } else {
    if (Placing.Generation_ != Upstreams_.generation())
      updateRing(State);
    Placing.Aperture_ =
        nextAperture(Placing.Aperture_, FleetLoad_, Service, Placing.Ring_);
  }
  selectInArc(State);
  Placing.Generation_ = Upstreams_.generation();
  Placing.Selection_ = State.Selection_;
  Placing.Inputs_ = LoadInputs_;
  reportPlacement(Service, Placing);
}

/// Selects the upstreams of the arc that take new flows; none if these are less
/// than half, which would then get over twice their share.
void PacketBalancer::Impl::selectInArc(ServiceState &State) {
  ServicePlacement &Placing = State.Placement_;
  Placing.Eligible_.clear();
  if (!Placing.Aperture_)
    return;
  std::vector<bool> TakesFlows(Upstreams_.rows().size());
  for (std::uint32_t Index : State.Eligible_.Indexes_)
    TakesFlows[Index] = true;
  for (std::uint32_t Index : Placing.Aperture_->Upstreams_)
    if (TakesFlows[Index])
      Placing.Eligible_.add(Index, Upstreams_[Index].Slots_);
  if (2 * Placing.Eligible_.size() < Placing.Aperture_->Upstreams_.size())
    Placing.Eligible_.clear();
}

/// Ejections, cold limits and retries don't change the ring: they are local to
/// this balancer, and a ring without their upstreams would shift its arc
/// against those of its peers.
void PacketBalancer::Impl::updateRing(ServiceState &State) {
  std::vector<RingUpstream> Members;
  for (std::uint32_t Index : State.Members_) {
    const UpstreamRow &Row = Upstreams_[Index];
    if (Row.Declared_ && !Row.Leaving_ && !Row.Evacuated_ && !Row.Dead_)
      Members.push_back({Index, Row.Incarnation_,
                         UpstreamStates_[Index].DataHall_, Row.Slots_});
  }
  ServicePlacement &Placing = State.Placement_;
  if (Members == Placing.Members_)
    return;
  Placing.Ring_ = UpstreamRing(Members);
  Placing.Members_ = std::move(Members);
}

/// Returns an upstream of this balancer's arc, or `None` if two draws are to be
/// used: the service has no arc, or too few of its upstreams take the flow.
std::uint32_t PacketBalancer::Impl::chooseInArc(ServiceId Service,
                                                ServiceState &State,
                                                FlowId Flow,
                                                std::uint32_t Avoid) {
  updatePlacement(Service, State);
  const EligibleSet &All = State.Placement_.Eligible_;
  std::optional<FlowLimit> Limit = currentFlowLimit(Service, State);
  auto Takes = [&](std::uint32_t Index) {
    return Index != Avoid && hasRoomForFlow(Index, Limit);
  };
  const std::vector<std::uint32_t> &Indexes = All.Indexes_;
  bool AllTake = std::all_of(Indexes.begin(), Indexes.end(), Takes);
  EligibleSet Taking;
  if (!AllTake)
    for (std::uint32_t Index : Indexes)
      if (Takes(Index))
        Taking.add(Index, Upstreams_[Index].Slots_);
  const EligibleSet &Candidates = AllTake ? All : Taking;
  if (Candidates.empty())
    return UpstreamTable::None;
  ChooserInput C{{Service, Flow}, Candidates, Upstreams_.rows(), Now_};
  return Candidates.Indexes_[chooseLeastLoaded(C)];
}

/// Reports a change of the way, or of the arc's size by half.
void PacketBalancer::Impl::reportPlacement(ServiceId Service,
                                           ServicePlacement &Placing) const {
  std::size_t Size =
      Placing.Aperture_ ? Placing.Aperture_->Upstreams_.size() : 0;
  std::size_t Reported = Placing.ReportedSize_;
  std::size_t Change = std::max(Size, Reported) - std::min(Size, Reported);
  if (Size == Reported || 2 * Change < Reported)
    return;
  Placing.ReportedSize_ = Size;
  if (!Options_.OnPlacement_)
    return;
  PlacementChange C;
  C.Service_ = Service;
  if (Placing.Aperture_)
    C = {Service, Placement::Apertures, Placing.Aperture_->Share_, Size};
  Options_.OnPlacement_(C);
}

std::vector<ApertureStatus> PacketBalancer::Impl::apertureStatus() const {
  std::vector<ApertureStatus> Result;
  for (const auto &[Id, State] : Services_) {
    if (!State.Placement_.Aperture_)
      continue;
    ApertureStatus S{
        static_cast<ServiceId>(Id), State.Placement_.Aperture_->Share_, {}};
    for (std::uint32_t Index : State.Placement_.Aperture_->Upstreams_)
      S.Upstreams_.push_back(Upstreams_.rows()[Index].Incarnation_);
    Result.push_back(std::move(S));
  }
  return Result;
}

} // namespace thymewall
