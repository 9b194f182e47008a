/// \file
/// Moving average of a delay.
#ifndef THYMEWALL_SRC_MOVING_AVERAGE_DELAY_H
#define THYMEWALL_SRC_MOVING_AVERAGE_DELAY_H

#include "thymewall/core.h"

#include <algorithm>

namespace thymewall::detail {

/// Exponentially weighted moving average with a weight of 1/16.
class MovingAverageDelay {
public:
  void add(Micros Delay) {
    Mean_ = hasSamples() ? Mean_ + (Delay - Mean_) / 16
                         : std::max(Delay, SmallestDelay);
  }
  bool hasSamples() const { return Mean_ != Micros(0); }
  /// Returns the average multiplied by \p Factor, but at least \p Min.
  Micros multiple(int Factor, Micros Min) const {
    return std::max(Min, Mean_ * Factor);
  }

private:
  static constexpr Micros SmallestDelay{1};

  Micros Mean_{0}; ///< 0 before the first sample.
};

} // namespace thymewall::detail

#endif
