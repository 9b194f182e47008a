#include "gossip-impl.h"

#include <cmath>

namespace thymewall {

bool GossipNode::Impl::isSettled(MonoTime Now) const {
  return !Leaving_ && Now - RunningSince_ >= RecentStartAge;
}

/// Records what the peer of a link knows about a member.
void GossipNode::Impl::noteMember(MonoTime Now, detail::GossipLink &L,
                                  const Member &Reported) {
  MonoTime &AliveAt = L.PeerMembers_[detail::readerScore(Reported.Name_)];
  AliveAt = std::max(AliveAt, Now - std::chrono::milliseconds(Reported.AgeMs_));
}

FleetView GossipNode::Impl::fleetView(MonoTime Now) const {
  FleetView View;
  View.SelfHash_ = Score_;
  View.PeerHashes_ = Members_.hashes();
  View.EstimatedSize_ = fleetSize();
  View.Settled_ = isSettled(Now);
  return View;
}

void GossipNode::Impl::setOwnLoad(std::vector<ServiceLoad> Load) {
  Options_.Self_.LoadTold_ = true;
  if (OwnLoads_.empty() || OwnLoads_.back().At_ != LastTick_)
    OwnLoads_.push_back({LastTick_, {}});
  OwnLoads_.back().Services_ = Load;
  Options_.Self_.Load_ = std::move(Load);
  while (LastTick_ - OwnLoads_.front().At_ > detail::MemberList::MemberTimeout)
    OwnLoads_.pop_front();
}

/// Returns the mean of this balancer's loads at the times at which the peers
/// reported theirs, some seconds ago. With the current load, a burst of three
/// times the usual load at all of 80 balancers makes each overestimate its
/// share by up to 80% while the burst rises, and underestimate it by 30%
/// afterwards.
std::vector<ServiceLoad> GossipNode::Impl::ownLoadLikePeers() const {
  std::vector<MonoTime> Times = Members_.reportTimes();
  if (Times.empty() || OwnLoads_.empty())
    return Options_.Self_.Load_;
  std::vector<std::size_t> Weights(OwnLoads_.size());
  for (MonoTime At : Times) {
    auto Later = std::upper_bound(
        OwnLoads_.begin(), OwnLoads_.end(), At,
        [](MonoTime Time, const OwnLoad &Load) { return Time < Load.At_; });
    ++Weights[static_cast<std::size_t>(
        std::max<std::ptrdiff_t>(Later - OwnLoads_.begin() - 1, 0))];
  }
  std::map<std::uint32_t, double> Sums;
  for (std::size_t I = 0; I < Weights.size(); ++I)
    for (const ServiceLoad &Load : OwnLoads_[I].Services_)
      Sums[raw(Load.Service_)] +=
          static_cast<double>(Weights[I]) * Load.RequestsPerMinute_;
  std::vector<ServiceLoad> Mean;
  for (const auto &[Service, Sum] : Sums) {
    auto Rate = static_cast<std::uint32_t>(
        std::lround(Sum / static_cast<double>(Times.size())));
    if (Rate > 0)
      Mean.push_back({static_cast<ServiceId>(Service), Rate});
  }
  return Mean;
}

FleetLoad GossipNode::Impl::fleetLoad(MonoTime Now) const {
  const Member &Self = Options_.Self_;
  FleetLoad Load;
  Load.Self_ = {Score_, Self.DataHall_, Self.LoadTold_, ownLoadLikePeers()};
  Load.Peers_ = Members_.loads();
  Load.Complete_ = isSettled(Now) && Members_.knowsMostMembers(Now);
  return Load;
}

std::vector<MemberStatus> GossipNode::Impl::peers() const {
  std::vector<MemberStatus> Result;
  for (const Member &M : Members_.all())
    Result.push_back({M, linkedTo(M.Name_)});
  return Result;
}

} // namespace thymewall
