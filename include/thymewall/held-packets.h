/// \file
/// Buffer for packets that arrive before the balancer has a routing table or an
/// upstream for them. Dropping them would cost each caller a retransmission
/// timeout of 200 ms to 1.6 s.
#ifndef THYMEWALL_HELD_PACKETS_H
#define THYMEWALL_HELD_PACKETS_H

#include "thymewall/core.h"

#include <deque>
#include <functional>
#include <vector>

namespace thymewall {

/// FIFO of undelivered packets, bounded in age and number.
class HeldPackets {
public:
  /// Packets older than this are dropped; shorter than the 1.4 s after which a
  /// caller gives an opening up.
  static constexpr Micros MaxAge = std::chrono::milliseconds(1200);
  /// Bounds the memory use; about twice what arrives at an entry host within
  /// `MaxAge`.
  static constexpr std::size_t MaxPackets = 2048;

  /// Sends a packet that was held since \p HeldSince. Returns false if it
  /// cannot be forwarded yet.
  using SendFunction = std::function<bool(
      MonoTime HeldSince, const std::uint8_t *Data, std::size_t Size)>;

  /// Stores a copy of the packet, dropping the oldest one if the buffer is
  /// full.
  void hold(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  /// Passes every packet that has not expired to \p TrySend, oldest first, and
  /// keeps those for which it returns false.
  void release(MonoTime Now, const SendFunction &TrySend);
  std::size_t size() const { return Packets_.size(); }

private:
  struct Held {
    MonoTime At_;
    std::vector<std::uint8_t> Bytes_;
  };
  std::deque<Held> Packets_;
};

} // namespace thymewall

#endif
