/// \file
/// The usual length of something that is measured again and again.
#ifndef THYMEWALL_SRC_OBSERVED_DELAY_H
#define THYMEWALL_SRC_OBSERVED_DELAY_H

#include "thymewall/core.h"

#include <algorithm>

namespace thymewall::detail {

/// A mean that follows the last 16 or so: one outlier moves it by a sixteenth
/// of its distance.
class MovingAverageDelay {
public:
  void add(Micros Delay) {
    Mean_ = hasSamples() ? Mean_ + (Delay - Mean_) / 16
                         : std::max(Delay, SmallestDelay);
  }
  bool hasSamples() const { return Mean_ != Micros(0); }
  /// So many times the usual, but not less than \p Min.
  Micros multiple(int Factor, Micros Min) const {
    return std::max(Min, Mean_ * Factor);
  }

private:
  static constexpr Micros SmallestDelay{1};

  Micros Mean_{0}; ///< 0 before the first.
};

} // namespace thymewall::detail

#endif
