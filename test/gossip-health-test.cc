/// \file
/// How members of a fleet learn of impaired balancers, and what an impaired
/// balancer leaves to others.
#include "event-queue.h"
#include "peer-choice.h"
#include "thymewall/gossip.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

constexpr Micros LinkDelay = 1ms;

Member member(std::size_t Which) {
  return {"lb-" + std::to_string(Which), "hall-" + std::to_string(Which % 3),
          Endpoint::v4(static_cast<std::uint32_t>(Which + 1), 8166), 0};
}

/// Gossip nodes on virtual time that exchange messages without encoding them.
class Network {
public:
  explicit Network(std::size_t Count) : Nodes_(Count), Links_(Count) {
    for (std::size_t Which = 0; Which < Count; ++Which) {
      Nodes_[Which] = std::make_unique<GossipNode>(
          GossipOptions{member(Which), {member(0).Control_}}, hooks(Which));
      Nodes_[Which]->setImpairment(0);
      tick(Which);
    }
  }

  void run(Micros Until) { Events_.run(Until); }
  GossipNode &operator[](std::size_t Which) { return *Nodes_[Which]; }
  /// Number of members of the hall of \p Which that know its impairment.
  std::size_t knowing(std::size_t Which, std::uint8_t Impairment) {
    std::uint64_t Hash = detail::stepBackHash(member(Which).Name_);
    std::size_t Count = 0;
    for (std::size_t I = Which % 3; I < Nodes_.size(); I += 3)
      for (const HallMember &M : Nodes_[I]->hallView(Events_.now()).Members_)
        Count += M.Hash_ == Hash && M.Impairment_ == Impairment ? 1 : 0;
    return Count;
  }

  /// Number of members of its hall of which a balancer knows a young record.
  std::size_t youngRecords(std::size_t Which, Micros MaxAge) {
    std::size_t Count = 0;
    for (const HallMember &M : Nodes_[Which]->hallView(Events_.now()).Members_)
      Count += M.Age_ <= MaxAge ? 1 : 0;
    return Count;
  }

  std::size_t Heartbeats_ = 0;
  std::size_t Warnings_ = 0;
  EventQueue Events_;

private:
  GossipHooks hooks(std::size_t Which) {
    GossipHooks Hooks;
    Hooks.Send_ = [this, Which](LinkId Link, const GossipMessage &M) {
      Heartbeats_ += std::holds_alternative<PeerHeartbeat>(M) ? 1 : 0;
      Warnings_ += std::holds_alternative<UpstreamWarning>(M) ? 1 : 0;
      auto To = Links_[Which].find(Link);
      if (To != Links_[Which].end())
        Events_.after(LinkDelay, [this, To = To->second, M] {
          Nodes_[To.first]->received(Events_.now(), To.second, M);
        });
    };
    Hooks.Connect_ = [this, Which](const Endpoint &Control) {
      std::size_t To = Control.Ip_[14] * 256U + Control.Ip_[15] - 1U;
      Events_.after(LinkDelay, [this, Which, To] { connect(Which, To); });
    };
    Hooks.Close_ = [this, Which](LinkId Link) {
      Events_.after(LinkDelay, [this, Which, Link] { close(Which, Link); });
    };
    Hooks.OnRouting_ = [](const RoutingTablePtr &) {};
    Hooks.OnUpstreams_ = [](const std::vector<UpstreamChange> &, MonoTime) {};
    Hooks.OnConfirmed_ = [](MonoTime) {};
    Hooks.OnWarning_ = [](const UpstreamWarning &) {};
    return Hooks;
  }

  void connect(std::size_t From, std::size_t To) {
    LinkId Local{++LastLink_};
    LinkId Remote{++LastLink_};
    Links_[From][Local] = {To, Remote};
    Links_[To][Remote] = {From, Local};
    Nodes_[From]->opened(Events_.now(), Local, true);
    Nodes_[To]->opened(Events_.now(), Remote, false);
  }

  void close(std::size_t Which, LinkId Link) {
    auto Known = Links_[Which].find(Link);
    if (Known == Links_[Which].end())
      return;
    auto [Peer, Remote] = Known->second;
    Links_[Which].erase(Known);
    Links_[Peer].erase(Remote);
    Nodes_[Which]->closed(Events_.now(), Link);
    Nodes_[Peer]->closed(Events_.now(), Remote);
  }

  void tick(std::size_t Which) {
    Nodes_[Which]->tick(Events_.now());
    Micros Phase(static_cast<Micros::rep>(Which * 7919 % 50'000));
    Micros Next = First_ <= Which ? 200ms + Phase : Micros(250ms);
    First_ = std::max(First_, Which + 1);
    Events_.after(Next, [this, Which] { tick(Which); });
  }

  std::vector<std::unique_ptr<GossipNode>> Nodes_;
  std::vector<std::map<LinkId, std::pair<std::size_t, LinkId>>> Links_;
  std::uint64_t LastLink_ = 0;
  std::size_t First_ = 0;
};

} // namespace

TEST_CASE("a data hall hears of an impaired balancer within about a second") {
  Network Net(80);
  Net.run(40s);
  for (std::size_t Which : {5U, 33U, 71U}) {
    CAPTURE(Which);
    std::size_t Members = (80 - Which % 3 + 2) / 3 - 1;
    Micros Now = Net.Events_.now().time_since_epoch() - 100s;
    Net[Which].setImpairment(23);
    Net.run(Now + 1200ms);
    CHECK(Net.knowing(Which, 23) >= Members * 9 / 10);
    Net[Which].setImpairment(255);
    Net.run(Now + 2400ms);
    CHECK(Net.knowing(Which, 255) >= Members * 9 / 10);
    Net.run(Now + 5s);
    CHECK(Net.youngRecords(Which, StepBack::MaxRecordAge) >= Members * 9 / 10);
    Net[Which].setImpairment(0); // heard of with the usual heartbeats
    Net.run(Now + 40s);
    CHECK(Net.knowing(Which, 0) >= Members * 8 / 10);
  }
}

TEST_CASE("news of impairment cost a bounded number of heartbeats") {
  Network Net(80);
  Net.run(40s);
  std::size_t Before = Net.Heartbeats_;
  Net.run(50s);
  std::size_t Usual = Net.Heartbeats_ - Before;
  Before = Net.Heartbeats_;
  // All balancers become impaired and step back, and some waver.
  for (std::size_t Which = 0; Which < 80; ++Which)
    Net[Which].setImpairment(30);
  Net.run(52s);
  for (std::size_t Which = 0; Which < 32; ++Which)
    Net[Which].setImpairment(255);
  Net.run(60s);
  CHECK(Net.Heartbeats_ - Before <= 2 * Usual);
  Before = Net.Heartbeats_;
  Net.run(70s);
  CHECK(Net.Heartbeats_ - Before <= Usual * 11 / 10);
}

TEST_CASE("an impaired balancer sends no warnings of its own") {
  Network Net(6);
  Net.run(10s);
  UpstreamWarning Warning;
  Warning.Upstream_ = Incarnation{7};
  Net[1].setImpairment(20);
  Net[1].warn(Net.Events_.now(), Warning);
  CHECK(Net.Warnings_ == 0);
  Net[1].setImpairment(0);
  Net[1].warn(Net.Events_.now(), Warning);
  CHECK(Net.Warnings_ > 0);
}

TEST_CASE("an impaired balancer reads only when nobody else does") {
  Network Net(6);
  Net.run(10s);
  std::size_t First = 0;
  for (std::size_t Which = 1; Which < 6; ++Which)
    if (detail::readerScore(member(Which).Name_) <
        detail::readerScore(member(First).Name_))
      First = Which;
  ConfigResponse List;
  List.Outcome_ = ConfigResponse::Outcome::Done;
  List.Batch_.IsSnapshot_ = true;
  List.Batch_.Through_ = 5;
  MonoTime Read = Net.Events_.now();
  REQUIRE(Net[First].readSucceeded(Read, List, Read));
  Net.run(11s);
  CHECK(Net[First].nextReadAt() <= Net.Events_.now());
  Net[First].setImpairment(20);
  // The next ranks take over before it, and it reads while the state is still
  // recent if they don't.
  CHECK(Net[First].nextReadAt() > Read + GossipNode::TakeoverAge);
  CHECK(Net[First].nextReadAt() < Read + GossipNode::OutageAge);
  for (std::size_t Which = 0; Which < 6; ++Which)
    Net[Which].setImpairment(20); // all are, so that the order is the usual one
  for (std::size_t Which = 0; Which < 6; ++Which)
    if (Which != First)
      CHECK(Net[Which].nextReadAt() > Net[First].nextReadAt());
  Net[First].setImpairment(0);
  CHECK(Net[First].nextReadAt() <= Net.Events_.now());
}
