/// \file
/// What a packet balancer remembers of a flow that it opened. Only load counts
/// and the suspicion of upstreams rest on it: a packet finds its upstream by
/// its cookie alone.
#ifndef THYMEWALL_SRC_PACKET_FLOW_H
#define THYMEWALL_SRC_PACKET_FLOW_H

#include "thymewall/core.h"
#include "thymewall/timed-table.h"

namespace thymewall::detail {

struct PacketFlowRow {
  using Key = FlowId;

  FlowId Flow_{};
  Endpoint Caller_;
  Endpoint Service_;
  MonoTime Since_{}; ///< When the opening or the request in progress was seen.
  std::uint32_t Upstream_ = 0; ///< Index into the upstream table.
  std::uint32_t Acknowledged_ = 0;
  std::uint32_t Sequence_ = 0; ///< Of the last data.
  bool Open_ = false;          ///< The caller has acknowledged the opening.
  bool InProgress_ = false;    ///< A request is at the upstream, unanswered.
  RowLinks Links_;

  Key key() const { return Flow_; }
  static std::uint64_t hash(const Key &K) { return raw(K); }
};
static_assert(sizeof(PacketFlowRow) == 88,
              "a flow takes 88 bytes; see docs/CAPACITY.md");

using PacketFlowTable = TimedTable<PacketFlowRow>;

} // namespace thymewall::detail

#endif
