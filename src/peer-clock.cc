#include "peer-clock.h"

#include <algorithm>

namespace thymewall::detail {

void PeerClock::record(MonoTime Now, MonoTime SentAt, Micros PeerReceivedAt) {
  if (Now >= CurrentEndsAt_) {
    Previous_ = Current_;
    Current_ = Unknown;
    CurrentEndsAt_ = Now + SampleLifetime;
  }
  Latest_ = SentAt - PeerReceivedAt;
  Current_ = std::max(Current_, Latest_);
}

std::optional<MonoTime> PeerClock::sentNotBefore(MonoTime Now,
                                                 Micros PeerSentAt) {
  MonoTime Origin = std::max(Current_, Previous_);
  if (Origin == Unknown)
    return std::nullopt;
  // A message from the future: one of the clocks has stood still.
  if (Origin + PeerSentAt > Now) {
    Current_ = Latest_;
    Previous_ = Unknown;
    Origin = Latest_;
  }
  return std::min(Origin + PeerSentAt, Now);
}

} // namespace thymewall::detail
