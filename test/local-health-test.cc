/// \file
/// Health of the own host, judged by round trips to peers and tick delays.
#include "thymewall/local-health.h"
#include "thymewall/step-back.h"

#include <doctest/doctest.h>
#include <functional>
#include <set>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

constexpr Micros TickInterval = 250ms;

/// A balancer whose peers answer after the round trip of their link, or not at
/// all if it is negative.
class Host {
public:
  explicit Host(std::vector<Micros> RoundTrips)
      : RoundTrips_(std::move(RoundTrips)) {
    for (std::size_t I = 0; I < RoundTrips_.size(); ++I)
      Health_.opened(LinkId{I + 1});
  }

  /// Runs ticks for a time, each late by \p TickDelay.
  void run(Micros For, Micros TickDelay = 0ms) {
    for (MonoTime End = Now_ + For; Now_ < End;) {
      MonoTime DueAt = Now_ + TickInterval;
      Now_ = DueAt + TickDelay;
      deliver();
      for (LinkId Link : Health_.tick(Now_, DueAt)) {
        ++Pings_;
        Micros RoundTrip = RoundTrips_[raw(Link) - 1];
        if (RoundTrip >= 0ms)
          Pending_.insert({Now_ + RoundTrip, Link, Now_});
      }
    }
  }

  /// Suspends the process.
  void suspend(Micros For) { Now_ += For; }
  void setRoundTrips(std::vector<Micros> RoundTrips) {
    RoundTrips_ = std::move(RoundTrips);
  }
  int impairment() const { return Health_.health().Impairment_; }

  LocalHealth Health_;
  MonoTime Now_{100s};
  std::size_t Pings_ = 0;

private:
  void deliver() {
    while (!Pending_.empty() && std::get<0>(*Pending_.begin()) <= Now_) {
      auto [At, Link, PingedAt] = *Pending_.begin();
      Pending_.erase(Pending_.begin());
      Health_.answered(At, Link, PingedAt);
    }
  }

  std::vector<Micros> RoundTrips_;
  std::set<std::tuple<MonoTime, LinkId, MonoTime>> Pending_;
};

} // namespace

TEST_CASE("a host is impaired while all peers answer late, and only then") {
  Host H({2ms, 3ms, 4ms, 5ms});
  H.run(3s);
  CHECK(H.impairment() == 0);
  CHECK(H.Health_.health().RoundTrip_ == Micros(2ms));
  CHECK(H.Health_.health().Peers_ == 4);
  H.setRoundTrips({150ms, 180ms, 300ms, 170ms});
  H.run(1s);
  CHECK(H.impairment() == 0); // a single round
  H.run(500ms);
  CHECK(H.impairment() == 15);
  CHECK(H.Health_.health().Reason_ == HostHealth::Reason::RoundTrips);
  H.setRoundTrips({2ms, 3ms, 4ms, 5ms});
  H.run(1s);
  CHECK(H.impairment() == 0);
}

TEST_CASE("pings without an answer count with their age") {
  Host H({2ms, 2ms, 2ms});
  H.run(3s);
  H.setRoundTrips({20s, 20s, 20s}); // later than the test ends
  H.run(1500ms);
  CHECK(H.impairment() >= 50);
  H.run(10s);
  CHECK(H.impairment() == LocalHealth::MaxImpairment);
}

TEST_CASE("slow or silent peers don't impair the host while one answers soon") {
  Host H({2ms, 2ms, 2ms, 2ms});
  H.run(3s);
  H.setRoundTrips({900ms, -1ms, 300ms, 2ms});
  H.run(10s);
  CHECK(H.impairment() == 0);
}

TEST_CASE("fewer than three peers give no signal") {
  Host H({700ms, 800ms});
  H.run(10s);
  CHECK(H.impairment() == 0);
  CHECK_FALSE(H.Health_.health().RoundTrip_);
  H.Health_.opened(LinkId{3});
  H.setRoundTrips({700ms, 800ms, 600ms});
  H.run(3s);
  CHECK(H.impairment() != 0);
  H.Health_.closed(LinkId{1}); // its results and unanswered pings go with it
  H.run(1s);
  CHECK(H.impairment() == 0);
}

TEST_CASE("ticks that are all late impair the host, and a few don't") {
  Host H({2ms, 2ms, 2ms});
  H.run(3s);
  H.run(200ms, 400ms); // one late tick
  H.run(2s);
  CHECK(H.impairment() == 0);
  H.run(3s, 150ms);
  CHECK(H.impairment() >= 15);
  CHECK(H.Health_.health().Reason_ == HostHealth::Reason::LateTicks);
}

TEST_CASE("a suspended process doesn't hold its pings against its host") {
  for (Micros For : {1300ms, 3000ms, 60000ms}) {
    Host H({2ms, 2ms, 2ms});
    H.run(3s);
    for (int Round = 0; Round < 3; ++Round) {
      H.suspend(For);
      H.run(250ms);
      CHECK(H.impairment() == 0);
      H.run(250ms);
      CHECK(H.impairment() == 0);
      H.run(600ms);
      CHECK(H.impairment() == 0);
    }
  }
}

TEST_CASE("a host that is impaired starts afresh after a suspension") {
  Host H({300ms, 300ms, 300ms});
  H.run(3s);
  CHECK(H.impairment() != 0);
  H.suspend(5s);
  H.run(250ms);
  CHECK(H.impairment() == 0);
  H.run(2s);
  CHECK(H.impairment() != 0);
}

TEST_CASE("answers that no ping explains are ignored") {
  Host H({300ms, 300ms, 300ms});
  H.run(3s);
  CHECK(H.impairment() != 0);
  for (std::uint64_t Link = 1; Link <= 4; ++Link)
    H.Health_.answered(H.Now_, LinkId{Link}, H.Now_ + 5s);
  H.run(1s);
  CHECK(H.impairment() != 0);
}

TEST_CASE("a balancer with many links pings a few of them in turn") {
  Host H(std::vector<Micros>(32, 2ms));
  H.run(10s);
  std::size_t Rounds = 20;
  CHECK(H.Pings_ <= (Rounds + 1) * LocalHealth::MaxPingsPerRound);
  CHECK(H.Health_.health().Peers_ >= 2 * LocalHealth::MaxPingsPerRound - 1);
  H.setRoundTrips(std::vector<Micros>(32, 400ms));
  H.run(2s);
  CHECK(H.impairment() >= 40);
}

TEST_CASE("links that were pinged for another purpose are not pinged again") {
  Host H({2ms, 2ms, 2ms});
  H.run(3s);
  std::size_t Before = H.Pings_;
  for (int Round = 0; Round < 8; ++Round) {
    H.Health_.pingedAll(H.Now_ + 10ms);
    for (std::uint64_t Link = 1; Link <= 3; ++Link)
      H.Health_.answered(H.Now_ + 12ms, LinkId{Link}, H.Now_ + 10ms);
    H.run(250ms);
  }
  CHECK(H.Pings_ - Before <= 3);
  CHECK(H.Health_.health().Peers_ == 3);
  CHECK(H.impairment() == 0);
}

TEST_CASE("a balancer whose peers all fall silent does not step back") {
  Host H({2ms, 2ms, 2ms});
  H.run(3s);
  H.setRoundTrips({-1ms, -1ms, -1ms});
  HallView Hall{1, {{2, 0, true, 0s}, {3, 0, true, 0s}}, 12};
  StepBack Decision;
  for (Micros Time = 0s; Time < 5s; Time += TickInterval) {
    CAPTURE(Time.count());
    H.run(TickInterval);
    for (HallMember &M : Hall.Members_)
      M.Age_ += TickInterval;
    Decision.update(H.Now_, static_cast<std::uint8_t>(H.impairment()), Hall,
                    H.Health_.health().Answered_);
    CHECK_FALSE(Decision.isSteppedBack());
  }
}

TEST_CASE("a balancer whose peers answer late steps back") {
  for (Micros RoundTrip : {Micros(150ms), Micros(700ms), Micros(1800ms)}) {
    CAPTURE(RoundTrip.count());
    Host H({2ms, 2ms, 2ms});
    H.run(3s);
    H.setRoundTrips({RoundTrip, RoundTrip + 20ms, RoundTrip + 40ms});
    HallView Hall{1, {{2, 0, true, 0s}, {3, 0, true, 0s}}, 12};
    StepBack Decision;
    for (Micros Time = 0s; Time < 4s; Time += TickInterval) {
      H.run(TickInterval);
      Decision.update(H.Now_, static_cast<std::uint8_t>(H.impairment()), Hall,
                      H.Health_.health().Answered_);
    }
    CHECK(Decision.isSteppedBack());
  }
}
