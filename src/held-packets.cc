#include "thymewall/held-packets.h"

#include "mechanism.h"

namespace thymewall {

void HeldPackets::hold(MonoTime Now, const std::uint8_t *Data,
                       std::size_t Size) {
  if (!detail::isEnabled(detail::Mechanism::HeldPackets))
    return;
  Packets_.push_back({Now, std::vector<std::uint8_t>(Data, Data + Size)});
  while (Packets_.size() > MaxPackets || Now - Packets_.front().At_ > MaxAge)
    Packets_.pop_front();
}

void HeldPackets::release(MonoTime Now, const SendFunction &TrySend) {
  std::deque<Held> Packets;
  Packets.swap(Packets_);
  for (Held &Packet : Packets) {
    bool TooOld = Now - Packet.At_ > MaxAge;
    if (!TooOld &&
        !TrySend(Packet.At_, Packet.Bytes_.data(), Packet.Bytes_.size()))
      Packets_.push_back(std::move(Packet));
  }
}

} // namespace thymewall
