// Which peers a balancer that has just started asks for ended upstreams.
#include "thymewall/news.h"

#include <doctest/doctest.h>
#include <set>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

MonoTime at(std::chrono::milliseconds Time) { return MonoTime(100s + Time); }

/// An exchange that has just started, with peers that a test speaks for.
class Newcomer {
public:
  Newcomer() : News_({member(0), {}}, hooks()) {
    for (std::uint64_t Peer = 1; Peer <= 5; ++Peer)
      News_.opened(at(0ms), LinkId{Peer}, false);
  }

  /// A heartbeat of a peer that knows of one change more each time.
  void beat(std::chrono::milliseconds Time, std::uint64_t Peer) {
    PeerHeartbeat M;
    M.Sender_ = member(Peer);
    M.Through_ = ++Published_;
    News_.received(at(Time), LinkId{Peer}, M);
  }

  /// A peer's answer to a question.
  void answer(std::chrono::milliseconds Time, std::uint64_t Peer) {
    StateUpdate M;
    M.Upstreams_.Through_ = Published_;
    M.Upstreams_.Whole_ = true;
    News_.received(at(Time), LinkId{Peer}, M);
  }

  /// Peers that were asked for ended upstreams.
  std::set<std::uint64_t> AskedEnded_;
  std::size_t Asked_ = 0; ///< Questions in all.

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
      ++Asked_;
      if (Wanted->IncludeEnded_)
        AskedEnded_.insert(static_cast<std::uint64_t>(Link));
    };
    Hooks.Connect_ = [](const Endpoint &) {};
    Hooks.Close_ = [](LinkId) {};
    Hooks.OnRouting_ = [](const RoutingTablePtr &) {};
    Hooks.OnUpstreams_ = [](const std::vector<UpstreamChange> &, bool) {};
    Hooks.OnConfirmed_ = [](MonoTime) {};
    Hooks.OnWarning_ = [](const UpstreamWarning &) {};
    return Hooks;
  }

  Revision Published_ = 0;
  GossipNode News_;
};

} // namespace

TEST_CASE("three peers are asked for ended upstreams, however much other news "
          "the first one sends") {
  Newcomer N;
  for (auto Time = 0ms; Time < 1000ms; Time += 100ms) {
    N.beat(Time, 1);
    N.answer(Time + 10ms, 1);
  }
  CHECK(N.Asked_ == 10);
  CHECK(N.AskedEnded_ == std::set<std::uint64_t>{1});
  for (std::uint64_t Peer = 2; Peer <= 5; ++Peer) {
    auto Time = 1000ms + Peer * 100ms;
    N.beat(Time, Peer);
    N.answer(Time + 10ms, Peer);
  }
  CHECK(N.AskedEnded_ == std::set<std::uint64_t>{1, 2, 3});
}

TEST_CASE("a peer that never answered does not count") {
  Newcomer N;
  N.beat(0ms, 1); // asked, and silent
  for (std::uint64_t Peer = 2; Peer <= 5; ++Peer) {
    auto Time = 300ms + Peer * 100ms;
    N.beat(Time, Peer);
    N.answer(Time + 10ms, Peer);
  }
  CHECK(N.AskedEnded_ == std::set<std::uint64_t>{1, 2, 3, 4});
}
