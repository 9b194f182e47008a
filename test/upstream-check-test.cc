// When a packet balancer considers an upstream dead and resets its flows, and
// when it must not.
#include "three-upstreams.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace thymewall;
using namespace thymewall::test;

TEST_CASE("a retransmitted request without progress triggers a check, at most "
          "once a second") {
  RecordingBalancer B;
  std::uint64_t Up = B.request(1);
  CHECK(B.Checks_.empty());
  B.follow(210ms, 1, Up, 1000, 1, 100);
  REQUIRE(B.Checks_ == std::vector<std::uint64_t>{Up});
  B.follow(610ms, 1, Up, 1000, 1, 100);
  CHECK(B.Checks_.size() == 1);
  B.follow(1410ms, 1, Up, 1000, 1, 100);
  CHECK(B.Checks_.size() == 2);
  CHECK(B.Resets_.empty());
}

TEST_CASE("a duplicate of an opening triggers a check of the first upstream") {
  RecordingBalancer B;
  std::uint64_t First = B.open(0ms, 1);
  B.open(200ms, 1, 1);
  CHECK(B.Checks_ == std::vector<std::uint64_t>{First});
}

TEST_CASE("a check that proves an upstream dead resets its open flows and no "
          "others") {
  RecordingBalancer B;
  std::set<std::uint16_t> Lost;
  std::uint64_t Dead = B.request(1);
  for (std::uint16_t Port = 1; Port <= 60; ++Port)
    if ((Port == 1 ? Dead : B.request(Port)) == Dead)
      Lost.insert(Port);
  REQUIRE(Lost.size() > 1);
  REQUIRE(Lost.size() < 60);
  B.follow(210ms, 1, Dead, 1000, 1, 100);
  B.checked(370ms, Dead, CheckResult::Dead, 210ms);
  std::set<std::uint16_t> Reset;
  for (const ResetFlow &R : B.Resets_) {
    Reset.insert(R.Caller_.Port_);
    CHECK(R.Service_ == ServiceAt);
    CHECK(R.Sequence_ == 1000); // the sequence number the caller expects
  }
  CHECK(Reset == Lost);
  CHECK(B.Resets_.size() == Lost.size());
  for (std::uint16_t Port = 100; Port < 150; ++Port)
    CHECK(B.open(400ms, Port) != Dead);
  B.checked(380ms, Dead, CheckResult::Dead, 210ms); // no flow is left
  CHECK(B.Resets_.size() == Lost.size());
}

TEST_CASE("a dead upstream takes no new flows until a check succeeds") {
  RecordingBalancer B;
  std::uint64_t Dead = B.request(1);
  B.checked(370ms, Dead, CheckResult::Dead, 210ms);
  // Rechecked at growing intervals.
  std::vector<std::chrono::milliseconds> Asked;
  auto Now = 500ms;
  for (; Now < 20s; Now += 250ms) {
    B.B_.tick(at(Now));
    if (!B.Checks_.empty()) {
      CHECK(B.Checks_ == std::vector<std::uint64_t>{Dead});
      B.Checks_.clear();
      Asked.push_back(Now);
      B.checked(Now + 160ms, Dead, CheckResult::Dead, Now);
    }
    CHECK_FALSE(B.takesFlows(Dead, Now + 200ms));
  }
  REQUIRE(Asked.size() >= 4);
  CHECK(Asked.size() <= 8);
  CHECK(Asked[0] <= 1750ms);
  SUBCASE("a check succeeds") {
    B.checked(Now, Dead, CheckResult::Connected, Now - 2ms);
    CHECK(B.takesFlows(Dead, Now));
    B.Checks_.clear();
    for (auto Later = Now; Later < Now + 10s; Later += 250ms)
      B.B_.tick(at(Later));
    CHECK(B.Checks_.empty()); // no longer dead
  }
  SUBCASE("an unclear check changes nothing") {
    B.checked(Now, Dead, CheckResult::Unclear, Now - 160ms);
    CHECK_FALSE(B.takesFlows(Dead, Now));
  }
  SUBCASE("the process was suspended: its verdicts are cleared") {
    B.B_.tick(at(Now + 5s));
    CHECK(B.takesFlows(Dead, Now + 5s));
  }
}

TEST_CASE("a dead upstream that is published again is checked at once") {
  RecordingBalancer B;
  std::uint64_t Dead = B.request(1);
  B.checked(370ms, Dead, CheckResult::Dead, 210ms);
  B.B_.applyUpstreams(at(400ms), {{Incarnation{Dead}, 2, std::nullopt}});
  B.B_.tick(at(500ms));
  for (auto Now = 750ms; Now < 9s; Now += 250ms)
    B.B_.tick(at(Now));
  CHECK(B.Checks_.empty()); // no longer published
  B.B_.applyUpstreams(at(9s), {up(Dead)});
  B.B_.tick(at(9s));
  CHECK(B.Checks_ == std::vector<std::uint64_t>{Dead});
}

TEST_CASE(
    "flows that reach a dead upstream later are reset by the next check") {
  RecordingBalancer B;
  std::uint64_t Dead = B.request(1);
  B.checked(370ms, Dead, CheckResult::Dead, 210ms);
  REQUIRE(B.Resets_.size() == 1);
  // A flow that another balancer opened.
  B.follow(400ms, 2, Dead, 1000, 1, 100);
  B.checked(1700ms, Dead, CheckResult::Dead, 1540ms);
  CHECK(B.Resets_.size() == 2);
}

TEST_CASE("a peer's warning of a dead upstream triggers a check of it") {
  RecordingBalancer B;
  std::uint64_t Up = B.request(1);
  B.B_.onPeerWarning(at(100ms), {Incarnation{Up}, UpstreamWarning::Kind::Dead});
  CHECK(B.Checks_.empty()); // deferred to the next tick
  B.B_.tick(at(250ms));
  CHECK(B.Checks_ == std::vector<std::uint64_t>{Up});
  B.B_.tick(at(1500ms));
  CHECK(B.Checks_.size() == 1);
  CHECK(B.Resets_.empty()); // a warning alone proves nothing
  // Warnings of removed or unknown upstreams are ignored.
  B.B_.applyUpstreams(at(1600ms), {{Incarnation{Up}, 2, std::nullopt}});
  B.B_.onPeerWarning(at(1700ms),
                     {Incarnation{Up}, UpstreamWarning::Kind::Dead});
  B.B_.onPeerWarning(at(1700ms),
                     {Incarnation{99}, UpstreamWarning::Kind::Dead});
  B.B_.tick(at(2750ms));
  CHECK(B.Checks_.size() == 1);
}

TEST_CASE("an upstream that is alive keeps its flows") {
  SUBCASE("it accepts connections but answers slowly") {
    RecordingBalancer B;
    std::uint64_t Up = B.request(1);
    B.follow(210ms, 1, Up, 1000, 1, 100);
    B.checked(215ms, Up, CheckResult::Connected, 210ms);
    CHECK(B.Resets_.empty());
  }
  SUBCASE("the check is unclear") {
    RecordingBalancer B;
    std::uint64_t Up = B.request(1);
    B.follow(210ms, 1, Up, 1000, 1, 100);
    B.checked(900ms, Up, CheckResult::Unclear, 210ms);
    CHECK(B.Resets_.empty());
  }
  SUBCASE("another of its flows made progress during the check") {
    RecordingBalancer B;
    std::uint64_t Up = B.request(1);
    std::uint16_t Other = 2;
    while (B.request(Other) != Up)
      ++Other;
    B.follow(210ms, 1, Up, 1000, 1, 100);
    B.follow(250ms, Other, Up, 2000);
    B.checked(370ms, Up, CheckResult::Dead, 210ms);
    CHECK(B.Resets_.empty());
  }
  SUBCASE("it is draining") {
    RecordingBalancer B;
    std::uint64_t Up = B.request(1);
    B.B_.applyUpstreams(at(100ms), {up(Up, true)});
    B.follow(210ms, 1, Up, 1000, 1, 100);
    CHECK(B.Checks_.empty());
  }
  SUBCASE("the caller retransmits nothing") {
    RecordingBalancer B;
    std::uint64_t Up = B.request(1);
    B.follow(20ms, 1, Up, 1000); // an acknowledgement alone
    CHECK(B.Checks_.empty());
  }
  SUBCASE("a duplicate opening went elsewhere, but the first was answered") {
    RecordingBalancer B;
    std::uint64_t First = B.open(0ms, 1);
    std::uint64_t Second = B.open(200ms, 1, 1);
    REQUIRE(First != Second);
    B.follow(210ms, 1, First, 1000);
    B.follow(215ms, 1, First, 1000, 1, 100);
    B.checked(500ms, Second, CheckResult::Dead, 340ms);
    CHECK(B.Resets_.empty());
    B.checked(600ms, First, CheckResult::Dead, 440ms);
    CHECK(B.Resets_.size() == 1);
  }
  SUBCASE("the result is for another incarnation with the same cookie") {
    RecordingBalancer B;
    std::uint64_t Up = B.request(1);
    B.follow(210ms, 1, Up, 1000, 1, 100);
    B.checked(370ms, Up + (std::uint64_t{1} << 32), CheckResult::Dead, 210ms);
    CHECK(B.Resets_.empty());
  }
}

TEST_CASE("no flow is reset without a check that proves its upstream dead") {
  rc::check([] {
    RecordingBalancer B;
    auto Now = 0ms;
    std::vector<std::uint64_t> Ups(10);
    for (int Step = 0; Step < 120; ++Step) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
      auto Port = *rc::gen::inRange<std::uint16_t>(1, 10);
      auto Id = *rc::gen::inRange<std::uint64_t>(1, 4);
      auto Number = *rc::gen::inRange<std::uint32_t>(0, 3);
      switch (*rc::gen::inRange(0, 6)) {
      case 0:
        Ups[Port] = B.open(Now, Port, Number);
        break;
      case 1:
      case 2:
        B.follow(Now, Port, Ups[Port], Number, 7, 100);
        break;
      case 3:
        B.checked(Now, Id,
                  Number == 0 ? CheckResult::Unclear : CheckResult::Connected,
                  Now - 160ms);
        break;
      case 4:
        B.B_.applyUpstreams(at(Now), {up(Id, Number == 0)});
        break;
      case 5: {
        // The check fails, but a flow has made progress since.
        bool Any = false;
        for (std::uint16_t P = 1; P < 10 && !Any; ++P)
          if (Ups[P] == Id) {
            B.follow(Now, P, Id, 100 + static_cast<std::uint32_t>(Step));
            Any = true;
          }
        if (Any)
          B.checked(Now, Id, CheckResult::Dead, Now);
        break;
      }
      }
    }
    RC_ASSERT(B.Resets_.empty());
  });
}
