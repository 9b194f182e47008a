#include "thymewall/admission.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

std::size_t RequestLimit::limitFor(double Share, std::uint64_t Slots,
                                   double PerSlot) {
  double Limit = Share * static_cast<double>(Slots) * PerSlot;
  // Rounding to the nearest number keeps the sum over the fleet.
  return static_cast<std::size_t>(std::max(1.0, std::round(Limit)));
}

void RequestLimit::set(std::optional<std::size_t> Limit) {
  Limit_ = Limit;
  if (Limit_)
    return;
  Full_ = false;
  ContradictedSince_ = MonoTime::max();
}

bool RequestLimit::update(MonoTime Now, std::size_t InProgress,
                          std::size_t Queued) {
  bool Changed = isFull(Now) != Full_;
  if (Changed) {
    Full_ = !Full_;
    ContradictedSince_ = MonoTime::max();
  }
  bool AtLimit = Limit_ && (InProgress >= *Limit_ || Queued > 0);
  if (AtLimit == Full_)
    ContradictedSince_ = MonoTime::max();
  else
    ContradictedSince_ = std::min(ContradictedSince_, Now);
  return Changed;
}

bool RequestLimit::isFull(MonoTime Now) const {
  bool Due = ContradictedSince_ != MonoTime::max() &&
             Now - ContradictedSince_ >= ChangeAfter;
  return Full_ != Due;
}

bool RequestLimit::admits(MonoTime Now, std::size_t InProgress,
                          bool IsBetter) const {
  if (!Limit_)
    return true;
  bool Exceeds = IsBetter || !isFull(Now);
  return InProgress < (Exceeds ? BurstFactor * *Limit_ : *Limit_);
}

void ReleaseInterval::recordRelease(MonoTime Now) {
  // Follows a change of the rate within some ten releases.
  constexpr int Weight = 8;
  Micros Interval = Now - Last_;
  Mean_ = Mean_ == Micros(0) ? Interval : Mean_ + (Interval - Mean_) / Weight;
  Last_ = Now;
}

Micros ReleaseInterval::expectedWait(MonoTime Now, std::size_t Ahead) const {
  return std::max(Mean_, Now - Last_) * static_cast<Micros::rep>(Ahead);
}

} // namespace thymewall
