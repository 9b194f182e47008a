#include "thymewall/intent-reader.h"

#include <algorithm>

namespace thymewall {

std::optional<IntentCall> IntentReader::next(MonoTime Now) {
  if (UnderWay_ || Now < DueAt_)
    return std::nullopt;
  UnderWay_ = true;
  SentAt_ = Now;
  IntentCall Call;
  Call.WaitUntil_ = Now;
  if (!ListWanted_) {
    Call.Kind_ = IntentCall::Kind::Watch;
    Call.After_ = Through_;
    Call.WaitUntil_ = Now + WatchFor;
  }
  Call.GiveUpAt_ = Call.WaitUntil_ + AnswerWithin;
  return Call;
}

MonoTime IntentReader::dueAt() const {
  return UnderWay_ ? MonoTime::max() : DueAt_;
}

void IntentReader::answered(MonoTime Now, const IntentAnswer &Answer) {
  UnderWay_ = false;
  DueAt_ = Now + pauseAfter(Answer);
  switch (Answer.Outcome_) {
  case IntentAnswer::Outcome::Done:
    WasAway_ = EverDone_ && Now - LastDone_ > AwayAfter + WatchFor;
    LastDone_ = Now;
    EverDone_ = true;
    ListWanted_ = false;
    known(Answer.Batch_.Through_);
    return;
  case IntentAnswer::Outcome::HistoryGone:
    ListWanted_ = true;
    return;
  case IntentAnswer::Outcome::Refused:
  case IntentAnswer::Outcome::Failed:
    return;
  }
}

Micros IntentReader::pauseAfter(const IntentAnswer &Answer) {
  bool News = Answer.Routing_ || !Answer.Batch_.Changes_.empty();
  if (Answer.Outcome_ == IntentAnswer::Outcome::Done) {
    FailurePause_ = FirstPause;
    return News ? PauseAfterNews : Micros(0);
  }
  if (Answer.Outcome_ == IntentAnswer::Outcome::HistoryGone)
    return Micros(0);
  Micros Pause = FailurePause_;
  FailurePause_ = std::min(2 * FailurePause_, LongestPause);
  auto Part = static_cast<Micros::rep>(Spread_ * static_cast<double>(Pause.count()) / 2);
  return Pause / 2 + Micros(Part);
}

} // namespace thymewall
