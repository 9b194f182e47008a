/// \file
/// Checks of upstreams over a thin link that a large document fills.
#include "path-witness.h"

#include <doctest/doctest.h>
#include <optional>

using namespace thymewall;
using namespace thymewall::detail;
using namespace std::chrono_literals;

namespace {

constexpr Micros TryTimeout = 80ms;
constexpr Micros RoundTrip = 2ms;

/// A link on which a document arrives from `From_` on for `For_`: what is asked
/// meanwhile is answered behind it.
struct Link {
  MonoTime From_;
  Micros For_;

  MonoTime answerAt(MonoTime ProbedAt) const {
    MonoTime End = From_ + For_;
    bool Behind = ProbedAt + RoundTrip >= From_ && ProbedAt < End;
    return (Behind ? End : ProbedAt) + RoundTrip;
  }
};

/// What a check that begins at \p Now concludes; a living upstream answers at
/// once, and so do peers. Nothing when it connects.
std::optional<CheckAttempts::Next> check(const Link &L, MonoTime Now,
                                         bool Lives) {
  PeerProbes Path;
  CheckAttempts Tries;
  for (;;) {
    Path.shouldProbe(Now);
    MonoTime ProbedAt = Path.lastProbeAt();
    MonoTime End = Now + TryTimeout;
    MonoTime Answer = L.answerAt(Now);
    if (Lives && Answer <= End)
      return std::nullopt;
    if (Answer <= End)
      Path.recordAnswer(ProbedAt, Answer);
    CheckAttempts::Next Next =
        Tries.recordTimeout(Path.answeredSince(ProbedAt));
    if (Next != CheckAttempts::Next::TryAgain)
      return Next;
    Now = End;
  }
}

} // namespace

TEST_CASE("an upstream that lives is never held to be dead while the own link "
          "is full") {
  for (Micros For = 0ms; For < 900ms; For += 20ms)
    for (Micros Begins = -200ms; Begins < 1000ms; Begins += 7ms) {
      auto Result = check({MonoTime(10s), For}, MonoTime(10s + Begins), true);
      CHECK((!Result || *Result == CheckAttempts::Next::Unclear));
    }
}

TEST_CASE("a dead one is found by two tries, and by more while the link is "
          "full") {
  Link Idle{MonoTime(10s), 0ms};
  CHECK(check(Idle, MonoTime(5s), false) == CheckAttempts::Next::Dead);
  Link Full{MonoTime(10s), 150ms};
  CHECK(check(Full, MonoTime(10s), false) == CheckAttempts::Next::Dead);
  Link FullForLong{MonoTime(10s), 2s};
  CHECK(check(FullForLong, MonoTime(10s), false) ==
        CheckAttempts::Next::Unclear);
}

TEST_CASE("tries that begin together share a question") {
  PeerProbes Path;
  CHECK(Path.shouldProbe(MonoTime(1s)));
  CHECK_FALSE(Path.shouldProbe(MonoTime(1005ms)));
  CHECK(Path.lastProbeAt() == MonoTime(1s));
  CHECK_FALSE(Path.answeredSince(Path.lastProbeAt()));
  Path.recordAnswer(MonoTime(1s), MonoTime(1003ms));
  CHECK(Path.answeredSince(Path.lastProbeAt()));
  CHECK(Path.shouldProbe(MonoTime(1010ms)));
  CHECK_FALSE(Path.answeredSince(Path.lastProbeAt()));
  Path.recordAnswer(MonoTime(1010ms), MonoTime(1051ms)); // too late to count
  CHECK_FALSE(Path.answeredSince(Path.lastProbeAt()));
}
