// Checks which peers a starting balancer asks for ended upstreams.
#include "thymewall/gossip.h"

#include <doctest/doctest.h>
#include <set>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

MonoTime at(std::chrono::milliseconds Time) { return MonoTime(100s + Time); }

/// A gossip node that has just started, with five simulated peers.
class StartingBalancer {
public:
  StartingBalancer() : Gossip_({member(0), {}}, hooks()) {
    for (std::uint64_t Peer = 1; Peer <= 5; ++Peer)
      Gossip_.opened(at(0ms), LinkId{Peer}, false);
  }

  /// Receives a heartbeat of a peer that knows one more change each time.
  void heartbeat(std::chrono::milliseconds Time, std::uint64_t Peer) {
    PeerHeartbeat M;
    M.Sender_ = member(Peer);
    M.Through_ = ++Published_;
    Gossip_.received(at(Time), LinkId{Peer}, M);
  }

  /// Receives a peer's answer to a request.
  void answer(std::chrono::milliseconds Time, std::uint64_t Peer) {
    StateUpdate M;
    M.Upstreams_.Through_ = Published_;
    M.Upstreams_.IsSnapshot_ = true;
    Gossip_.received(at(Time), LinkId{Peer}, M);
  }

  /// Peers that received a request for ended upstreams.
  std::set<std::uint64_t> AskedForEnded_;
  std::size_t Requests_ = 0; ///< Number of requests of any kind.

private:
  static Member member(std::uint64_t Which) {
    return {"lb-" + std::to_string(Which), "hall",
            Endpoint::v4(static_cast<std::uint32_t>(Which + 1), 8166), 0};
  }

  GossipHooks hooks() {
    GossipHooks Hooks;
    Hooks.Send_ = [this](LinkId Link, const GossipMessage &M) {
      const auto *Wanted = std::get_if<StateRequest>(&M);
      if (!Wanted)
        return;
      ++Requests_;
      if (Wanted->IncludeEnded_)
        AskedForEnded_.insert(static_cast<std::uint64_t>(Link));
    };
    Hooks.Connect_ = [](const Endpoint &) {};
    Hooks.Close_ = [](LinkId) {};
    Hooks.OnRouting_ = [](const RoutingTablePtr &) {};
    Hooks.OnUpstreams_ = [](const std::vector<UpstreamChange> &, MonoTime) {};
    Hooks.OnConfirmed_ = [](MonoTime) {};
    Hooks.OnWarning_ = [](const UpstreamWarning &) {};
    return Hooks;
  }

  Revision Published_ = 0;
  GossipNode Gossip_;
};

} // namespace

TEST_CASE("three peers are asked for ended upstreams even if the first one "
          "sends many other changes") {
  StartingBalancer N;
  for (auto Time = 0ms; Time < 1000ms; Time += 100ms) {
    N.heartbeat(Time, 1);
    N.answer(Time + 10ms, 1);
  }
  CHECK(N.Requests_ == 10);
  CHECK(N.AskedForEnded_ == std::set<std::uint64_t>{1});
  for (std::uint64_t Peer = 2; Peer <= 5; ++Peer) {
    auto Time = 1000ms + Peer * 100ms;
    N.heartbeat(Time, Peer);
    N.answer(Time + 10ms, Peer);
  }
  CHECK(N.AskedForEnded_ == std::set<std::uint64_t>{1, 2, 3});
}

TEST_CASE("a peer that does not answer is not one of the three peers") {
  StartingBalancer N;
  N.heartbeat(0ms, 1); // does not answer
  for (std::uint64_t Peer = 2; Peer <= 5; ++Peer) {
    auto Time = 300ms + Peer * 100ms;
    N.heartbeat(Time, Peer);
    N.answer(Time + 10ms, Peer);
  }
  CHECK(N.AskedForEnded_ == std::set<std::uint64_t>{1, 2, 3, 4});
}
