#include "thymewall/intent-reader.h"

#include <algorithm>

namespace thymewall {

namespace {

bool bringsNews(const ConfigResponse &Answer) {
  return Answer.Routing_ || !Answer.Batch_.Changes_.empty();
}

Micros part(Micros Of, double Share) {
  return Micros(
      static_cast<Micros::rep>(Share * static_cast<double>(Of.count())));
}

} // namespace

std::optional<ConfigRequest> ConfigReader::next(MonoTime Now,
                                                MonoTime ReadFrom) {
  if (Now < dueAt(ReadFrom))
    return std::nullopt;
  UnderWay_ = true;
  SentAt_ = Now;
  WaitUntil_ = ListWanted_ ? Now : Now + WatchTimeout;
  ConfigRequest Call;
  Call.Kind_ = nextKind();
  Call.After_ = ListWanted_ ? 0 : Through_;
  Call.FirstPart_ =
      static_cast<std::uint8_t>(Spread_ * static_cast<double>(ListPartCount));
  Call.WaitUntil_ = WaitUntil_;
  Call.GiveUpAt_ = WaitUntil_ + ResponseTimeout;
  return Call;
}

ConfigRequest::Kind ConfigReader::nextKind() const {
  if (!ListWanted_)
    return ConfigRequest::Kind::Watch;
  return StaleWanted_ ? ConfigRequest::Kind::StaleList
                      : ConfigRequest::Kind::List;
}

MonoTime ConfigReader::dueAt(MonoTime ReadFrom) const {
  if (UnderWay_)
    return MonoTime::max();
  // A start reads what it serves by, whoever reads for the fleet.
  bool Starts = ListWanted_ && StaleWanted_;
  return Starts ? DueAt_ : std::max(DueAt_, ReadFrom);
}

void ConfigReader::noteRevision(Revision Through) {
  if (Through <= Through_)
    return;
  Through_ = Through;
  ListWanted_ = false; // changes after it can be watched for
  StaleWanted_ = false;
  LeavesTimeForPeers_ = false;
}

void ConfigReader::noPeersFound(MonoTime Now) {
  if (LeavesTimeForPeers_)
    DueAt_ = std::min(DueAt_, Now);
}

void ConfigReader::answered(MonoTime Now, const ConfigResponse &Answer,
                            std::size_t Fleet) {
  UnderWay_ = false;
  bool Served = Answer.Outcome_ == ConfigResponse::Outcome::Stale ||
                Answer.Outcome_ == ConfigResponse::Outcome::Done;
  StaleWanted_ =
      StaleWanted_ && !Served && ++StaleTried_ < MaxStaleListAttempts;
  LeavesTimeForPeers_ = Answer.Parts_.has_value();
  DueAt_ = Now + pauseAfter(Now, Answer, Fleet);
  switch (Answer.Outcome_) {
  case ConfigResponse::Outcome::Done:
    noteRevision(Answer.Batch_.Through_);
    ListWanted_ = false;
    // A watch that waited to its end without news was complete then; one that
    // was answered early may have been answered right after it was sent.
    CompleteAt_ = bringsNews(Answer) || Now < WaitUntil_ ? SentAt_ : WaitUntil_;
    return;
  case ConfigResponse::Outcome::Stale:
    return;
  case ConfigResponse::Outcome::HistoryGone:
    ListWanted_ = true;
    return;
  case ConfigResponse::Outcome::Refused:
  case ConfigResponse::Outcome::Failed:
    return;
  }
}

/// An empty list says nothing of how long the current one is: all start before
/// any upstream does.
Micros ConfigReader::pauseForPeers(const ConfigResponse &Stale) const {
  if (Stale.Parts_)
    return IsSeed_ ? SeedListDelay
                   : PartsExchangeWait + part(MaxFleetJitter, Spread_);
  std::size_t Upstreams = Stale.Batch_.Changes_.size();
  if (Upstreams == 0)
    return PeerUpdateWait + part(PeerUpdateJitter, Spread_);
  auto Count = static_cast<Micros::rep>(Upstreams);
  Micros Spread =
      std::min(PeerUpdateJitter, PeerUpdateJitterPerUpstream * Count);
  return std::min(PeerUpdateWait, PeerUpdateWaitPerUpstream * Count) +
         part(Spread, Spread_);
}

Micros ConfigReader::pauseAfter(MonoTime Now, const ConfigResponse &Answer,
                                std::size_t Fleet) {
  if (Answer.Outcome_ == ConfigResponse::Outcome::Done) {
    FailurePause_ = InitialBackoff;
    // A service that doesn't wait must not be asked without a pause.
    bool Early = Now < WaitUntil_ - WatchTimeout / 2;
    return bringsNews(Answer) || Early ? PauseAfterChange : Micros(0);
  }
  if (Answer.Outcome_ == ConfigResponse::Outcome::Stale)
    return pauseForPeers(Answer);
  if (Answer.Outcome_ == ConfigResponse::Outcome::HistoryGone)
    return Micros(0);
  Micros Pause = FailurePause_;
  Micros Shared = std::chrono::seconds(Fleet) / FleetRetriesPerSecond;
  FailurePause_ = std::min(2 * FailurePause_, std::max(MaxBackoff, Shared));
  Micros Own = part(Pause, 0.5 + Spread_ / 2);
  bool OthersCall = Through_ != 0 && Shared > MaxBackoff;
  return OthersCall
             ? std::max(Own, part(std::min(Shared, MaxFleetJitter), Spread_))
             : Own;
}

} // namespace thymewall
