#include "three-upstreams.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;

namespace {

/// A table that names the services 1 and 2.
RoutingTablePtr bothServices(Version V) {
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = V;
  Table->Addresses_[ServiceAt] = {{ServiceId{1}, 1}};
  Table->ServiceNames_[2] = "other";
  return Table;
}

/// A balancer with a flow at each of its upstreams, and the entry of another
/// one at the address of one of them.
struct SharedAddress {
  SharedAddress() {
    B_.B_.setRouting(at(0ms), bothServices(2));
    First_ = B_.request(1);
    for (std::uint16_t Other = 2; B_.request(Other) == First_;)
      ++Other;
    Next_ = up(7);
    Next_.Revision_ = 5;
    Next_.Entry_->At_ = up(First_).Entry_->At_;
    Next_.Entry_->Service_ = ServiceId{2};
  }

  UpstreamChange firstGone() const {
    return {Incarnation{First_}, 6, std::nullopt};
  }
  bool neverChosen(std::uint64_t Upstream, std::chrono::milliseconds Time) {
    return !B_.takesFlows(Upstream, Time);
  }

  RecordingBalancer B_;
  std::uint64_t First_ = 0;
  UpstreamChange Next_;
};

} // namespace

TEST_CASE("an upstream that is gone has ended once another has its address") {
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  SUBCASE("its flows are reset, and it is never checked nor chosen again") {
    B.B_.applyUpstreams(at(100ms), {S.Next_, S.firstGone()});
    REQUIRE_FALSE(B.Resets_.empty());
    CHECK(B.Resets_.front().Why_ == ErrorKind::UpstreamDead);
    for (auto Now = 250ms; Now < 10s; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK(B.Checks_.empty());
    // What answers at the address is the other one.
    B.checked(10s, S.First_, CheckResult::Connected, 9s);
    CHECK(S.neverChosen(S.First_, 10s));
  }
  SUBCASE("also after a sleep, which ends other beliefs") {
    B.B_.applyUpstreams(at(100ms), {S.Next_, S.firstGone()});
    B.B_.tick(at(250ms));
    B.B_.tick(at(9s));
    CHECK(S.neverChosen(S.First_, 9s));
  }
  SUBCASE("whichever of them is heard of first") {
    RecordingBalancer C;
    C.B_.setRouting(at(0ms), bothServices(2));
    C.B_.applyUpstreams(at(0ms), {S.Next_});
    C.B_.applyUpstreams(at(10ms), {up(S.First_)});
    C.B_.applyUpstreams(at(20ms), {S.firstGone()});
    CHECK_FALSE(C.takesFlows(S.First_, 30ms));
  }
  SUBCASE("its own changes are no other upstream") {
    UpstreamChange Same = up(S.First_);
    Same.Revision_ = 6;
    B.B_.applyUpstreams(at(100ms), {Same});
    CHECK(B.Resets_.empty());
  }
}

TEST_CASE("an entry that is written late takes no address from who has it") {
  // The first upstream is cut off and crashes behind the cut; another one takes
  // its address. When the cut heals, what the first wrote before arrives.
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  S.Next_.Entry_->Service_ = ServiceId{1};
  B.B_.applyUpstreams(at(100ms), {S.firstGone()});
  B.B_.applyUpstreams(at(200ms), {S.Next_});
  B.follow(300ms, 500, 7, 1000, 1, 100); // a flow at the other one
  std::size_t Before = B.Resets_.size();
  UpstreamChange Late = up(S.First_);
  Late.Revision_ = 724;
  SUBCASE("at a balancer that knows both") {
    B.B_.applyUpstreams(at(400ms), {Late});
    CHECK(B.Resets_.size() == Before);
    CHECK(B.takesFlows(7, 500ms));
    CHECK_FALSE(B.takesFlows(S.First_, 500ms));
  }
  SUBCASE("at one that has just started") {
    RecordingBalancer C;
    C.B_.setRouting(at(0ms), bothServices(2));
    C.B_.applyUpstreams(at(0ms), {S.Next_});
    C.follow(100ms, 500, 7, 1000, 1, 100);
    Late.Incarnation_ = Incarnation{8};
    Late.Entry_->Incarnation_ = Incarnation{8};
    C.B_.applyUpstreams(at(400ms), {Late});
    CHECK(C.Resets_.empty());
    CHECK(C.takesFlows(7, 500ms));
  }
}

TEST_CASE("where births are told the later start has the address") {
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  UpstreamChange First = up(S.First_);
  First.Revision_ = 4;
  First.Entry_->StartTimeMs_ = 1000;
  S.Next_.Entry_->StartTimeMs_ = 2000;
  B.B_.applyUpstreams(at(50ms), {First});
  B.request(400);
  while (B.request(400) != S.First_)
    B.finish(11ms, 400, 0, 0);
  SUBCASE("also while the earlier one is still published") {
    B.B_.applyUpstreams(at(100ms), {S.Next_});
    CHECK_FALSE(B.Resets_.empty());
    CHECK(S.neverChosen(S.First_, 200ms));
  }
  SUBCASE("also when the earlier one is published again, later") {
    B.B_.applyUpstreams(at(100ms), {S.Next_});
    B.follow(150ms, 500, 7, 1000, 1, 100);
    std::size_t Before = B.Resets_.size();
    First.Revision_ = 724;
    B.B_.applyUpstreams(at(200ms), {First});
    CHECK(B.Resets_.size() == Before);
    CHECK(S.neverChosen(S.First_, 300ms));
  }
}

TEST_CASE("an entry of a service that nobody has named takes no address") {
  SharedAddress S;
  RecordingBalancer &B = S.B_;
  S.Next_.Entry_->Service_ = ServiceId{99};
  B.B_.applyUpstreams(at(100ms), {S.Next_, S.firstGone()});
  CHECK(B.Resets_.empty());
  SUBCASE("until a table names it") {
    auto Table = std::make_shared<RoutingTable>(*bothServices(3));
    Table->ServiceNames_[99] = "new";
    B.B_.setRouting(at(200ms), Table);
    CHECK_FALSE(B.Resets_.empty());
  }
}
