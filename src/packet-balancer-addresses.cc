#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

void PacketBalancer::Impl::addToAddress(std::uint32_t Index) {
  const Endpoint &At = Upstreams_[Index].Address_;
  IndexesByAddress_[At].push_back(Index);
  endReplacedUpstreams(At);
}

void PacketBalancer::Impl::removeFromAddress(std::uint32_t Index) {
  auto It = IndexesByAddress_.find(Upstreams_[Index].Address_);
  if (It == IndexesByAddress_.end())
    return;
  std::vector<std::uint32_t> &Indexes = It->second;
  Indexes.erase(std::remove(Indexes.begin(), Indexes.end(), Index),
                Indexes.end());
  if (Indexes.empty())
    IndexesByAddress_.erase(It);
}

/// Marks upstreams dead whose address another one has taken over, so that the
/// callers of an upstream that crashed get a reset at once.
void PacketBalancer::Impl::endReplacedUpstreams(const Endpoint &At) {
  auto It = IndexesByAddress_.find(At);
  if (It == IndexesByAddress_.end() || It->second.size() < 2)
    return;
  const std::vector<std::uint32_t> Indexes = It->second;
  for (std::uint32_t Older : Indexes)
    for (std::uint32_t Newer : Indexes)
      if (Older != Newer && hasReplaced(Newer, Older))
        setReplaced(Older);
}

/// Returns whether \p Index has taken over the address of \p Previous. The
/// later start time wins. Without start times, a published upstream replaces
/// one that is gone; of two published ones neither is replaced, since an old
/// entry may arrive late after a network partition. Upstreams of services that
/// the routing table does not name replace none.
bool PacketBalancer::Impl::hasReplaced(std::uint32_t Index,
                                       std::uint32_t Previous) const {
  const UpstreamState &NewState = UpstreamStates_[Index];
  const UpstreamState &OldState = UpstreamStates_[Previous];
  if (!Routing_ || !Routing_->knowsService(NewState.Service_))
    return false;
  if (NewState.StartTimeMs_ != 0 && OldState.StartTimeMs_ != 0)
    return NewState.StartTimeMs_ > OldState.StartTimeMs_;
  return OldState.Gone_ && !NewState.Gone_ && !NewState.Replaced_;
}

void PacketBalancer::Impl::setReplaced(std::uint32_t Index) {
  if (UpstreamStates_[Index].Replaced_)
    return;
  UpstreamStates_[Index].Replaced_ = true;
  setDead(Index);
}

} // namespace thymewall
