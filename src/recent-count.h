/// \file
/// How often something happened in the last two seconds.
#ifndef THYMEWALL_SRC_RECENT_COUNT_H
#define THYMEWALL_SRC_RECENT_COUNT_H

#include <array>
#include <cstddef>
#include <numeric>

namespace thymewall::detail {

/// Counts by ticks of 250 ms, so that no clock is read for each event.
class RecentCount {
public:
  void add() { ++Counts_[Current_]; }
  void tick() {
    Current_ = (Current_ + 1) % Counts_.size();
    Counts_[Current_] = 0;
  }
  std::size_t count() const {
    return std::accumulate(Counts_.begin(), Counts_.end(), std::size_t{0});
  }

private:
  std::array<std::size_t, 8> Counts_{};
  std::size_t Current_ = 0;
};

} // namespace thymewall::detail

#endif
