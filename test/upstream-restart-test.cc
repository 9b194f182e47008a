#include "three-upstreams.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;

namespace {

UpstreamChange startedUpstream(std::uint64_t Id, std::uint64_t BornMs,
                               Revision At) {
  UpstreamChange Change = up(Id);
  Change.Revision_ = At;
  Change.Entry_->StartTimeMs_ = BornMs;
  return Change;
}

/// A balancer whose upstreams publish start times, with a flow at one of them.
struct RestartedUpstream {
  RestartedUpstream() {
    B_.B_.applyUpstreams(at(0ms), {startedUpstream(1, 100, 2),
                                   startedUpstream(2, 100, 3),
                                   startedUpstream(3, 100, 4)});
    RestartedId_ = B_.request(1);
  }

  void restart(std::chrono::milliseconds Time) {
    B_.B_.applyUpstreams(at(Time), {startedUpstream(RestartedId_, 200, 10)});
  }

  RecordingBalancer B_;
  std::uint64_t RestartedId_ = 0;
};

} // namespace

TEST_CASE("a restart under the same incarnation clears all failures") {
  RestartedUpstream R;
  RecordingBalancer &B = R.B_;
  SUBCASE("a failed liveness check") {
    B.checked(300ms, R.RestartedId_, CheckResult::Dead, 200ms);
    REQUIRE_FALSE(B.takesFlows(R.RestartedId_, 350ms));
    R.restart(400ms);
    CHECK(B.takesFlows(R.RestartedId_, 450ms));
  }
  SUBCASE("an ejection for unanswered openings") {
    B.open(10ms, 50);
    for (std::uint16_t Port = 100; Port < 140; ++Port)
      if (B.open(20ms, Port) == R.RestartedId_)
        B.open(300ms, Port, 1);
    REQUIRE_FALSE(B.takesFlows(R.RestartedId_, 350ms));
    R.restart(400ms);
    CHECK(B.takesFlows(R.RestartedId_, 450ms));
  }
  SUBCASE("the takeover of its address by another upstream") {
    UpstreamChange Next = startedUpstream(7, 150, 8);
    Next.Entry_->Address_ = up(R.RestartedId_).Entry_->Address_;
    B.B_.applyUpstreams(at(100ms), {Next});
    REQUIRE_FALSE(B.takesFlows(R.RestartedId_, 150ms));
    UpstreamChange Again = startedUpstream(R.RestartedId_, 200, 10);
    Again.Entry_->Address_ = Endpoint::v4(0x0a00ff01, 9000);
    B.B_.applyUpstreams(at(400ms), {Again});
    CHECK(B.takesFlows(R.RestartedId_, 450ms));
  }
}

TEST_CASE("evidence from before a restart is ignored") {
  RestartedUpstream R;
  RecordingBalancer &B = R.B_;
  R.restart(400ms);
  SUBCASE("a liveness check") {
    B.checked(500ms, R.RestartedId_, CheckResult::Dead, 350ms);
    CHECK(B.takesFlows(R.RestartedId_, 550ms));
    CHECK(B.Warnings_.empty());
  }
  SUBCASE("a peer's warning about the earlier start") {
    B.B_.onPeerWarning(at(500ms), {Incarnation{R.RestartedId_},
                                   UpstreamWarning::Kind::Dead, FlowId{}, 100});
    B.B_.tick(at(600ms));
    CHECK(B.Checks_.empty());
    B.B_.onPeerWarning(at(650ms), {Incarnation{R.RestartedId_},
                                   UpstreamWarning::Kind::Dead, FlowId{}, 200});
    B.B_.tick(at(850ms));
    CHECK(B.Checks_ == std::vector<std::uint64_t>{R.RestartedId_});
  }
  SUBCASE("a pending request") {
    for (auto Now = 500ms; Now < 3s; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK(B.Warnings_.empty());
    CHECK(B.takesFlows(R.RestartedId_, 3s));
  }
}

TEST_CASE("flows are forwarded to the restarted upstream and not reset") {
  RestartedUpstream R;
  RecordingBalancer &B = R.B_;
  R.restart(400ms);
  CHECK(B.Resets_.empty());
  Packet P = packet(1);
  P.Acknowledges_ = true;
  P.Cookie_ = static_cast<Cookie>(R.RestartedId_);
  P.Acknowledged_ = 1000;
  P.DataSize_ = 100;
  Verdict V = B.B_.steer(at(500ms), P);
  const auto *F = std::get_if<Forward>(&V);
  REQUIRE(F);
  CHECK(raw(F->Upstream_) == R.RestartedId_);
}

TEST_CASE("requests sent before the restart do not count as load") {
  RestartedUpstream R;
  RecordingBalancer &B = R.B_;
  for (std::uint16_t Port = 1000; Port < 1100; ++Port)
    B.open(100ms, Port);
  R.restart(400ms);
  PacketStatus S = B.B_.status(at(400ms));
  for (const UpstreamStatus &Up : S.Upstreams_)
    if (raw(Up.Incarnation_) == R.RestartedId_) {
      CHECK(Up.Row_.OwnFlows_ == 0);
      CHECK(Up.Row_.InFlight_ == 0);
    }
}
