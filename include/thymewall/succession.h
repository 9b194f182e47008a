/// \file
/// Handover of flows by a balancer that stops: a final record of the processes
/// that own its flows afterwards.
#ifndef THYMEWALL_SUCCESSION_H
#define THYMEWALL_SUCCESSION_H

#include "thymewall/flow-table.h"

#include <vector>

namespace thymewall {

struct Successor {
  Endpoint Data_;
  Incarnation Incarnation_{};
};
inline bool operator==(const Successor &A, const Successor &B) {
  return A.Data_ == B.Data_ && A.Incarnation_ == B.Incarnation_;
}

/// After this record the process `Home_` dispatches no at-most-once request of
/// its flows, and those that it dispatched earlier have deadlines at or before
/// `Fence_`. A successor may therefore run a request with a later deadline:
/// nobody has run it.
struct Succession {
  Incarnation Home_{};
  WallTime Fence_{};
  std::vector<Successor> Successors_; ///< Not empty.
};
inline bool operator==(const Succession &A, const Succession &B) {
  return A.Home_ == B.Home_ && A.Fence_ == B.Fence_ &&
         A.Successors_ == B.Successors_;
}

/// Returns the successor that owns a flow of the old home.
inline const Successor &successorOf(const Succession &S, const FlowKey &Flow) {
  return S.Successors_[FlowRow::hash(Flow) % S.Successors_.size()];
}

} // namespace thymewall

#endif
