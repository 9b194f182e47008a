/// \file
/// Judges the health of this balancer's own host. Load addressed: a host whose
/// link has been narrowed, or whose processor is exhausted, delays every packet
/// that it forwards, while its peers serve the same flows without delay.
///
/// The signals are ones that only the own host can make bad: the shortest round
/// trip among several peers, and the delay of the process's own ticks. A slow
/// peer, or a slow link of a peer, makes only its own round trips long.
#ifndef THYMEWALL_LOCAL_HEALTH_H
#define THYMEWALL_LOCAL_HEALTH_H

#include "thymewall/gossip.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace thymewall {

/// Health of the own host as of the last complete round.
struct HostHealth {
  enum class Reason : std::uint8_t { Healthy, RoundTrips, LateTicks };

  Reason Reason_ = Reason::Healthy;
  /// 0 if healthy, otherwise the signal in units of
  /// `LocalHealth::ImpairmentUnit`.
  std::uint8_t Impairment_ = 0;
  /// Shortest of the round trips to different peers; not set if too few peers
  /// gave a result.
  std::optional<Micros> RoundTrip_;
  std::size_t Peers_ = 0; ///< Peers that gave a result.
  Micros TickDelay_{0};   ///< Shortest delay of a tick in the round.
  bool Answered_ = false; ///< Whether any peer answered a ping in the round.
};
bool operator==(const HostHealth &A, const HostHealth &B);
/// Returns the reason as logs show it.
const char *nameOf(HostHealth::Reason Reason);

class LocalHealth {
public:
  static constexpr Micros RoundInterval = std::chrono::milliseconds(500);
  /// Older results of pings are ignored.
  static constexpr Micros MaxResultAge = std::chrono::milliseconds(1000);
  /// Fewer peers may all be slow themselves.
  static constexpr std::size_t MinPeers = 3;
  /// Links pinged in a round, in turn. Bounds the processor time of seeds,
  /// which have up to `GossipNode::MaxInboundLinks`; most balancers have
  /// about 6.
  static constexpr std::size_t MaxPingsPerRound = 8;
  /// A link pinged more recently, such as for the check of an upstream, is not
  /// pinged again.
  static constexpr Micros MinPingInterval = RoundInterval / 2;
  /// A quarter of the usual objective of a request, and 20 times the delay of a
  /// healthy host.
  static constexpr Micros ImpairedDelay = std::chrono::milliseconds(100);
  /// Consecutive rounds with `ImpairedDelay` that make the host impaired; a
  /// single one may be a short burst.
  static constexpr int ImpairedRounds = 2;
  static constexpr Micros ImpairmentUnit = std::chrono::milliseconds(10);
  /// Highest impairment that is reported for a signal; 255 is that of a
  /// balancer that has stepped back, see `StepBack`.
  static constexpr std::uint8_t MaxImpairment = 254;

  void opened(LinkId Link) { Links_[Link]; }
  void closed(LinkId Link) { Links_.erase(Link); }
  /// Records a ping on each link that was sent for another purpose.
  void pingedAll(MonoTime Now);
  /// Records that the ping sent at \p PingedAt was answered.
  void answered(MonoTime Now, LinkId Link, MonoTime PingedAt);
  /// Records a tick that was due at \p DueAt. At the end of a round, judges it
  /// and returns the links to ping with \p Now.
  std::vector<LinkId> tick(MonoTime Now, MonoTime DueAt);
  /// Drops all results, as after a suspension of the process.
  void reset() {
    LastTick_ = MonoTime{};
    Health_ = HostHealth{};
  }
  const HostHealth &health() const { return Health_; }

private:
  struct LinkState {
    std::deque<MonoTime> Unanswered_; ///< When pings were sent, oldest first.
    MonoTime LastPingAt_{};
    MonoTime LastAnswerAt_{};
    Micros RoundTrip_{0}; ///< Of the last answer.
  };

  void startAfresh(MonoTime Now);
  void judge(MonoTime Now);
  std::vector<LinkId> startRound(MonoTime Now);
  static void addPing(LinkState &L, MonoTime Now);
  static std::optional<Micros> delayOf(const LinkState &L, MonoTime Now);

  std::map<LinkId, LinkState> Links_;
  LinkId LastPinged_{};
  HostHealth Health_;
  MonoTime LastTick_{};
  MonoTime RoundEndsAt_{};
  /// Earlier pings were outstanding across a suspension of the process.
  MonoTime ValidFrom_{};
  Micros ShortestTickDelay_ = Micros::max();
  int ImpairedRounds_ = 0;
};

} // namespace thymewall

#endif
