#include "thymewall/upstream-list.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace thymewall;

namespace {

UpstreamEntry entry(std::uint64_t Id, std::uint32_t Slots = 1) {
  UpstreamEntry E;
  E.Incarnation_ = Incarnation{Id};
  E.Service_ = ServiceId{1};
  E.Address_ = Endpoint::v4(static_cast<std::uint32_t>(Id), 9000);
  E.Slots_ = Slots;
  return E;
}

UpstreamChange put(std::uint64_t Id, Revision At, std::uint32_t Slots = 1) {
  return {Incarnation{Id}, At, entry(Id, Slots)};
}

UpstreamChange gone(std::uint64_t Id, Revision At) {
  return {Incarnation{Id}, At, std::nullopt};
}

bool apply(UpstreamList &List, const UpstreamBatch &Batch) {
  std::vector<UpstreamChange> Ignored;
  return List.apply(Batch, Ignored);
}

/// Returns the slots of each listed upstream.
std::map<std::uint64_t, std::uint32_t> contents(const UpstreamList &List) {
  std::map<std::uint64_t, std::uint32_t> Result;
  UpstreamBatch All = List.changesSince(0);
  for (const UpstreamChange &C : All.Changes_)
    if (C.Entry_)
      Result[raw(C.Incarnation_)] = C.Entry_->Slots_;
  return Result;
}

} // namespace

TEST_CASE("a batch that leaves a gap is rejected") {
  UpstreamList List;
  REQUIRE(apply(List, {true, 0, 10, {put(1, 4), put(2, 9)}, {}}));
  CHECK_FALSE(apply(List, {false, 12, 14, {put(3, 13)}, {}}));
  CHECK(List.through() == 10);
  CHECK(List.size() == 2);
  CHECK(apply(List, {false, 8, 12, {put(2, 9), gone(1, 11)}, {}}));
  CHECK(contents(List) == std::map<std::uint64_t, std::uint32_t>{{2, 1}});
}

TEST_CASE("an older snapshot does not restore removed upstreams") {
  UpstreamList List;
  REQUIRE(apply(List, {true, 0, 10, {put(1, 4), put(2, 9)}, {}}));
  REQUIRE(apply(List, {false, 10, 11, {gone(1, 11)}, {}}));
  CHECK(apply(List, {true, 0, 10, {put(1, 4), put(2, 9)}, {}}));
  CHECK(List.size() == 1);
  CHECK(List.through() == 11);
}

TEST_CASE("upstreams missing from a snapshot are removed and reported") {
  UpstreamList List;
  REQUIRE(apply(List, {true, 0, 10, {put(1, 4), put(2, 9)}, {}}));
  std::vector<UpstreamChange> Applied;
  REQUIRE(List.apply({true, 0, 20, {put(2, 9), put(3, 15)}, {}}, Applied));
  REQUIRE(Applied.size() == 2);
  CHECK(Applied[0].Incarnation_ == Incarnation{3});
  CHECK(Applied[1].Incarnation_ == Incarnation{1});
  CHECK_FALSE(Applied[1].Entry_);
}

TEST_CASE("an entry newer than the revision of its snapshot is kept") {
  // Lists are read in pages; a later page may have newer changes.
  UpstreamList List;
  REQUIRE(apply(List, {true, 0, 10, {put(1, 4), put(2, 12)}, {}}));
  REQUIRE(apply(List, {false, 10, 12, {put(2, 12)}, {}}));
  CHECK(List.size() == 2);
}

TEST_CASE(
    "a peer that is behind gets changes, or a snapshot if removals are no "
    "longer kept") {
  UpstreamList List;
  REQUIRE(apply(List, {true, 0, 10, {put(1, 4), put(2, 9)}, {}}));
  REQUIRE(apply(List, {false, 10, 13, {gone(1, 11), put(3, 12)}, {}}));
  UpstreamBatch Delta = List.changesSince(10);
  CHECK_FALSE(Delta.IsSnapshot_);
  CHECK(Delta.Changes_.size() == 2);
  CHECK(List.changesSince(9)
            .IsSnapshot_); // removals before the snapshot are not known
  for (Revision R = 14; R < 20 + 2 * UpstreamList::MaxTombstones; R += 2)
    REQUIRE(
        apply(List, {false, R - 1, R + 1, {put(R, R), gone(R, R + 1)}, {}}));
  CHECK(List.changesSince(13).IsSnapshot_);
  CHECK_FALSE(List.changesSince(List.through() - 4).IsSnapshot_);
}

TEST_CASE("a snapshot omits the entries that the receiver has") {
  UpstreamList Sender;
  UpstreamList Receiver;
  REQUIRE(
      apply(Receiver, {true, 0, 10, {put(1, 4), put(2, 9), put(3, 3)}, {}}));
  REQUIRE(apply(Sender, {true, 0, 20, {put(1, 4), put(2, 15, 7)}, {}}));
  UpstreamBatch Batch = Sender.changesSince(Receiver.through());
  CHECK(Batch.IsSnapshot_);
  CHECK(Batch.Changes_.size() == 1);
  CHECK(Batch.Unchanged_ == std::vector<Incarnation>{Incarnation{1}});
  REQUIRE(apply(Receiver, Batch));
  CHECK(contents(Receiver) == contents(Sender));
  UpstreamList Behind; // not complete through `After_`
  CHECK_FALSE(apply(Behind, Batch));
}

TEST_CASE("removed upstreams are sent to a starting balancer with their last "
          "entries") {
  UpstreamList Old;
  REQUIRE(apply(Old, {true, 0, 10, {put(1, 4), put(2, 9), put(3, 3)}, {}}));
  REQUIRE(apply(Old, {false, 10, 12, {put(1, 11, 2), gone(1, 12)}, {}}));
  REQUIRE(apply(Old, {true, 0, 20, {put(3, 3)}, {}})); // removes 2
  REQUIRE(Old.ended().size() == 2);

  UpstreamList Started;
  REQUIRE(apply(Started, {true, 0, 20, {put(3, 3)}, {}}));
  UpstreamBatch Update = Old.changesSince(20);
  Update.Ended_ = Old.ended();
  std::vector<UpstreamChange> Applied;
  REQUIRE(Started.apply(Update, Applied));
  REQUIRE(Applied.size() == 2);
  CHECK(Applied[0].Ended_);
  CHECK(Applied[0].Entry_ == entry(1, 2));
  CHECK(Applied[0].Revision_ == 11); // revision of the last entry
  CHECK(Applied[1].Entry_ == entry(2));
  CHECK(Started.size() == 1);

  // Applied only once, and kept for others.
  Applied.clear();
  REQUIRE(Started.apply(Update, Applied));
  CHECK(Applied.empty());
  CHECK(Started.ended().size() == 2);
  UpstreamList Lists;
  REQUIRE(apply(Lists, {true, 0, 9, {put(2, 9)}, {}}));
  REQUIRE(Lists.apply(Update, Applied) == false); // a gap
  CHECK(Applied.empty());

  // Published again, it is no longer among the ended ones.
  REQUIRE(apply(Started, {false, 20, 21, {put(1, 21)}, {}}));
  CHECK(Started.ended().size() == 1);
}

TEST_CASE("only the latest removed upstreams are kept") {
  UpstreamList List;
  Revision At = 0;
  for (std::uint64_t Id = 1; Id <= UpstreamList::MaxEndedEntries + 10;
       ++Id, At += 2)
    REQUIRE(apply(
        List, {false, At, At + 2, {put(Id, At + 1), gone(Id, At + 2)}, {}}));
  CHECK(List.ended().size() == UpstreamList::MaxEndedEntries);
  CHECK(List.ended().front().Incarnation_ == Incarnation{11});
}

TEST_CASE("lists converge when overlapping parts of one log are applied in any "
          "order") {
  rc::check([] {
    // A log of upstreams that are added, changed and removed.
    std::vector<UpstreamChange> Log;
    std::map<std::uint64_t, std::uint32_t> Truth;
    auto Length = *rc::gen::inRange<std::size_t>(1, 60);
    for (Revision R = 1; R <= Length; ++R) {
      auto Id = *rc::gen::inRange<std::uint64_t>(1, 9);
      auto Slots = *rc::gen::inRange<std::uint32_t>(0, 4);
      Log.push_back(Slots == 0 ? gone(Id, R) : put(Id, R, Slots));
      Slots == 0 ? static_cast<void>(Truth.erase(Id))
                 : static_cast<void>(Truth[Id] = Slots);
    }
    auto Part = [&](Revision After, Revision Through) {
      UpstreamBatch Batch{false, After, Through, {}, {}};
      for (Revision R = After + 1; R <= Through; ++R)
        Batch.Changes_.push_back(Log[R - 1]);
      return Batch;
    };
    std::vector<UpstreamList> Lists(3);
    for (int Step = 0; Step < 40; ++Step) {
      UpstreamList &To = Lists[*rc::gen::inRange<std::size_t>(0, 3)];
      if (*rc::gen::arbitrary<bool>()) {
        const UpstreamList &From = Lists[*rc::gen::inRange<std::size_t>(0, 3)];
        apply(To, From.changesSince(To.through()));
        RC_ASSERT(To.through() >= From.through());
        continue;
      }
      auto After = *rc::gen::inRange<Revision>(0, Length);
      auto Through = *rc::gen::inRange<Revision>(After, Length + 1);
      RC_ASSERT(apply(To, Part(After, Through)) == (After <= To.through()));
    }
    for (UpstreamList &List : Lists) {
      apply(List, Part(List.through(), Length));
      RC_ASSERT(List.through() == Length);
      RC_ASSERT(contents(List) == Truth);
    }
  });
}

namespace {

UpstreamChange entryStartedAt(std::uint64_t Id, Revision At,
                              std::uint64_t StartTimeMs) {
  UpstreamChange Change = put(Id, At);
  Change.Entry_->StartTimeMs_ = StartTimeMs;
  return Change;
}

/// Returns the start time of upstream 1, or 0 if it is not listed.
std::uint64_t startTimeMs(const UpstreamList &List) {
  for (const UpstreamChange &C : List.changesSince(0).Changes_)
    if (C.Incarnation_ == Incarnation{1})
      return C.Entry_->StartTimeMs_;
  return 0;
}

} // namespace

TEST_CASE("a delayed entry of an earlier start does not replace a later one") {
  UpstreamList List;
  std::vector<UpstreamChange> Applied;
  REQUIRE(List.apply({true, 0, 10, {entryStartedAt(1, 4, 100)}, {}}, Applied));
  REQUIRE(
      List.apply({false, 10, 12, {entryStartedAt(1, 11, 200)}, {}}, Applied));
  CHECK(startTimeMs(List) == 200);
  SUBCASE("with a later revision") {
    Applied.clear();
    REQUIRE(
        List.apply({false, 12, 20, {entryStartedAt(1, 15, 100)}, {}}, Applied));
    CHECK(Applied.empty());
    CHECK(startTimeMs(List) == 200);
  }
  SUBCASE("in a snapshot, which does not remove the later one") {
    REQUIRE(
        List.apply({true, 0, 20, {entryStartedAt(1, 15, 100)}, {}}, Applied));
    CHECK(startTimeMs(List) == 200);
  }
  SUBCASE("after the later one was removed") {
    REQUIRE(List.apply({false, 12, 20, {gone(1, 15)}, {}}, Applied));
    REQUIRE(
        List.apply({false, 20, 30, {entryStartedAt(1, 25, 100)}, {}}, Applied));
    CHECK(List.size() == 0);
    REQUIRE(
        List.apply({false, 30, 40, {entryStartedAt(1, 35, 300)}, {}}, Applied));
    CHECK(startTimeMs(List) == 300);
  }
}

TEST_CASE("an entry without a start time removes one that has it") {
  UpstreamList List;
  std::vector<UpstreamChange> Applied;
  REQUIRE(List.apply({true, 0, 10, {entryStartedAt(1, 4, 100), put(2, 5)}, {}},
                     Applied));
  REQUIRE(List.apply({false, 10, 12, {put(1, 11), put(2, 12)}, {}}, Applied));
  CHECK(contents(List) == std::map<std::uint64_t, std::uint32_t>{{2, 1}});
}
