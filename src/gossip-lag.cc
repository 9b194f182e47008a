#include "gossip-impl.h"

namespace thymewall {

/// A balancer that has just started has no state to be behind with.
void GossipNode::Impl::noteNewerState(MonoTime Now, const PeerHeartbeat &M) {
  if (List_.through() == 0 || M.Through_ <= List_.through())
    return;
  BehindSince_ = std::min(BehindSince_, Now);
  if (M.Through_ <= Lag_.NewestRevision_)
    return;
  Lag_.NewestRevision_ = M.Through_;
  Lag_.NewestPeer_ = M.Sender_.Name_;
}

void GossipNode::Impl::reportLag(MonoTime Now) {
  if (BehindSince_ == MonoTime::max())
    return;
  Lag_.BehindFor_ = Now - BehindSince_;
  bool IsBehind = List_.through() < Lag_.NewestRevision_;
  bool IsChange = IsBehind ? !LagReported_ && Lag_.BehindFor_ >= LagReportDelay
                           : LagReported_;
  if (IsChange && Hooks_.OnLag_)
    Hooks_.OnLag_(Lag_, IsBehind);
  LagReported_ = IsBehind && (LagReported_ || IsChange);
  if (!IsBehind)
    BehindSince_ = MonoTime::max();
}

} // namespace thymewall
