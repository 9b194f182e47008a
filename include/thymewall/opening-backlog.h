/// \file
/// Bounded queue of openings that wait until their service has room, in order
/// of priority. For loads above the capacity of a service's upstreams
/// ("crowd"). Uses no clock.
#ifndef THYMEWALL_OPENING_BACKLOG_H
#define THYMEWALL_OPENING_BACKLOG_H

#include "thymewall/packet.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace thymewall {

/// An opening that waits.
struct WaitingOpening {
  FlowId Flow_{};
  ServiceId Service_{};
  std::uint8_t Priority_ = 0; ///< 0 is the most urgent.
  MonoTime ObjectiveEnd_{};   ///< When its caller's objective is missed.
  MonoTime FirstSentAt_{};    ///< When its caller sent the first copy.
  MonoTime QueuedAt_{};
  MonoTime WaitUntil_{};
  /// The highest transmission count of the copies received.
  std::uint32_t Copies_ = 0;
  /// Whether no balancer can have forwarded the flow before.
  bool IsFirst_ = true;
  Packet Packet_;
};

class OpeningBacklog {
public:
  /// Bounds the memory use; of all services together.
  static constexpr std::size_t MaxOpenings = 256;
  /// Of this many consecutive releases of a service, at least one is of the
  /// lowest waiting priority.
  static constexpr std::size_t LowestPriorityEvery = 10;
  /// How long rejected flows are remembered: callers retransmit an opening for
  /// 1.4 s.
  static constexpr Micros RejectionMemory = std::chrono::milliseconds(1500);
  static constexpr std::size_t MaxRejections = 4096;

  /// Adds an opening whose flow is not queued. Returns the worst opening, which
  /// may be \p Opening itself, if the backlog is full.
  std::optional<WaitingOpening> add(const WaitingOpening &Opening);
  /// Records a copy of a queued opening. Returns false if it is not queued.
  bool recordCopy(FlowId Flow, std::uint32_t Copies);
  /// Returns the number of openings that would be released before \p Opening.
  std::size_t countAhead(const WaitingOpening &Opening) const;
  /// Removes the next opening of a service to be released.
  std::optional<WaitingOpening> takeNext(ServiceId Service);
  /// Returns the best priority that waits for a service, if any.
  std::optional<std::uint8_t> bestPriority(ServiceId Service) const;
  /// Returns whether the next release of a service has to be one of the lowest
  /// waiting priority.
  bool isTurnOfLowest(ServiceId Service) const;
  /// Records that an opening was forwarded at once while others wait.
  void recordBypass(ServiceId Service);
  /// Removes an opening that may wait no longer.
  std::optional<WaitingOpening> takeExpired(MonoTime Now);
  /// Removes the openings for which \p Matches returns true.
  std::vector<WaitingOpening>
  takeIf(const std::function<bool(const WaitingOpening &)> &Matches);
  /// Returns the time of the next expiry, or `MonoTime::max()`.
  MonoTime nextExpiry() const;

  /// Remembers a rejected flow, of which copies may still arrive.
  void recordRejection(MonoTime Now, FlowId Flow);
  bool wasRejected(MonoTime Now, FlowId Flow) const;

  bool empty() const { return Queue_.empty(); }
  std::size_t size() const { return Queue_.size(); }
  std::size_t size(ServiceId Service) const;

private:
  /// Service, priority, end of the objective, flow.
  using Position = std::tuple<ServiceId, std::uint8_t, MonoTime, FlowId>;
  using Queue = std::map<Position, WaitingOpening>;
  struct ServiceQueue {
    std::size_t Size_ = 0;
    /// Consecutive releases of a better than the lowest waiting priority.
    std::size_t SinceLowest_ = 0;
  };

  static Position positionOf(const WaitingOpening &Opening);
  Queue::const_iterator firstOf(ServiceId Service) const;
  /// Returns the first opening of the lowest waiting priority of a service.
  Queue::const_iterator firstOfLowest(ServiceId Service) const;
  Queue::const_iterator worst() const;
  WaitingOpening remove(Queue::const_iterator It);

  Queue Queue_;
  std::unordered_map<FlowId, Position> Positions_;
  std::set<std::pair<MonoTime, FlowId>> Expiries_;
  std::unordered_map<std::uint32_t, ServiceQueue> Services_;
  std::unordered_map<FlowId, MonoTime> Rejections_; ///< With their time.
  std::deque<std::pair<MonoTime, FlowId>> RejectionOrder_;
};

} // namespace thymewall

#endif
