// Bounds on the age of messages between hosts whose clocks differ.
#include "peer-clock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace std::chrono_literals;
using detail::PeerClock;

namespace {

MonoTime at(Micros Time) { return MonoTime(100s + Time); }

/// Clock of a peer that showed \p Origin when the local one showed `at(0s)`.
struct Peer {
  Micros Origin_;
  Micros clock(MonoTime Now) const { return Origin_ + (Now - at(0s)); }
};

} // namespace

TEST_CASE("nothing is known of a message before the peer has received one") {
  PeerClock Clock;
  CHECK_FALSE(Clock.sentNotBefore(at(1s), 5s).has_value());
}

TEST_CASE("a message that waited for long is as old as it is") {
  PeerClock Clock;
  Peer P{7s};
  Clock.record(at(1s), at(0s), P.clock(at(2ms)));
  // Sent at 1.5 s and read 3 s later.
  std::optional<MonoTime> SentAt =
      Clock.sentNotBefore(at(4500ms), P.clock(at(1500ms)));
  REQUIRE(SentAt.has_value());
  CHECK(*SentAt == at(1498ms));
}

TEST_CASE("no message seems younger than it is, whatever the delays") {
  rc::check([] {
    PeerClock Clock;
    Peer P{std::chrono::milliseconds(*rc::gen::inRange(0, 1000000))};
    MonoTime Now = at(0s);
    for (int Step = 0; Step < 30; ++Step) {
      auto Delay = [] {
        return std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
      };
      MonoTime SentAt = Now;
      Micros There = Delay();
      MonoTime PeerReceivedAt = SentAt + There;
      MonoTime PeerSentAt = PeerReceivedAt + Delay();
      Now = PeerSentAt + Delay();
      Clock.record(Now, SentAt, P.clock(PeerReceivedAt));
      std::optional<MonoTime> Bound =
          Clock.sentNotBefore(Now, P.clock(PeerSentAt));
      RC_ASSERT(Bound.has_value());
      RC_ASSERT(*Bound <= PeerSentAt);
      // Off by a single transit time at most, that of the last message.
      RC_ASSERT(*Bound >= PeerSentAt - There);
    }
  });
}

TEST_CASE("a quick message bounds later ones, and expires") {
  PeerClock Clock;
  Peer P{3s};
  Clock.record(at(0s), at(0s), P.clock(at(1ms)));
  for (Micros Time = 1s; Time <= 30s; Time += 1s) {
    Clock.record(at(Time), at(Time - 900ms), P.clock(at(Time)));
    MonoTime SentAt = *Clock.sentNotBefore(at(Time), P.clock(at(Time)));
    if (Time < PeerClock::SampleLifetime)
      CHECK(SentAt == at(Time - 1ms));
    if (Time >= 2 * PeerClock::SampleLifetime)
      CHECK(SentAt == at(Time - 900ms));
  }
}

TEST_CASE("a clock that stood still voids earlier bounds") {
  PeerClock Clock;
  Clock.record(at(0s), at(0s), 10s);
  // The local clock stood still for 5 s: the peer's is at 16 s, not at 11 s.
  Clock.record(at(1s), at(900ms), 16s);
  std::optional<MonoTime> SentAt = Clock.sentNotBefore(at(1s), 16s);
  REQUIRE(SentAt.has_value());
  CHECK(*SentAt == at(900ms));
}
