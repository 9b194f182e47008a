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
class PathWitness {
public:
  /// Half of the time that an upstream has, so that its answer would have come
  /// too, had it been sent a little later.
  static constexpr Micros AnswerWithin = std::chrono::milliseconds(40);
  /// Tries that begin together share one question: 40 upstreams are checked in
  /// one moment when a third of a service dies.
  static constexpr Micros AskEvery = std::chrono::milliseconds(10);

  /// True when peers are to be asked now. `askedAt` is the question that
  /// stands for a try that begins at \p Now.
  bool wantsQuestion(MonoTime Now) {
    if (Now - AskedAt_ < AskEvery)
      return false;
    AskedAt_ = Now;
    return true;
  }
  MonoTime askedAt() const { return AskedAt_; }
  /// A peer has answered the question of \p AskedAt.
  void answered(MonoTime AskedAt, MonoTime Now) {
    if (Now - AskedAt <= AnswerWithin)
      AnsweredFrom_ = std::max(AnsweredFrom_, AskedAt);
  }
  /// The question of \p AskedAt, or a later one, was answered in time.
  bool answeredSince(MonoTime AskedAt) const {
    return AnsweredFrom_ >= AskedAt;
  }

private:
  MonoTime AskedAt_{};
  MonoTime AnsweredFrom_{};
};

/// The tries of one check.
class CheckTries {
public:
  /// One lost packet proves nothing.
  static constexpr int SilentToProve = 2;
  /// A link that is full for longer than these take leaves a check unclear.
  static constexpr int MostTries = 4;

  enum class Next : std::uint8_t { TryAgain, Dead, Unclear };

  /// A try met silence; \p Witnessed: the path worked meanwhile.
  Next silent(bool Witnessed) {
    ++Tries_;
    Proving_ += Witnessed ? 1 : 0;
    if (Proving_ == SilentToProve)
      return Next::Dead;
    return Tries_ == MostTries ? Next::Unclear : Next::TryAgain;
  }

private:
  int Tries_ = 0;
  int Proving_ = 0;
};

} // namespace thymewall::detail

#endif
