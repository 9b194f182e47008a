/// \file
/// What silence of an upstream proves while this host's own link may be full.
/// Pure.
///
/// Load pattern: one host reads a large document, or hands one on, over a thin
/// link: 350 KB fill 10 Mbit/s for 0.3 s. Whatever is asked meanwhile gets its
/// answer behind the document, so that every upstream looks dead, and open
/// flows at upstreams that serve would be reset. So peers are asked at the
/// moment of each try: only where one of them answers in time, an upstream
/// could have answered too.
#ifndef THYMEWALL_SRC_PATH_WITNESS_H
#define THYMEWALL_SRC_PATH_WITNESS_H

#include "thymewall/core.h"

#include <algorithm>

namespace thymewall::detail {

/// Whether questions to peers are answered in time.
class PeerProbes {
public:
  /// Half of the time that an upstream has, so that its answer would have come
  /// too, had it been sent a little later.
  static constexpr Micros AnswerTimeout = std::chrono::milliseconds(40);
  /// Tries that begin together share one question: 40 upstreams are checked in
  /// one moment when a third of a service dies.
  static constexpr Micros MinProbeInterval = std::chrono::milliseconds(10);

  /// True when peers are to be asked now. `lastProbeAt` is the question that
  /// stands for a try that begins at \p Now.
  bool shouldProbe(MonoTime Now) {
    if (Now - ProbedAt_ < MinProbeInterval)
      return false;
    ProbedAt_ = Now;
    return true;
  }
  MonoTime lastProbeAt() const { return ProbedAt_; }
  /// A peer has answered the question of \p ProbedAt.
  void recordAnswer(MonoTime ProbedAt, MonoTime Now) {
    if (Now - ProbedAt <= AnswerTimeout)
      LatestAnswered_ = std::max(LatestAnswered_, ProbedAt);
  }
  /// The question of \p ProbedAt, or a later one, was answered in time.
  bool answeredSince(MonoTime ProbedAt) const {
    return LatestAnswered_ >= ProbedAt;
  }

private:
  MonoTime ProbedAt_{};
  MonoTime LatestAnswered_{};
};

/// The tries of one check.
class CheckAttempts {
public:
  /// One lost packet proves nothing.
  static constexpr int TimeoutsToProve = 2;
  /// A link that is full for longer than these take leaves a check unclear.
  static constexpr int MaxAttempts = 4;

  enum class Next : std::uint8_t { TryAgain, Dead, Unclear };

  /// A try met silence; \p PathWorked: the path worked meanwhile.
  Next recordTimeout(bool PathWorked) {
    ++Timeouts_;
    ProvenTimeouts_ += PathWorked ? 1 : 0;
    if (ProvenTimeouts_ == TimeoutsToProve)
      return Next::Dead;
    return Timeouts_ == MaxAttempts ? Next::Unclear : Next::TryAgain;
  }

private:
  int Timeouts_ = 0;
  int ProvenTimeouts_ = 0;
};

} // namespace thymewall::detail

#endif
