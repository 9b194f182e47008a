/// \file
/// Checks of upstreams while a large transfer congests the host's link.
#include "peer-probes.h"

#include <doctest/doctest.h>
#include <optional>

using namespace thymewall;
using namespace thymewall::detail;
using namespace std::chrono_literals;

namespace {

constexpr Micros TryTimeout = 80ms;
constexpr Micros RoundTrip = 2ms;

/// A link that a transfer occupies from `From_` for `For_`; answers to requests
/// sent meanwhile arrive after it.
struct Link {
  MonoTime From_;
  Micros For_;

  MonoTime answerAt(MonoTime ProbedAt) const {
    MonoTime End = From_ + For_;
    bool Delayed = ProbedAt + RoundTrip >= From_ && ProbedAt < End;
    return (Delayed ? End : ProbedAt) + RoundTrip;
  }
};

/// Returns the result of a check that begins at \p Now, or nothing if it
/// connects. Peers answer at once, and so does the upstream if it is alive.
std::optional<CheckAttempts::Next> check(const Link &L, MonoTime Now,
                                         bool Alive) {
  PeerProbes Probes;
  CheckAttempts Attempts;
  for (;;) {
    Probes.shouldProbe(Now);
    MonoTime ProbedAt = Probes.lastProbeAt();
    MonoTime End = Now + TryTimeout;
    MonoTime Answer = L.answerAt(Now);
    if (Alive && Answer <= End)
      return std::nullopt;
    if (Answer <= End)
      Probes.recordAnswer(ProbedAt, Answer);
    CheckAttempts::Next Next =
        Attempts.recordTimeout(Probes.answeredSince(ProbedAt));
    if (Next != CheckAttempts::Next::TryAgain)
      return Next;
    Now = End;
  }
}

} // namespace

TEST_CASE("an upstream that is alive is never found dead while the link is "
          "congested") {
  for (Micros For = 0ms; For < 900ms; For += 20ms)
    for (Micros Begins = -200ms; Begins < 1000ms; Begins += 7ms) {
      auto Result = check({MonoTime(10s), For}, MonoTime(10s + Begins), true);
      CHECK((!Result || *Result == CheckAttempts::Next::Unclear));
    }
}

TEST_CASE("a dead upstream is found in two attempts, or in more while the link "
          "is congested") {
  Link Idle{MonoTime(10s), 0ms};
  CHECK(check(Idle, MonoTime(5s), false) == CheckAttempts::Next::Dead);
  Link Congested{MonoTime(10s), 150ms};
  CHECK(check(Congested, MonoTime(10s), false) == CheckAttempts::Next::Dead);
  Link CongestedForLong{MonoTime(10s), 2s};
  CHECK(check(CongestedForLong, MonoTime(10s), false) ==
        CheckAttempts::Next::Unclear);
}

TEST_CASE("attempts that begin together share a probe") {
  PeerProbes Probes;
  CHECK(Probes.shouldProbe(MonoTime(1s)));
  CHECK_FALSE(Probes.shouldProbe(MonoTime(1005ms)));
  CHECK(Probes.lastProbeAt() == MonoTime(1s));
  CHECK_FALSE(Probes.answeredSince(Probes.lastProbeAt()));
  Probes.recordAnswer(MonoTime(1s), MonoTime(1003ms));
  CHECK(Probes.answeredSince(Probes.lastProbeAt()));
  CHECK(Probes.shouldProbe(MonoTime(1010ms)));
  CHECK_FALSE(Probes.answeredSince(Probes.lastProbeAt()));
  Probes.recordAnswer(MonoTime(1010ms), MonoTime(1051ms)); // too late to count
  CHECK_FALSE(Probes.answeredSince(Probes.lastProbeAt()));
}
