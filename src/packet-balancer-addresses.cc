#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

void PacketBalancer::Impl::addToAddress(std::uint32_t Index) {
  const Endpoint &At = Upstreams_[Index].At_;
  IndexesByAddress_[At].push_back(Index);
  endReplacedUpstreams(At);
}

void PacketBalancer::Impl::removeFromAddress(std::uint32_t Index) {
  auto It = IndexesByAddress_.find(Upstreams_[Index].At_);
  if (It == IndexesByAddress_.end())
    return;
  std::vector<std::uint32_t> &Indexes = It->second;
  Indexes.erase(std::remove(Indexes.begin(), Indexes.end(), Index),
                Indexes.end());
  if (Indexes.empty())
    IndexesByAddress_.erase(It);
}

/// An address is handed on only when the upstream that had it has ended. Frees
/// callers who wait for an upstream that died without a word.
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

/// Whether \p Index shows that \p Previous, at the same address, has ended. The
/// later start has the address. Where births are not told, one that is
/// published took it from one that is no more; of two that are published
/// neither is proved to have ended, whichever was written last: an entry that a
/// cut held up is written by an upstream that is long gone. An entry of a
/// service that no routing table names takes no address.
bool PacketBalancer::Impl::hasReplaced(std::uint32_t Index,
                                       std::uint32_t Previous) const {
  const UpstreamState &NewState = UpstreamStates_[Index];
  const UpstreamState &OldState = UpstreamStates_[Previous];
  if (!Routing_ || !Routing_->names(NewState.Service_))
    return false;
  if (NewState.BornMs_ != 0 && OldState.BornMs_ != 0)
    return NewState.BornMs_ > OldState.BornMs_;
  return OldState.Gone_ && !NewState.Gone_ && !NewState.Replaced_;
}

void PacketBalancer::Impl::setReplaced(std::uint32_t Index) {
  if (UpstreamStates_[Index].Replaced_)
    return;
  UpstreamStates_[Index].Replaced_ = true;
  setDead(Index);
}

} // namespace thymewall
