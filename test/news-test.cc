#include "news-fleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

/// Time until everybody knows what is published now; at most \p Limit.
Micros spread(NewsFleet &Fleet, Micros Limit) {
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

TEST_CASE("one member reads for all, and news is everywhere within a second") {
  for (std::size_t Size : {std::size_t{1}, std::size_t{8}, std::size_t{90}}) {
    NewsFleet Fleet(Size);
    Fleet.run(5s);
    std::size_t Before = Fleet.calls();
    Fleet.run(15s);
    CHECK(Fleet.calls() - Before <= 22); // two a second, whatever the size
    CHECK(spread(Fleet, 3s) <= 1s);
    Fleet.publishRouting();
    Fleet.run(20s);
    for (std::size_t I = 0; I < Size; ++I)
      CHECK(Fleet.routing(I) == 2);
  }
}

TEST_CASE("the reader's place is taken over, whatever happens to it") {
  using Trouble = void (*)(NewsFleet &, std::size_t);
  const Trouble Troubles[] = {
      [](NewsFleet &F, std::size_t I) { F.kill(I); },
      [](NewsFleet &F, std::size_t I) { F.setTurnedAway(I, true); },
      [](NewsFleet &F, std::size_t I) { F.setSilent(I, true); },
  };
  for (Trouble Strike : Troubles) {
    NewsFleet Fleet(8);
    Fleet.run(5s);
    Strike(Fleet, Fleet.lastReader());
    Fleet.run(5s + 50ms);
    // It was confirmed up to 0.5 s ago; others wait for 1.5 s and their rank.
    CHECK(spread(Fleet, 4s) <= 2300ms);
    Fleet.run(20s);
    CHECK(spread(Fleet, 3s) <= 1s);
  }
}

TEST_CASE("a reader that sleeps is replaced and catches up when it wakes") {
  NewsFleet Fleet(8);
  Fleet.run(5s);
  std::size_t Sleeper = Fleet.lastReader();
  Fleet.setAsleep(Sleeper, true);
  Fleet.run(8s);
  Revision R = Fleet.publish();
  Fleet.run(10s);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    CHECK((I == Sleeper || Fleet.news(I).through() >= R));
  Fleet.setAsleep(Sleeper, false);
  Fleet.run(11s);
  CHECK(Fleet.allKnow(R));
}

TEST_CASE(
    "a third of a large fleet turned away hears everything from the rest") {
  NewsFleet Fleet(90, 5);
  for (std::size_t I = 0; I < 90; I += 3)
    Fleet.setTurnedAway(I, true);
  Fleet.run(8s);
  std::size_t Before = Fleet.calls();
  Micros Worst{};
  for (int I = 0; I < 20; ++I) {
    Worst = std::max(Worst, spread(Fleet, 3s));
    Fleet.run(Fleet.now() - 100s + 700ms);
  }
  CHECK(Worst <= 1s);
  CHECK(Fleet.calls() - Before <= 110);
}

TEST_CASE("a newcomer whose calls fail takes everything from peers") {
  NewsFleet Fleet(8);
  Fleet.run(5s);
  Fleet.kill(5);
  Fleet.run(6s);
  Fleet.setServiceDown(true);
  Fleet.restart(5);
  Fleet.run(6s + 300ms);
  CHECK(Fleet.news(5).through() == Fleet.news(0).through());
  CHECK(Fleet.routing(5) == 1);
}

TEST_CASE("a member cut off from all peers reads for itself") {
  NewsFleet Fleet(8);
  Fleet.run(5s);
  std::size_t Alone = (Fleet.lastReader() + 1) % 8;
  for (std::size_t I = 0; I < 8; ++I)
    if (I != Alone)
      Fleet.setHeldUp(Alone, I, true);
  Fleet.run(8s);
  CHECK(spread(Fleet, 3s) <= 1s);
}

TEST_CASE("an outage is noticed by all, and its end within two seconds") {
  NewsFleet Fleet(8);
  Fleet.run(5s);
  Fleet.setServiceDown(true);
  Fleet.run(8s);
  std::size_t Before = Fleet.calls();
  Fleet.run(11s);
  CHECK(Fleet.calls() - Before <= 60); // about 8 a second, by all together
  Revision R = Fleet.publish();
  Fleet.setServiceDown(false);
  Fleet.run(13s);
  CHECK(Fleet.allKnow(R));
  for (std::size_t I = 0; I < 8; ++I)
    CHECK(Fleet.returning(I));
  spread(Fleet, 3s);
  for (std::size_t I = 0; I < 8; ++I)
    CHECK_FALSE(Fleet.returning(I));
}

TEST_CASE("what was held up does not make knowledge look recent") {
  rc::check([] {
    NewsFleet Fleet(6);
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
          Fleet.setHeldUp(A, B, On);
        break;
      case 2:
        Fleet.setAsleep(A, On);
        break;
      case 3:
        Fleet.setTurnedAway(A, On);
        break;
      case 4:
        Fleet.publish();
        break;
      case 5:
        Fleet.setSilent(A, On);
        break;
      }
      Time += std::chrono::milliseconds(*rc::gen::inRange(1, 1500));
      Fleet.run(Time);
    }
    // Claims are taken only if made within `ClaimWithin`, hop by hop.
    RC_ASSERT(Fleet.worstClaim() <= NewsExchange::ClaimWithin);
    for (std::size_t I = 0; I < 6; ++I) {
      Fleet.setAsleep(I, false);
      Fleet.setTurnedAway(I, false);
      Fleet.setSilent(I, false);
      for (std::size_t J = 0; J < I; ++J)
        Fleet.setHeldUp(I, J, false);
    }
    Fleet.run(Time + 5s);
    RC_ASSERT(spread(Fleet, 3s) <= 2s);
  });
}

TEST_CASE("a warning of an upstream reaches every member once") {
  for (std::size_t Size : {std::size_t{8}, std::size_t{90}}) {
    NewsFleet Fleet(Size);
    Fleet.run(5s);
    UpstreamWarning Dead{Incarnation{7}, UpstreamWarning::Kind::Dead};
    Fleet.news(3).warn(Fleet.clock(), Dead);
    Fleet.news(3).warn(Fleet.clock(), Dead); // told already
    Fleet.run(5s + 100ms);
    CHECK(Fleet.warnings(3).empty());
    for (std::size_t I = 0; I < Size; ++I)
      if (I != 3)
        CHECK(Fleet.warnings(I) == std::vector<UpstreamWarning>{Dead});
    Fleet.run(7s);
    Fleet.news(5).warn(Fleet.clock(), Dead); // a second later it is news again
    Fleet.run(8s);
    CHECK(Fleet.warnings(3).size() == 1);
  }
}

TEST_CASE("warnings in a moment are bounded") {
  NewsFleet Fleet(8);
  Fleet.run(5s);
  for (std::uint64_t I = 1; I <= 2 * NewsExchange::MaxWarnings; ++I)
    Fleet.news(0).warn(Fleet.clock(),
                       {Incarnation{I}, UpstreamWarning::Kind::Stalled});
  Fleet.run(5s + 100ms);
  CHECK(Fleet.warnings(1).size() == NewsExchange::MaxWarnings);
}

TEST_CASE("a warning survives its codec, and one of an unknown kind does not") {
  using Kind = UpstreamWarning::Kind;
  NewsMessage Out;
  std::string Bytes;
  for (Kind Which : {Kind::Dead, Kind::Stalled, Kind::Failing}) {
    UpstreamWarning Warning{Incarnation{~std::uint64_t{0}}, Which};
    Bytes = encodeNews(Warning, MonoTime{});
    REQUIRE(decodeNews(Bytes, MonoTime{}, Out) == ErrorKind::None);
    CHECK(std::get<UpstreamWarning>(Out) == Warning);
  }
  Bytes.back() = raw(Kind::Failing) + 1;
  CHECK(decodeNews(Bytes, MonoTime{}, Out) == ErrorKind::Malformed);
}

TEST_CASE("evacuated halls and limits of cold upstreams survive their codec") {
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = 3;
  Table->ColdFlowsPerSecond_[7] = 2.5;
  News Told;
  Told.Routing_ = Table;
  Told.Evacuations_ = {true, 9, {{"hall-a", 4, true}, {"hall-b", 9, true}}};
  NewsMessage Out;
  REQUIRE(decodeNews(encodeNews(Told, MonoTime{}), MonoTime{}, Out) ==
          ErrorKind::None);
  const News &Heard = std::get<News>(Out);
  CHECK(Heard.Routing_->coldFlowsPerSecond(ServiceId{7}) == 2.5);
  CHECK(Heard.Evacuations_.Whole_);
  CHECK(Heard.Evacuations_.Through_ == 9);
  CHECK(Heard.Evacuations_.Changes_ == Told.Evacuations_.Changes_);
}

TEST_CASE("messages between balancers survive their codec") {
  MonoTime Now(20s);
  auto Table = std::make_shared<RoutingTable>();
  Table->Version_ = 7;
  Table->Addresses_[Endpoint::v4(1, 2)] = {{ServiceId{3}, 4}};
  Table->ServiceNames_[nameId("index")] = "index";
  News M;
  M.Routing_ = Table;
  M.Upstreams_ = {
      false, 5, 9, {{Incarnation{1}, 6, std::nullopt}}, {Incarnation{4}}};
  UpstreamEntry E;
  E.Incarnation_ = Incarnation{2};
  E.Service_ = ServiceId{3};
  E.At_ = Endpoint::v4(7, 8);
  E.DataHall_ = "hall";
  E.Slots_ = 3;
  E.Draining_ = true;
  E.WarmAt_ = Now + 1500ms;
  E.BornMs_ = 1772424720123;
  E.Part_ = 200;
  UpstreamEntry Six = E;
  Six.Incarnation_ = Incarnation{3};
  Six.At_ = parseEndpoint("[2001:db8::7]:8080");
  REQUIRE_FALSE(Six.At_.empty());
  Six.DataHall_ = "other";
  M.Upstreams_.Changes_.push_back({E.Incarnation_, 9, E});
  M.Upstreams_.Changes_.push_back({Six.Incarnation_, 9, Six});
  M.Upstreams_.Same_.set(7);
  M.Parts_.set(255);
  M.Upstreams_.Ended_.push_back({E.Incarnation_, 8, E, true});
  NewsMessage Out;
  std::string Bytes = encodeNews(M, Now);
  REQUIRE(decodeNews(Bytes, Now, Out) == ErrorKind::None);
  const News &Got = std::get<News>(Out);
  CHECK(Got.Routing_->Version_ == 7);
  CHECK(*Got.Routing_->find(Endpoint::v4(1, 2)) ==
        std::vector<ServiceShare>{{ServiceId{3}, 4}});
  CHECK(Got.Routing_->serviceName(static_cast<ServiceId>(nameId("index"))) ==
        "index");
  CHECK(Got.Upstreams_.Changes_[1].Entry_ == E);
  CHECK(Got.Upstreams_.Changes_[2].Entry_ == Six);
  CHECK(Got.Upstreams_.Same_ == M.Upstreams_.Same_);
  CHECK(Got.Parts_ == M.Parts_);
  CHECK_FALSE(Got.Upstreams_.Changes_[0].Entry_);
  REQUIRE(Got.Upstreams_.Ended_.size() == 1);
  CHECK(Got.Upstreams_.Ended_[0].Entry_ == E);
  CHECK(Got.Upstreams_.Ended_[0].At_ == 8);
  CHECK(Got.Upstreams_.Ended_[0].Ended_);
  CHECK(Got.Upstreams_.Unchanged_ == M.Upstreams_.Unchanged_);
  rc::check([&] {
    std::string Damaged = Bytes;
    auto Cut = *rc::gen::inRange<std::size_t>(0, Damaged.size());
    Damaged[Cut] = *rc::gen::arbitrary<char>();
    if (*rc::gen::arbitrary<bool>())
      Damaged.resize(Cut);
    NewsMessage Ignored;
    ErrorKind Kind = decodeNews(Damaged, Now, Ignored);
    RC_ASSERT(Kind == ErrorKind::None || Kind == ErrorKind::Malformed);
  });
}

TEST_CASE("the living of a data hall that is mostly dead know it, and no one "
          "else thinks so") {
  NewsFleet Fleet(9); // halls 0, 1, 2: members 0 3 6, 1 4 7, 2 5 8
  auto Lost = [&] {
    std::vector<std::size_t> Who;
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      if (Fleet.news(I).hallIsLost(Fleet.clock()))
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
  CHECK(Lost().empty()); // two of three live
  Fleet.kill(3);
  Fleet.run(11s);
  CHECK(Lost() == Who{6});
  Fleet.restart(3);
  Fleet.run(12s);
  CHECK(Lost().empty());
}

TEST_CASE("without a data hall that is well nobody leaves callers to others") {
  auto Nobody = [](NewsFleet &Fleet, Micros Until) {
    for (Micros Time = 6s; Time < Until; Time += 50ms) {
      Fleet.run(Time);
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        if (Fleet.news(I).hallIsLost(Fleet.clock()))
          return false;
    }
    return true;
  };
  NewsFleet Killed(9);
  Killed.run(6s);
  for (std::size_t I = 0; I < 6; ++I) // one in each hall is left
    Killed.kill(I);
  CHECK(Nobody(Killed, 12s));
  NewsFleet CutOff(9);
  CutOff.run(6s);
  for (std::size_t I = 1; I < 9; ++I)
    CutOff.setHeldUp(0, I, true);
  CHECK(Nobody(CutOff, 12s));
  // Too many for silence to mean anything, whatever becomes of them.
  NewsFleet Large(30);
  Large.run(6s);
  for (std::size_t I = 0; I < 24; ++I)
    Large.kill(I);
  CHECK(Nobody(Large, 12s));
}

TEST_CASE("connections that go silent for good hide news for 2.5 s at most") {
  // Whichever moment of a watch or of a heartbeat it strikes, twice.
  for (Micros Offset = 0ms; Offset < 1000ms; Offset += 90ms) {
    for (std::size_t Size : {std::size_t{2}, std::size_t{9}}) {
      NewsFleet Fleet(Size);
      Fleet.run(6s + Offset);
      Fleet.silenceConnections();
      CHECK(spread(Fleet, 4s) <= 2500ms);
      Fleet.run(13s + Offset); // peers have found each other again
      std::size_t Before = Fleet.calls();
      Fleet.run(16s + Offset);
      CHECK(Fleet.calls() - Before <= 8); // one reads for all again
      Fleet.silenceConnections();
      Fleet.publishRouting();
      CHECK(spread(Fleet, 4s) <= 2500ms);
    }
  }
}

TEST_CASE("connections that go silent while the reader is taken over") {
  for (Micros Offset = 0ms; Offset < 2000ms; Offset += 190ms) {
    NewsFleet Fleet(9);
    Fleet.run(6s);
    Fleet.setTurnedAway(Fleet.lastReader(), true);
    Fleet.run(6s + Offset);
    Fleet.silenceConnections();
    CHECK(spread(Fleet, 4s) <= 2800ms);
  }
}
