/// \file
/// The table of flows whose home is this balancer. Only a flow's row records
/// which request numbers were sent to an upstream, so a lost row gets a new
/// epoch (docs/DESIGN.md, "Home epoch").
#ifndef THYMEWALL_FLOW_TABLE_H
#define THYMEWALL_FLOW_TABLE_H

#include "thymewall/core.h"
#include "thymewall/timed-table.h"

namespace thymewall {

/// Identifies a flow within its service.
struct FlowKey {
  ServiceId Service_{};
  FlowId Flow_{};
};
inline bool operator==(const FlowKey &A, const FlowKey &B) {
  return A.Service_ == B.Service_ && A.Flow_ == B.Flow_;
}

/// A flow at its home, with an anti-replay window of request numbers: a number
/// is used if it lies `WindowWidth` or more below `HighestNumber_` or its bit
/// in `UsedNumbers_` is set. Bit 0 is `HighestNumber_`; number 0 is the open.
struct FlowRow {
  using Key = FlowKey;
  static constexpr std::uint32_t WindowWidth = 64;

  FlowId Flow_{};
  std::uint64_t UsedNumbers_ = 1;
  ServiceId Service_{};
  std::uint32_t Epoch_ = 0;
  std::uint32_t HighestNumber_ = 0;
  std::uint32_t Upstream_ = 0; ///< Index into the upstream table.
  RowLinks Links_;

  Key key() const { return {Service_, Flow_}; }
  static std::uint64_t hash(const Key &K) {
    return hashPair(raw(K.Service_), raw(K.Flow_));
  }
  bool isNumberUsed(std::uint32_t Number) const {
    if (Number > HighestNumber_)
      return false;
    std::uint32_t Offset = HighestNumber_ - Number;
    return Offset >= WindowWidth || ((UsedNumbers_ >> Offset) & 1) != 0;
  }
  void markNumberUsed(std::uint32_t Number) {
    if (Number > HighestNumber_) {
      std::uint32_t Shift = Number - HighestNumber_;
      UsedNumbers_ = Shift >= WindowWidth ? 0 : UsedNumbers_ << Shift;
      HighestNumber_ = Number;
    }
    std::uint32_t Offset = HighestNumber_ - Number;
    if (Offset < WindowWidth)
      UsedNumbers_ |= std::uint64_t{1} << Offset;
  }
};
static_assert(sizeof(FlowRow) == 48,
              "a flow takes 48 bytes; see docs/CAPACITY.md");

using FlowTable = TimedTable<FlowRow>;

} // namespace thymewall

#endif
