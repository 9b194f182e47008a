#include "three-upstreams.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;

namespace {

UpstreamChange born(std::uint64_t Id, std::uint64_t BornMs, Revision At) {
  UpstreamChange Change = up(Id);
  Change.Revision_ = At;
  Change.Entry_->StartTimeMs_ = BornMs;
  return Change;
}

/// A balancer whose upstreams tell their births, with a flow at one of them.
struct Restarted {
  Restarted() {
    B_.B_.applyUpstreams(at(0ms),
                         {born(1, 100, 2), born(2, 100, 3), born(3, 100, 4)});
    Which_ = B_.request(1);
  }

  void startAgain(std::chrono::milliseconds Time) {
    B_.B_.applyUpstreams(at(Time), {born(Which_, 200, 10)});
  }

  RecordingBalancer B_;
  std::uint64_t Which_ = 0;
};

} // namespace

TEST_CASE("a start under the same incarnation ends every verdict") {
  Restarted R;
  RecordingBalancer &B = R.B_;
  SUBCASE("death") {
    B.checked(300ms, R.Which_, CheckResult::Dead, 200ms);
    REQUIRE_FALSE(B.takesFlows(R.Which_, 350ms));
    R.startAgain(400ms);
    CHECK(B.takesFlows(R.Which_, 450ms));
  }
  SUBCASE("an ejection for unanswered openings") {
    B.open(10ms, 50);
    for (std::uint16_t Port = 100; Port < 140; ++Port)
      if (B.open(20ms, Port) == R.Which_)
        B.open(300ms, Port, 1);
    REQUIRE_FALSE(B.takesFlows(R.Which_, 350ms));
    R.startAgain(400ms);
    CHECK(B.takesFlows(R.Which_, 450ms));
  }
  SUBCASE("the end at an address that another has taken") {
    UpstreamChange Next = born(7, 150, 8);
    Next.Entry_->At_ = up(R.Which_).Entry_->At_;
    B.B_.applyUpstreams(at(100ms), {Next});
    REQUIRE_FALSE(B.takesFlows(R.Which_, 150ms));
    UpstreamChange Again = born(R.Which_, 200, 10);
    Again.Entry_->At_ = Endpoint::v4(0x0a00ff01, 9000);
    B.B_.applyUpstreams(at(400ms), {Again});
    CHECK(B.takesFlows(R.Which_, 450ms));
  }
}

TEST_CASE("what began before a start says nothing of it") {
  Restarted R;
  RecordingBalancer &B = R.B_;
  R.startAgain(400ms);
  SUBCASE("a check") {
    B.checked(500ms, R.Which_, CheckResult::Dead, 350ms);
    CHECK(B.takesFlows(R.Which_, 550ms));
    CHECK(B.Warnings_.empty());
  }
  SUBCASE("a peer's warning of the earlier start") {
    B.B_.warned(at(500ms), {Incarnation{R.Which_}, UpstreamWarning::Kind::Dead,
                            FlowId{}, 100});
    B.B_.tick(at(600ms));
    CHECK(B.Checks_.empty());
    B.B_.warned(at(650ms), {Incarnation{R.Which_}, UpstreamWarning::Kind::Dead,
                            FlowId{}, 200});
    B.B_.tick(at(850ms));
    CHECK(B.Checks_ == std::vector<std::uint64_t>{R.Which_});
  }
  SUBCASE("a request that waits: no stall, no check") {
    for (auto Now = 500ms; Now < 3s; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK(B.Warnings_.empty());
    CHECK(B.takesFlows(R.Which_, 3s));
  }
}

TEST_CASE("flows are left to the new start, which knows which it holds") {
  Restarted R;
  RecordingBalancer &B = R.B_;
  R.startAgain(400ms);
  CHECK(B.Resets_.empty());
  Packet P = packet(1);
  P.Acknowledges_ = true;
  P.Cookie_ = static_cast<Cookie>(R.Which_);
  P.Acknowledged_ = 1000;
  P.DataSize_ = 100;
  Verdict V = B.B_.steer(at(500ms), P);
  const auto *F = std::get_if<Forward>(&V);
  REQUIRE(F);
  CHECK(raw(F->Upstream_) == R.Which_);
}

TEST_CASE("requests at the earlier start weigh nothing at the new one") {
  Restarted R;
  RecordingBalancer &B = R.B_;
  for (std::uint16_t Port = 1000; Port < 1100; ++Port)
    B.open(100ms, Port);
  R.startAgain(400ms);
  PacketStatus S = B.B_.status(at(400ms));
  for (const SteeredUpstream &Up : S.Upstreams_)
    if (raw(Up.Incarnation_) == R.Which_) {
      CHECK(Up.Row_.OwnFlows_ == 0);
      CHECK(Up.Row_.InFlight_ == 0);
    }
}
