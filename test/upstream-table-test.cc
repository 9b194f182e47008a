#include "thymewall/upstream-table.h"

#include <doctest/doctest.h>
#include <map>

using namespace thymewall;

namespace {

MonoTime at(int Milliseconds) {
  return MonoTime(std::chrono::milliseconds(Milliseconds));
}

Declaration declare(std::size_t Count, std::uint32_t Slots = 1) {
  Declaration D;
  for (std::size_t I = 0; I < Count; ++I) {
    Upstream U;
    U.Name_ = "up-" + std::to_string(I);
    U.Id_ = static_cast<UpstreamId>(nameId(U.Name_));
    U.Address_ = Endpoint::v4(static_cast<std::uint32_t>(I + 1), 9000);
    U.Slots_ = Slots;
    D.Upstreams_.push_back(U);
  }
  return D;
}

EligibleSet eligible(std::size_t Count, std::uint32_t FirstSlots = 1) {
  EligibleSet Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.add(static_cast<std::uint32_t>(I), I == 0 ? FirstSlots : 1);
  return Result;
}

std::vector<std::uint32_t> all(std::size_t Count) {
  std::vector<std::uint32_t> Result(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Result[I] = static_cast<std::uint32_t>(I);
  return Result;
}

/// Opens flows one by one; returns by how many percent the most loaded upstream
/// exceeds the mean.
double imbalance(const Chooser &Choose, std::size_t Flows) {
  UpstreamTable Table;
  Table.declare(declare(14), at(0));
  EligibleSet Among = eligible(14);
  for (std::size_t I = 0; I < Flows; ++I) {
    ChooserInput C{
        {ServiceId{1}, FlowId{I * 7919 + 1}}, Among, Table.rows(), at(10'000)};
    ++Table[Among.Indexes_[Choose(C)]].OwnFlows_;
  }
  std::uint32_t Most = 0;
  for (const UpstreamRow &U : Table.rows())
    Most = std::max(Most, U.OwnFlows_);
  return (Most * 14.0 / static_cast<double>(Flows) - 1) * 100;
}

} // namespace

TEST_CASE("two choices by own flows balance better than a plain hash") {
  CHECK(imbalance(chooseByOwnFlows, 28'000) < 0.5);
  CHECK(imbalance(chooseByHash, 28'000) > 1);
}

TEST_CASE("two candidates differ, are stable, and are drawn from all pairs") {
  UpstreamTable Table;
  Table.declare(declare(5), at(0));
  EligibleSet Among = eligible(5, 4);
  std::map<std::pair<std::size_t, std::size_t>, int> Pairs;
  for (std::uint64_t Flow = 1; Flow <= 8000; ++Flow) {
    FlowKey Key{ServiceId{1}, FlowId{Flow}};
    auto Pair = drawCandidates({Key, Among, Table.rows(), at(0)});
    CHECK(Pair.first != Pair.second);
    CHECK(Pair == drawCandidates({Key, Among, Table.rows(), at(9)}));
    ++Pairs[Pair];
  }
  CHECK(Pairs.size() == 20U);
  // The first upstream has 4 of 8 slots: it is drawn first with 1/2, then each
  // other with 1/4; another is drawn first with 1/8, then the first with 4/7.
  for (std::size_t I = 1; I < 5; ++I) {
    CHECK(Pairs[{0, I}] > 900);
    CHECK(Pairs[{0, I}] < 1100);
    CHECK(Pairs[{I, 0}] > 500);
    CHECK(Pairs[{I, 0}] < 645);
  }
}

TEST_CASE("consecutive ejections get longer until a success") {
  UpstreamTable Table(1);
  Table.declare(declare(1), at(0));
  auto EjectedFor = [&](int Now) {
    Table.recordFailure(0, at(Now), 0.5);
    return Table.rows()[0].EjectedUntil_ - at(Now);
  };
  CHECK(EjectedFor(0) == UpstreamTable::BaseEjectionTime);
  CHECK(EjectedFor(10'000) == 2 * UpstreamTable::BaseEjectionTime);
  CHECK(EjectedFor(20'000) == 4 * UpstreamTable::BaseEjectionTime);
  CHECK(EjectedFor(30'000) == 4 * UpstreamTable::BaseEjectionTime);
  Table.recordSuccess(0);
  CHECK(EjectedFor(40'000) == UpstreamTable::BaseEjectionTime);
}

TEST_CASE("a failure during an ejection for another reason ejects for the base "
          "time") {
  UpstreamTable Table(1);
  Table.declare(declare(1), at(0));
  Table.eject(0, at(1000));
  Table.recordFailure(0, at(0), 0.5);
  CHECK(Table.rows()[0].EjectedUntil_ ==
        at(0) + UpstreamTable::BaseEjectionTime);
}

TEST_CASE("dead upstreams are not eligible unless all are dead") {
  UpstreamTable Table;
  Table.declare(declare(4), at(0));
  EligibleSet Among;
  for (std::uint32_t Index = 0; Index < 3; ++Index)
    Table.setDead(Index, true);
  Table.selectEligible(all(4), at(0), Among);
  CHECK(Among.Indexes_ == std::vector<std::uint32_t>{3});
  // An ejected upstream is preferred to dead ones.
  Table.eject(3, at(1000));
  Table.selectEligible(all(4), at(0), Among);
  CHECK(Among.Indexes_ == std::vector<std::uint32_t>{3});
  Table.setDead(3, true);
  Table.selectEligible(all(4), at(0), Among);
  CHECK(Among.size() == 4);
  Table.setDead(1, false);
  Table.selectEligible(all(4), at(0), Among);
  CHECK(Among.Indexes_ == std::vector<std::uint32_t>{1});
  Table.resetHealth();
  Table.selectEligible(all(4), at(0), Among);
  CHECK(Among.size() == 4);
}

TEST_CASE("candidates are weighted by slots") {
  Declaration D = declare(2);
  D.Upstreams_[0].Slots_ = 3;
  UpstreamTable Table;
  Table.declare(D, at(0));
  EligibleSet Among = eligible(2, 3);
  int First = 0;
  for (std::uint64_t Flow = 1; Flow <= 4000; ++Flow)
    First +=
        chooseByHash(
            {{ServiceId{1}, FlowId{Flow}}, Among, Table.rows(), at(0)}) == 0;
  CHECK(First > 2850);
  CHECK(First < 3150);
}

TEST_CASE("an upstream in slow start takes a growing share") {
  UpstreamTable Table;
  Table.declare(declare(4), at(0));
  Table.declare(declare(5), at(1000)); // up-4 is new
  for (std::uint32_t I = 0; I < 4; ++I)
    Table[I].OwnFlows_ = 100;
  EligibleSet Among = eligible(5);
  auto Share = [&](MonoTime Now) {
    int Taken = 0;
    for (std::uint64_t Flow = 1; Flow <= 2000; ++Flow)
      Taken +=
          chooseByOwnFlows(
              {{ServiceId{1}, FlowId{Flow}}, Among, Table.rows(), Now}) == 4;
    return Taken / 2000.0;
  };
  CHECK(Share(at(1000)) < 0.06);
  CHECK(Share(at(3500)) < 0.25);
  CHECK(Share(at(6000)) > 0.35); // warm: all flows with it as a candidate
}

TEST_CASE("consecutive failures eject an upstream, but never more than half") {
  UpstreamTable Table;
  Table.declare(declare(4), at(0));
  auto Fail = [&](std::uint32_t Index) {
    for (std::uint32_t I = 0; I < UpstreamTable::DefaultFailureThreshold; ++I)
      Table.recordFailure(Index, at(0), 0.5);
  };
  auto Now = [&](int When) {
    EligibleSet Into;
    Table.selectEligible(all(4), at(When), Into);
    return Into.Indexes_;
  };
  Table.recordFailure(1, at(0), 0.5);
  Table.recordSuccess(1);
  Table.recordFailure(1, at(0), 0.5);
  CHECK(Now(1).size() == 4U);
  Fail(0);
  CHECK(Now(1) == std::vector<std::uint32_t>{1, 2, 3});
  CHECK(Now(2100).size() == 4U);
  Fail(1);
  CHECK(Now(1).size() == 2U);
  Fail(2);
  CHECK(Now(1).size() == 4U); // three of four: ejections are ignored
  Table.resetHealth();
  CHECK(Now(1).size() == 4U);
}

TEST_CASE("a leaving upstream is not eligible, even if it is the last one") {
  UpstreamTable Table;
  Declaration D = declare(2);
  Table.declare(D, at(0));
  EligibleSet Into;
  Table.setLeaving(D.Upstreams_[0].Id_, true);
  Table.selectEligible(all(2), at(1), Into);
  CHECK(Into.Indexes_ == std::vector<std::uint32_t>{1});
  Table.setLeaving(D.Upstreams_[1].Id_, true);
  Table.selectEligible(all(2), at(1), Into);
  CHECK(Into.empty());
}

TEST_CASE("a new incarnation starts the slow start") {
  UpstreamTable Table;
  Table.declare(declare(1), at(0));
  Table.recordIncarnation(0, Incarnation{1}, at(100));
  CHECK(Table[0].WarmAt_ <= at(100));
  Table.recordIncarnation(0, Incarnation{2}, at(200));
  CHECK(Table[0].WarmAt_ == at(200) + UpstreamTable::SlowStartDuration);
}

TEST_CASE("evacuated upstreams are not eligible, even if all others are dead") {
  UpstreamTable Table;
  Table.declare(declare(4), at(0));
  EligibleSet Among;
  Table.setEvacuated(0, true);
  Table.setEvacuated(1, true);
  Table.selectEligible(all(4), at(0), Among);
  CHECK(Among.Indexes_ == std::vector<std::uint32_t>{2, 3});
  // Half of the two that are not evacuated.
  Table.eject(2, at(5000));
  Table.selectEligible(all(4), at(1), Among);
  CHECK(Among.Indexes_ == std::vector<std::uint32_t>{3});
  Table.eject(3, at(5000));
  Table.selectEligible(all(4), at(1), Among);
  CHECK(Among.Indexes_ == std::vector<std::uint32_t>{2, 3});
  Table.setDead(2, true);
  Table.setDead(3, true);
  Table.selectEligible(all(4), at(1), Among);
  CHECK(Among.empty());
  Table.setEvacuated(0, false);
  Table.selectEligible(all(4), at(1), Among);
  CHECK(Among.Indexes_ == std::vector<std::uint32_t>{0});
}
