#include "unconfirmed-flows.h"

#include "opening-copies.h"

#include <algorithm>

namespace thymewall::detail {

bool UnconfirmedFlow::mayBeElsewhere(MonoTime Now) const {
  return Packet_.Opens_ &&
         Copies_ < latestCopy(Packet_, Now - FirstSeenAt_).Acknowledged_;
}

UnconfirmedFlow *UnconfirmedFlows::find(FlowId Flow) {
  auto It = Flows_.find(Flow);
  return It == Flows_.end() ? nullptr : &It->second;
}

bool UnconfirmedFlows::add(const UnconfirmedFlow &Flow) {
  return Flows_.size() < MaxFlows && Flows_.emplace(Flow.Flow_, Flow).second;
}

std::vector<UnconfirmedFlow> UnconfirmedFlows::takeIf(
    const std::function<bool(const UnconfirmedFlow &)> &Matches) {
  std::vector<UnconfirmedFlow> Taken;
  for (auto It = Flows_.begin(); It != Flows_.end();) {
    bool Matching = Matches(It->second);
    if (Matching)
      Taken.push_back(It->second);
    It = Matching ? Flows_.erase(It) : std::next(It);
  }
  std::stable_sort(Taken.begin(), Taken.end(),
                   [](const auto &A, const auto &B) {
                     return A.FirstSeenAt_ < B.FirstSeenAt_;
                   });
  return Taken;
}

MonoTime UnconfirmedFlows::firstSeenAfter(MonoTime Time) const {
  MonoTime First = MonoTime::max();
  for (const auto &[Id, Flow] : Flows_)
    if (Flow.FirstSeenAt_ > Time)
      First = std::min(First, Flow.FirstSeenAt_);
  return First;
}

} // namespace thymewall::detail
