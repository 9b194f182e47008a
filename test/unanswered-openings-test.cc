#include "thymewall/unanswered-openings.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

using Numbers = std::vector<int>;

MonoTime at(std::chrono::milliseconds Time) { return MonoTime(10s + Time); }

void add(UnansweredOpenings &Openings, std::chrono::milliseconds Time,
         std::uint8_t Number) {
  Openings.add(at(Time), &Number, 1);
}

Numbers taken(UnansweredOpenings &Openings, std::chrono::milliseconds Time) {
  Numbers Result;
  Openings.takeExpired(at(Time),
                       [&](const std::uint8_t *Data, std::size_t Size) {
                         REQUIRE(Size == 1);
                         Result.push_back(Data[0]);
                       });
  return Result;
}

} // namespace

TEST_CASE("an opening is due once, when its answer should have come") {
  UnansweredOpenings Openings;
  CHECK(Openings.nextDeadline() == MonoTime::max());
  add(Openings, 0ms, 1);
  add(Openings, 10ms, 2);
  CHECK(Openings.nextDeadline() == at(40ms));
  CHECK(taken(Openings, 39ms) == Numbers{});
  CHECK(taken(Openings, 40ms) == Numbers{1});
  CHECK(Openings.nextDeadline() == at(50ms));
  CHECK(taken(Openings, 55ms) == Numbers{2});
  CHECK(taken(Openings, 60ms) == Numbers{});
}

TEST_CASE("the time for an answer follows what is set") {
  UnansweredOpenings Openings;
  add(Openings, 0ms, 1);
  Openings.setTimeout(120ms);
  add(Openings, 10ms, 2);
  CHECK(taken(Openings, 45ms) == Numbers{1});
  CHECK(taken(Openings, 120ms) == Numbers{});
  CHECK(taken(Openings, 130ms) == Numbers{2});
}

TEST_CASE("a process that did not run waits for the answers in its socket") {
  UnansweredOpenings Openings;
  add(Openings, 0ms, 1);
  add(Openings, 30ms, 2);
  CHECK(taken(Openings, 90ms) == Numbers{}); // 50 ms late
  CHECK(Openings.nextDeadline() == at(130ms));
  CHECK(taken(Openings, 130ms) == Numbers{1, 2});
}

TEST_CASE("once the caller sends again itself, nothing is due any more") {
  UnansweredOpenings Openings;
  add(Openings, 0ms, 1);
  add(Openings, 30ms, 2);
  CHECK(taken(Openings, 170ms) == Numbers{});
  CHECK(taken(Openings, 210ms) == Numbers{2});
  add(Openings, 300ms, 3);
  CHECK(taken(Openings, 9000ms) == Numbers{});
  CHECK(Openings.nextDeadline() == MonoTime::max());
}

TEST_CASE("the number of packets is bounded") {
  UnansweredOpenings Openings;
  for (std::size_t I = 0; I < UnansweredOpenings::MaxPackets + 10; ++I)
    add(Openings, 0ms, 1);
  CHECK(taken(Openings, 40ms).size() == UnansweredOpenings::MaxPackets);
}
