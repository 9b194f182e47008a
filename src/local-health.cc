#include "thymewall/local-health.h"

#include <algorithm>

namespace thymewall {

namespace {

/// Unanswered pings recorded per link. Checks of upstreams may ping every few
/// milliseconds; only the oldest matter.
constexpr std::size_t MaxUnanswered = 8;

} // namespace

bool operator==(const HostHealth &A, const HostHealth &B) {
  auto Fields = [](const HostHealth &H) {
    return std::tie(H.Reason_, H.Impairment_, H.RoundTrip_, H.Peers_,
                    H.TickDelay_, H.Answered_);
  };
  return Fields(A) == Fields(B);
}

const char *nameOf(HostHealth::Reason Reason) {
  switch (Reason) {
  case HostHealth::Reason::Healthy:
    return "healthy";
  case HostHealth::Reason::RoundTrips:
    return "round_trips";
  case HostHealth::Reason::LateTicks:
    return "late_ticks";
  }
  return "";
}

void LocalHealth::addPing(LinkState &L, MonoTime Now) {
  L.LastPingAt_ = Now;
  if (L.Unanswered_.size() < MaxUnanswered)
    L.Unanswered_.push_back(Now);
}

void LocalHealth::pingedAll(MonoTime Now) {
  for (auto &[Link, L] : Links_)
    addPing(L, Now);
}

void LocalHealth::answered(MonoTime Now, LinkId Link, MonoTime PingedAt) {
  auto Found = Links_.find(Link);
  if (Found == Links_.end() || PingedAt < ValidFrom_ || PingedAt > Now)
    return;
  LinkState &L = Found->second;
  // A peer may answer only the last of several pings.
  while (!L.Unanswered_.empty() && L.Unanswered_.front() <= PingedAt)
    L.Unanswered_.pop_front();
  L.LastAnswerAt_ = Now;
  L.RoundTrip_ = Now - PingedAt;
}

std::vector<LinkId> LocalHealth::tick(MonoTime Now, MonoTime DueAt) {
  bool Suspended = Now - LastTick_ > GossipNode::SuspendThreshold;
  LastTick_ = Now;
  if (Suspended) {
    startAfresh(Now);
    return startRound(Now);
  }
  ShortestTickDelay_ = std::min(ShortestTickDelay_, Now - DueAt);
  if (Now < RoundEndsAt_)
    return {};
  judge(Now);
  return startRound(Now);
}

void LocalHealth::startAfresh(MonoTime Now) {
  ValidFrom_ = Now;
  for (auto &[Link, L] : Links_)
    L = LinkState{};
  ImpairedRounds_ = 0;
  Health_ = HostHealth{};
}

/// Returns the delay on a link, if it is known. An unanswered ping shows that
/// the delay is at least its age, which says nothing while it is young.
std::optional<Micros> LocalHealth::delayOf(const LinkState &L, MonoTime Now) {
  std::optional<Micros> Delay;
  if (L.LastAnswerAt_ != MonoTime{} && Now - L.LastAnswerAt_ <= MaxResultAge)
    Delay = L.RoundTrip_;
  Micros Age = L.Unanswered_.empty() ? Micros(0) : Now - L.Unanswered_.front();
  if (Age >= ImpairedDelay)
    Delay = std::max(Delay.value_or(Age), Age);
  return Delay;
}

void LocalHealth::judge(MonoTime Now) {
  Health_ = HostHealth{};
  Micros Shortest = Micros::max();
  for (const auto &[Link, L] : Links_) {
    if (Now - L.LastAnswerAt_ <= RoundInterval)
      Health_.Answered_ = true;
    if (std::optional<Micros> Delay = delayOf(L, Now)) {
      ++Health_.Peers_;
      Shortest = std::min(Shortest, *Delay);
    }
  }
  if (Health_.Peers_ >= MinPeers)
    Health_.RoundTrip_ = Shortest;
  Health_.TickDelay_ = std::max(ShortestTickDelay_, Micros(0));
  Micros RoundTrip = Health_.RoundTrip_.value_or(Micros(0));
  Micros Signal = std::max(RoundTrip, Health_.TickDelay_);
  ImpairedRounds_ = Signal >= ImpairedDelay ? ImpairedRounds_ + 1 : 0;
  if (ImpairedRounds_ < ImpairedRounds)
    return;
  Health_.Reason_ = RoundTrip >= Health_.TickDelay_
                        ? HostHealth::Reason::RoundTrips
                        : HostHealth::Reason::LateTicks;
  Health_.Impairment_ = static_cast<std::uint8_t>(
      std::min<Micros::rep>(Signal / ImpairmentUnit, MaxImpairment));
}

std::vector<LinkId> LocalHealth::startRound(MonoTime Now) {
  RoundEndsAt_ = Now + RoundInterval;
  ShortestTickDelay_ = Micros::max();
  std::vector<LinkId> Result;
  auto Next = Links_.upper_bound(LastPinged_);
  for (std::size_t I = 0; I < Links_.size() && Result.size() < MaxPingsPerRound;
       ++I) {
    if (Next == Links_.end())
      Next = Links_.begin();
    LastPinged_ = Next->first;
    if (Now - Next->second.LastPingAt_ >= MinPingInterval) {
      addPing(Next->second, Now);
      Result.push_back(Next->first);
    }
    ++Next;
  }
  return Result;
}

} // namespace thymewall
