#include "unnamed-upstreams.h"

namespace thymewall::detail {

std::vector<UpstreamChange>
UnnamedUpstreams::takeNamed(const RoutingTable &Table) {
  std::vector<UpstreamChange> Named;
  for (auto Item = Entries_.begin(); Item != Entries_.end();) {
    if (!Table.knowsService(Item->second.Entry_->Service_)) {
      ++Item;
      continue;
    }
    Named.push_back(std::move(Item->second));
    Item = Entries_.erase(Item);
  }
  return Named;
}

} // namespace thymewall::detail
