// Gossip on hosts without processor time: processes that read their sockets
// late must not make old state seem recent.
#include "gossip-fleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

/// A fleet of which one member in \p HealthyStride is healthy, and the others
/// read their sockets once per \p ReadInterval.
class StarvedFleet {
public:
  StarvedFleet(std::size_t Size, std::size_t HealthyStride, Micros ReadInterval)
      : Fleet_(Size), HealthyStride_(HealthyStride) {
    Fleet_.run(10s);
    for (std::size_t Which = 0; Which < Size; ++Which)
      if (!isHealthy(Which))
        Fleet_.setStarved(Which, ReadInterval * (80 + Which % 41) / 100);
  }

  /// Publishes changes for \p Duration. Returns the longest time after which a
  /// healthy member learned of one.
  Micros longestDelay(Micros Duration) {
    Micros Longest{0};
    std::deque<std::pair<Revision, Micros>> Published;
    Micros Start = elapsed();
    for (Micros Time = Start; Time < Start + Duration; Time += 50ms) {
      if ((Time - Start) % 500ms == 0ms)
        Published.emplace_back(Fleet_.publish(), Time);
      Fleet_.run(Time + 50ms);
      while (!Published.empty() && healthyKnow(Published.front().first))
        Published.pop_front();
      if (!Published.empty())
        Longest = std::max(Longest, elapsed() - Published.front().second);
    }
    return Longest;
  }

  GossipFleet Fleet_;

private:
  Micros elapsed() const { return Fleet_.now() - 100s; }
  bool isHealthy(std::size_t Which) const {
    return Which % HealthyStride_ == 0;
  }
  bool healthyKnow(Revision R) {
    for (std::size_t Which = 0; Which < Fleet_.size(); ++Which)
      if (isHealthy(Which) && Fleet_.gossip(Which).through() < R)
        return false;
    return true;
  }

  std::size_t HealthyStride_;
};

} // namespace

TEST_CASE(
    "starved balancers do not confirm old state to each other as recent") {
  for (Micros ReadInterval : {200ms, 400ms, 600ms, 900ms}) {
    CAPTURE(ReadInterval.count());
    StarvedFleet Starved(67, 9, ReadInterval);
    Micros Longest = Starved.longestDelay(30s);
    CHECK(Starved.Fleet_.worstConfirmationError().count() == 0);
    CHECK(Longest.count() <= Micros(3s).count());
  }
}

TEST_CASE("a warning is not forwarded forever among starved balancers") {
  for (Micros ReadInterval : {400ms, 900ms}) {
    CAPTURE(ReadInterval.count());
    StarvedFleet Starved(40, 5, ReadInterval);
    GossipFleet &Fleet = Starved.Fleet_;
    UpstreamWarning Warning;
    Warning.Upstream_ = Incarnation{1};
    Fleet.gossip(0).warn(Fleet.clock(), Warning);
    Fleet.run(30s);
    for (std::size_t Which = 0; Which < Fleet.size(); ++Which)
      CHECK(Fleet.warnings(Which).size() <= 1);
  }
}

TEST_CASE("starved balancers forget a dead member in time" *
          doctest::may_fail()) {
  for (Micros ReadInterval : {400ms, 900ms}) {
    CAPTURE(ReadInterval.count());
    StarvedFleet Starved(40, 5, ReadInterval);
    GossipFleet &Fleet = Starved.Fleet_;
    Fleet.run(14s);
    Fleet.kill(7);
    Fleet.run(14s + 25s); // records expire after 20 s
    for (std::size_t Which = 0; Which < Fleet.size(); ++Which) {
      std::vector<Member> Known = Fleet.gossip(Which).members();
      CHECK((Which == 7 ||
             std::none_of(Known.begin(), Known.end(),
                          [](const Member &M) { return M.Name_ == "lb-7"; })));
    }
  }
}
