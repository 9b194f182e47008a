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
/// 63 below `Highest_` or its bit is set; bit 0 stands for `Highest_`, and
/// number 0 is the open.
struct FlowRow {
  using Key = FlowKey;
  static constexpr std::uint32_t WindowWidth = 64;

  FlowId Flow_{};
  std::uint64_t Used_ = 1;
  ServiceId Service_{};
  std::uint32_t Epoch_ = 0;
  std::uint32_t Highest_ = 0;
  std::uint32_t Upstream_ = 0; ///< Index into the upstream table.
  RowLinks Links_;

  Key key() const { return {Service_, Flow_}; }
  static std::uint64_t hash(const Key &K) {
    return hashPair(raw(K.Service_), raw(K.Flow_));
  }
  bool numberUsed(std::uint32_t Number) const {
    if (Number > Highest_)
      return false;
    std::uint32_t Age = Highest_ - Number;
    return Age >= WindowWidth || ((Used_ >> Age) & 1) != 0;
  }
  void useNumber(std::uint32_t Number) {
    if (Number > Highest_) {
      std::uint32_t Shift = Number - Highest_;
      Used_ = Shift >= WindowWidth ? 0 : Used_ << Shift;
      Highest_ = Number;
    }
    std::uint32_t Age = Highest_ - Number;
    if (Age < WindowWidth)
      Used_ |= std::uint64_t{1} << Age;
  }
};
static_assert(sizeof(FlowRow) == 48,
              "a flow takes 48 bytes; see docs/CAPACITY.md");

using FlowTable = TimedTable<FlowRow>;

} // namespace thymewall

#endif
