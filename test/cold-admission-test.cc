/// \file
/// New flows to cold upstreams from a whole fleet, in any second.
#include "cold-fleet.h"
#include "packets.h"

#include <cmath>
#include <doctest/doctest.h>
#include <set>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

constexpr FleetBelief Beliefs[] = {
    FleetBelief::Alike, FleetBelief::Halved,  FleetBelief::Apart,
    FleetBelief::Added, FleetBelief::Partial, FleetBelief::Restarted};

struct Upstreams {
  std::size_t Warm_;
  std::size_t Cold_;
};
constexpr Upstreams Loads[] = {{119, 1}, {112, 8}, {80, 40}, {0, 40}};

/// A view of a settled balancer that has heard of nobody.
FleetView alone() { return {1, {}, true}; }

UpstreamChange cold(std::uint64_t Id, Micros For) {
  UpstreamChange Change = up(Id, Index);
  Change.Entry_->WarmAt_ = at(0ms) + For;
  return Change;
}

RoutingTablePtr limited(Version V, double PerSecond) {
  auto Table = std::make_shared<RoutingTable>(*table(V, {{IndexAt, Index}}));
  Table->ColdFlowsPerSecond_[raw(Index)] = PerSecond;
  return Table;
}

PacketBalancer withLimit(double PerSecond) {
  PacketBalancer B = PacketBalancerBuilder().coldOver(1.5, 5).build();
  B.setRouting(at(0ms), limited(1, PerSecond));
  B.confirm(at(0ms));
  return B;
}

/// Openings in a second, one every 10 ms, by upstream.
std::map<std::uint64_t, int> openings(PacketBalancer &B, Micros From) {
  std::map<std::uint64_t, int> Count;
  for (std::uint16_t I = 0; I < 100; ++I)
    ++Count[upstreamOf(B.steer(at(0ms) + From + I * 10ms,
                               opening(static_cast<std::uint16_t>(I + 1))))];
  return Count;
}

} // namespace

TEST_CASE(
    "in no second do a cold upstream's flows pass its limit, whatever the "
    "balancers believe of each other") {
  for (std::size_t Balancers : {8U, 90U, 300U})
    for (double PerSecond : {2.0, 10.0, 50.0})
      for (FleetBelief Which : Beliefs)
        for (const Upstreams &U : Loads) {
          CAPTURE(Balancers);
          CAPTURE(PerSecond);
          CAPTURE(nameOf(Which));
          CAPTURE(U.Cold_);
          ColdScenario S{
              Balancers, U.Warm_, U.Cold_, {PerSecond, 1.5, 5}, Which};
          CHECK(play(S, ColdWay::Owners, 4, 7).Fullest_ <= 1.0);
        }
}

TEST_CASE(
    "parts stay within the limit, and nothing is given where not even one "
    "owner fits") {
  CHECK(coldParts({2, 1.5, 5}).Owners_ == 1);
  CHECK(coldParts({50, 1.5, 5}).Owners_ > 1);
  CHECK(coldParts({1, 1, 0}).Owners_ == 0);
  for (double PerSecond = 0.5; PerSecond < 1000; PerSecond *= 1.3) {
    ColdLimit Limit{PerSecond, 1.5, 5};
    ColdParts Parts = coldParts(Limit);
    if (Parts.Owners_ == 0)
      continue;
    double Each =
        std::floor(1e6 / static_cast<double>(Parts.Every_.count())) + 1;
    CHECK(Each * static_cast<double>(Parts.Owners_) <= Limit.most());
  }
}

TEST_CASE(
    "a balancer that has just come, or is about to leave, opens nothing to "
    "a cold upstream") {
  ColdAdmission Cold;
  ColdLimit Limit{10, 1.5, 5};
  CHECK_FALSE(Cold.admits(at(0ms), Incarnation{1}, Limit));
  Cold.setFleet(alone());
  CHECK(Cold.admits(at(0ms), Incarnation{1}, Limit));
  FleetView Leaving = alone();
  Leaving.Settled_ = false;
  Cold.setFleet(Leaving);
  CHECK_FALSE(Cold.admits(at(0ms), Incarnation{1}, Limit));
}

TEST_CASE("of two balancers that know each other one owns a limit of 2") {
  ColdLimit Limit{2, 1.5, 5};
  ColdAdmission One;
  ColdAdmission Two;
  One.setFleet({1, {2}, true});
  Two.setFleet({2, {1}, true});
  std::set<bool> Owns;
  for (std::uint64_t Id = 1; Id < 50; ++Id) {
    bool First = One.admits(at(0ms), Incarnation{Id}, Limit);
    CHECK(First != Two.admits(at(0ms), Incarnation{Id}, Limit));
    Owns.insert(First);
  }
  CHECK(Owns.size() == 2);
}

TEST_CASE("new flows beyond a cold upstream's limit go to warm ones") {
  PacketBalancer B = withLimit(10);
  B.setFleet(alone());
  B.applyUpstreams(at(0ms), {up(1, Index), up(2, Index), cold(3, 2s)});
  auto Count = openings(B, 0ms);
  CHECK(Count[3] > 0);
  CHECK(Count[3] <= 20);
  CHECK(Count[0] == 0);
  CHECK(Count[1] + Count[2] + Count[3] == 100);
  // Once it is warm it gets its part like the others.
  CHECK(openings(B, 3s)[3] > 20);
}

TEST_CASE("where all are cold, callers beyond the limit are told at once, and "
          "openings return with the first that is warm") {
  PacketBalancer B = withLimit(2);
  B.setFleet(alone());
  B.applyUpstreams(at(0ms), {cold(1, 2s), cold(2, 5s)});
  auto Count = openings(B, 0ms);
  CHECK(Count[1] <= 8);
  CHECK(Count[2] <= 8);
  CHECK(Count[0] > 80);
  Verdict V = B.steer(at(1s), opening(500));
  REQUIRE(std::holds_alternative<ResetFlow>(V));
  CHECK(std::get<ResetFlow>(V).Why_ == ErrorKind::AllCold);
  CHECK(openings(B, 2s)[0] == 0);
}

TEST_CASE("copies and retries of an opening count like the first one") {
  PacketBalancer B = withLimit(2);
  B.setFleet(alone());
  B.applyUpstreams(at(0ms), {cold(1, 5s)});
  int Sent = 0;
  for (std::uint16_t Port = 1; Port <= 50; ++Port) {
    Micros When = Port * 20ms;
    Sent += forwarded(B.steer(at(0ms) + When, opening(Port))) ? 1 : 0;
    Sent +=
        forwarded(B.retryOpening(at(0ms) + When + 5ms, opening(Port))) ? 1 : 0;
    Sent += forwarded(B.steer(at(0ms) + When + 9ms, opening(Port, 1))) ? 1 : 0;
  }
  CHECK(Sent > 0);
  CHECK(Sent <= 8);
}

TEST_CASE("a service without a limit is served as ever") {
  PacketBalancer B = withLimit(10);
  B.setRouting(at(0ms), limited(2, 0));
  B.applyUpstreams(at(0ms), {cold(1, 5s), cold(2, 5s)});
  CHECK(openings(B, 0ms)[0] == 0);
}

TEST_CASE("owners stay few where each balancer has heard of few others") {
  const ColdLimit Limit{50, 1.5, 5};
  std::size_t Wanted = coldParts(Limit).Owners_;
  for (std::size_t Fleet : {585U, 4000U}) {
    for (double Judged : {0.6, 1.0, 1.6}) { // of the true size
      CAPTURE(Fleet);
      CAPTURE(Judged);
      std::map<std::uint64_t, std::size_t> Owners;
      for (std::size_t Which = 0; Which < Fleet; ++Which) {
        FleetView View{hashPair(Which, 1), {}, true};
        for (std::uint64_t I = 0; I < 45; ++I)
          View.Others_.push_back(hashPair(hashPair(Which, I) % Fleet, 1));
        View.Balancers_ =
            static_cast<std::size_t>(Judged * static_cast<double>(Fleet));
        ColdAdmission Cold;
        Cold.setFleet(View);
        for (std::uint64_t Up = 1; Up <= 20; ++Up)
          Owners[Up] += Cold.admits(at(0ms), Incarnation{Up}, Limit) ? 1 : 0;
      }
      // The parts hold the limit while there are six times as many.
      for (const auto &[Up, Count] : Owners)
        CHECK(Count <= 6 * Wanted);
    }
  }
}
