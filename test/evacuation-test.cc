/// \file
/// Evacuations are applied correctly in any order and at any age of updates,
/// and reach a whole fleet on virtual time despite faults.
#include "gossip-fleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

namespace {

using Halls = std::set<std::string>;

Halls hallsOf(const EvacuationList &List) {
  Halls Result;
  for (const EvacuationChange &Change : List.all().Changes_)
    Result.insert(Change.DataHall_);
  return Result;
}

EvacuationBatch changes(Revision Through,
                        const std::vector<EvacuationChange> &Changes) {
  return {false, Through, Changes};
}

EvacuationBatch whole(Revision Through,
                      const std::vector<EvacuationChange> &Changes) {
  return {true, Through, Changes};
}

std::vector<EvacuationChange> apply(EvacuationList &List,
                                    const EvacuationBatch &Batch) {
  std::vector<EvacuationChange> Applied;
  List.apply(Batch, Applied);
  return Applied;
}

} // namespace

TEST_CASE("each change of an evacuation is applied once") {
  EvacuationList List;
  CHECK(apply(List, changes(5, {{"a", 5, true}})).size() == 1);
  CHECK(List.isEvacuated("a"));
  CHECK_FALSE(List.isEvacuated("b"));
  CHECK(apply(List, changes(5, {{"a", 5, true}})).empty());
  CHECK(apply(List, changes(6, {{"a", 6, true}})).empty()); // repeated
  CHECK(apply(List, changes(7, {{"a", 7, false}})).size() == 1);
  CHECK_FALSE(List.isEvacuated("a"));
}

TEST_CASE("late and repeated changes have no effect") {
  EvacuationList List;
  apply(List, changes(7, {{"a", 7, false}, {"b", 6, true}}));
  CHECK(apply(List, changes(0, {{"a", 5, true}})).empty());
  CHECK(apply(List, changes(0, {{"b", 3, false}})).empty());
  CHECK(hallsOf(List) == Halls{"b"});
}

TEST_CASE("several changes of a hall in one batch are applied in order") {
  EvacuationList List;
  apply(List, whole(10, {{"a", 4, true}}));
  apply(List, changes(12, {{"a", 11, false}, {"a", 12, true}}));
  CHECK(hallsOf(List) == Halls{"a"});
  apply(List, changes(14, {{"a", 13, true}, {"a", 14, false}}));
  CHECK(hallsOf(List).empty());
}

TEST_CASE("a hall missing from a snapshot is not evacuated") {
  EvacuationList List;
  apply(List, whole(10, {{"a", 4, true}, {"b", 8, true}}));
  CHECK(apply(List, whole(9, {{"a", 4, true}})).empty() == false);
  CHECK(hallsOf(List) == Halls{"a"});
  apply(List, changes(12, {{"c", 12, true}}));
  apply(List, whole(11, {})); // before the last one
  CHECK(hallsOf(List) == Halls{"c"});
}

TEST_CASE("a stale list ends no evacuation, and a current one corrects it") {
  EvacuationList List;
  apply(List, changes(0, {{"a", 4, true}}));
  CHECK(List.isEvacuated("a")); // as far as known
  apply(List, whole(20, {{"b", 15, true}}));
  CHECK(hallsOf(List) == Halls{"b"});
  apply(List, changes(0, {{"a", 4, true}}));
  CHECK(hallsOf(List) == Halls{"b"});
}

TEST_CASE("the latest revision decides, whatever the order of snapshots and "
          "changes") {
  rc::check([] {
    const std::vector<std::string> Names = {"a", "b", "c"};
    std::vector<Halls> Truth(1); // indexed by revision
    std::vector<EvacuationChange> Log;
    int Changes = *rc::gen::inRange(1, 25);
    for (int I = 0; I < Changes; ++I) {
      Halls Now = Truth.back();
      auto Name = *rc::gen::elementOf(Names);
      bool Evacuated = Now.count(Name) == 0;
      if (Evacuated)
        Now.insert(Name);
      else
        Now.erase(Name);
      Truth.push_back(Now);
      Log.push_back({Name, Log.size() + 1, Evacuated});
    }
    EvacuationList List;
    Revision Known = 0;
    for (int Step = 0; Step < 20; ++Step) {
      auto Through = *rc::gen::inRange<Revision>(0, Log.size() + 1);
      EvacuationBatch Batch{*rc::gen::arbitrary<bool>(), Through, {}};
      // A watch continues from the known revision; a list is self-contained.
      if (!Batch.IsSnapshot_ && Through >= Known)
        Batch.Changes_ = {Log.begin() + static_cast<std::ptrdiff_t>(Known),
                          Log.begin() + static_cast<std::ptrdiff_t>(Through)};
      if (!Batch.IsSnapshot_ && Through < Known)
        continue;
      for (const EvacuationChange &Change : Log)
        if (Batch.IsSnapshot_ && Change.Revision_ <= Through &&
            Change.Evacuated_ && Truth[Through].count(Change.DataHall_) != 0)
          Batch.Changes_.push_back(Change);
      apply(List, Batch);
      Known = std::max(Known, Through);
      RC_ASSERT(hallsOf(List) == Truth[Known]);
    }
  });
}

TEST_CASE("without faults an evacuation reaches all members within a second") {
  for (std::size_t Count : {8U, 90U}) {
    GossipFleet Fleet(Count);
    Fleet.run(30s);
    Fleet.publishEvacuation("hall-1", true);
    Fleet.run(31s);
    CHECK(Fleet.allEvacuated({"hall-1"}));
    Fleet.publishEvacuation("hall-2", true);
    Fleet.publishEvacuation("hall-1", false);
    Fleet.publishEvacuation("nobody-knows", true);
    Fleet.run(32s);
    CHECK(Fleet.allEvacuated({"hall-2", "nobody-knows"}));
    Fleet.publishEvacuation("hall-2", false);
    Fleet.publishEvacuation("hall-2", true);
    Fleet.run(33s);
    CHECK(Fleet.allEvacuated({"hall-2", "nobody-knows"}));
  }
}

TEST_CASE("a start with a stale list gets evacuations from its first peer") {
  for (std::size_t Count : {8U, 90U}) {
    GossipFleet Fleet(Count);
    Fleet.setStaleListAge(3s);
    Fleet.run(30s);
    Fleet.publishEvacuation("hall-1", true);
    Fleet.run(31s);
    Fleet.kill(5);
    Fleet.run(31500ms);
    Fleet.restart(5);
    Fleet.run(31520ms); // links open in 2 ms, messages take 1 ms
    CHECK(Fleet.evacuated(5) == Halls{"hall-1"});
    Fleet.publishEvacuation("hall-1", false);
    Fleet.run(33s);
    CHECK(Fleet.allEvacuated({}));
  }
}

TEST_CASE("evacuations reach all members within 5 s after faults end") {
  rc::check([] {
    auto Count = *rc::gen::inRange<std::size_t>(3, 24);
    GossipFleet Fleet(Count);
    Fleet.setStaleListAge(
        std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
    Micros Now = 12s;
    Fleet.run(Now);
    Halls Truth;
    auto Any = [&] { return *rc::gen::inRange<std::size_t>(0, Count); };
    for (int Step = 0; Step < 8; ++Step) {
      auto Hall = "hall-" + std::to_string(*rc::gen::inRange(0, 4));
      std::size_t A = Any();
      std::size_t B = Any();
      int Fault = *rc::gen::inRange(0, 6);
      Fleet.setSuspended(A, Fault == 0);
      Fleet.setRefused(A, Fault == 1);
      Fleet.setUnresponsive(A, Fault == 2);
      Fleet.setServiceDown(Fault == 3);
      if (Fault == 4 && A != B)
        Fleet.setBlocked(A, B, true);
      if (Fault == 5)
        Fleet.kill(A);
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
      Fleet.run(Now);
      bool Evacuated = Truth.count(Hall) == 0;
      Fleet.publishEvacuation(Hall, Evacuated);
      if (Evacuated)
        Truth.insert(Hall);
      else
        Truth.erase(Hall);
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
      Fleet.run(Now);
      Fleet.setSuspended(A, false);
      Fleet.setRefused(A, false);
      Fleet.setUnresponsive(A, false);
      Fleet.setServiceDown(false);
      if (Fault == 4 && A != B)
        Fleet.setBlocked(A, B, false);
      if (Fault == 5)
        Fleet.restart(A);
    }
    Fleet.run(Now + 5s);
    RC_ASSERT(Fleet.allEvacuated(Truth));
  });
}
