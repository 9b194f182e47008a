/// \file
/// When callers retransmit an opening packet. A copy may reach another balancer
/// and open the flow there.
#ifndef THYMEWALL_SRC_OPENING_COPIES_H
#define THYMEWALL_SRC_OPENING_COPIES_H

#include "thymewall/packet.h"
#include "thymewall/unanswered-openings.h"

#include <algorithm>

namespace thymewall::detail {

/// Times after the first opening packet at which callers retransmit it.
constexpr Micros RetransmitTimes[] = {UnansweredOpenings::CallerRetransmitAfter,
                                      std::chrono::milliseconds(600)};
/// Time within which a retransmitted packet reaches the balancer.
constexpr Micros RetransmitMargin = std::chrono::milliseconds(20);

/// Returns the age of an opening packet with this transmission count.
inline Micros ageOfCopy(std::uint32_t Copies) {
  if (Copies == 0)
    return Micros(0);
  return RetransmitTimes[std::min<std::size_t>(Copies - 1,
                                               std::size(RetransmitTimes) - 1)];
}

/// Returns how many copies of an opening of this age its caller has sent.
inline std::uint32_t copiesSentBy(Micros Age) {
  auto Sent =
      std::count_if(std::begin(RetransmitTimes), std::end(RetransmitTimes),
                    [Age](Micros After) { return Age >= After; });
  return static_cast<std::uint32_t>(Sent);
}

/// Returns an opening that was received \p Ago with the transmission count of
/// the latest copy that its caller may have sent since. Returns any other
/// packet as it is.
inline Packet latestCopy(Packet P, Micros Ago) {
  if (P.Opens_ && !P.Acknowledges_)
    P.Acknowledged_ = std::max(
        P.Acknowledged_,
        copiesSentBy(Ago + ageOfCopy(P.Acknowledged_) + RetransmitMargin));
  return P;
}

} // namespace thymewall::detail

#endif
