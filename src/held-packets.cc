#include "thymewall/held-packets.h"

#include "mechanism.h"

namespace thymewall {

void HeldPackets::hold(MonoTime Now, const std::uint8_t *Data,
                       std::size_t Size) {
  if (!detail::has(detail::Mechanism::HeldPackets))
    return;
  Packets_.push_back({Now, std::vector<std::uint8_t>(Data, Data + Size)});
  while (Packets_.size() > Bound || Now - Packets_.front().At_ > HoldFor)
    Packets_.pop_front();
}

void HeldPackets::release(MonoTime Now, const Taker &Take) {
  std::deque<Held> Packets;
  Packets.swap(Packets_);
  for (Held &Packet : Packets) {
    bool TooOld = Now - Packet.At_ > HoldFor;
    if (!TooOld && !Take(Packet.Bytes_.data(), Packet.Bytes_.size()))
      Packets_.push_back(std::move(Packet));
  }
}

} // namespace thymewall
