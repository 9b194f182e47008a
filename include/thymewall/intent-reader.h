/// \file
/// When to call the configuration service, and for what. The reader starts no
/// call itself: a harness asks it what is due, makes the call and gives the
/// answer back.
#ifndef THYMEWALL_INTENT_READER_H
#define THYMEWALL_INTENT_READER_H

#include "thymewall/evacuation.h"
#include "thymewall/list-parts.h"
#include "thymewall/routing.h"
#include "thymewall/upstream-list.h"

namespace thymewall {

/// One call of the configuration service.
struct ConfigRequest {
  enum class Kind : std::uint8_t {
    /// What was published some seconds ago at most, at a tenth of the cost of
    /// a list: everything, or some parts of a long list.
    StaleList,
    List, ///< Everything that is published.
    Watch ///< What has changed since a revision, as soon as there is some.
  };
  Kind Kind_ = Kind::List;
  Revision After_ = 0;
  std::uint8_t FirstPart_ = 0; ///< Of a long stale list.
  MonoTime WaitUntil_{};       ///< A watch without news is answered by then.
  /// No answer, or no first page of a list, by then counts as a failure.
  MonoTime GiveUpAt_{};
};

/// What came of a call.
struct ConfigResponse {
  enum class Outcome : std::uint8_t {
    Done,
    Stale,       ///< A stale list: it shows nothing to be absent or current.
    HistoryGone, ///< The changes since the revision are no longer known.
    Refused,     ///< Answered, but not served.
    Failed       ///< No answer, or none that could be read.
  };
  Outcome Outcome_ = Outcome::Failed;
  std::string Reason_;      ///< Why it was not done, for logs.
  RoutingTablePtr Routing_; ///< Null when it has not changed.
  UpstreamBatch Batch_;
  EvacuationBatch Evacuations_;
  /// The parts that a stale list has; nothing when it has all of them.
  std::optional<ListParts> Parts_;
  std::size_t RefusedItems_ = 0; ///< Published items that could not be read.
};

/// Decides when this process reads the configuration service.
class ConfigReader {
public:
  /// How long a watch waits: bounds what a connection that has died silently
  /// can hide, and tells the fleet twice a second that its knowledge is recent.
  static constexpr Micros WatchTimeout = std::chrono::milliseconds(500);
  /// Pause after news, so that one call takes several changes in.
  static constexpr Micros PauseAfterChange = std::chrono::milliseconds(300);
  /// Time beyond its wait within which an answer must come: the service
  /// answers in milliseconds, and in 0.3 s when it is slow.
  static constexpr Micros ResponseTimeout = std::chrono::milliseconds(1000);
  /// A start that has a stale list leaves peers this long, and up to
  /// `PeerUpdateJitter` more, to tell it what is current before it reads that
  /// itself. Links open and a list comes in some ten milliseconds; of a fleet
  /// that starts together the first to read tell the others within half a
  /// second. The stale list serves callers meanwhile.
  static constexpr Micros PeerUpdateWait = std::chrono::milliseconds(100);
  static constexpr Micros PeerUpdateJitter = std::chrono::milliseconds(900);
  /// Both are shorter where few upstreams are listed: some hosts that read a
  /// short list each cost less than what its age costs callers.
  static constexpr Micros PeerUpdateWaitPerUpstream =
      std::chrono::microseconds(1000);
  static constexpr Micros PeerUpdateJitterPerUpstream =
      std::chrono::microseconds(1500);
  /// A balancer that has parts of a long list leaves peers this long, and up to
  /// `MaxFleetJitter` more, to tell the rest: a whole list takes about a second
  /// to read, and hundreds that read it at once take the service's whole link.
  static constexpr Micros PartsExchangeWait = std::chrono::milliseconds(2500);
  /// The same for a seed, which all others find first: of a fleet that starts
  /// at once only these read the whole list.
  static constexpr Micros SeedListDelay = std::chrono::milliseconds(300);
  /// So many failed calls for a stale list in a row mean that there are none.
  /// Fewer are an outage, after which a whole fleet must not ask for lists.
  static constexpr std::size_t MaxStaleListAttempts = 8;
  /// Pauses after failures double between these.
  static constexpr Micros InitialBackoff = std::chrono::milliseconds(150);
  static constexpr Micros MaxBackoff = std::chrono::milliseconds(1200);
  /// When many fail together the longest pause grows with their number, so that
  /// a whole fleet makes about this many calls a second.
  static constexpr std::size_t FleetRetriesPerSecond = 8;
  /// In a fleet that shares failures so, those that know something spread their
  /// next calls over as long, at most this: the first to be served tells all.
  /// The bound is for a few that reach no other.
  static constexpr Micros MaxFleetJitter = std::chrono::seconds(10);

  /// \p Jitter in [0, 1) keeps processes that start together apart.
  /// \p IsSeed: others find their peers through this one.
  explicit ConfigReader(double Jitter, bool IsSeed = false)
      : JitterFraction_(Jitter), IsSeed_(IsSeed) {}

  /// The call that is due at \p Now, if any; at most one is under way. None
  /// starts before \p NotBefore: others keep this process informed until then.
  std::optional<ConfigRequest> next(MonoTime Now, MonoTime NotBefore);
  /// When `next` should be asked again; the far future while a call is under
  /// way.
  MonoTime dueAt(MonoTime NotBefore) const;
  /// Takes the answer of the call under way in; \p FleetSize processes share
  /// the reading.
  void answered(MonoTime Now, const ConfigResponse &Response,
                std::size_t FleetSize);
  /// Everything through \p Through is known, whoever told it.
  void noteRevision(Revision Through);
  /// Nobody can tell the rest: a call that only left time for peers is due.
  void noPeersFound(MonoTime Now);
  /// The next call must read everything.
  void requestList() { ListNeeded_ = true; }
  /// All changes up to this time are in the last answer.
  MonoTime completeAt() const { return CompleteAt_; }

private:
  ConfigRequest::Kind nextKind() const;
  Micros peerWait(const ConfigResponse &StaleList) const;
  Micros delayAfter(MonoTime Now, const ConfigResponse &Response,
                    std::size_t FleetSize);

  double JitterFraction_;
  bool IsSeed_;
  Revision Through_ = 0;
  MonoTime DueAt_{};
  MonoTime SentAt_{};
  MonoTime WaitUntil_{};
  MonoTime CompleteAt_{};
  Micros Backoff_ = InitialBackoff;
  bool ListNeeded_ = true;
  bool StaleListNeeded_ = true; ///< First: nothing is known.
  std::size_t StaleListAttempts_ = 0;
  bool WaitingForPeers_ = false; ///< Has parts only.
  bool InFlight_ = false;
};

} // namespace thymewall

#endif
