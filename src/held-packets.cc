#include "thymewall/held-packets.h"

namespace thymewall {

void HeldPackets::hold(MonoTime Now, const std::uint8_t *Data,
                       std::size_t Size) {
  Packets_.push_back({Now, std::vector<std::uint8_t>(Data, Data + Size)});
  while (Packets_.size() > Bound || Now - Packets_.front().At_ > HoldFor)
    Packets_.pop_front();
}

void HeldPackets::release(MonoTime Now,
                          const std::function<void(const std::uint8_t *Data,
                                                   std::size_t Size)> &Take) {
  std::deque<Held> Packets;
  Packets.swap(Packets_);
  for (const Held &Packet : Packets)
    if (Now - Packet.At_ <= HoldFor)
      Take(Packet.Bytes_.data(), Packet.Bytes_.size());
}

} // namespace thymewall
