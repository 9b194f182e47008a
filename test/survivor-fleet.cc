#include "survivor-fleet.h"

#include "packets.h"
#include "peer-choice.h"

#include <algorithm>
#include <numeric>

namespace thymewall::test {

namespace {

using namespace std::chrono_literals;

/// Interval at which a test opens flows.
constexpr Micros OpeningInterval = 50ms;
/// Time after which a balancer judges its host by unanswered pings.
constexpr Micros ImpairmentDelay = 1s;

void block(GossipFleet &Fleet, std::size_t Which) {
  for (std::size_t Other = 0; Other < Fleet.size(); ++Other)
    if (Other != Which)
      Fleet.setBlocked(Which, Other, true);
}

void losePower(GossipFleet &Fleet, std::size_t Which) {
  block(Fleet, Which);
  Fleet.setSuspended(Which, true);
}

std::vector<std::size_t> byRank(std::size_t Count) {
  std::vector<std::size_t> Order(Count);
  std::iota(Order.begin(), Order.end(), 0);
  auto Score = [](std::size_t Which) {
    return detail::readerScore("lb-" + std::to_string(Which));
  };
  std::sort(Order.begin(), Order.end(),
            [&](auto A, auto B) { return Score(A) < Score(B); });
  return Order;
}

} // namespace

const std::vector<Silencing> &silencings() {
  static const std::vector<Silencing> All = {
      {"power loss", losePower},
      {"power losses 100 ms apart", losePower, 100ms},
      {"suspension",
       [](GossipFleet &F, std::size_t Which) { F.setSuspended(Which, true); }},
      {"network partition",
       [](GossipFleet &F, std::size_t Which) {
         block(F, Which);
         F.setUnresponsive(Which, true);
       }},
      {"exhausted processors",
       [](GossipFleet &F, std::size_t Which) { F.setStarved(Which, 30s); }},
      {"kill", [](GossipFleet &F, std::size_t Which) { F.kill(Which); }, 0ms,
       false},
      {"planned stop",
       [](GossipFleet &F, std::size_t Which) {
         F.gossip(Which).setLeaving(F.clock());
         F.after(20ms, [&F, Which] { F.kill(Which); });
       },
       0ms, false},
  };
  return All;
}

SurvivorFleet::SurvivorFleet(std::size_t Count, std::size_t Rank)
    : Order_(byRank(Count)), Rank_(Rank), Cores_(Count),
      Gossip_(Count, 3, hooks()) {
  add(Staying);
  add(Leaving);
  RoutingTable Table;
  Table.Addresses_[IndexAddress] = {{IndexService, 1}};
  Gossip_.publishRouting(Table);
}

void SurvivorFleet::add(Incarnation Which) {
  Gossip_.publish(Which, publishedUpstream(raw(Which), IndexService).Entry_);
}

void SurvivorFleet::silencePeers(const Silencing &Way,
                                 std::set<std::size_t> Spared) {
  Spared.insert(survivor());
  for (std::size_t Which : Order_) {
    if (Spared.count(Which) != 0)
      continue;
    Way.Silence_(Gossip_, Which);
    run(Way.Step_);
  }
  if (!Way.KeepsLinks_ || Spared.size() > 1)
    return;
  // As `LocalHealth` judges a host that gets no answer from its peers.
  Gossip_.after(ImpairmentDelay,
                [this] { Gossip_.gossip(survivor()).setImpairment(100); });
}

bool SurvivorFleet::opensFlowsTo(Incarnation Which, std::size_t Balancer) {
  // So many that all miss one of two upstreams only if it gets no flows.
  constexpr int Openings = 16;
  for (int I = 0; I < Openings; ++I)
    if (upstreamOf(Cores_[Balancer]->steer(
            Gossip_.clock(), openingPacket(++LastPort_))) == raw(Which))
      return true;
  return false;
}

Micros SurvivorFleet::latestOpening(Incarnation Which, Micros For) {
  Micros Latest{0};
  for (Micros Time{0}; Time <= For; Time += OpeningInterval) {
    if (opensFlowsTo(Which, survivor()))
      Latest = Time;
    run(OpeningInterval);
  }
  return Latest;
}

bool SurvivorFleet::alwaysOpens(Incarnation Which, Micros For) {
  bool Always = true;
  for (Micros Time{0}; Time < For; Time += OpeningInterval) {
    Always = Always && opensFlowsTo(Which, survivor());
    run(OpeningInterval);
  }
  return Always;
}

void SurvivorFleet::beginOutage(bool Responds) {
  Gossip_.setServiceDown(Responds);
  for (std::size_t Which : Order_)
    Gossip_.setUnresponsive(Which, !Responds);
}

void SurvivorFleet::endOutage() {
  OutageEndedAt_ = Gossip_.clock();
  Gossip_.setServiceDown(false);
  for (std::size_t Which : Order_)
    Gossip_.setUnresponsive(Which, false);
}

bool SurvivorFleet::runUntilConfirmed(MonoTime AsOf) {
  auto Confirmed = [&] {
    return Gossip_.gossip(survivor()).confirmedAsOf() >= AsOf;
  };
  for (MonoTime End = Gossip_.clock() + 15s;
       Gossip_.clock() < End && !Confirmed();)
    run(OpeningInterval);
  return Confirmed();
}

MemberHooks SurvivorFleet::hooks() {
  MemberHooks Hooks;
  Hooks.OnStart_ = [this](std::size_t Which) {
    Cores_[Which] =
        std::make_unique<PacketBalancer>(PacketBalancerBuilder().build());
  };
  Hooks.OnTick_ = [this](std::size_t Which) {
    Cores_[Which]->tick(Gossip_.clock());
  };
  Hooks.OnRouting_ = [this](std::size_t Which, const RoutingTablePtr &Table) {
    Cores_[Which]->setRouting(Gossip_.clock(), Table);
  };
  Hooks.OnUpstreams_ = [this](std::size_t Which,
                              const std::vector<UpstreamChange> &Changes,
                              MonoTime MayReturnUntil) {
    Cores_[Which]->applyUpstreams(Gossip_.clock(), Changes, MayReturnUntil);
  };
  Hooks.OnConfirmed_ = [this](std::size_t Which, MonoTime AsOf) {
    Cores_[Which]->confirmUpTo(AsOf);
  };
  return Hooks;
}

} // namespace thymewall::test
