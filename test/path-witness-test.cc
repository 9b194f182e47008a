/// \file
/// Checks of upstreams over a thin link that a large document fills.
#include "path-witness.h"

#include <doctest/doctest.h>
#include <optional>

using namespace thymewall;
using namespace thymewall::detail;
using namespace std::chrono_literals;

namespace {

constexpr Micros TryFor = 80ms;
constexpr Micros RoundTrip = 2ms;

/// A link on which a document arrives from `From_` on for `For_`: what is asked
/// meanwhile is answered behind it.
struct Link {
  MonoTime From_;
  Micros For_;

  MonoTime answerAt(MonoTime AskedAt) const {
    MonoTime End = From_ + For_;
    bool Behind = AskedAt + RoundTrip >= From_ && AskedAt < End;
    return (Behind ? End : AskedAt) + RoundTrip;
  }
};

/// What a check that begins at \p Now concludes; a living upstream answers at
/// once, and so do peers. Nothing when it connects.
std::optional<CheckTries::Next> check(const Link &L, MonoTime Now, bool Lives) {
  PathWitness Path;
  CheckTries Tries;
  for (;;) {
    Path.wantsQuestion(Now);
    MonoTime AskedAt = Path.askedAt();
    MonoTime End = Now + TryFor;
    MonoTime Answer = L.answerAt(Now);
    if (Lives && Answer <= End)
      return std::nullopt;
    if (Answer <= End)
      Path.answered(AskedAt, Answer);
    CheckTries::Next Next = Tries.silent(Path.answeredSince(AskedAt));
    if (Next != CheckTries::Next::TryAgain)
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
      CHECK((!Result || *Result == CheckTries::Next::Unclear));
    }
}

TEST_CASE("a dead one is found by two tries, and by more while the link is "
          "full") {
  Link Idle{MonoTime(10s), 0ms};
  CHECK(check(Idle, MonoTime(5s), false) == CheckTries::Next::Dead);
  Link Full{MonoTime(10s), 150ms};
  CHECK(check(Full, MonoTime(10s), false) == CheckTries::Next::Dead);
  Link FullForLong{MonoTime(10s), 2s};
  CHECK(check(FullForLong, MonoTime(10s), false) == CheckTries::Next::Unclear);
}

TEST_CASE("tries that begin together share a question") {
  PathWitness Path;
  CHECK(Path.wantsQuestion(MonoTime(1s)));
  CHECK_FALSE(Path.wantsQuestion(MonoTime(1005ms)));
  CHECK(Path.askedAt() == MonoTime(1s));
  CHECK_FALSE(Path.answeredSince(Path.askedAt()));
  Path.answered(MonoTime(1s), MonoTime(1003ms));
  CHECK(Path.answeredSince(Path.askedAt()));
  CHECK(Path.wantsQuestion(MonoTime(1010ms)));
  CHECK_FALSE(Path.answeredSince(Path.askedAt()));
  Path.answered(MonoTime(1010ms), MonoTime(1051ms)); // too late to count
  CHECK_FALSE(Path.answeredSince(Path.askedAt()));
}
