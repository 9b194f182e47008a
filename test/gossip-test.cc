#include "gossip-fleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

/// Returns the time until all members know a new change, at most \p Limit.
Micros propagationTime(GossipFleet &Fleet, Micros Limit) {
  Revision R = Fleet.publish();
  Micros Start = Fleet.now() - 100s;
  for (Micros Waited = 0ms; Waited < Limit; Waited += 10ms) {
    if (Fleet.allKnow(R))
      return Waited;
    Fleet.run(Start + Waited + 10ms);
  }
  return Limit;
}

} // namespace

TEST_CASE(
    "one member reads for all, and changes reach all members within a second") {
  for (std::size_t Size : {std::size_t{1}, std::size_t{8}, std::size_t{90}}) {
    GossipFleet Fleet(Size);
    Fleet.run(5s);
    std::size_t Before = Fleet.calls();
    Fleet.run(15s);
    CHECK(Fleet.calls() - Before <= 22); // two a second, whatever the size
    CHECK(propagationTime(Fleet, 3s) <= 1s);
    Fleet.publishRouting();
    Fleet.run(20s);
    for (std::size_t I = 0; I < Size; ++I)
      CHECK(Fleet.routing(I) == 2);
  }
}

TEST_CASE("another reader takes over after any fault of the reader") {
  using Fault = void (*)(GossipFleet &, std::size_t);
  const Fault Faults[] = {
      [](GossipFleet &F, std::size_t I) { F.kill(I); },
      [](GossipFleet &F, std::size_t I) { F.setRefused(I, true); },
      [](GossipFleet &F, std::size_t I) { F.setUnresponsive(I, true); },
  };
  for (Fault Inject : Faults) {
    GossipFleet Fleet(8);
    Fleet.run(5s);
    Inject(Fleet, Fleet.lastReader());
    Fleet.run(5s + 50ms);
    // Confirmed up to 0.5 s before the fault; takeover after 1.5 s plus rank.
    CHECK(propagationTime(Fleet, 4s) <= 2300ms);
    Fleet.run(20s);
    CHECK(propagationTime(Fleet, 3s) <= 1s);
  }
}

TEST_CASE("a suspended reader is replaced and catches up when it resumes") {
  GossipFleet Fleet(8);
  Fleet.run(5s);
  std::size_t Sleeper = Fleet.lastReader();
  Fleet.setSuspended(Sleeper, true);
  Fleet.run(8s);
  Revision R = Fleet.publish();
  Fleet.run(10s);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    CHECK((I == Sleeper || Fleet.gossip(I).through() >= R));
  Fleet.setSuspended(Sleeper, false);
  Fleet.run(11s);
  CHECK(Fleet.allKnow(R));
}

TEST_CASE("members that the service refuses get all changes from the others") {
  GossipFleet Fleet(90, 5);
  for (std::size_t I = 0; I < 90; I += 3)
    Fleet.setRefused(I, true);
  Fleet.run(8s);
  std::size_t Before = Fleet.calls();
  Micros Worst{};
  for (int I = 0; I < 20; ++I) {
    Worst = std::max(Worst, propagationTime(Fleet, 3s));
    Fleet.run(Fleet.now() - 100s + 700ms);
  }
  CHECK(Worst <= 1s);
  CHECK(Fleet.calls() - Before <= 110);
}

TEST_CASE("a new member whose calls fail gets the state from peers") {
  GossipFleet Fleet(8);
  Fleet.run(5s);
  Fleet.kill(5);
  Fleet.run(6s);
  Fleet.setServiceDown(true);
  Fleet.restart(5);
  Fleet.run(6s + 300ms);
  CHECK(Fleet.gossip(5).through() == Fleet.gossip(0).through());
  CHECK(Fleet.routing(5) == 1);
}

TEST_CASE("a member that is partitioned from all peers reads for itself") {
  GossipFleet Fleet(8);
  Fleet.run(5s);
  std::size_t Alone = (Fleet.lastReader() + 1) % 8;
  for (std::size_t I = 0; I < 8; ++I)
    if (I != Alone)
      Fleet.setBlocked(Alone, I, true);
  Fleet.run(8s);
  CHECK(propagationTime(Fleet, 3s) <= 1s);
}

TEST_CASE("all members notice an outage, and its end within two seconds") {
  GossipFleet Fleet(8);
  Fleet.run(5s);
  Fleet.setServiceDown(true);
  Fleet.run(8s);
  std::size_t Before = Fleet.calls();
  Fleet.run(11s);
  CHECK(Fleet.calls() - Before <= 60); // the whole fleet makes about 8 a second
  Revision R = Fleet.publish();
  Fleet.setServiceDown(false);
  Fleet.run(13s);
  CHECK(Fleet.allKnow(R));
  for (std::size_t I = 0; I < 8; ++I)
    CHECK(Fleet.mayReturn(I));
  Fleet.run(15s); // upstreams may return for two seconds
  propagationTime(Fleet, 3s);
  for (std::size_t I = 0; I < 8; ++I)
    CHECK_FALSE(Fleet.mayReturn(I));
}

TEST_CASE("delayed messages do not understate the age of the state") {
  rc::check([] {
    GossipFleet Fleet(6);
    Fleet.run(3s);
    Micros Time = 3s;
    for (int Step = 0; Step < 15; ++Step) {
      auto A = *rc::gen::inRange<std::size_t>(0, 6);
      auto B = *rc::gen::inRange<std::size_t>(0, 6);
      bool On = *rc::gen::arbitrary<bool>();
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        if (A != B)
          Fleet.setBlocked(A, B, On);
        break;
      case 2:
        Fleet.setSuspended(A, On);
        break;
      case 3:
        Fleet.setRefused(A, On);
        break;
      case 4:
        Fleet.publish();
        break;
      case 5:
        Fleet.setUnresponsive(A, On);
        break;
      }
      Time += std::chrono::milliseconds(*rc::gen::inRange(1, 1500));
      Fleet.run(Time);
    }
    RC_ASSERT(Fleet.worstConfirmationError() == 0s);
    for (std::size_t I = 0; I < 6; ++I) {
      Fleet.setSuspended(I, false);
      Fleet.setRefused(I, false);
      Fleet.setUnresponsive(I, false);
      for (std::size_t J = 0; J < I; ++J)
        Fleet.setBlocked(I, J, false);
    }
    Fleet.run(Time + 5s);
    RC_ASSERT(propagationTime(Fleet, 3s) <= 2s);
  });
}

TEST_CASE("a warning about an upstream reaches every member once") {
  for (std::size_t Size : {std::size_t{8}, std::size_t{90}}) {
    GossipFleet Fleet(Size);
    Fleet.run(5s);
    UpstreamWarning Dead{Incarnation{7}, UpstreamWarning::Kind::Dead};
    Fleet.gossip(3).warn(Fleet.clock(), Dead);
    Fleet.gossip(3).warn(Fleet.clock(), Dead); // repeated
    Fleet.run(5s + 100ms);
    CHECK(Fleet.warnings(3).empty());
    for (std::size_t I = 0; I < Size; ++I)
      if (I != 3)
        CHECK(Fleet.warnings(I) == std::vector<UpstreamWarning>{Dead});
    Fleet.run(7s);
    Fleet.gossip(5).warn(Fleet.clock(),
                         Dead); // after the interval it is sent again
    Fleet.run(8s);
    CHECK(Fleet.warnings(3).size() == 1);
  }
}

TEST_CASE("the number of warnings per interval is bounded") {
  GossipFleet Fleet(8);
  Fleet.run(5s);
  for (std::uint64_t I = 1; I <= 2 * GossipNode::MaxWarningsPerInterval; ++I)
    Fleet.gossip(0).warn(Fleet.clock(),
                         {Incarnation{I}, UpstreamWarning::Kind::Stalled});
  Fleet.run(5s + 100ms);
  CHECK(Fleet.warnings(1).size() == GossipNode::MaxWarningsPerInterval);
}

TEST_CASE(
    "a warning survives encoding, and one of an unknown kind is rejected") {
  using Kind = UpstreamWarning::Kind;
  GossipMessage Out;
  std::string Bytes;
  for (Kind Which : {Kind::Dead, Kind::Stalled, Kind::Failing}) {
    UpstreamWarning Warning{Incarnation{~std::uint64_t{0}}, Which};
    Bytes = encodeGossip(Warning, MonoTime{});
    REQUIRE(decodeGossip(Bytes, MonoTime{}, Out) == ErrorKind::None);
    CHECK(std::get<UpstreamWarning>(Out) == Warning);
  }
  Bytes.back() = raw(Kind::Failing) + 1;
  CHECK(decodeGossip(Bytes, MonoTime{}, Out) == ErrorKind::Malformed);
}

TEST_CASE("evacuated halls and limits of cold upstreams survive encoding") {
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = 3;
  Table->ColdFlowsPerSecond_[7] = 2.5;
  StateUpdate Sent;
  Sent.Routing_ = Table;
  Sent.Evacuations_ = {true, 9, {{"hall-a", 4, true}, {"hall-b", 9, true}}};
  GossipMessage Out;
  REQUIRE(decodeGossip(encodeGossip(Sent, MonoTime{}), MonoTime{}, Out) ==
          ErrorKind::None);
  const StateUpdate &Received = std::get<StateUpdate>(Out);
  CHECK(Received.Routing_->coldFlowsPerSecond(ServiceId{7}) == 2.5);
  CHECK(Received.Evacuations_.IsSnapshot_);
  CHECK(Received.Evacuations_.Through_ == 9);
  CHECK(Received.Evacuations_.Changes_ == Sent.Evacuations_.Changes_);
}

TEST_CASE("gossip messages survive encoding, and damaged ones are rejected") {
  MonoTime Now(20s);
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = 7;
  Table->Addresses_[Endpoint::v4(1, 2)] = {{ServiceId{3}, 4}};
  Table->ServiceNames_[nameId("index")] = "index";
  StateUpdate M;
  M.Routing_ = Table;
  M.Upstreams_ = {
      false, 5, 9, {{Incarnation{1}, 6, std::nullopt}}, {Incarnation{4}}};
  UpstreamEntry E;
  E.Incarnation_ = Incarnation{2};
  E.Service_ = ServiceId{3};
  E.Address_ = Endpoint::v4(7, 8);
  E.DataHall_ = "hall";
  E.Slots_ = 3;
  E.Draining_ = true;
  E.WarmAt_ = Now + 1500ms;
  E.StartTimeMs_ = 1772424720123;
  E.Part_ = 200;
  UpstreamEntry Six = E;
  Six.Incarnation_ = Incarnation{3};
  Six.Address_ = parseEndpoint("[2001:db8::7]:8080");
  REQUIRE_FALSE(Six.Address_.empty());
  Six.DataHall_ = "other";
  M.Upstreams_.Changes_.push_back({E.Incarnation_, 9, E});
  M.Upstreams_.Changes_.push_back({Six.Incarnation_, 9, Six});
  M.Upstreams_.UnchangedParts_.set(7);
  M.Parts_.set(255);
  M.Upstreams_.Ended_.push_back({E.Incarnation_, 8, E, true});
  GossipMessage Out;
  std::string Bytes = encodeGossip(M, Now);
  REQUIRE(decodeGossip(Bytes, Now, Out) == ErrorKind::None);
  const StateUpdate &Got = std::get<StateUpdate>(Out);
  CHECK(Got.Routing_->Version_ == 7);
  CHECK(*Got.Routing_->find(Endpoint::v4(1, 2)) ==
        std::vector<ServiceShare>{{ServiceId{3}, 4}});
  CHECK(Got.Routing_->serviceName(static_cast<ServiceId>(nameId("index"))) ==
        "index");
  CHECK(Got.Upstreams_.Changes_[1].Entry_ == E);
  CHECK(Got.Upstreams_.Changes_[2].Entry_ == Six);
  CHECK(Got.Upstreams_.UnchangedParts_ == M.Upstreams_.UnchangedParts_);
  CHECK(Got.Parts_ == M.Parts_);
  CHECK_FALSE(Got.Upstreams_.Changes_[0].Entry_);
  REQUIRE(Got.Upstreams_.Ended_.size() == 1);
  CHECK(Got.Upstreams_.Ended_[0].Entry_ == E);
  CHECK(Got.Upstreams_.Ended_[0].Revision_ == 8);
  CHECK(Got.Upstreams_.Ended_[0].Ended_);
  CHECK(Got.Upstreams_.Unchanged_ == M.Upstreams_.Unchanged_);
  rc::check([&] {
    std::string Damaged = Bytes;
    auto Cut = *rc::gen::inRange<std::size_t>(0, Damaged.size());
    Damaged[Cut] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>())
      Damaged.resize(Cut);
    GossipMessage Ignored;
    ErrorKind Kind = decodeGossip(Damaged, Now, Ignored);
    RC_ASSERT(Kind == ErrorKind::None || Kind == ErrorKind::Malformed);
  });
}

TEST_CASE("only the live members of a mostly dead data hall consider it lost") {
  GossipFleet Fleet(9); // halls 0, 1, 2: members 0 3 6, 1 4 7, 2 5 8
  auto Lost = [&] {
    std::vector<std::size_t> Who;
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      if (Fleet.gossip(I).isDataHallLost(Fleet.clock()))
        Who.push_back(I);
    return Who;
  };
  using Who = std::vector<std::size_t>;
  for (Micros Time = 0s; Time < 6s; Time += 50ms) {
    Fleet.run(Time);
    REQUIRE(Lost().empty());
  }
  Fleet.kill(0);
  Fleet.run(9s);
  CHECK(Lost().empty()); // two of three are alive
  Fleet.kill(3);
  Fleet.run(11s);
  CHECK(Lost() == Who{6});
  Fleet.restart(3);
  Fleet.run(12s);
  CHECK(Lost().empty());
}

TEST_CASE("no data hall is considered lost unless another one is healthy") {
  auto NeverLost = [](GossipFleet &Fleet, Micros Until) {
    for (Micros Time = 6s; Time < Until; Time += 50ms) {
      Fleet.run(Time);
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        if (Fleet.gossip(I).isDataHallLost(Fleet.clock()))
          return false;
    }
    return true;
  };
  GossipFleet Killed(9);
  Killed.run(6s);
  for (std::size_t I = 0; I < 6; ++I) // leaves one in each hall
    Killed.kill(I);
  CHECK(NeverLost(Killed, 12s));
  GossipFleet CutOff(9);
  CutOff.run(6s);
  for (std::size_t I = 1; I < 9; ++I)
    CutOff.setBlocked(0, I, true);
  CHECK(NeverLost(CutOff, 12s));
  // Too large to track all members, so that live ones may seem dead.
  GossipFleet Large(30);
  Large.run(6s);
  for (std::size_t I = 0; I < 24; ++I)
    Large.kill(I);
  CHECK(NeverLost(Large, 12s));
}

TEST_CASE("connections that die silently delay changes by at most 2.5 s") {
  // At any phase of a watch or heartbeat, twice.
  for (Micros Offset = 0ms; Offset < 1000ms; Offset += 90ms) {
    for (std::size_t Size : {std::size_t{2}, std::size_t{9}}) {
      GossipFleet Fleet(Size);
      Fleet.run(6s + Offset);
      Fleet.blackholeConnections();
      CHECK(propagationTime(Fleet, 4s) <= 2500ms);
      Fleet.run(13s + Offset); // members have reconnected
      std::size_t Before = Fleet.calls();
      Fleet.run(16s + Offset);
      CHECK(Fleet.calls() - Before <= 8); // only one reads again
      Fleet.blackholeConnections();
      Fleet.publishRouting();
      CHECK(propagationTime(Fleet, 4s) <= 2500ms);
    }
  }
}

TEST_CASE("connections that die silently during a takeover delay changes only "
          "briefly") {
  for (Micros Offset = 0ms; Offset < 2000ms; Offset += 190ms) {
    GossipFleet Fleet(9);
    Fleet.run(6s);
    Fleet.setRefused(Fleet.lastReader(), true);
    Fleet.run(6s + Offset);
    Fleet.blackholeConnections();
    CHECK(propagationTime(Fleet, 4s) <= 2800ms);
  }
}
