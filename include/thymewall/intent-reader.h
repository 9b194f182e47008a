/// \file
/// When to call the configuration service, and for what. The reader starts no
/// call itself: a harness asks it what is due, makes the call and gives the
/// answer back.
#ifndef THYMEWALL_INTENT_READER_H
#define THYMEWALL_INTENT_READER_H

#include "thymewall/routing.h"
#include "thymewall/upstream-list.h"

namespace thymewall {

/// One call of the configuration service.
struct IntentCall {
  enum class Kind : std::uint8_t {
    List, ///< Everything that is published.
    Watch ///< What has changed since a revision, as soon as there is some.
  };
  Kind Kind_ = Kind::List;
  Revision After_ = 0;
  MonoTime WaitUntil_{}; ///< A watch without news is answered by then.
  MonoTime GiveUpAt_{};  ///< No answer by then counts as a failure.
};

/// What came of a call.
struct IntentAnswer {
  enum class Outcome : std::uint8_t {
    Done,
    HistoryGone, ///< The changes since the revision are no longer known.
    Refused,     ///< Answered, but not served.
    Failed       ///< No answer, or none that could be read.
  };
  Outcome Outcome_ = Outcome::Failed;
  RoutingTablePtr Routing_; ///< Null when it has not changed.
  UpstreamBatch Batch_;
};

/// Decides when this process reads the configuration service.
class IntentReader {
public:
  /// How long a watch waits: bounds what a connection that has died silently
  /// can hide. Measured in docs/PLATFORM.md, "Calls".
  static constexpr Micros WatchFor = std::chrono::milliseconds(2000);
  /// Pause after news, so that one call takes several changes in.
  static constexpr Micros PauseAfterNews = std::chrono::milliseconds(500);
  /// Time beyond its wait within which an answer must come: the service
  /// answers in milliseconds, and in 0.3 s when it is slow.
  static constexpr Micros AnswerWithin = std::chrono::milliseconds(1000);
  /// Pauses after failures double between these.
  static constexpr Micros FirstPause = std::chrono::milliseconds(150);
  static constexpr Micros LongestPause = std::chrono::milliseconds(1200);
  /// A service that was not heard of for this long was away.
  static constexpr Micros AwayAfter = std::chrono::milliseconds(1500);

  /// \p Spread in [0, 1) keeps processes that start together apart.
  explicit IntentReader(double Spread) : Spread_(Spread) {}

  /// The call that is due at \p Now, if any; at most one is under way.
  std::optional<IntentCall> next(MonoTime Now);
  /// When `next` should be asked again; the far future while a call is under
  /// way.
  MonoTime dueAt() const;
  /// Takes the answer of the call under way in.
  void answered(MonoTime Now, const IntentAnswer &Answer);
  /// Everything through \p Through is known, whoever told it.
  void known(Revision Through) { Through_ = std::max(Through_, Through); }
  /// The next call must read everything.
  void listAgain() { ListWanted_ = true; }
  /// True when the last answer ended a time in which the service was away.
  bool wasAway() const { return WasAway_; }
  /// When the call under way was sent.
  MonoTime sentAt() const { return SentAt_; }

private:
  Micros pauseAfter(const IntentAnswer &Answer);

  double Spread_;
  Revision Through_ = 0;
  MonoTime DueAt_{};
  MonoTime SentAt_{};
  MonoTime LastDone_{};
  Micros FailurePause_ = FirstPause;
  bool ListWanted_ = true;
  bool UnderWay_ = false;
  bool EverDone_ = false;
  bool WasAway_ = false;
};

} // namespace thymewall

#endif
