#include "thymewall/config-reader.h"

#include <algorithm>

namespace thymewall {

namespace {

bool hasChanges(const ConfigResponse &Response) {
  return Response.Routing_ || !Response.Batch_.Changes_.empty();
}

/// Whether a call failed in a way that says nothing about the service.
bool isConnectionLoss(const ConfigResponse &Response) {
  return Response.Outcome_ == ConfigResponse::Outcome::Failed &&
         !Response.FailingSince_;
}

Micros scaled(Micros Of, double Share) {
  return Micros(
      static_cast<Micros::rep>(Share * static_cast<double>(Of.count())));
}

} // namespace

std::optional<ConfigRequest> ConfigReader::next(MonoTime Now,
                                                MonoTime NotBefore) {
  if (Now < dueAt(NotBefore))
    return std::nullopt;
  InFlight_ = true;
  SentAt_ = Now;
  // After a lost connection the answer is overdue: a watch that doesn't wait
  // gets it at once.
  bool Waits = !ListNeeded_ && !ConnectionLost_;
  WaitUntil_ = Waits ? Now + WatchTimeout : Now;
  ConfigRequest Request;
  Request.Kind_ = nextKind();
  Request.After_ = ListNeeded_ ? 0 : Through_;
  Request.FirstPart_ = static_cast<std::uint8_t>(
      JitterFraction_ * static_cast<double>(ListPartCount));
  Request.WaitUntil_ = WaitUntil_;
  Request.GiveUpAt_ = WaitUntil_ + ResponseTimeout;
  Request.PersistentGiveUpAt_ = WaitUntil_ + PersistentResponseTimeout;
  return Request;
}

ConfigRequest::Kind ConfigReader::nextKind() const {
  if (!ListNeeded_)
    return ConfigRequest::Kind::Watch;
  return StaleListNeeded_ ? ConfigRequest::Kind::StaleList
                          : ConfigRequest::Kind::List;
}

MonoTime ConfigReader::dueAt(MonoTime NotBefore) const {
  if (InFlight_)
    return MonoTime::max();
  // A starting balancer needs a list even if another one reads for the fleet.
  bool Starting = ListNeeded_ && StaleListNeeded_;
  return Starting ? DueAt_ : std::max(DueAt_, NotBefore);
}

void ConfigReader::noteRevision(Revision Through) {
  if (Through <= Through_)
    return;
  Through_ = Through;
  ListNeeded_ = false; // a watch can continue from here
  StaleListNeeded_ = false;
  WaitingForPeers_ = false;
}

void ConfigReader::noPeersFound(MonoTime Now) {
  if (WaitingForPeers_)
    DueAt_ = std::min(DueAt_, Now);
}

void ConfigReader::noOtherCallers(MonoTime Now) {
  DueAt_ = std::min(DueAt_, std::max(DueWithoutOthersAt_, Now));
}

void ConfigReader::answered(MonoTime Now, const ConfigResponse &Response,
                            std::size_t FleetSize) {
  InFlight_ = false;
  bool Served = Response.Outcome_ == ConfigResponse::Outcome::Stale ||
                Response.Outcome_ == ConfigResponse::Outcome::Done;
  StaleListNeeded_ = StaleListNeeded_ && !Served &&
                     ++StaleListAttempts_ < MaxStaleListAttempts;
  WaitingForPeers_ = Response.Parts_.has_value();
  ConnectionLost_ = !ListNeeded_ && isConnectionLoss(Response);
  DueWithoutOthersAt_ = MonoTime::max();
  DueAt_ = Now + delayAfter(Now, Response, FleetSize);
  switch (Response.Outcome_) {
  case ConfigResponse::Outcome::Done:
    noteRevision(Response.Batch_.Through_);
    ListNeeded_ = false;
    // A watch that timed out without changes is complete as of its end. One
    // that returned early may have been answered right after it was sent.
    CompleteAt_ =
        hasChanges(Response) || Now < WaitUntil_ ? SentAt_ : WaitUntil_;
    return;
  case ConfigResponse::Outcome::Stale:
    return;
  case ConfigResponse::Outcome::HistoryGone:
  case ConfigResponse::Outcome::Unreadable:
    ListNeeded_ = true;
    return;
  case ConfigResponse::Outcome::Refused:
  case ConfigResponse::Outcome::Failed:
    return;
  }
}

/// An empty list gives no estimate of the current length: the fleet may have
/// started before any upstream.
Micros ConfigReader::peerWait(const ConfigResponse &StaleList) const {
  if (StaleList.Parts_)
    return IsSeed_
               ? SeedListDelay
               : PartsExchangeWait + scaled(MaxFleetJitter, JitterFraction_);
  std::size_t Upstreams = StaleList.Batch_.Changes_.size();
  if (Upstreams == 0)
    return PeerUpdateWait + scaled(PeerUpdateJitter, JitterFraction_);
  auto Count = static_cast<Micros::rep>(Upstreams);
  Micros Jitter =
      std::min(PeerUpdateJitter, PeerUpdateJitterPerUpstream * Count);
  return std::min(PeerUpdateWait, PeerUpdateWaitPerUpstream * Count) +
         scaled(Jitter, JitterFraction_);
}

Micros ConfigReader::delayAfter(MonoTime Now, const ConfigResponse &Response,
                                std::size_t FleetSize) {
  if (Response.Outcome_ == ConfigResponse::Outcome::Done) {
    Backoff_ = InitialBackoff;
    // Avoids a busy loop if the service doesn't wait.
    bool Early = Now < WaitUntil_ - WatchTimeout / 2;
    return hasChanges(Response) || Early ? PauseAfterChange : Micros(0);
  }
  if (Response.Outcome_ == ConfigResponse::Outcome::Stale)
    return peerWait(Response);
  // A list, whose pages are bounded and can be left out, gets past changes that
  // no watch can bring.
  bool WatchUnreadable =
      Response.Outcome_ == ConfigResponse::Outcome::Unreadable && !ListNeeded_;
  if (Response.Outcome_ == ConfigResponse::Outcome::HistoryGone ||
      WatchUnreadable || ConnectionLost_)
    return Micros(0);
  return delayAfterFailure(Now, FleetSize);
}

Micros ConfigReader::delayAfterFailure(MonoTime Now, std::size_t FleetSize) {
  Micros Pause = Backoff_;
  Micros Shared = std::chrono::seconds(FleetSize) / FleetRetriesPerSecond;
  Backoff_ = std::min(2 * Backoff_, std::max(MaxBackoff, Shared));
  Micros Own = scaled(Pause, 0.5 + JitterFraction_ / 2);
  DueWithoutOthersAt_ = Now + std::min(Own, MaxBackoff);
  bool OthersRetry = Through_ != 0 && Shared > MaxBackoff;
  return OthersRetry ? std::max(Own, scaled(std::min(Shared, MaxFleetJitter),
                                            JitterFraction_))
                     : Own;
}

} // namespace thymewall
