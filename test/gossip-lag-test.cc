// Reports of state that stays older than a peer's.
#include "thymewall/gossip.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

MonoTime at(Micros Time) { return MonoTime(100s + Time); }

/// A balancer with revision 5 that has one peer and records its reports.
class LaggingBalancer {
public:
  LaggingBalancer() {
    GossipHooks Hooks;
    Hooks.Send_ = [](LinkId, const GossipMessage &) {};
    Hooks.Connect_ = [](const Endpoint &) {};
    Hooks.Close_ = [](LinkId) {};
    Hooks.OnRouting_ = [](const RoutingTablePtr &) {};
    Hooks.OnUpstreams_ = [](const auto &, MonoTime) {};
    Hooks.OnConfirmed_ = [](MonoTime) {};
    Hooks.OnWarning_ = [](const UpstreamWarning &) {};
    Hooks.OnLag_ = [this](const StateLag &Lag, bool IsBehind) {
      Reports_.emplace_back(Lag, IsBehind);
    };
    Member Self{"self", "hall", Endpoint::v4(1, 8166), 0};
    Gossip_ = std::make_unique<GossipNode>(GossipOptions{Self, {}}, Hooks);
    Gossip_->opened(at(0s), LinkId{1}, false);
    readThrough(at(0s), 5);
  }

  void readThrough(MonoTime Now, Revision Through) {
    ConfigResponse List;
    List.Outcome_ = ConfigResponse::Outcome::Done;
    List.Batch_.IsSnapshot_ = true;
    List.Batch_.Through_ = Through;
    Gossip_->readSucceeded(Now, List, Now);
  }

  void peerHas(MonoTime Now, Revision Through) {
    PeerHeartbeat M;
    M.Sender_ = {"peer", "hall", Endpoint::v4(2, 8166), 0};
    M.Through_ = Through;
    Gossip_->received(Now, LinkId{1}, M);
    Gossip_->tick(Now);
  }

  std::unique_ptr<GossipNode> Gossip_;
  std::vector<std::pair<StateLag, bool>> Reports_;
};

} // namespace

TEST_CASE("state that stays behind a peer's is reported once, and its end") {
  LaggingBalancer B;
  for (Micros Now = 250ms; Now <= 2s; Now += 250ms)
    B.peerHas(at(Now), 9);
  REQUIRE(B.Reports_.size() == 1);
  CHECK(B.Reports_[0].second);
  CHECK(B.Reports_[0].first.NewestPeer_ == "peer");
  CHECK(B.Reports_[0].first.NewestRevision_ == 9);
  CHECK(B.Reports_[0].first.BehindFor_ == GossipNode::LagReportDelay);
  CHECK(B.Reports_[0].first.ConfirmedBy_.empty());
  B.readThrough(at(2100ms), 9);
  B.peerHas(at(2250ms), 9);
  REQUIRE(B.Reports_.size() == 2);
  CHECK_FALSE(B.Reports_[1].second);
  CHECK(B.Reports_[1].first.BehindFor_ == 2s);
}

TEST_CASE("state that is behind for a moment only is not reported") {
  LaggingBalancer B;
  for (Micros Now = 250ms; Now <= 5s; Now += 500ms) {
    Revision Newer = B.Gossip_->through() + 1;
    B.peerHas(at(Now), Newer);
    B.readThrough(at(Now + 250ms), Newer);
    B.peerHas(at(Now + 250ms), Newer);
  }
  CHECK(B.Reports_.empty());
}
