/// \file
/// Bounds the age of a peer's messages. The clocks of two hosts have different
/// origins, and a message may wait in sockets for seconds if a process has no
/// processor time, so the time of its arrival says nothing about its age.
#ifndef THYMEWALL_SRC_PEER_CLOCK_H
#define THYMEWALL_SRC_PEER_CLOCK_H

#include "thymewall/core.h"

#include <optional>

namespace thymewall::detail {

/// Returns what messages carry as the time by the sender's clock.
inline std::uint64_t wholeMillis(MonoTime Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch() /
                                    std::chrono::milliseconds(1));
}

/// Lower bound of the difference between this host's clock and a peer's, from
/// messages whose receipt the peer has reported: what it received at `T` by its
/// clock was sent here before. The bound is off by the shortest time that a
/// message took lately, however long others take.
class PeerClock {
public:
  /// Bounds are kept for one to two of these. Two clocks that run at slightly
  /// different rates drift apart by some milliseconds meanwhile.
  static constexpr Micros SampleLifetime = std::chrono::seconds(10);

  /// Records that the peer received, when its clock showed \p PeerReceivedAt, a
  /// message that was sent at \p SentAt.
  void record(MonoTime Now, MonoTime SentAt, Micros PeerReceivedAt);
  /// Returns the earliest time at which a message can have been sent that was
  /// received at \p Now and sent when the peer's clock showed \p PeerSentAt.
  /// Returns nothing before the first record.
  std::optional<MonoTime> sentNotBefore(MonoTime Now, Micros PeerSentAt);

private:
  static constexpr MonoTime Unknown = MonoTime::min();
  /// Local time at which the peer's clock showed 0, at the earliest.
  MonoTime Current_ = Unknown;
  MonoTime Previous_ = Unknown;
  MonoTime CurrentEndsAt_ = MonoTime::min();
  MonoTime Latest_ = Unknown; ///< From the last record only.
};

} // namespace thymewall::detail

#endif
