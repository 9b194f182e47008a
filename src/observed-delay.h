/// \file
/// The usual length of something that is measured again and again.
#ifndef THYMEWALL_SRC_OBSERVED_DELAY_H
#define THYMEWALL_SRC_OBSERVED_DELAY_H

#include "thymewall/core.h"

#include <algorithm>

namespace thymewall::detail {

/// A mean that follows the last 16 or so: one outlier moves it by a sixteenth
/// of its distance.
class ObservedDelay {
public:
  void add(Micros Delay) {
    Usual_ = known() ? Usual_ + (Delay - Usual_) / 16 : std::max(Delay, Unit);
  }
  bool known() const { return Usual_ != Micros(0); }
  /// So many times the usual, but not less than \p Least.
  Micros times(int Factor, Micros Least) const {
    return std::max(Least, Usual_ * Factor);
  }

private:
  static constexpr Micros Unit{1};

  Micros Usual_{0}; ///< 0 before the first.
};

} // namespace thymewall::detail

#endif
