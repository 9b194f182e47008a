#include "three-upstreams.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;

namespace {

/// Returns a routing table that names the services 1 and 2.
RoutingTablePtr twoServiceTable(Version V) {
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = V;
  Table->Addresses_[ServiceAt] = {{ServiceId{1}, 1}};
  Table->ServiceNames_[2] = "other";
  return Table;
}

/// A balancer with flows at its upstreams, and a change that publishes a
/// successor at the address of one of them.
struct SharedAddress {
  SharedAddress() {
    B_.B_.setRouting(at(0ms), twoServiceTable(2));
    FirstId_ = B_.request(1);
    for (std::uint16_t Other = 2; B_.request(Other) == FirstId_;)
      ++Other;
    SuccessorChange_ = up(7);
    SuccessorChange_.Revision_ = 5;
    SuccessorChange_.Entry_->Address_ = up(FirstId_).Entry_->Address_;
    SuccessorChange_.Entry_->Service_ = ServiceId{2};
  }

  UpstreamChange firstRemoved() const {
    return {Incarnation{FirstId_}, 6, std::nullopt};
  }
  bool getsNoFlows(std::uint64_t Upstream, std::chrono::milliseconds Time) {
    return !B_.takesFlows(Upstream, Time);
  }

  RecordingBalancer B_;
  std::uint64_t FirstId_ = 0;
  UpstreamChange SuccessorChange_;
};

} // namespace

TEST_CASE("a removed upstream is dead once another one has its address") {
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  SUBCASE("its flows are reset and it is never checked or chosen again") {
    B.B_.applyUpstreams(at(100ms), {S.SuccessorChange_, S.firstRemoved()});
    REQUIRE_FALSE(B.Resets_.empty());
    CHECK(B.Resets_.front().Error_ == ErrorKind::UpstreamDead);
    for (auto Now = 250ms; Now < 10s; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK(B.Checks_.empty());
    // The other upstream answers at the address.
    B.checked(10s, S.FirstId_, CheckResult::Connected, 9s);
    CHECK(S.getsNoFlows(S.FirstId_, 10s));
  }
  SUBCASE("it stays dead after a suspension") {
    B.B_.applyUpstreams(at(100ms), {S.SuccessorChange_, S.firstRemoved()});
    B.B_.tick(at(250ms));
    B.B_.tick(at(9s));
    CHECK(S.getsNoFlows(S.FirstId_, 9s));
  }
  SUBCASE("in any order of the changes") {
    RecordingBalancer C;
    C.B_.setRouting(at(0ms), twoServiceTable(2));
    C.B_.applyUpstreams(at(0ms), {S.SuccessorChange_});
    C.B_.applyUpstreams(at(10ms), {up(S.FirstId_)});
    C.B_.applyUpstreams(at(20ms), {S.firstRemoved()});
    CHECK_FALSE(C.takesFlows(S.FirstId_, 30ms));
  }
  SUBCASE("a change of its own entry does not replace it") {
    UpstreamChange Same = up(S.FirstId_);
    Same.Revision_ = 6;
    B.B_.applyUpstreams(at(100ms), {Same});
    CHECK(B.Resets_.empty());
  }
}

TEST_CASE("a delayed entry does not take over an address") {
  // The first upstream crashes behind a network partition and another one takes
  // its address. Its delayed entry arrives when the partition heals.
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  S.SuccessorChange_.Entry_->Service_ = ServiceId{1};
  B.B_.applyUpstreams(at(100ms), {S.firstRemoved()});
  B.B_.applyUpstreams(at(200ms), {S.SuccessorChange_});
  B.follow(300ms, 500, 7, 1000, 1, 100); // a flow at its successor
  std::size_t Before = B.Resets_.size();
  UpstreamChange Late = up(S.FirstId_);
  Late.Revision_ = 724;
  SUBCASE("at a balancer that knows both upstreams") {
    B.B_.applyUpstreams(at(400ms), {Late});
    CHECK(B.Resets_.size() == Before);
    CHECK(B.takesFlows(7, 500ms));
    CHECK_FALSE(B.takesFlows(S.FirstId_, 500ms));
  }
  SUBCASE("at a balancer that has just started") {
    RecordingBalancer C;
    C.B_.setRouting(at(0ms), twoServiceTable(2));
    C.B_.applyUpstreams(at(0ms), {S.SuccessorChange_});
    C.follow(100ms, 500, 7, 1000, 1, 100);
    Late.Incarnation_ = Incarnation{8};
    Late.Entry_->Incarnation_ = Incarnation{8};
    C.B_.applyUpstreams(at(400ms), {Late});
    CHECK(C.Resets_.empty());
    CHECK(C.takesFlows(7, 500ms));
  }
}

TEST_CASE("with start times, the upstream that started later has the address") {
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  UpstreamChange First = up(S.FirstId_);
  First.Revision_ = 4;
  First.Entry_->StartTimeMs_ = 1000;
  S.SuccessorChange_.Entry_->StartTimeMs_ = 2000;
  B.B_.applyUpstreams(at(50ms), {First});
  B.request(400);
  while (B.request(400) != S.FirstId_)
    B.finish(11ms, 400, 0, 0);
  SUBCASE("while the earlier one is still published") {
    B.B_.applyUpstreams(at(100ms), {S.SuccessorChange_});
    CHECK_FALSE(B.Resets_.empty());
    CHECK(S.getsNoFlows(S.FirstId_, 200ms));
  }
  SUBCASE("when the earlier one is published again") {
    B.B_.applyUpstreams(at(100ms), {S.SuccessorChange_});
    B.follow(150ms, 500, 7, 1000, 1, 100);
    std::size_t Before = B.Resets_.size();
    First.Revision_ = 724;
    B.B_.applyUpstreams(at(200ms), {First});
    CHECK(B.Resets_.size() == Before);
    CHECK(S.getsNoFlows(S.FirstId_, 300ms));
  }
}

TEST_CASE("an upstream of an unnamed service does not take over an address") {
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  S.SuccessorChange_.Entry_->Service_ = ServiceId{99};
  B.B_.applyUpstreams(at(100ms), {S.SuccessorChange_, S.firstRemoved()});
  CHECK(B.Resets_.empty());
  SUBCASE("until a routing table names the service") {
    auto Table = std::make_shared<RoutingTable>(*twoServiceTable(3));
    Table->ServiceNames_[99] = "new";
    B.B_.setRouting(at(200ms), Table);
    CHECK_FALSE(B.Resets_.empty());
  }
}

// Another writer's entry must not lead the packets of open flows elsewhere.
TEST_CASE("an entry of an unnamed service under a living upstream's identifier "
          "leaves its flows alone") {
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  UpstreamChange Foreign = up(S.FirstId_);
  Foreign.Revision_ = 6;
  Foreign.Entry_->Service_ = ServiceId{99};
  Foreign.Entry_->Address_ = Endpoint::v4(0x0a000063, 9);
  auto ForwardsFlow = [&](std::chrono::milliseconds Time) {
    Packet P = packet(1);
    P.Acknowledges_ = true;
    P.Cookie_ = static_cast<Cookie>(S.FirstId_);
    P.Acknowledged_ = 2000;
    Verdict V = B.B_.steer(at(Time), P);
    const auto *F = std::get_if<Forward>(&V);
    return F && F->To_ == up(S.FirstId_).Entry_->Address_;
  };
  REQUIRE(ForwardsFlow(50ms));
  B.B_.applyUpstreams(at(100ms), {Foreign});
  CHECK(ForwardsFlow(150ms));
  CHECK_FALSE(B.takesFlows(S.FirstId_, 200ms));
  SUBCASE("until the upstream publishes itself again") {
    UpstreamChange Own = up(S.FirstId_);
    Own.Revision_ = 7;
    B.B_.applyUpstreams(at(800ms), {Own});
    CHECK(ForwardsFlow(850ms));
    CHECK(B.takesFlows(S.FirstId_, 900ms));
  }
  SUBCASE("and a routing table that names the service later uses it") {
    auto Table = std::make_shared<RoutingTable>(*twoServiceTable(3));
    Table->ServiceNames_[99] = "new";
    CHECK(B.B_.status(at(300ms)).UnnamedUpstreams_ == 1);
    B.B_.setRouting(at(400ms), Table);
    CHECK(B.B_.status(at(500ms)).UnnamedUpstreams_ == 0);
  }
  SUBCASE("and it is forgotten with its removal") {
    B.B_.applyUpstreams(at(300ms), {S.firstRemoved()});
    CHECK(B.B_.status(at(400ms)).UnnamedUpstreams_ == 0);
    CHECK(ForwardsFlow(500ms));
  }
  CHECK(B.Resets_.empty());
  CHECK(B.Checks_.empty());
}

TEST_CASE("a balancer that starts with an entry of an unnamed service sends no "
          "packets to its address") {
  RecordingBalancer B;
  B.B_.setRouting(at(0ms), twoServiceTable(2));
  UpstreamChange Foreign = up(8);
  Foreign.Entry_->Service_ = ServiceId{99};
  Foreign.Entry_->Address_ = Endpoint::v4(0x0a000063, 9);
  B.B_.applyUpstreams(at(10ms), {Foreign});
  Packet P = packet(1);
  P.Acknowledges_ = true;
  P.Cookie_ = Cookie{8};
  P.Acknowledged_ = 2000;
  Verdict Before = B.B_.steer(at(20ms), P);
  const auto *D = std::get_if<Dropped>(&Before);
  REQUIRE(D);
  CHECK(D->Error_ == ErrorKind::UnknownCookie); // it may be published yet
  B.B_.applyUpstreams(at(30ms), {up(8)});
  Verdict After = B.B_.steer(at(40ms), P);
  const auto *F = std::get_if<Forward>(&After);
  REQUIRE(F);
  CHECK(F->To_ == up(8).Entry_->Address_);
  CHECK(B.Resets_.empty());
}
