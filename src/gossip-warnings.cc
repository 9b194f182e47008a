#include "gossip-impl.h"
#include "mechanism.h"

namespace thymewall {

void GossipNode::Impl::warn(MonoTime Now, const UpstreamWarning &M) {
  if (!impaired()) // late answers show the state of the own host
    forwardWarning(Now, M, Now, nullptr);
}

void GossipNode::Impl::handle(MonoTime Now, LinkId Link,
                              const UpstreamWarning &M) {
  MonoTime ObservedAt = observedAt(Now, Links_[Link], M);
  // Balancers that read their sockets late would otherwise forward a warning to
  // each other after they have forgotten it, for ever.
  if (Now - ObservedAt > WarningInterval) {
    ++Counters_.ExpiredWarnings_;
    return;
  }
  if (forwardWarning(Now, M, ObservedAt, &Link))
    Hooks_.OnWarning_(M);
}

/// Returns the earliest time at which the evidence of a received warning can
/// have been observed; far in the past if unknown.
MonoTime GossipNode::Impl::observedAt(MonoTime Now, detail::GossipLink &L,
                                      const UpstreamWarning &M) {
  if (M.SentAtMs_ == 0)
    return Now; // an older release
  std::optional<MonoTime> SentAt =
      L.PeerClock_.sentNotBefore(Now, std::chrono::milliseconds(M.SentAtMs_));
  return SentAt.value_or(MonoTime{}) - std::chrono::milliseconds(M.AgeMs_);
}

/// Sends a warning on all links except its source. Returns false if it was sent
/// recently or its kind has reached its limit.
bool GossipNode::Impl::forwardWarning(MonoTime Now, const UpstreamWarning &M,
                                      MonoTime ObservedAt, const LinkId *From) {
  auto Known = RecentWarnings_.find(M);
  bool Repeated = Known != RecentWarnings_.end() && Now < Known->second;
  auto SameKind = [&M](const auto &Item) {
    return Item.first.Kind_ == M.Kind_;
  };
  auto SameKindCount =
      std::count_if(RecentWarnings_.begin(), RecentWarnings_.end(), SameKind);
  if (!detail::isEnabled(detail::Mechanism::PeerWarnings) || Repeated ||
      static_cast<std::size_t>(SameKindCount) >= MaxWarningsPerInterval)
    return false;
  RecentWarnings_[M] = Now + WarningInterval;
  UpstreamWarning Message = M;
  Message.SentAtMs_ = detail::wholeMillis(Now);
  Message.AgeMs_ = detail::ageMs(ObservedAt, Now);
  for (const auto &[Link, L] : Links_) {
    if (From && *From == Link)
      continue;
    ++Counters_.WarningsSent_;
    Hooks_.Send_(Link, Message);
  }
  return true;
}

} // namespace thymewall
