#include "thymewall/unanswered-openings.h"

namespace thymewall {

void UnansweredOpenings::add(MonoTime Now, const std::uint8_t *Data,
                             std::size_t Size) {
  if (Packets_.size() < Bound)
    Packets_.push_back({Now + Wait_, Now + CopyAfter,
                        std::vector<std::uint8_t>(Data, Data + Size)});
}

MonoTime UnansweredOpenings::dueAt() const {
  return Packets_.empty() ? MonoTime::max() : Packets_.front().AnswerBy_;
}

void UnansweredOpenings::takeDue(MonoTime Now, const Taker &Take) {
  if (!Packets_.empty() && Now - dueAt() > LateBy)
    return postpone(Now);
  while (dueAt() <= Now) {
    Waiting Due = std::move(Packets_.front());
    Packets_.pop_front();
    Take(Due.Bytes_.data(), Due.Bytes_.size());
  }
}

void UnansweredOpenings::postpone(MonoTime Now) {
  std::deque<Waiting> All;
  All.swap(Packets_);
  for (Waiting &W : All) {
    W.AnswerBy_ = Now + Wait_;
    if (W.AnswerBy_ < W.CopyAt_)
      Packets_.push_back(std::move(W));
  }
}

} // namespace thymewall
