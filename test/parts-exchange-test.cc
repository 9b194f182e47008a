// Parts of a list that a balancer gets during its start.
#include "thymewall/gossip.h"

#include <doctest/doctest.h>
#include <ostream>
#include <set>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

MonoTime at(std::chrono::milliseconds Time) { return MonoTime(100s + Time); }

Member member(std::uint64_t Which) {
  return {"lb-" + std::to_string(Which), "hall",
          Endpoint::v4(static_cast<std::uint32_t>(Which + 1), 8166), 0};
}

UpstreamChange listed(std::uint64_t Id, std::uint8_t Part) {
  UpstreamEntry E;
  E.Incarnation_ = Incarnation{Id};
  E.Address_ = Endpoint::v4(static_cast<std::uint32_t>(Id), 9000);
  E.Part_ = Part;
  return {E.Incarnation_, Id, E};
}

/// A starting node with links to three peers that has all parts but one.
class NearlyCompleteStart {
public:
  static constexpr std::uint8_t Missing = 7;

  NearlyCompleteStart() : Gossip_({member(0), {}}, hooks()) {
    for (std::uint64_t Peer = 1; Peer <= 3; ++Peer)
      Gossip_.opened(at(0ms), LinkId{Peer}, false);
    ConfigResponse Stale;
    Stale.Outcome_ = ConfigResponse::Outcome::Stale;
    Stale.Batch_.Changes_ = {listed(5, 1)};
    Stale.Parts_ = allParts().reset(Missing);
    Gossip_.staleListRead(at(1ms), Stale);
  }

  /// Receives a heartbeat of a peer with these parts or this revision.
  void heartbeat(std::uint64_t Peer, ListParts Parts, Revision Through) {
    PeerHeartbeat M;
    M.Sender_ = member(Peer);
    M.Through_ = Through;
    M.Parts_ = Parts;
    M.UpstreamCount_ = 2;
    Gossip_.received(at(10ms), LinkId{Peer}, M);
  }

  /// Receives the missing part with one upstream.
  void missingPart(std::uint64_t Peer, std::uint64_t Id) {
    StateUpdate M;
    M.Parts_.set(Missing);
    M.Upstreams_.Changes_ = {listed(Id, Missing)};
    Gossip_.received(at(20ms), LinkId{Peer}, M);
  }

  /// Receives an update without differences, through a revision.
  void noDifference(std::uint64_t Peer, Revision Through) {
    StateUpdate M;
    M.Upstreams_.IsSnapshot_ = true;
    M.Upstreams_.Through_ = Through;
    M.Upstreams_.UnchangedParts_ = allParts();
    Gossip_.received(at(30ms), LinkId{Peer}, M);
  }

  GossipNode Gossip_;
  std::set<std::uint64_t> Listed_;
  std::vector<StateRequest> Requests_;

private:
  GossipHooks hooks() {
    GossipHooks Hooks;
    Hooks.Send_ = [this](LinkId, const GossipMessage &M) {
      if (const auto *Request = std::get_if<StateRequest>(&M))
        Requests_.push_back(*Request);
    };
    Hooks.Connect_ = [](const Endpoint &) {};
    Hooks.Close_ = [](LinkId) {};
    Hooks.OnRouting_ = [](const RoutingTablePtr &) {};
    Hooks.OnUpstreams_ = [this](const std::vector<UpstreamChange> &Changes,
                                MonoTime) {
      for (const UpstreamChange &Change : Changes)
        if (Change.Entry_)
          Listed_.insert(raw(Change.Incarnation_));
        else
          Listed_.erase(raw(Change.Incarnation_));
    };
    Hooks.OnConfirmed_ = [](MonoTime) {};
    Hooks.OnWarning_ = [](const UpstreamWarning &) {};
    return Hooks;
  }
};

} // namespace

TEST_CASE("a part that is already known is ignored") {
  NearlyCompleteStart S;
  S.heartbeat(1, ListParts{}.set(NearlyCompleteStart::Missing), 0);
  REQUIRE(S.Requests_.size() == 1);
  CHECK(S.Requests_[0].Parts_ == ListParts{}.set(NearlyCompleteStart::Missing));
  S.missingPart(1, 71);
  S.heartbeat(2, {}, 50);
  REQUIRE(S.Requests_.size() == 2);
  CHECK(S.Requests_[1].Digests_);
  SUBCASE("late response of a peer that names an ended upstream") {
    S.missingPart(3, 72);
  }
  SUBCASE("late stale list") {
    ConfigResponse Late;
    Late.Outcome_ = ConfigResponse::Outcome::Stale;
    Late.Batch_.Changes_ = {listed(72, NearlyCompleteStart::Missing)};
    S.Gossip_.staleListRead(at(25ms), Late);
  }
  SUBCASE("late list that failed") {
    ConfigResponse Late;
    Late.Batch_.Changes_ = {listed(72, NearlyCompleteStart::Missing)};
    S.Gossip_.partialListRead(at(25ms), Late);
  }
  S.noDifference(2, 80);
  CHECK(S.Gossip_.through() == 80);
  CHECK(S.Listed_ == std::set<std::uint64_t>{5, 71});
}

// A fleet whose lists fail at a late page must not stay without any upstream.
TEST_CASE("a list that failed serves until the full list is read") {
  NearlyCompleteStart S;
  ConfigResponse Partial;
  Partial.Routing_ = std::make_shared<RoutingTable>();
  Partial.Batch_.Changes_ = {listed(71, 7), listed(72, 7)};
  S.Gossip_.partialListRead(at(5ms), Partial);
  CHECK(S.Listed_ == std::set<std::uint64_t>{5, 71, 72});
  CHECK(S.Gossip_.through() == 0); // not taken for complete
  CHECK(S.Gossip_.confirmedAsOf() == MonoTime{});
  ConfigResponse Full;
  Full.Outcome_ = ConfigResponse::Outcome::Done;
  Full.Batch_.IsSnapshot_ = true;
  Full.Batch_.Through_ = 90;
  Full.Batch_.Changes_ = {listed(5, 1), listed(71, 7)};
  S.Gossip_.readSucceeded(at(50ms), Full, at(40ms));
  CHECK(S.Listed_ == std::set<std::uint64_t>{5, 71});
  // A later failure brings nothing back.
  S.Gossip_.partialListRead(at(60ms), Partial);
  CHECK(S.Listed_ == std::set<std::uint64_t>{5, 71});
}

TEST_CASE("a list that failed before its first upstream changes nothing") {
  NearlyCompleteStart S;
  ConfigResponse Partial;
  Partial.Batch_.Changes_ = {{Incarnation{5}, 9, std::nullopt}};
  S.Gossip_.partialListRead(at(5ms), Partial);
  CHECK(S.Listed_ == std::set<std::uint64_t>{5});
}
