/// \file
/// Packets that arrive before a balancer knows where to send them, since it has
/// just started or the upstreams are not published yet: kept for a moment, as a
/// caller's next copy comes only after 200 ms to 1.6 s.
#ifndef THYMEWALL_HELD_PACKETS_H
#define THYMEWALL_HELD_PACKETS_H

#include "thymewall/core.h"

#include <deque>
#include <functional>
#include <vector>

namespace thymewall {

class HeldPackets {
public:
  /// An opening that is older has been given up by its caller after 1.4 s.
  static constexpr Micros MaxAge = std::chrono::milliseconds(1200);
  /// About what arrives at an entry host of today in that time, twice.
  static constexpr std::size_t MaxPackets = 2048;

  /// False for a packet that still can't be sent on.
  using SendFunction =
      std::function<bool(const std::uint8_t *Data, std::size_t Size)>;

  /// Keeps a copy; the oldest goes when there are too many.
  void hold(MonoTime Now, const std::uint8_t *Data, std::size_t Size);
  /// Gives every packet that is not too old to \p TrySend, oldest first, and
  /// keeps those that it does not take.
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
