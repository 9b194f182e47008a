/// \file
/// Distinguishes a dead upstream from congestion of this host's own link.
///
/// A large transfer over a slow link delays all answers, so that checks of
/// healthy upstreams time out. So peers are probed at the start of each
/// attempt, and its timeout counts only if one of them answered in time.
#ifndef THYMEWALL_SRC_PEER_PROBES_H
#define THYMEWALL_SRC_PEER_PROBES_H

#include "thymewall/core.h"

#include <algorithm>

namespace thymewall::detail {

/// Records whether probes of peers are answered in time.
class PeerProbes {
public:
  /// Half of the timeout of an attempt, so that an answer of the upstream would
  /// have arrived too.
  static constexpr Micros AnswerTimeout = std::chrono::milliseconds(40);
  /// Attempts that begin within this time share one probe.
  static constexpr Micros MinProbeInterval = std::chrono::milliseconds(10);

  /// Returns true if the caller must probe peers now. In either case
  /// `lastProbeAt` is the probe for an attempt that begins at \p Now.
  bool shouldProbe(MonoTime Now) {
    if (Now - ProbedAt_ < MinProbeInterval)
      return false;
    ProbedAt_ = Now;
    return true;
  }
  MonoTime lastProbeAt() const { return ProbedAt_; }
  /// Records that a peer answered the probe sent at \p ProbedAt.
  void recordAnswer(MonoTime ProbedAt, MonoTime Now) {
    if (Now - ProbedAt <= AnswerTimeout)
      LatestAnswered_ = std::max(LatestAnswered_, ProbedAt);
  }
  /// Returns whether the probe sent at \p ProbedAt or a later one was answered
  /// in time.
  bool answeredSince(MonoTime ProbedAt) const {
    return LatestAnswered_ >= ProbedAt;
  }

private:
  MonoTime ProbedAt_{};
  MonoTime LatestAnswered_{};
};

/// Counts the timed-out attempts of a check.
class CheckAttempts {
public:
  /// Timeouts that prove an upstream dead: more than one, since packets get
  /// lost.
  static constexpr int TimeoutsToProve = 2;
  /// Attempts after which a check without proof is unclear.
  static constexpr int MaxAttempts = 4;

  enum class Next : std::uint8_t { TryAgain, Dead, Unclear };

  /// Records a timeout; it counts as proof only if \p PathWorked.
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
