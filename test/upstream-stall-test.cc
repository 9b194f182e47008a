// When unanswered requests eject an upstream from new flows, and when they must
// not.
#include "three-upstreams.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;

TEST_CASE("an upstream that leaves requests unanswered is ejected from new "
          "flows") {
  RecordingBalancer B;
  B.answered(900); // sets the average delay of the service
  std::uint64_t Up = B.request(1);
  SUBCASE("once a request exceeds the limit") {
    B.B_.tick(at(500ms));
    CHECK(B.takesFlows(Up, 510ms));
    B.B_.tick(at(750ms));
    CHECK_FALSE(B.takesFlows(Up, 760ms));
    CHECK(B.Resets_.empty());
    CHECK(B.Checks_.empty());
  }
  SUBCASE("not if the caller acknowledged an answer") {
    B.follow(60ms, 1, Up, 5000);
    B.B_.tick(at(750ms));
    CHECK(B.takesFlows(Up, 760ms));
  }
  SUBCASE("not if the flow ended after an answer") {
    B.finish(60ms, 1, Up, 1600);
    B.B_.tick(at(750ms));
    CHECK(B.takesFlows(Up, 760ms));
  }
  SUBCASE("not if another of its flows was answered meanwhile") {
    std::uint16_t Other = 2;
    while (B.request(Other) != Up)
      ++Other;
    B.follow(400ms, Other, Up, 5000);
    B.B_.tick(at(750ms));
    CHECK(B.takesFlows(Up, 760ms));
  }
  SUBCASE("longer for consecutive stalls, counting each request once") {
    B.B_.tick(at(750ms));
    for (auto Now = 1000ms; Now < 3000ms; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK(B.takesFlows(Up, 3000ms));
    B.follow(3010ms, 2, Up, 1000, 1, 100); // another unanswered request
    for (auto Now = 3250ms; Now < 4000ms; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK_FALSE(B.takesFlows(Up, 6500ms));
  }
  SUBCASE("not after this process was suspended") {
    B.B_.tick(at(250ms));
    B.B_.tick(at(5s));
    CHECK(B.takesFlows(Up, 5s));
  }
}

TEST_CASE(
    "unanswered requests do not count while callers use other balancers") {
  RecordingBalancer B;
  B.answered(900);
  std::uint64_t Up = B.request(1);
  B.B_.setServing(false);
  B.B_.tick(at(250ms));
  B.B_.tick(at(750ms)); // another balancer sees the answer
  CHECK(B.takesFlows(Up, 760ms));
  // A retried opening does not count against the first upstream, whose answer
  // another balancer may have seen.
  std::uint64_t Opened = B.open(800ms, 2);
  Packet P = packet(2);
  P.Opens_ = true;
  CHECK(std::holds_alternative<Forward>(B.B_.retryOpening(at(840ms), P)));
  CHECK(B.takesFlows(Opened, 850ms));
  CHECK(B.Checks_.empty());
  // Requests from that time do not count after callers return either.
  B.B_.setServing(true);
  B.B_.tick(at(1000ms));
  CHECK(B.takesFlows(Up, 1010ms));
  B.follow(1100ms, 1, Up, 1000, 1, 100);
  B.B_.tick(at(1250ms));
  B.B_.tick(at(1750ms));
  CHECK_FALSE(B.takesFlows(Up, 1760ms));
}

TEST_CASE("upstreams of a slow service are not ejected early") {
  SUBCASE("before its first answer") {
    RecordingBalancer B;
    std::uint64_t Up = B.request(1);
    for (auto Now = 250ms; Now < 5s; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK(B.takesFlows(Up, 5s));
  }
  SUBCASE("the timeout follows its average delay") {
    RecordingBalancer B;
    B.answered(900, 1000ms);
    std::uint64_t Up = B.request(1);
    for (auto Now = 1250ms; Now < 7s; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK(B.takesFlows(Up, 7s));
    for (auto Now = 7250ms; Now < 9s; Now += 250ms)
      B.B_.tick(at(Now));
    CHECK_FALSE(B.takesFlows(Up, 9s));
  }
}

TEST_CASE("the retry timeout follows the opening delay, and a retry does not "
          "blame the second upstream") {
  RecordingBalancer B;
  CHECK(B.B_.openingTimeout() == 40ms);
  auto OpenIn = [&](std::chrono::milliseconds Begin, std::uint16_t Port,
                    std::chrono::milliseconds After) {
    std::uint64_t Up = B.open(Begin, Port);
    B.follow(Begin + After, Port, Up, 1000);
  };
  for (std::uint16_t Port = 1; Port < 50; ++Port)
    OpenIn(Port * 10ms, Port, 8ms);
  CHECK(B.B_.openingTimeout() == 40ms);
  for (std::uint16_t Port = 100; Port < 200; ++Port)
    OpenIn(1s + Port * 10ms, Port, 45ms);
  CHECK(B.B_.openingTimeout() > 120ms);
  CHECK(B.B_.openingTimeout() <= 160ms);
  // A duplicate soon after a retry is no evidence against the second upstream.
  std::uint64_t First = B.open(4s, 300);
  Packet P = packet(300);
  P.Opens_ = true;
  Verdict Retried = B.B_.retryOpening(at(4150ms), P);
  REQUIRE(std::holds_alternative<Forward>(Retried));
  std::uint64_t Second = raw(std::get<Forward>(Retried).Upstream_);
  REQUIRE(First != Second);
  B.open(4200ms, 300, 1);
  CHECK(B.Checks_ == std::vector<std::uint64_t>{First});
}

TEST_CASE("a peer's warning of a stalled upstream ejects it") {
  RecordingBalancer B;
  std::uint64_t Up = B.request(1);
  UpstreamWarning Stalled{Incarnation{Up}, UpstreamWarning::Kind::Stalled};
  SUBCASE("for two seconds") {
    B.B_.onPeerWarning(at(1000ms), Stalled);
    CHECK_FALSE(B.takesFlows(Up, 2900ms));
    CHECK(B.takesFlows(Up, 3100ms));
  }
  SUBCASE("no longer if many peers report the same stall") {
    for (auto Now = 1000ms; Now < 2900ms; Now += 100ms)
      B.B_.onPeerWarning(at(Now), Stalled);
    CHECK(B.takesFlows(Up, 3100ms));
  }
  SUBCASE("longer if it stalls again afterwards") {
    B.B_.onPeerWarning(at(1000ms), Stalled);
    B.B_.onPeerWarning(at(3100ms), Stalled);
    CHECK_FALSE(B.takesFlows(Up, 7000ms));
    CHECK(B.takesFlows(Up, 7200ms));
  }
  SUBCASE("not if it has just answered here") {
    B.follow(900ms, 1, Up, 5000);
    B.B_.onPeerWarning(at(1000ms), Stalled);
    CHECK(B.takesFlows(Up, 1010ms));
  }
  CHECK(B.Resets_.empty());
}

TEST_CASE(
    "it takes two requests to eject an upstream while the fabric moves flows") {
  RecordingBalancer B;
  B.B_.onBalancerJoined(at(900ms)); // flows move until 3.4 s
  std::uint64_t Up = B.request(1);
  auto Unanswered = [Up](std::uint64_t Flow) {
    return UpstreamWarning{Incarnation{Up}, UpstreamWarning::Kind::Stalled,
                           FlowId{Flow}};
  };
  SUBCASE("not for one request that is reported twice") {
    B.B_.onPeerWarning(at(990ms), Unanswered(7));
    B.B_.onPeerWarning(at(1000ms), Unanswered(7));
    CHECK(B.takesFlows(Up, 1010ms));
  }
  SUBCASE("not for two that are far apart") {
    B.B_.onPeerWarning(at(990ms), Unanswered(7));
    B.B_.onPeerWarning(at(3000ms), Unanswered(8));
    CHECK(B.takesFlows(Up, 3010ms));
  }
  SUBCASE("one is enough afterwards") {
    B.B_.onPeerWarning(at(3900ms), Unanswered(7));
    CHECK_FALSE(B.takesFlows(Up, 3910ms));
  }
  SUBCASE("for two requests") {
    B.B_.onPeerWarning(at(990ms), Unanswered(7));
    B.B_.onPeerWarning(at(1000ms), Unanswered(8));
    CHECK_FALSE(B.takesFlows(Up, 2900ms));
    CHECK(B.takesFlows(Up, 3100ms));
  }
  SUBCASE("no longer if many peers report the same stall") {
    std::uint64_t Flow = 7;
    B.B_.onPeerWarning(at(990ms), Unanswered(Flow));
    for (auto Now = 1000ms; Now < 2900ms; Now += 100ms)
      B.B_.onPeerWarning(at(Now), Unanswered(++Flow));
    CHECK(B.takesFlows(Up, 3100ms));
  }
  SUBCASE("longer if it stalls again afterwards") {
    B.B_.onPeerWarning(at(990ms), Unanswered(7));
    B.B_.onPeerWarning(at(1000ms), Unanswered(8));
    B.B_.onPeerWarning(at(3090ms), Unanswered(9));
    B.B_.onPeerWarning(at(3100ms), Unanswered(10));
    CHECK_FALSE(B.takesFlows(Up, 7000ms));
    CHECK(B.takesFlows(Up, 7200ms));
  }
  SUBCASE("not if it has just answered here") {
    B.follow(900ms, 1, Up, 5000);
    B.B_.onPeerWarning(at(990ms), Unanswered(7));
    B.B_.onPeerWarning(at(1000ms), Unanswered(8));
    CHECK(B.takesFlows(Up, 1010ms));
  }
  SUBCASE("not if it answers here between them") {
    B.B_.onPeerWarning(at(700ms), Unanswered(7));
    B.follow(800ms, 1, Up, 5000);
    B.B_.onPeerWarning(at(1500ms), Unanswered(8));
    CHECK(B.takesFlows(Up, 1510ms));
  }
  CHECK(B.Resets_.empty());
}

TEST_CASE("own unanswered requests count once for each flow and are sent to "
          "peers") {
  RecordingBalancer B;
  B.answered(900);
  std::uint64_t Up = B.request(1);
  B.follow(20ms, 2, Up, 1000, 1, 100);  // opened by a peer
  B.follow(200ms, 1, Up, 1000, 1, 100); // a retransmission
  B.B_.tick(at(750ms));
  std::size_t SentWarnings = 0;
  for (const UpstreamWarning &M : B.Warnings_)
    if (M.Upstream_ == Incarnation{Up})
      ++SentWarnings;
  CHECK(SentWarnings == 1); // ejected by the first, so no more are sent
  CHECK_FALSE(B.takesFlows(Up, 760ms));
}

TEST_CASE("new flows return gradually after a stall") {
  RecordingBalancer B;
  B.answered(900);
  std::uint64_t Up = B.request(1);
  B.B_.tick(at(750ms));         // no new flows until 2.75 s
  B.finish(760ms, 1, Up, 1000); // the caller gives up
  std::uint16_t Port = 10'000;
  auto Share = [&](std::chrono::milliseconds Time) {
    int Taken = 0;
    for (int I = 0; I < 1000; ++I) {
      std::uint64_t To = B.open(Time, ++Port);
      Taken += To == Up ? 1 : 0;
      B.follow(Time, Port, To, 1000);
      B.finish(Time, Port, To, 1600);
    }
    return Taken;
  };
  CHECK(Share(2700ms) == 0);
  int First = Share(2800ms);
  CHECK(First > 10);
  CHECK(First < 100);
  CHECK(Share(4500ms) > First);
  CHECK(Share(8s) > 250); // about a third
}
