#include "thymewall/intent-reader.h"

#include <algorithm>

namespace thymewall {

namespace {

bool bringsNews(const IntentAnswer &Answer) {
  return Answer.Routing_ || !Answer.Batch_.Changes_.empty();
}

Micros part(Micros Of, double Share) {
  return Micros(
      static_cast<Micros::rep>(Share * static_cast<double>(Of.count())));
}

} // namespace

std::optional<IntentCall> IntentReader::next(MonoTime Now, MonoTime ReadFrom) {
  if (Now < dueAt(ReadFrom))
    return std::nullopt;
  UnderWay_ = true;
  SentAt_ = Now;
  WaitUntil_ = ListWanted_ ? Now : Now + WatchFor;
  IntentCall Call;
  Call.Kind_ = nextKind();
  Call.After_ = ListWanted_ ? 0 : Through_;
  Call.FirstPart_ =
      static_cast<std::uint8_t>(Spread_ * static_cast<double>(ListPartCount));
  Call.WaitUntil_ = WaitUntil_;
  Call.GiveUpAt_ = WaitUntil_ + AnswerWithin;
  return Call;
}

IntentCall::Kind IntentReader::nextKind() const {
  if (!ListWanted_)
    return IntentCall::Kind::Watch;
  return StaleWanted_ ? IntentCall::Kind::StaleList : IntentCall::Kind::List;
}

MonoTime IntentReader::dueAt(MonoTime ReadFrom) const {
  if (UnderWay_)
    return MonoTime::max();
  // A start reads what it serves by, whoever reads for the fleet.
  bool Starts = ListWanted_ && StaleWanted_;
  return Starts ? DueAt_ : std::max(DueAt_, ReadFrom);
}

void IntentReader::known(Revision Through) {
  if (Through <= Through_)
    return;
  Through_ = Through;
  ListWanted_ = false; // changes after it can be watched for
  StaleWanted_ = false;
  LeavesTimeForPeers_ = false;
}

void IntentReader::noPeers(MonoTime Now) {
  if (LeavesTimeForPeers_)
    DueAt_ = std::min(DueAt_, Now);
}

void IntentReader::answered(MonoTime Now, const IntentAnswer &Answer,
                            std::size_t Fleet) {
  UnderWay_ = false;
  bool Served = Answer.Outcome_ == IntentAnswer::Outcome::Stale ||
                Answer.Outcome_ == IntentAnswer::Outcome::Done;
  StaleWanted_ = StaleWanted_ && !Served && ++StaleTried_ < StaleTries;
  LeavesTimeForPeers_ = Answer.Parts_.has_value();
  DueAt_ = Now + pauseAfter(Now, Answer, Fleet);
  switch (Answer.Outcome_) {
  case IntentAnswer::Outcome::Done:
    known(Answer.Batch_.Through_);
    ListWanted_ = false;
    // A watch that waited to its end without news was complete then; one that
    // was answered early may have been answered right after it was sent.
    CompleteAt_ = bringsNews(Answer) || Now < WaitUntil_ ? SentAt_ : WaitUntil_;
    return;
  case IntentAnswer::Outcome::Stale:
    return;
  case IntentAnswer::Outcome::HistoryGone:
    ListWanted_ = true;
    return;
  case IntentAnswer::Outcome::Refused:
  case IntentAnswer::Outcome::Failed:
    return;
  }
}

/// An empty list says nothing of how long the current one is: all start before
/// any upstream does.
Micros IntentReader::pauseForPeers(const IntentAnswer &Stale) const {
  if (Stale.Parts_)
    return IsSeed_ ? SeedReadsAfter
                   : PartsTellWithin + part(LongestTurn, Spread_);
  std::size_t Upstreams = Stale.Batch_.Changes_.size();
  if (Upstreams == 0)
    return PeersTellWithin + part(PeersTellSpread, Spread_);
  auto Count = static_cast<Micros::rep>(Upstreams);
  Micros Spread = std::min(PeersTellSpread, SpreadPerUpstream * Count);
  return std::min(PeersTellWithin, PeersTellPerUpstream * Count) +
         part(Spread, Spread_);
}

Micros IntentReader::pauseAfter(MonoTime Now, const IntentAnswer &Answer,
                                std::size_t Fleet) {
  if (Answer.Outcome_ == IntentAnswer::Outcome::Done) {
    FailurePause_ = FirstPause;
    // A service that doesn't wait must not be asked without a pause.
    bool Early = Now < WaitUntil_ - WatchFor / 2;
    return bringsNews(Answer) || Early ? PauseAfterNews : Micros(0);
  }
  if (Answer.Outcome_ == IntentAnswer::Outcome::Stale)
    return pauseForPeers(Answer);
  if (Answer.Outcome_ == IntentAnswer::Outcome::HistoryGone)
    return Micros(0);
  Micros Pause = FailurePause_;
  Micros Shared = std::chrono::seconds(Fleet) / FailedCallsPerSecond;
  FailurePause_ = std::min(2 * FailurePause_, std::max(LongestPause, Shared));
  Micros Own = part(Pause, 0.5 + Spread_ / 2);
  bool OthersCall = Through_ != 0 && Shared > LongestPause;
  return OthersCall
             ? std::max(Own, part(std::min(Shared, LongestTurn), Spread_))
             : Own;
}

} // namespace thymewall
