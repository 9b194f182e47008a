#include "thymewall/unanswered-openings.h"

namespace thymewall {

void UnansweredOpenings::add(MonoTime Now, const std::uint8_t *Data,
                             std::size_t Size) {
  if (Packets_.size() < MaxPackets)
    Packets_.push_back({Now + Timeout_, Now + CallerRetransmitAfter,
                        std::vector<std::uint8_t>(Data, Data + Size)});
}

MonoTime UnansweredOpenings::nextDeadline() const {
  return Packets_.empty() ? MonoTime::max() : Packets_.front().Deadline_;
}

void UnansweredOpenings::takeExpired(MonoTime Now,
                                     const ExpiryHandler &OnExpired) {
  if (!Packets_.empty() && Now - nextDeadline() > LateThreshold)
    return extendDeadlines(Now);
  while (nextDeadline() <= Now) {
    PendingOpening Expired = std::move(Packets_.front());
    Packets_.pop_front();
    OnExpired(Expired.Bytes_.data(), Expired.Bytes_.size());
  }
}

void UnansweredOpenings::extendDeadlines(MonoTime Now) {
  std::deque<PendingOpening> All;
  All.swap(Packets_);
  for (PendingOpening &Opening : All) {
    Opening.Deadline_ = Now + Timeout_;
    if (Opening.Deadline_ < Opening.RetransmitAt_)
      Packets_.push_back(std::move(Opening));
  }
}

} // namespace thymewall
