/// \file
/// Schedules calls of the configuration service. The reader makes no call
/// itself: its owner asks which call is due, makes it and passes the response
/// back.
#ifndef THYMEWALL_CONFIG_READER_H
#define THYMEWALL_CONFIG_READER_H

#include "thymewall/evacuation.h"
#include "thymewall/list-parts.h"
#include "thymewall/routing.h"
#include "thymewall/upstream-list.h"

namespace thymewall {

/// A call of the configuration service.
struct ConfigRequest {
  enum class Kind : std::uint8_t {
    /// A list that may be some seconds old and is much cheaper than a current
    /// one: everything, or some parts of a long list.
    StaleList,
    List, ///< The full current list.
    Watch ///< Changes since a revision, as soon as there are any.
  };
  Kind Kind_ = Kind::List;
  Revision After_ = 0;
  std::uint8_t FirstPart_ = 0; ///< First part to read of a long stale list.
  MonoTime WaitUntil_{};       ///< When a watch without changes is answered.
  /// Deadline for the response, or for the first page of a list.
  MonoTime GiveUpAt_{};
  /// The same for a watch on a connection that served earlier calls. If that
  /// has gone silent, a new one is tried soon.
  MonoTime PersistentGiveUpAt_{};
};

/// Result of a call. That of a list that failed has what was read before the
/// failure.
struct ConfigResponse {
  enum class Outcome : std::uint8_t {
    Done,
    Stale,       ///< Stale list; may lack current entries.
    HistoryGone, ///< Changes since the revision are no longer available.
    Refused,     ///< The service answered with an error.
    Unreadable,  ///< The service answered in a form that can't be used.
    Failed       ///< No response.
  };
  Outcome Outcome_ = Outcome::Failed;
  std::string Reason_; ///< Cause of a failure, for logs.
  /// Since when the service is known not to have served this caller: a call
  /// that was refused, or one without a response on a connection of its own.
  /// Empty if the service may well be there: if it answered, or if only a
  /// connection that served earlier calls went silent.
  std::optional<MonoTime> FailingSince_;
  RoutingTablePtr Routing_; ///< Null if unchanged.
  UpstreamBatch Batch_;
  EvacuationBatch Evacuations_;
  /// Parts that a stale list covers; empty if it covers all of them.
  std::optional<ListParts> Parts_;
  std::size_t RefusedItems_ = 0; ///< Published items that can't be decoded.
  /// Values of the routing table that are not used as published.
  std::size_t AdjustedValues_ = 0;
  /// Pages of a list that can't be read; the other pages are in the response.
  std::size_t UnreadablePages_ = 0;
};

/// Decides when this process calls the configuration service.
class ConfigReader {
public:
  /// Duration of a watch without changes. Bounds how long a dead connection
  /// goes unnoticed, and confirms the state to the fleet twice a second.
  static constexpr Micros WatchTimeout = std::chrono::milliseconds(500);
  /// Pause after changes, so that one call collects several of them.
  static constexpr Micros PauseAfterChange = std::chrono::milliseconds(300);
  /// Deadline for a response, in addition to the duration of its watch. The
  /// service answers in milliseconds, and in 0.3 s when it is slow.
  static constexpr Micros ResponseTimeout = std::chrono::milliseconds(1000);
  /// The same for a watch on a connection that served earlier calls. Longer
  /// than an answer of a slow service takes.
  static constexpr Micros PersistentResponseTimeout =
      std::chrono::milliseconds(400);
  /// Wait for peers after a stale list, plus up to `PeerUpdateJitter`, before
  /// the current list is read. When a whole fleet starts, the first readers
  /// inform the others in this time: links open and a list arrives within some
  /// tens of milliseconds. The stale list serves callers meanwhile.
  static constexpr Micros PeerUpdateWait = std::chrono::milliseconds(100);
  static constexpr Micros PeerUpdateJitter = std::chrono::milliseconds(900);
  /// Shorter waits for a short list: its stale state costs callers more than
  /// some additional reads cost the service.
  static constexpr Micros PeerUpdateWaitPerUpstream =
      std::chrono::microseconds(1000);
  static constexpr Micros PeerUpdateJitterPerUpstream =
      std::chrono::microseconds(1500);
  /// Wait for peers after some parts of a long list, plus up to
  /// `MaxFleetJitter`, before the full list is read. A full list takes about a
  /// second, and hundreds of readers at once would saturate the service's link.
  static constexpr Micros PartsExchangeWait = std::chrono::milliseconds(2500);
  /// The same wait for a seed. All others connect to the seeds first, so only
  /// these read the full list when a fleet starts.
  static constexpr Micros SeedListDelay = std::chrono::milliseconds(300);
  /// Consecutive failed calls after which the service counts as having no stale
  /// lists. Fewer failures are treated as an outage, after which a whole fleet
  /// must not read full lists.
  static constexpr std::size_t MaxStaleListAttempts = 8;
  /// Bounds of the exponential backoff after failures.
  static constexpr Micros InitialBackoff = std::chrono::milliseconds(150);
  static constexpr Micros MaxBackoff = std::chrono::milliseconds(1200);
  /// Target rate of failing calls of the whole fleet; the upper bound of the
  /// backoff grows with the size of the fleet to meet it.
  static constexpr std::size_t FleetRetriesPerSecond = 8;
  /// Upper bound of the jitter that spreads the next calls of a large fleet
  /// after failures: the first balancer that is served informs the others. It
  /// bounds the wait of those that can't reach any peer.
  static constexpr Micros MaxFleetJitter = std::chrono::seconds(10);

  /// \p Jitter in [0, 1) desynchronizes processes that start together.
  /// \p IsSeed is true for a process that others connect to first.
  explicit ConfigReader(double Jitter, bool IsSeed = false)
      : JitterFraction_(Jitter), IsSeed_(IsSeed) {}

  /// Returns the call that is due at \p Now, if any. At most one call is in
  /// flight, and none starts before \p NotBefore: until then peers keep this
  /// process up to date.
  std::optional<ConfigRequest> next(MonoTime Now, MonoTime NotBefore);
  /// Returns when to ask `next` again; `MonoTime::max()` while a call is in
  /// flight.
  MonoTime dueAt(MonoTime NotBefore) const;
  /// Handles the response to the call in flight. \p FleetSize is the number of
  /// processes that share the calls of the service.
  void answered(MonoTime Now, const ConfigResponse &Response,
                std::size_t FleetSize);
  /// Records that all changes through \p Through are known, from the service or
  /// from peers.
  void noteRevision(Revision Through);
  /// Ends a wait for peers because none is available.
  void noPeersFound(MonoTime Now);
  /// Ends the wait after a failure for other processes to call the service,
  /// because none is heard.
  void noOtherCallers(MonoTime Now);
  /// Makes the next call read the full list.
  void requestList() { ListNeeded_ = true; }
  /// Returns the time up to which the last response includes all changes.
  MonoTime completeAt() const { return CompleteAt_; }

private:
  ConfigRequest::Kind nextKind() const;
  Micros peerWait(const ConfigResponse &StaleList) const;
  Micros delayAfter(MonoTime Now, const ConfigResponse &Response,
                    std::size_t FleetSize);
  Micros delayAfterFailure(MonoTime Now, std::size_t FleetSize);

  double JitterFraction_;
  bool IsSeed_;
  Revision Through_ = 0;
  MonoTime DueAt_{};
  MonoTime DueWithoutOthersAt_{}; ///< After a failure; at most `DueAt_`.
  MonoTime SentAt_{};
  MonoTime WaitUntil_{};
  MonoTime CompleteAt_{};
  Micros Backoff_ = InitialBackoff;
  bool ListNeeded_ = true;
  bool StaleListNeeded_ = true; ///< At first, nothing is known.
  std::size_t StaleListAttempts_ = 0;
  bool WaitingForPeers_ = false; ///< Has only some parts of the list.
  bool InFlight_ = false;
  /// The connection of the last watch went silent.
  bool ConnectionLost_ = false;
};

} // namespace thymewall

#endif
