#include "thymewall/unanswered-openings.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace std::chrono_literals;

namespace {

using PacketIds = std::vector<int>;

MonoTime at(std::chrono::milliseconds Time) { return MonoTime(10s + Time); }

void add(UnansweredOpenings &Openings, std::chrono::milliseconds Time,
         std::uint8_t PacketId) {
  Openings.add(at(Time), &PacketId, 1);
}

PacketIds expiredPackets(UnansweredOpenings &Openings,
                         std::chrono::milliseconds Time) {
  PacketIds Result;
  Openings.takeExpired(at(Time),
                       [&](const std::uint8_t *Data, std::size_t Size) {
                         REQUIRE(Size == 1);
                         Result.push_back(Data[0]);
                       });
  return Result;
}

} // namespace

TEST_CASE("an opening expires once, after the timeout") {
  UnansweredOpenings Openings;
  CHECK(Openings.nextDeadline() == MonoTime::max());
  add(Openings, 0ms, 1);
  add(Openings, 10ms, 2);
  CHECK(Openings.nextDeadline() == at(40ms));
  CHECK(expiredPackets(Openings, 39ms) == PacketIds{});
  CHECK(expiredPackets(Openings, 40ms) == PacketIds{1});
  CHECK(Openings.nextDeadline() == at(50ms));
  CHECK(expiredPackets(Openings, 55ms) == PacketIds{2});
  CHECK(expiredPackets(Openings, 60ms) == PacketIds{});
}

TEST_CASE("a new timeout applies to later openings") {
  UnansweredOpenings Openings;
  add(Openings, 0ms, 1);
  Openings.setTimeout(120ms);
  add(Openings, 10ms, 2);
  CHECK(expiredPackets(Openings, 45ms) == PacketIds{1});
  CHECK(expiredPackets(Openings, 120ms) == PacketIds{});
  CHECK(expiredPackets(Openings, 130ms) == PacketIds{2});
}

TEST_CASE("a late call extends the deadlines") {
  UnansweredOpenings Openings;
  add(Openings, 0ms, 1);
  add(Openings, 30ms, 2);
  CHECK(expiredPackets(Openings, 90ms) == PacketIds{}); // 50 ms late
  CHECK(Openings.nextDeadline() == at(130ms));
  CHECK(expiredPackets(Openings, 130ms) == PacketIds{1, 2});
}

TEST_CASE("an opening is dropped once its caller retransmits it") {
  UnansweredOpenings Openings;
  add(Openings, 0ms, 1);
  add(Openings, 30ms, 2);
  CHECK(expiredPackets(Openings, 170ms) == PacketIds{});
  CHECK(expiredPackets(Openings, 210ms) == PacketIds{2});
  add(Openings, 300ms, 3);
  CHECK(expiredPackets(Openings, 9000ms) == PacketIds{});
  CHECK(Openings.nextDeadline() == MonoTime::max());
}

TEST_CASE("openings beyond the limit are ignored") {
  UnansweredOpenings Openings;
  for (std::size_t I = 0; I < UnansweredOpenings::MaxPackets + 10; ++I)
    add(Openings, 0ms, 1);
  CHECK(expiredPackets(Openings, 40ms).size() ==
        UnansweredOpenings::MaxPackets);
}
