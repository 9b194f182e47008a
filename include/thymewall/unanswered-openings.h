/// \file
/// Opening packets that await an answer from their upstream. After a timeout
/// that is shorter than the caller's retransmission timeout they can be sent to
/// another upstream.
#ifndef THYMEWALL_UNANSWERED_OPENINGS_H
#define THYMEWALL_UNANSWERED_OPENINGS_H

#include "thymewall/core.h"

#include <deque>
#include <functional>
#include <vector>

namespace thymewall {

/// Queue of recently forwarded opening packets with their deadlines.
class UnansweredOpenings {
public:
  /// Lower bound of the timeout, which is used until delays are measured. A
  /// caller's acknowledgement takes 5 to 12 ms with 3 ms to callers and 2 ms
  /// between data halls, and about 20 ms on a host that is five times slower.
  static constexpr Micros MinTimeout = std::chrono::milliseconds(40);
  /// Upper bound of the timeout. A longer one would gain too little over the
  /// caller's retransmission.
  static constexpr Micros MaxTimeout = std::chrono::milliseconds(160);
  /// The caller's retransmission timeout for an opening packet.
  static constexpr Micros CallerRetransmitAfter =
      std::chrono::milliseconds(200);
  /// A call of `takeExpired` this late means that the process was suspended;
  /// answers may still be queued in its socket.
  static constexpr Micros LateThreshold = std::chrono::milliseconds(20);
  /// Bounds the memory use; far more than a host opens within the timeout.
  static constexpr std::size_t MaxPackets = 1024;

  using ExpiryHandler =
      std::function<void(const std::uint8_t *Data, std::size_t Size)>;

  /// Sets the timeout of packets that are added from now on.
  void setTimeout(Micros Timeout) { Timeout_ = Timeout; }
  /// Stores a copy of an opening packet. Ignores it if the queue is full.
  void add(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  /// Returns the time for the next call of `takeExpired`, or `MonoTime::max()`
  /// if the queue is empty.
  MonoTime nextDeadline() const;
  /// Removes every packet whose deadline has passed and passes it to
  /// \p OnExpired. A late call extends all deadlines by the timeout instead and
  /// drops packets that their callers retransmit before the new deadline.
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
