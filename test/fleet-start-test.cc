// Bounds on the load of a starting fleet on the configuration service and on
// its members, and on the takeover of reading in a large fleet.
#include "gossip-fleet.h"
#include "peer-choice.h"
#include "thymewall/list-parts.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t UpstreamsPerBalancer = 30;

/// A fleet that starts at 3 s without any state.
class StartingFleet {
public:
  explicit StartingFleet(std::size_t Balancers,
                         std::size_t PerBalancer = UpstreamsPerBalancer)
      : Fleet_(Balancers, 5), Upstreams_(Balancers * PerBalancer) {
    for (std::size_t Which = 0; Which < Balancers; ++Which)
      Fleet_.kill(Which);
    for (std::uint64_t I = 1; I <= Upstreams_; ++I) {
      UpstreamEntry E;
      E.Incarnation_ = Incarnation{1000 + I};
      E.Address_ = Endpoint::v4(static_cast<std::uint32_t>(1000 + I), 9000);
      Fleet_.publish(E.Incarnation_, E);
    }
    Fleet_.run(3s);
    Before_ = Fleet_.upstreamsServed();
  }

  void start() {
    for (std::size_t Which = 0; Which < Fleet_.size(); ++Which)
      Fleet_.restart(Which);
  }
  std::size_t served() const { return Fleet_.upstreamsServed() - Before_; }
  /// Number of balancers that know at least this share of all upstreams.
  std::size_t knowing(double Share) const {
    auto All = static_cast<double>(Upstreams_);
    std::size_t Count = 0;
    for (std::size_t Which = 0; Which < Fleet_.size(); ++Which)
      Count += static_cast<double>(Fleet_.listed(Which)) >= Share * All;
    return Count;
  }
  GossipFleet &fleet() { return Fleet_; }

private:
  GossipFleet Fleet_;
  std::size_t Upstreams_;
  std::size_t Before_ = 0;
};

/// Returns the members with the highest reader scores.
std::vector<std::size_t> lastReaders(std::size_t Balancers, std::size_t Count) {
  auto Score = [](std::size_t Which) {
    return detail::readerScore("lb-" + std::to_string(Which));
  };
  std::vector<std::size_t> Order(Balancers);
  std::iota(Order.begin(), Order.end(), 0U);
  std::sort(Order.begin(), Order.end(),
            [&](std::size_t A, std::size_t B) { return Score(A) > Score(B); });
  Order.resize(Count);
  return Order;
}

} // namespace

TEST_CASE("balancers that start read only some parts of the list and receive "
          "no part twice") {
  for (std::size_t Balancers : {std::size_t{80}, std::size_t{160}}) {
    CAPTURE(Balancers);
    StartingFleet S(Balancers);
    S.start();
    S.fleet().run(3s + 250ms);
    // Reading stops at 64 upstreams, at most one part later.
    std::size_t List = Balancers * UpstreamsPerBalancer;
    std::size_t Read =
        PartReadPlan::MinUpstreamsAtStart + 2 * List / ListPartCount;
    CHECK(S.served() <= Balancers * Read);
    CHECK(S.knowing(0.01) == Balancers); // all can open flows
    S.fleet().run(4s);
    CHECK(S.served() <= Balancers * Read + 3 * List); // full lists of the seeds
    CHECK(S.knowing(1.0) == Balancers);
    Revision R = S.fleet().publish();
    S.fleet().run(6s);
    CHECK(S.fleet().allKnow(R));
    std::size_t Received = 0;
    for (std::size_t Which = 0; Which < Balancers; ++Which)
      Received += S.fleet().upstreamsReceived(Which);
    // A tenth more for changes meanwhile.
    CHECK(Received <= Balancers * List * 11 / 10);
  }
}

TEST_CASE("the links of every balancer stay bounded, also for seeds") {
  for (std::size_t Balancers : {std::size_t{100}, std::size_t{400}}) {
    CAPTURE(Balancers);
    StartingFleet S(Balancers, 1);
    S.start();
    S.fleet().run(5s);
    for (std::size_t Which = 3; Which < Balancers; ++Which)
      CHECK(S.fleet().maxLinks(Which) <= 60);
    for (std::size_t Seed = 0; Seed < 3; ++Seed)
      CHECK(S.fleet().gossip(Seed).counters().Links_ <= 60);
  }
}

TEST_CASE(
    "a fleet starts from its peers if the service refuses a third of it") {
  StartingFleet S(80);
  for (std::size_t Which = 0; Which < 80; Which += 3)
    S.fleet().setRefused(Which, true);
  S.start();
  S.fleet().run(4s);
  CHECK(S.knowing(0.9) == 80);
  S.fleet().run(8s);
  CHECK(S.knowing(1.0) == 80);
}

TEST_CASE("an outage during the start makes no balancer read the full list") {
  StartingFleet S(80);
  S.fleet().setServiceDown(true);
  S.start();
  S.fleet().run(6s);
  CHECK(S.served() == 0);
  S.fleet().setServiceDown(false);
  S.fleet().run(9s);
  CHECK(S.knowing(1.0) == 80);
  CHECK(S.served() <= 80 * 100 + 6 * 2400);
}

TEST_CASE("one balancer reads for a fleet that has started") {
  for (std::size_t Balancers : {std::size_t{80}, std::size_t{400}}) {
    CAPTURE(Balancers);
    StartingFleet S(Balancers, 1);
    S.start();
    S.fleet().run(8s);
    std::size_t Calls = S.fleet().calls();
    S.fleet().run(18s);
    // The reader makes two calls a second, others a few.
    CHECK(S.fleet().calls() - Calls <= 30);
  }
}

TEST_CASE("the gossip traffic of a balancer does not grow with the fleet") {
  for (std::size_t Balancers : {std::size_t{80}, std::size_t{400}}) {
    CAPTURE(Balancers);
    StartingFleet S(Balancers, 1);
    S.start();
    S.fleet().run(10s);
    std::size_t Before = S.fleet().bytesSent();
    S.fleet().run(20s);
    std::size_t Each = (S.fleet().bytesSent() - Before) / (10 * Balancers);
    CHECK(Each <= 4500); // as much is received: 9 KB a second for control
  }
}

TEST_CASE("a loss of the history costs a fleet few list reads") {
  StartingFleet S(400, 1);
  S.start();
  S.fleet().run(10s);
  // Publishes a change that no watch returns before the history is lost.
  for (std::size_t Which = 0; Which < 400; ++Which)
    S.fleet().setUnresponsive(Which, true);
  S.fleet().run(11s);
  S.fleet().publish();
  S.fleet().compactHistory(1200ms);
  for (std::size_t Which = 0; Which < 400; ++Which)
    S.fleet().setUnresponsive(Which, false);
  std::size_t Calls = S.fleet().calls();
  S.fleet().run(15s);
  // A watch and a list for each member whose read was due in the outage, and
  // two calls a second of the reader.
  CHECK(S.fleet().calls() - Calls <= 2 * 20 + 8);
  Revision R = S.fleet().publish();
  S.fleet().run(17s);
  CHECK(S.fleet().allKnow(R));
}

TEST_CASE("members of a network partition read for themselves in time") {
  // Three members have no links to each other at first; the lowest of the last
  // forty ranks is 360.
  for (std::size_t Part : {std::size_t{3}, std::size_t{40}}) {
    CAPTURE(Part);
    constexpr std::size_t Balancers = 400;
    StartingFleet S(Balancers, 1);
    S.start();
    S.fleet().run(10s);
    std::vector<std::size_t> CutOff = lastReaders(Balancers, Part);
    for (std::size_t Which : CutOff)
      for (std::size_t Other = 0; Other < Balancers; ++Other)
        if (std::count(CutOff.begin(), CutOff.end(), Other) == 0)
          S.fleet().setBlocked(Which, Other, true);
    S.fleet().run(11s);
    Revision R = S.fleet().publish();
    S.fleet().run(16s); // 5 s, less than the limit for a routing table
    for (std::size_t Which : CutOff)
      CHECK(S.fleet().gossip(Which).through() >= R);
  }
}

TEST_CASE("without a reader balancers take over by rank, not all at once") {
  StartingFleet S(200, 1);
  S.start();
  S.fleet().run(8s);
  S.fleet().setServiceDown(true);
  std::size_t Calls = S.fleet().calls();
  S.fleet().run(11s);
  // Takeover starts 1.5 s after the last confirmation, with one more member per
  // step, each with its retries.
  CHECK(S.fleet().calls() - Calls <= 60);
}

TEST_CASE("parts are read until there are enough upstreams") {
  PartReadPlan Short(7);
  Short.addPart(PartReadPlan::MinUpstreamsPerPart - 1);
  CHECK(Short.listIsShort());
  PartReadPlan Long(7);
  CHECK(Long.nextPart() == 7);
  while (!Long.hasEnough()) {
    Long.addPart(20);
    CHECK_FALSE(Long.listIsShort());
  }
  CHECK(Long.parts().count() == 4);
  CHECK(Long.parts().test(7));
  PartReadPlan Empty(0);
  Empty.addPart(0);
  CHECK(Empty.listIsShort());
}
