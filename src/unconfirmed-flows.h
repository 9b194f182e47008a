/// \file
/// Flows to addresses that the routing table lacks. Another balancer may know a
/// newer table and have opened them. Only a state as of a later time than a
/// packet of the flow proves that the flow is not open; how recent the state is
/// proves nothing.
#ifndef THYMEWALL_SRC_UNCONFIRMED_FLOWS_H
#define THYMEWALL_SRC_UNCONFIRMED_FLOWS_H

#include "thymewall/packet.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace thymewall::detail {

struct UnconfirmedFlow {
  FlowId Flow_{};
  Packet Packet_; ///< The first that was received.
  MonoTime FirstSeenAt_{};
  /// Of an opening: the highest transmission count of the copies received.
  std::uint32_t Copies_ = 0;

  /// Returns whether its caller may have sent a copy of the opening that was
  /// not received here. Another balancer may have opened the flow by it.
  bool mayBeElsewhere(MonoTime Now) const;
};

/// A bounded set of flows.
class UnconfirmedFlows {
public:
  /// Bounds the memory use, and the packets that wait.
  static constexpr std::size_t MaxFlows = 2048;

  /// Returns the flow, or null.
  UnconfirmedFlow *find(FlowId Flow);
  /// Adds a flow that is not in the set. Returns false if the set is full.
  bool add(const UnconfirmedFlow &Flow);
  /// Returns whether the flow was in the set.
  bool erase(FlowId Flow) { return Flows_.erase(Flow) != 0; }
  /// Removes and returns the flows for which \p Matches returns true, in the
  /// order of their arrival.
  std::vector<UnconfirmedFlow>
  takeIf(const std::function<bool(const UnconfirmedFlow &)> &Matches);
  /// Returns when the earliest flow after \p Time was first seen, or
  /// `MonoTime::max()`.
  MonoTime firstSeenAfter(MonoTime Time) const;
  bool empty() const { return Flows_.empty(); }
  std::size_t size() const { return Flows_.size(); }

private:
  std::unordered_map<FlowId, UnconfirmedFlow> Flows_;
};

} // namespace thymewall::detail

#endif
