#include "packets.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

TEST_CASE("a flow stays at its upstream at every balancer that has the list") {
  PacketBalancer A = makeBalancer();
  PacketBalancer B = makeBalancer();
  for (std::uint16_t Port = 1; Port < 200; ++Port) {
    Verdict Opened = A.steer(at(10ms), openingPacket(Port));
    REQUIRE(asForward(Opened));
    Cookie FlowCookie = asForward(Opened)->Cookie_;
    CHECK(upstreamOf(A.steer(at(20ms), flowPacket(Port, FlowCookie, 1, 100))) ==
          upstreamOf(Opened));
    CHECK(upstreamOf(B.steer(at(20ms), flowPacket(Port, FlowCookie, 1, 100))) ==
          upstreamOf(Opened));
  }
}

TEST_CASE("an unanswered opening goes to another upstream of its service") {
  PacketBalancer B = makeBalancer();
  for (std::uint16_t Port = 1; Port < 100; ++Port) {
    Verdict First = B.steer(at(10ms), openingPacket(Port));
    Verdict Second = B.retryOpening(at(50ms), openingPacket(Port));
    REQUIRE(asForward(Second));
    CHECK(upstreamOf(Second) != upstreamOf(First));
    CHECK(upstreamOf(Second) <= 4);
    // Whichever answer the caller takes, its cookie leads there.
    for (const Verdict &Taken : {First, Second})
      CHECK(upstreamOf(B.steer(
                at(60ms), flowPacket(Port, asForward(Taken)->Cookie_, 1))) ==
            upstreamOf(Taken));
  }
}

TEST_CASE("an opening that was answered is not sent again") {
  PacketBalancer B = makeBalancer();
  Verdict Opened = B.steer(at(10ms), openingPacket(1));
  B.steer(at(20ms), flowPacket(1, asForward(Opened)->Cookie_, 1));
  CHECK_FALSE(asForward(B.retryOpening(at(50ms), openingPacket(1))));
  // Nor one of a flow that is not known here any more, or whose address the
  // operators have taken away meanwhile.
  CHECK_FALSE(asForward(B.retryOpening(at(50ms), openingPacket(2))));
  B.steer(at(60ms), openingPacket(3));
  B.setRouting(at(70ms), routingTable(2, {{ArchiveAddress, ArchiveService}}));
  CHECK_FALSE(asForward(B.retryOpening(at(100ms), openingPacket(3))));
  CHECK(B.counters().OpenRetried_ == 0);
}

TEST_CASE("with one upstream there is nowhere else to send an opening") {
  PacketBalancer B = makeBalancer();
  B.applyUpstreams(at(0ms), {removedUpstream(12)});
  REQUIRE(upstreamOf(B.steer(at(10ms), openingPacket(1, 0, ArchiveAddress))) ==
          11);
  CHECK_FALSE(
      asForward(B.retryOpening(at(50ms), openingPacket(1, 0, ArchiveAddress))));
}

TEST_CASE("services never mix") {
  PacketBalancer B = makeBalancer();
  for (std::uint16_t Port = 1; Port < 100; ++Port) {
    CHECK(upstreamOf(B.steer(at(1ms), openingPacket(Port))) <= 4);
    CHECK(upstreamOf(
              B.steer(at(1ms), openingPacket(Port, 0, ArchiveAddress))) >= 11);
  }
  // Nor does a copy or a retry of an opening, whatever cookie it carries.
  for (std::uint16_t Port = 1; Port < 100; ++Port) {
    Packet Copy = openingPacket(Port, 1);
    Copy.Cookie_ = 11;
    CHECK(upstreamOf(B.steer(at(2ms), Copy)) <= 4);
    CHECK(upstreamOf(B.retryOpening(at(3ms), Copy)) <= 4);
  }
}

TEST_CASE("a packet that opens nothing goes to the upstream of its cookie "
          "alone, or nowhere") {
  PacketBalancer B = makeBalancer();
  // Whichever service its address leads to now: an upstream refuses what it
  // doesn't hold, and openings alone decide what it holds.
  for (std::uint64_t Id : {1, 2, 3, 4, 11, 12})
    for (const Endpoint &To : {IndexAddress, ArchiveAddress}) {
      Verdict V =
          B.steer(at(2ms), flowPacket(7, static_cast<Cookie>(Id), 1, 0, To));
      CHECK(upstreamOf(V) == Id);
      CHECK(raw(asForward(V)->Upstream_) == Id);
    }
  CHECK(dropReason(B.steer(at(2ms), flowPacket(7, 5, 1))) ==
        ErrorKind::UnknownCookie);
  // An address that was taken away gets nothing through.
  B.setRouting(at(3ms), routingTable(2, {{IndexAddress, IndexService}}));
  B.confirmUpTo(at(3ms));
  Verdict V = B.steer(at(4ms), flowPacket(7, 11, 1, 0, ArchiveAddress));
  CHECK_FALSE(asForward(V));
}

TEST_CASE("what is no caller's packet goes nowhere") {
  PacketBalancer B = makeBalancer();
  Packet P = openingPacket(1);
  P.Acknowledges_ = true;
  P.Cookie_ = 1;
  CHECK(dropReason(B.steer(at(1ms), P)) == ErrorKind::NotFromCaller);
  CHECK(dropReason(B.steer(at(1ms), flowPacket(1, 99, 1))) ==
        ErrorKind::UnknownCookie);
  CHECK(dropReason(B.steer(at(1ms), flowPacket(1, 0, 1))) ==
        ErrorKind::UnknownCookie);
}

TEST_CASE("a copy of an opening packet goes to another upstream") {
  PacketBalancer B = makeBalancer();
  for (std::uint16_t Port = 1; Port < 100; ++Port) {
    std::uint64_t First = upstreamOf(B.steer(at(0ms), openingPacket(Port)));
    std::uint64_t Second =
        upstreamOf(B.steer(at(200ms), openingPacket(Port, 1)));
    CHECK(First != Second);
    CHECK(Second != 0);
    // Answered: an upstream that is new to the flow is not held against it.
    Packet P = flowPacket(Port, static_cast<Cookie>(Second), 1);
    CHECK(upstreamOf(B.steer(at(210ms), P)) == Second);
  }
}

TEST_CASE("an upstream that answers no opening is ejected, but not all are") {
  PacketBalancer B = makeBalancer();
  std::map<std::uint64_t, int> Openings;
  for (std::uint16_t Port = 1; Port < 200; ++Port) {
    std::uint64_t Which = upstreamOf(B.steer(at(0ms), openingPacket(Port)));
    ++Openings[Which];
    if (Which == 1)
      B.steer(at(200ms), openingPacket(Port, 1));
    else
      B.steer(at(5ms), flowPacket(Port, static_cast<Cookie>(Which), 1));
  }
  CHECK(Openings[1] < Openings[2] / 2);
  for (std::uint16_t Port = 300; Port < 400; ++Port)
    B.steer(at(300ms), openingPacket(Port, 1)); // nobody answers any more
  CHECK(upstreamOf(B.steer(at(400ms), openingPacket(900))) != 0);
}

TEST_CASE("a draining upstream keeps its flows and gets no new ones") {
  PacketBalancer B = makeBalancer();
  B.applyUpstreams(at(10ms), {publishedUpstream(1, IndexService, true)});
  for (std::uint16_t Port = 1; Port < 100; ++Port)
    CHECK(upstreamOf(B.steer(at(11ms), openingPacket(Port))) != 1);
  CHECK(upstreamOf(B.steer(at(11ms), flowPacket(1000, 1, 1))) == 1);
}

TEST_CASE("a gone upstream keeps its flows for a flow's lifetime and is then "
          "forgotten") {
  PacketBalancer B = makeBalancer();
  B.applyUpstreams(at(10ms), {removedUpstream(1)});
  for (std::uint16_t Port = 1; Port < 100; ++Port)
    CHECK(upstreamOf(B.steer(at(11ms), openingPacket(Port))) != 1);
  CHECK(upstreamOf(B.steer(at(11ms), flowPacket(1000, 1, 1))) == 1);
  for (auto Time = 0ms; Time < 70s; Time += 250ms)
    B.tick(at(Time));
  CHECK(dropReason(B.steer(at(70s), flowPacket(1000, 1, 1))) ==
        ErrorKind::UnknownCookie);
  // The row is used again by another upstream.
  B.applyUpstreams(at(70s), {publishedUpstream(5, ArchiveService)});
  CHECK(upstreamOf(B.steer(at(70s), flowPacket(1, 5, 1, 0, ArchiveAddress))) ==
        5);
  for (std::uint16_t Port = 1; Port < 100; ++Port)
    CHECK(upstreamOf(B.steer(at(70s), openingPacket(Port))) != 5);
}

TEST_CASE("an upstream that is missing after an outage has two seconds") {
  PacketBalancer B = makeBalancer();
  auto ReceivesFlows = [&](std::chrono::milliseconds Time) {
    for (std::uint16_t Port = 1; Port < 100; ++Port)
      if (upstreamOf(B.steer(at(Time), openingPacket(Port))) == 1)
        return true;
    return false;
  };
  B.applyUpstreams(at(0ms), {removedUpstream(1), removedUpstream(2)}, true);
  CHECK(ReceivesFlows(1500ms));
  B.applyUpstreams(at(1600ms), {publishedUpstream(2, IndexService)});
  for (auto Time = 250ms; Time < 2500ms; Time += 250ms)
    B.tick(at(Time));
  CHECK_FALSE(ReceivesFlows(2500ms));
  CHECK(upstreamOf(B.steer(at(2500ms), flowPacket(1000, 2, 1))) == 2);
  PacketStatus S = B.status(at(2500ms));
  for (const UpstreamStatus &U : S.Upstreams_)
    CHECK(U.ExclusionReason_ ==
          std::string_view(raw(U.Incarnation_) == 1 ? "gone" : ""));
}

TEST_CASE("an address taken over by another service's upstream is another "
          "upstream") {
  PacketBalancer B = makeBalancer();
  B.applyUpstreams(at(10ms),
                   {removedUpstream(1),
                    publishedUpstream(21, ArchiveService, false, 0x0a000001)});
  Verdict Old = B.steer(at(11ms), flowPacket(1, 1, 1));
  REQUIRE(asForward(Old));
  CHECK(raw(asForward(Old)->Upstream_) == 1); // silent at the new one
  for (std::uint16_t Port = 1; Port < 100; ++Port)
    CHECK(upstreamOf(B.steer(at(11ms), openingPacket(Port))) <= 4);
}

TEST_CASE("a peer's news of an upstream that has ended leads its flows there, "
          "and opens none") {
  PacketBalancer B = makeBalancer();
  UpstreamChange Ended = publishedUpstream(5, IndexService);
  Ended.Ended_ = true;
  B.applyUpstreams(at(10ms), {Ended});
  CHECK(upstreamOf(B.steer(at(11ms), flowPacket(1, 5, 1))) == 5);
  for (std::uint16_t Port = 1; Port < 100; ++Port)
    CHECK(upstreamOf(B.steer(at(11ms), openingPacket(Port))) != 5);
  // One that is published here is known better.
  Ended = publishedUpstream(1, IndexService);
  Ended.Ended_ = true;
  B.applyUpstreams(at(12ms), {Ended});
  bool ReceivesFlows = false;
  for (std::uint16_t Port = 200; Port < 300; ++Port)
    ReceivesFlows |= upstreamOf(B.steer(at(13ms), openingPacket(Port))) == 1;
  CHECK(ReceivesFlows);
  // Back in the list, it takes flows again.
  B.applyUpstreams(at(14ms), {publishedUpstream(5, IndexService)});
  ReceivesFlows = false;
  for (std::uint16_t Port = 300; Port < 500; ++Port)
    ReceivesFlows |= upstreamOf(B.steer(at(15ms), openingPacket(Port))) == 5;
  CHECK(ReceivesFlows);
}

TEST_CASE("of two upstreams with one cookie the earlier one keeps it") {
  PacketBalancer B = makeBalancer();
  std::uint64_t Collision = (std::uint64_t{7} << 32) | 1;
  B.applyUpstreams(at(1ms), {publishedUpstream(Collision, IndexService)});
  for (std::uint16_t Port = 1; Port < 200; ++Port)
    CHECK(upstreamOf(B.steer(at(2ms), openingPacket(Port))) != Collision);
  CHECK(upstreamOf(B.steer(at(2ms), flowPacket(1, 1, 1))) == 1);
  B.applyUpstreams(
      at(3ms), {removedUpstream(Collision)}); // ends without harm to the other
  CHECK(upstreamOf(B.steer(at(4ms), flowPacket(1, 1, 1))) == 1);
}

TEST_CASE("an unknown address is reset only on fresh knowledge") {
  PacketBalancer B = makeBalancer();
  const Endpoint UnknownAddress = Endpoint::v4(0xc6120009, 1);
  Packet P = flowPacket(1, 1, 5000, 0, UnknownAddress);
  Verdict V = B.steer(at(1000ms), P);
  const auto *Reset = std::get_if<ResetFlow>(&V);
  REQUIRE(Reset);
  CHECK(Reset->Caller_ == P.Caller_);
  CHECK(Reset->Service_ == UnknownAddress);
  CHECK(Reset->Sequence_ == 5000);
  CHECK(dropReason(B.steer(at(3000ms), P)) == ErrorKind::TableNotFresh);
  B.confirmUpTo(at(2900ms));
  P.Resets_ = true; // a reset is never answered with one
  CHECK(std::holds_alternative<Dropped>(B.steer(at(3000ms), P)));
}

TEST_CASE("before a routing table is known nothing is reset") {
  PacketBalancer B = PacketBalancerBuilder().build();
  CHECK_FALSE(B.ready());
  CHECK(dropReason(B.steer(at(1ms), openingPacket(1))) ==
        ErrorKind::TableNotFresh);
  B.setRouting(at(1ms), routingTable(1, {{IndexAddress, IndexService}}));
  CHECK_FALSE(B.ready());
  B.applyUpstreams(at(1ms), {});
  CHECK(B.ready());
  CHECK(dropReason(B.steer(at(1ms), openingPacket(1))) == ErrorKind::NoneLeft);
}

TEST_CASE("a routing table never gives way to an older one") {
  PacketBalancer B = makeBalancer();
  B.setRouting(at(1ms), routingTable(5, {{IndexAddress, ArchiveService}}));
  B.setRouting(at(2ms), routingTable(4, {{IndexAddress, IndexService}}));
  CHECK(B.status(at(2ms)).RoutingVersion_ == 5);
  CHECK(upstreamOf(B.steer(at(2ms), openingPacket(1))) >= 11);
  // Flows that the older table placed stay where they are.
  CHECK(upstreamOf(B.steer(at(2ms), flowPacket(1, 3, 1))) == 3);
}

TEST_CASE("after a pause the process trusts nothing that it had learnt") {
  PacketBalancer B = makeBalancer();
  B.tick(at(250ms));
  B.tick(at(500ms));
  B.tick(at(5000ms)); // 4.5 s asleep
  CHECK(B.counters().LateWakes_ == 1);
  const Endpoint UnknownAddress = Endpoint::v4(0xc6120009, 1);
  CHECK(dropReason(B.steer(at(5001ms), openingPacket(1, 0, UnknownAddress))) ==
        ErrorKind::TableNotFresh);
}

TEST_CASE("shares of an address are kept, and copies agree on the service") {
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = 2;
  Table->Addresses_[IndexAddress] = {{IndexService, 90}, {ArchiveService, 10}};
  PacketBalancer B = makeBalancer();
  B.setRouting(at(1ms), Table);
  int ArchiveFlows = 0;
  for (std::uint16_t Port = 1; Port <= 4000; ++Port) {
    bool First = upstreamOf(B.steer(at(2ms), openingPacket(Port))) >= 11;
    bool Copy = upstreamOf(B.steer(at(202ms), openingPacket(Port, 1))) >= 11;
    CHECK(First == Copy);
    ArchiveFlows += First ? 1 : 0;
  }
  CHECK(ArchiveFlows > 300);
  CHECK(ArchiveFlows < 500);
}

TEST_CASE("counts of flows and requests return to zero whatever happens") {
  rc::check([] {
    PacketBalancer B = makeBalancer();
    std::map<std::uint16_t, Cookie> Cookies;
    auto Now = 0ms;
    for (int Step = 0; Step < 150; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 80));
      auto Port = *rc::gen::inRange<std::uint16_t>(1, 12);
      auto Id = *rc::gen::inRange<std::uint64_t>(1, 7);
      switch (*rc::gen::inRange(0, 7)) {
      case 0:
      case 1: {
        auto Copy = *rc::gen::inRange<std::uint32_t>(0, 3);
        Verdict V = B.steer(at(Now), openingPacket(Port, Copy));
        if (const Forward *F = asForward(V))
          Cookies[Port] = F->Cookie_;
        break;
      }
      case 2:
      case 3: {
        Packet P = flowPacket(Port, Cookies[Port],
                              *rc::gen::inRange<std::uint32_t>(0, 5),
                              *rc::gen::inRange<std::uint16_t>(0, 2));
        P.Finishes_ = *rc::gen::inRange(0, 4) == 0;
        P.Resets_ = *rc::gen::inRange(0, 6) == 0;
        B.steer(at(Now), P);
        break;
      }
      case 4:
        B.applyUpstreams(at(Now),
                         {publishedUpstream(Id, IndexService, Id % 2 == 0)});
        break;
      case 5:
        B.applyUpstreams(at(Now), {removedUpstream(Id)},
                         *rc::gen::arbitrary<bool>());
        break;
      case 6:
        B.tick(at(Now));
        break;
      }
    }
    for (auto Time = Now; Time < Now + 130s; Time += 250ms)
      B.tick(at(Time));
    PacketStatus S = B.status(at(Now + 130s));
    RC_ASSERT(S.Flows_ == 0U);
    for (const UpstreamStatus &U : S.Upstreams_) {
      RC_ASSERT(U.Row_.OwnFlows_ == 0U);
      RC_ASSERT(U.Row_.InFlight_ == 0U);
    }
  });
}

TEST_CASE("a change is told by name, and a list of thousands is not") {
  std::vector<UpstreamEvent> Events;
  PacketBalancer B =
      PacketBalancerBuilder()
          .onUpstreamEvent([&](const UpstreamEvent &UpstreamEvent) {
            Events.push_back(UpstreamEvent);
          })
          .build();
  std::vector<UpstreamChange> List;
  for (std::uint64_t Id = 1; Id <= 1000; ++Id)
    List.push_back(publishedUpstream(Id, IndexService));
  B.applyUpstreams(at({}), List);
  CHECK(Events.empty());
  B.applyUpstreams(at({}), {removedUpstream(5)});
  REQUIRE(Events.size() == 1);
  CHECK(Events[0].Kind_ == UpstreamEvent::Kind::Gone);
}
