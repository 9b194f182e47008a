/// \file
/// Flow table of a packet balancer, used for load counts and failure detection.
/// Packets are routed by their cookie alone and need no row.
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
  MonoTime Since_{}; ///< When the opening packet or the request arrived.
  std::uint32_t Upstream_ = 0; ///< Index into the upstream table.
  std::uint32_t Acknowledged_ = 0;
  std::uint32_t Sequence_ = 0; ///< Of the last packet with data.
  bool Open_ = false;          ///< The caller has acknowledged the opening.
  bool InProgress_ = false; ///< The upstream has not answered the last request.
  /// Whether the first data of the current request has arrived. Its further
  /// packets and their retransmissions are not requests.
  bool RequestCounted_ = false;
  RowLinks Links_;

  Key key() const { return Flow_; }
  static std::uint64_t hash(const Key &K) { return raw(K); }
};
static_assert(sizeof(PacketFlowRow) == 88,
              "a flow takes 88 bytes; see docs/CAPACITY.md");

using PacketFlowTable = TimedTable<PacketFlowRow>;

} // namespace thymewall::detail

#endif
