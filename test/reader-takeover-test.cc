// When a balancer of a large fleet takes over reading the configuration
// service: after all lower ranks, or soon in a network partition without them.
#include "peer-choice.h"
#include "thymewall/gossip.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

MonoTime at(Micros Time) { return MonoTime(100s + Time); }

Member member(std::size_t Which) {
  return {"lb-" + std::to_string(Which), "hall",
          Endpoint::v4(static_cast<std::uint32_t>(Which + 1), 8166), 0};
}

std::uint64_t score(std::size_t Which) {
  return detail::readerScore(member(Which).Name_);
}

/// A node with the last rank but one in a fleet of 200, linked to the last one.
class LowRankReader {
public:
  LowRankReader() : Order_(order()) {
    Gossip_ = std::make_unique<GossipNode>(
        GossipOptions{member(Order_[Fleet - 2]), {}}, hooks());
    Gossip_->tick(at(0s));
    Gossip_->opened(at(0s), LinkId{1}, false);
    ConfigResponse List;
    List.Outcome_ = ConfigResponse::Outcome::Done;
    List.Batch_.IsSnapshot_ = true;
    List.Batch_.Through_ = 5;
    Gossip_->readSucceeded(at(0s), List, at(0s));
  }

  /// Receives a heartbeat of the peer: its state was confirmed at
  /// \p ConfirmedAt, the first balancer's last sign of life was at \p AliveAt,
  /// and calls have failed if \p Failing.
  void heartbeat(Micros Now, Micros ConfirmedAt, Micros AliveAt,
                 bool Failing = false) {
    PeerHeartbeat M;
    M.Sender_ = member(Order_.back());
    M.Through_ = 5;
    M.StateAgeMs_ = millis(Now - ConfirmedAt);
    M.ReaderScore_ = score(Order_.front());
    M.ReaderAgeMs_ = millis(Now - ConfirmedAt);
    M.FirstAliveScore_ = score(Order_.front());
    M.FirstAliveAgeMs_ = millis(Now - AliveAt);
    if (Failing)
      M.FailureAgeMs_ = 0;
    M.Sequence_ = ++Sequence_;
    M.EchoedSequence_ = LastReceivedSequence_;
    for (std::size_t I = 0; I < Fleet - 2; ++I)
      M.Members_.push_back(member(Order_[I]));
    Gossip_->received(at(Now), LinkId{1}, M);
  }

  std::unique_ptr<GossipNode> Gossip_;

private:
  static constexpr std::size_t Fleet = 200;

  static std::uint32_t millis(Micros Age) {
    return static_cast<std::uint32_t>(Age.count() / 1000);
  }
  static std::vector<std::size_t> order() {
    std::vector<std::size_t> Result(Fleet);
    for (std::size_t I = 0; I < Fleet; ++I)
      Result[I] = I;
    std::sort(Result.begin(), Result.end(),
              [](auto A, auto B) { return score(A) < score(B); });
    return Result;
  }
  GossipHooks hooks() {
    GossipHooks Hooks;
    Hooks.Send_ = [this](LinkId, const GossipMessage &M) {
      if (const auto *Heartbeat = std::get_if<PeerHeartbeat>(&M))
        LastReceivedSequence_ = Heartbeat->Sequence_;
    };
    Hooks.Connect_ = [](const Endpoint &) {};
    Hooks.Close_ = [](LinkId) {};
    Hooks.OnRouting_ = [](const RoutingTablePtr &) {};
    Hooks.OnUpstreams_ = [](const auto &, MonoTime) {};
    Hooks.OnConfirmed_ = [](MonoTime) {};
    Hooks.OnWarning_ = [](const UpstreamWarning &) {};
    return Hooks;
  }

  std::vector<std::size_t> Order_;
  std::uint64_t LastReceivedSequence_ = 0;
  std::uint64_t Sequence_ = 0;
};

} // namespace

TEST_CASE("higher ranks wait while the balancer of rank 0 is alive") {
  LowRankReader L;
  for (Micros Now = 250ms; Now <= 8s; Now += 250ms) {
    L.Gossip_->tick(at(Now));
    // All calls fail after 1 s; the first balancer is alive once a second.
    L.heartbeat(Now, std::min<Micros>(Now, 1s), Now - Now % 1s, Now > 1s);
    CHECK(L.Gossip_->nextReadAt() > at(Now));
  }
}

TEST_CASE("no rank waits for readers that neither succeed nor fail") {
  LowRankReader L;
  for (Micros Now = 250ms; Now <= 8s; Now += 250ms) {
    L.Gossip_->tick(at(Now));
    L.heartbeat(Now, std::min<Micros>(Now, 1s), Now - Now % 1s);
  }
  CHECK(L.Gossip_->nextReadAt() <= at(1s) + 3s);
}

TEST_CASE("reports of failed calls postpone no read after they have ended") {
  LowRankReader L;
  for (Micros Now = 250ms; Now <= 8s; Now += 250ms) {
    L.Gossip_->tick(at(Now));
    L.heartbeat(Now, std::min<Micros>(Now, 1s), Now - Now % 1s, Now <= 4s);
  }
  CHECK(L.Gossip_->nextReadAt() <= at(4s) + GossipNode::FailureLifetime);
}

TEST_CASE("members of a network partition without rank 0 read soon") {
  LowRankReader L;
  for (Micros Now = 250ms; Now <= 6s; Now += 250ms) {
    L.Gossip_->tick(at(Now));
    L.heartbeat(Now, std::min<Micros>(Now, 1s), std::min<Micros>(Now, 1s));
  }
  CHECK(L.Gossip_->nextReadAt() <=
        at(1s) + 3300ms); // 2.5 s link timeout, 0.8 s jitter
  CHECK(L.Gossip_->nextReadAt() >= at(1s) + 1500ms);
}

TEST_CASE("delayed signs of life do not delay reads in a network partition") {
  LowRankReader L;
  for (Micros Now = 250ms; Now <= 1s; Now += 250ms) {
    L.Gossip_->tick(at(Now));
    L.heartbeat(Now, Now, Now);
  }
  // Delayed messages, which echo no recent heartbeat.
  PeerHeartbeat Late;
  Late.Sender_ = member(0);
  Late.FirstAliveAgeMs_ = 0;
  Late.EchoedSequence_ = 1;
  for (Micros Now = 1250ms; Now <= 6s; Now += 250ms) {
    L.Gossip_->tick(at(Now));
    L.Gossip_->received(at(Now), LinkId{1}, Late);
  }
  CHECK(L.Gossip_->nextReadAt() <= at(1s) + 3300ms);
}
