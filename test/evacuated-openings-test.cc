/// \file
/// Where new flows go while data halls are evacuated.
#include "packets.h"

#include <doctest/doctest.h>
#include <set>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t Flows = 300;

UpstreamChange in(const std::string &DataHall, std::uint64_t Id) {
  return up(Id, Index, false, 0, DataHall);
}

/// Two upstreams of the index in each of three halls: 1 and 2 in hall a, 3 and
/// 4 in b, 5 and 6 in c.
PacketBalancer inHalls() {
  PacketBalancer B = PacketBalancerBuilder().build();
  B.setRouting(at(0ms), table(1, {{IndexAt, Index}}));
  B.applyUpstreams(at(0ms), {in("a", 1), in("a", 2), in("b", 3), in("b", 4),
                             in("c", 5), in("c", 6)});
  B.confirmUpTo(at(0ms));
  return B;
}

/// The upstreams that get openings, copies of them and retries.
std::set<std::uint64_t> opened(PacketBalancer &B, MonoTime Now) {
  std::set<std::uint64_t> Result;
  for (std::uint16_t Port = 1; Port < Flows; ++Port) {
    Result.insert(upstreamOf(B.steer(Now, opening(Port))));
    if (Port % 2 == 0)
      Result.insert(upstreamOf(B.retryOpening(Now + 50ms, opening(Port))));
    for (std::uint32_t Copy : {1U, 2U})
      Result.insert(upstreamOf(B.steer(Now + 200ms, opening(Port, Copy))));
  }
  Result.erase(0);
  return Result;
}

void evacuate(PacketBalancer &B, const std::string &DataHall,
              bool Evacuated = true) {
  B.applyEvacuations(at(0ms), {{DataHall, 2, Evacuated}});
}

void die(PacketBalancer &B, std::uint64_t Id) {
  B.onCheckResult(at(1ms), Incarnation{Id}, CheckResult::Dead, at(0ms));
}

const ResetFlow *refused(const Verdict &V) {
  return std::get_if<ResetFlow>(&V);
}

} // namespace

TEST_CASE("no opening, copy or retry goes to an evacuated hall") {
  PacketBalancer B = inHalls();
  evacuate(B, "b");
  CHECK(opened(B, at(10ms)) == std::set<std::uint64_t>{1, 2, 5, 6});
  evacuate(B, "a");
  CHECK(opened(B, at(5000ms)) == std::set<std::uint64_t>{5, 6});
  evacuate(B, "b", false);
  CHECK(opened(B, at(10'000ms)) == std::set<std::uint64_t>{3, 4, 5, 6});
}

TEST_CASE("nor to an upstream that is published there later") {
  PacketBalancer B = inHalls();
  evacuate(B, "b");
  evacuate(B, "nobody-knows");
  B.applyUpstreams(at(0ms), {in("b", 7), in("c", 8)});
  CHECK(opened(B, at(10ms)) == std::set<std::uint64_t>{1, 2, 5, 6, 8});
}

TEST_CASE("open flows stay in the hall") {
  PacketBalancer B = inHalls();
  std::map<std::uint16_t, Verdict> Opened;
  for (std::uint16_t Port = 1; Port < Flows; ++Port)
    Opened.emplace(Port, B.steer(at(1ms), opening(Port)));
  evacuate(B, "b");
  for (const auto &[Port, V] : Opened)
    CHECK(upstreamOf(B.steer(at(10ms), following(Port, forwarded(V)->Cookie_, 1,
                                                 100))) == upstreamOf(V));
}

TEST_CASE("when all others are dead, callers are told at once that nobody "
          "serves them") {
  PacketBalancer B = inHalls();
  evacuate(B, "b");
  for (std::uint64_t Id : {1U, 2U, 5U, 6U})
    die(B, Id);
  CHECK(opened(B, at(10ms)).empty());
  Verdict V = B.steer(at(20ms), opening(9));
  REQUIRE(refused(V));
  CHECK(refused(V)->Error_ == ErrorKind::AllEvacuated);
  evacuate(B, "b", false);
  CHECK(opened(B, at(30ms)) == std::set<std::uint64_t>{3, 4});
}

TEST_CASE("so too when every hall is evacuated, but not on old knowledge") {
  PacketBalancer B = inHalls();
  for (const char *DataHall : {"a", "b", "c"})
    evacuate(B, DataHall);
  CHECK(refused(B.steer(at(10ms), opening(1))));
  // Another balancer may know that a hall was taken back.
  CHECK(dropReason(B.steer(at(20s), opening(1))) == ErrorKind::NoneLeft);
}

TEST_CASE("an upstream that is ejected is taken again before a hall that is "
          "evacuated") {
  PacketBalancer B = inHalls();
  evacuate(B, "a");
  evacuate(B, "b");
  for (std::uint16_t Port = 1; Port < Flows; ++Port)
    B.steer(at(10ms), opening(Port));
  for (std::uint16_t Port = 1; Port < Flows; ++Port)
    B.retryOpening(at(60ms), opening(Port)); // nobody has answered
  CHECK(opened(B, at(100ms)) == std::set<std::uint64_t>{5, 6});
}
