/// \file
/// Opening packets that were sent to an upstream a moment ago. One that stays
/// unanswered is sent to another upstream, long before its caller sends a copy.
#ifndef THYMEWALL_UNANSWERED_OPENINGS_H
#define THYMEWALL_UNANSWERED_OPENINGS_H

#include "thymewall/core.h"

#include <deque>
#include <functional>
#include <vector>

namespace thymewall {

class UnansweredOpenings {
public:
  /// The caller's acknowledgement takes 5 to 12 ms (3 ms to callers, 2 ms
  /// between data halls), on a host five times slower about 20 ms.
  static constexpr Micros MinTimeout = std::chrono::milliseconds(40);
  /// Less would be no gain over the caller's own copy.
  static constexpr Micros MaxTimeout = std::chrono::milliseconds(160);
  /// The caller sends a copy itself after this long.
  static constexpr Micros CallerRetransmitAfter =
      std::chrono::milliseconds(200);
  /// A review this late means that this process did not run, so that answers
  /// may wait in its socket.
  static constexpr Micros LateThreshold = std::chrono::milliseconds(20);
  /// Far more than an entry host opens in `MinTimeout`.
  static constexpr std::size_t MaxPackets = 1024;

  using ExpiryHandler =
      std::function<void(const std::uint8_t *Data, std::size_t Size)>;

  /// How long the next openings may stay unanswered.
  void setTimeout(Micros Timeout) { Timeout_ = Timeout; }
  /// Keeps a copy of a packet that opens a flow; when there are too many, none.
  void add(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  /// When `takeExpired` should be called; the far future when nothing waits.
  MonoTime nextDeadline() const;
  /// Gives \p OnExpired every packet whose time for an answer is over, and
  /// forgets it. After a late review all get that time once more.
  void takeExpired(MonoTime Now, const ExpiryHandler &OnExpired);

private:
  struct PendingOpening {
    MonoTime Deadline_;
    MonoTime RetransmitAt_;
    std::vector<std::uint8_t> Bytes_;
  };
  void extendDeadlines(MonoTime Now);

  std::deque<PendingOpening> Packets_;
  Micros Timeout_ = MinTimeout;
};

} // namespace thymewall

#endif
