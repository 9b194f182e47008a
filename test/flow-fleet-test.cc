/// \file
/// Open flows and what a restart of balancers forgets, on virtual time.
#include "flow-fleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

const ServiceId First = FlowFleet::service(0);
const ServiceId Second = FlowFleet::service(1);

void openSome(FlowFleet &Fleet, std::size_t Balancers) {
  for (std::size_t Which = 0; Which < Balancers; ++Which)
    for (std::size_t Address = 0; Address < FlowFleet::Addresses; ++Address)
      Fleet.open(Which, Address);
}

void restartInTurn(FlowFleet &Fleet, std::size_t Balancers, Micros Gap) {
  for (std::size_t Which = 0; Which < Balancers; ++Which) {
    Fleet.kill(Which);
    Fleet.run(Gap);
    Fleet.restart(Which);
    Fleet.run(Gap);
    Fleet.sendAll();
  }
}

/// A balancer is gone for 0.2 to 1.2 s: time for its peers to close its links.
Micros anyGap() {
  return std::chrono::milliseconds(*rc::gen::inRange(200, 1200));
}

} // namespace

TEST_CASE("flows opened under an earlier table survive a restart of every "
          "balancer") {
  FlowFleet Fleet(4);
  openSome(Fleet, 4);
  REQUIRE(Fleet.flows() == 12);
  Fleet.setRoute(0, {Second});
  restartInTurn(Fleet, 4, 800ms);
  Fleet.run(FlowFleet::Started);
  Fleet.sendAll();
  CHECK(Fleet.delivered() > 0);
  CHECK(Fleet.lost() == 0);
  CHECK(Fleet.wrongService() == 0);
}

TEST_CASE("and so when all start at once, as long as the upstream is "
          "published") {
  FlowFleet Fleet(4);
  openSome(Fleet, 4);
  Fleet.setRoute(0, {Second});
  for (std::size_t Which = 0; Which < 4; ++Which)
    Fleet.kill(Which);
  for (std::size_t Which = 0; Which < 4; ++Which)
    Fleet.restart(Which);
  Fleet.run(FlowFleet::Started);
  Fleet.sendAll();
  CHECK(Fleet.delivered() == 4 * Fleet.flows());
  CHECK(Fleet.lost() == 0);
}

TEST_CASE("flows at an upstream that is published no more survive a restart "
          "of every balancer") {
  FlowFleet Fleet(5);
  Incarnation Leaving = Fleet.addUpstream(0);
  Fleet.run(1s);
  for (int I = 0; I < 5; ++I)
    openSome(Fleet, 5);
  Fleet.drain(Leaving);
  Fleet.run(3s);
  Fleet.unpublish(Leaving);
  Fleet.run(500ms);
  restartInTurn(Fleet, 5, 800ms);
  Fleet.run(FlowFleet::Started);
  Fleet.sendAll();
  CHECK(Fleet.delivered() > 0);
  CHECK(Fleet.lost() == 0);
}

TEST_CASE("a cookie of another upstream reaches one that refuses it") {
  FlowFleet Fleet(3);
  std::vector<Incarnation> Added = {Fleet.addUpstream(0), Fleet.addUpstream(1)};
  Fleet.run(1s);
  REQUIRE(Fleet.open(0, 0));
  for (Incarnation Other : Added) {
    std::size_t Before = Fleet.refused();
    auto Mark = static_cast<Cookie>(raw(Other));
    if (Mark == Fleet.cookie(0))
      continue;
    CHECK_FALSE(Fleet.send(1, 0, Mark)); // a reset, and nothing has run
    CHECK(Fleet.refused() == Before + 1);
  }
}

TEST_CASE("whatever order changes and restarts come in, open flows whose "
          "upstream lives reach it, and no service takes another's") {
  rc::check([] {
    auto Balancers = *rc::gen::inRange<std::size_t>(3, 10);
    FlowFleet Fleet(Balancers);
    std::vector<Incarnation> Added;
    std::vector<Incarnation> Leaving;
    auto Any = [&] { return *rc::gen::inRange<std::size_t>(0, Balancers); };
    for (int Step = 0; Step < 12; ++Step) {
      openSome(Fleet, Balancers);
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1: {
        auto To = *rc::gen::element(std::vector<ServiceId>{First},
                                    std::vector<ServiceId>{Second},
                                    std::vector<ServiceId>{First, Second});
        Fleet.setRoute(*rc::gen::inRange<std::size_t>(0, FlowFleet::Addresses),
                       To);
        break;
      }
      case 2:
        Added.push_back(Fleet.addUpstream(*rc::gen::inRange(0, 2)));
        break;
      case 3:
        if (Added.empty())
          break;
        Leaving.push_back(Added.back());
        Added.pop_back();
        Fleet.drain(Leaving.back());
        Fleet.run(1s);
        Fleet.unpublish(Leaving.back());
        Fleet.run(1s);
        break;
      case 4:
        restartInTurn(Fleet, Balancers, anyGap());
        break;
      case 5: { // two members lose contact while another one starts
        std::size_t A = Any();
        std::size_t B = Any();
        std::size_t C = Any();
        if (A != B)
          Fleet.news().setBlocked(A, B, true);
        Fleet.kill(C);
        Fleet.run(anyGap());
        Fleet.restart(C);
        Fleet.run(FlowFleet::Started);
        Fleet.sendAll();
        if (A != B)
          Fleet.news().setBlocked(A, B, false);
        break;
      }
      }
      Fleet.run(700ms);
      Fleet.sendAll();
    }
    RC_ASSERT(Fleet.lost() == 0U);
    RC_ASSERT(Fleet.wrongService() == 0U);
    RC_ASSERT(Fleet.delivered() > 0U);
  });
}
