#include "packet-balancer-impl.h"

#include <algorithm>

namespace thymewall {

void PacketBalancer::Impl::joinAddress(std::uint32_t Index) {
  const Endpoint &At = Upstreams_[Index].At_;
  AtAddress_[At].push_back(Index);
  settleAddress(At);
}

void PacketBalancer::Impl::leaveAddress(std::uint32_t Index) {
  auto Known = AtAddress_.find(Upstreams_[Index].At_);
  if (Known == AtAddress_.end())
    return;
  std::vector<std::uint32_t> &Rows = Known->second;
  Rows.erase(std::remove(Rows.begin(), Rows.end(), Index), Rows.end());
  if (Rows.empty())
    AtAddress_.erase(Known);
}

/// An address is handed on only when the upstream that had it has ended. Frees
/// callers who wait for an upstream that died without a word.
void PacketBalancer::Impl::settleAddress(const Endpoint &At) {
  auto Known = AtAddress_.find(At);
  if (Known == AtAddress_.end() || Known->second.size() < 2)
    return;
  const std::vector<std::uint32_t> Rows = Known->second;
  for (std::uint32_t Earlier : Rows)
    for (std::uint32_t Later : Rows)
      if (Earlier != Later && hasTakenOver(Later, Earlier))
        setEnded(Earlier);
}

/// Whether \p Index shows that \p From, at the same address, has ended. The
/// later start has the address. Where births are not told, one that is
/// published took it from one that is no more; of two that are published
/// neither is proved to have ended, whichever was written last: an entry that a
/// cut held up is written by an upstream that is long gone. An entry of a
/// service that no routing table names takes no address.
bool PacketBalancer::Impl::hasTakenOver(std::uint32_t Index,
                                        std::uint32_t From) const {
  const Detail &By = Details_[Index];
  const Detail &Of = Details_[From];
  if (!Routing_ || !Routing_->knowsService(By.Service_))
    return false;
  if (By.BornMs_ != 0 && Of.BornMs_ != 0)
    return By.BornMs_ > Of.BornMs_;
  return Of.Gone_ && !By.Gone_ && !By.Ended_;
}

void PacketBalancer::Impl::setEnded(std::uint32_t Index) {
  if (Details_[Index].Ended_)
    return;
  Details_[Index].Ended_ = true;
  setDead(Index);
}

} // namespace thymewall
