/// \file
/// Number of events in a sliding window of two seconds.
#ifndef THYMEWALL_SRC_RECENT_COUNT_H
#define THYMEWALL_SRC_RECENT_COUNT_H

#include <array>
#include <cstddef>
#include <numeric>

namespace thymewall::detail {

/// Counts events in eight buckets, each of which spans one tick of 250 ms. No
/// clock is read per event.
class RecentCount {
public:
  void add() { ++Counts_[Current_]; }
  /// Starts a new bucket and drops the oldest one.
  void tick() {
    Current_ = (Current_ + 1) % Counts_.size();
    Counts_[Current_] = 0;
  }
  std::size_t count() const {
    return std::accumulate(Counts_.begin(), Counts_.end(), std::size_t{0});
  }
  /// Returns the number of events since the previous tick but one.
  std::size_t latest() const {
    return Counts_[Current_] +
           Counts_[(Current_ + Counts_.size() - 1) % Counts_.size()];
  }

private:
  std::array<std::size_t, 8> Counts_{};
  std::size_t Current_ = 0;
};

} // namespace thymewall::detail

#endif
