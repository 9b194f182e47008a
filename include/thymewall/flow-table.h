/// \file
/// The flows whose home is this balancer. A row is the only memory of which
/// request numbers were handed to an upstream, so a lost row is never rebuilt
/// under the same epoch (docs/DESIGN.md, "Home epoch").
#ifndef THYMEWALL_FLOW_TABLE_H
#define THYMEWALL_FLOW_TABLE_H

#include "thymewall/core.h"
#include "thymewall/timed-table.h"

namespace thymewall {

/// A flow within its service.
struct FlowKey {
  ServiceId Service_{};
  FlowId Flow_{};
};
inline bool operator==(const FlowKey &A, const FlowKey &B) {
  return A.Service_ == B.Service_ && A.Flow_ == B.Flow_;
}

/// One open flow at its home. A request number is used when it is more than
/// 63 below `HighestNumber_` or its bit is set; bit 0 stands for
/// `HighestNumber_`, and number 0 is the open.
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
