// Load of starts and outages on the configuration service, and the time until a
// fleet has current state.
#include "gossip-fleet.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

/// Publishes \p Count upstreams, which stale lists include one second later.
void publishMany(GossipFleet &Fleet, std::uint64_t Count) {
  for (std::uint64_t I = 1; I <= Count; ++I) {
    UpstreamEntry E;
    E.Incarnation_ = Incarnation{1000 + I};
    E.Address_ = Endpoint::v4(static_cast<std::uint32_t>(1000 + I), 9000);
    Fleet.publish(E.Incarnation_, E);
  }
  Fleet.setStaleListAge(1s);
}

/// Restarts all members at 5 s, without any state.
void restartAll(GossipFleet &Fleet) {
  publishMany(Fleet, 600);
  for (std::size_t Which = 0; Which < Fleet.size(); ++Which)
    Fleet.kill(Which);
  Fleet.run(5s);
  Fleet.publish(); // not in stale lists yet
  for (std::size_t Which = 0; Which < Fleet.size(); ++Which)
    Fleet.restart(Which);
}

} // namespace

TEST_CASE("a start in a running fleet reads a stale list and gets the rest "
          "from peers") {
  GossipFleet Fleet(90, 5);
  publishMany(Fleet, 600);
  Fleet.run(8s);
  std::size_t Reader = Fleet.lastReader();
  for (std::size_t Which = 10; Which < 30; ++Which)
    if (Which != Reader)
      Fleet.kill(Which);
  Fleet.run(12s);
  std::size_t Before = Fleet.calls();
  std::size_t Started = 0;
  for (std::size_t Which = 10; Which < 30; ++Which) {
    if (Which == Reader)
      continue;
    Fleet.restart(Which);
    ++Started;
  }
  Fleet.run(14s);
  // The reader makes two a second; one or two new members may read once more.
  CHECK(Fleet.calls() - Before <= 2 * 2 + 4);
  CHECK(Fleet.staleCalls() >= Started);
  Revision R = Fleet.publish();
  Fleet.run(16s);
  CHECK(Fleet.allKnow(R));
}

TEST_CASE("of a fleet that starts at once, few read more than a stale list") {
  GossipFleet Fleet(90, 5);
  restartAll(Fleet);
  std::size_t Before = Fleet.calls();
  Fleet.run(5s + 600ms);
  CHECK(Fleet.allKnow(606));
  CHECK(Fleet.calls() - Before <= 45);
  Fleet.run(7s);
  // The reader makes two a second; some members briefly act as readers too.
  CHECK(Fleet.calls() - Before <= 45 + 40);
}

TEST_CASE("peers are notified of a balancer's start or resumption, and of "
          "nothing else") {
  std::map<std::size_t, MonoTime> JoinedAt;
  MemberHooks Hooks;
  Hooks.OnPeerJoined_ = [&](std::size_t Which, MonoTime At) {
    JoinedAt[Which] = At;
  };
  GossipFleet Fleet(8, 3, Hooks);
  Fleet.run(8s);
  JoinedAt.clear();
  Fleet.run(15s);
  CHECK(JoinedAt.empty());
  SUBCASE("a start") {
    Fleet.kill(5);
    Fleet.run(18s);
    CHECK(JoinedAt.empty());
    Fleet.restart(5);
  }
  SUBCASE("a resumption") {
    Fleet.setSuspended(5, true);
    Fleet.run(18s);
    CHECK(JoinedAt.empty());
    Fleet.setSuspended(5, false);
  }
  MonoTime At = Fleet.clock();
  Fleet.run(18s + 300ms);
  CHECK(JoinedAt.size() >= 3); // the peers of its first links
  for (const auto &[Which, Time] : JoinedAt) {
    CHECK(Which != 5);
    CHECK(Time >= At - 2ms); // ages are whole milliseconds
    CHECK(Time <= At + 300ms);
  }
}

TEST_CASE("a start without peers has current state within 1.1 s") {
  GossipFleet Fleet(1);
  restartAll(Fleet);
  Fleet.run(5s + 1100ms);
  CHECK(Fleet.allKnow(606));
}

TEST_CASE("an outage costs a large fleet few calls, and its end is noticed") {
  for (bool Unresponsive : {true, false}) {
    GossipFleet Fleet(90, 5);
    Fleet.run(8s);
    std::size_t Before = Fleet.calls();
    auto SetOutage = [&](bool Outage) {
      for (std::size_t Which = 0; Which < Fleet.size(); ++Which)
        Unresponsive ? Fleet.setUnresponsive(Which, Outage)
                     : Fleet.setRefused(Which, Outage);
    };
    SetOutage(true);
    Fleet.run(14s);
    CAPTURE(Unresponsive);
    // One each before the failures are known, then the rate of the fleet.
    CHECK(Fleet.calls() - Before <= 2 * Fleet.size());
    SetOutage(false);
    Fleet.run(14s + 1500ms); // a call without a response takes a second
    Revision R = Fleet.publish();
    Fleet.run(17s);
    CHECK(Fleet.allKnow(R));
  }
}
