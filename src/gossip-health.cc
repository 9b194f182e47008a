// Impairment of balancers in gossip, and public functions about members.
#include "gossip-impl.h"

namespace thymewall {

void GossipNode::Impl::setImpairment(std::uint8_t Impairment) {
  Member &Self = Options_.Self_;
  if (detail::isWorseImpairment(Self.Impairment_, Impairment))
    HasImpairmentNews_ = true;
  Self.LoadTold_ = true;
  Self.Impairment_ = Impairment;
}

/// Whether a balancer's impairment should be sent before the next heartbeat is
/// due: by heartbeats alone, a member of a large fleet hears of it only seconds
/// later. Every tick sends at most one such heartbeat per link, and hosts
/// change rarely since `LocalHealth` and `StepBack` have hysteresis.
bool GossipNode::Impl::hasImpairmentNews() const {
  return HasImpairmentNews_ || Members_.hasWorsened();
}

HallView GossipNode::Impl::hallView(MonoTime Now) const {
  HallView View;
  View.SelfHash_ = detail::stepBackHash(Options_.Self_.Name_);
  for (const Member &M : Members_.inHall(Options_.Self_.DataHall_, Now))
    View.Members_.push_back({detail::stepBackHash(M.Name_), M.Impairment_,
                             M.LoadTold_, std::chrono::milliseconds(M.AgeMs_)});
  View.FleetSize_ = Members_.fleetSize();
  return View;
}

void GossipNode::setImpairment(std::uint8_t Impairment) {
  Impl_->setImpairment(Impairment);
}
HallView GossipNode::hallView(MonoTime Now) const {
  return Impl_->hallView(Now);
}
std::vector<Member> GossipNode::members() const { return Impl_->members(); }
bool GossipNode::isDataHallLost(MonoTime Now) const {
  return Impl_->isDataHallLost(Now);
}
std::vector<MemberStatus> GossipNode::peers() const { return Impl_->peers(); }

} // namespace thymewall
