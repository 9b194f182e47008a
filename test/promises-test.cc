// Property tests of the delivery guarantees, on simulated fleets with random
// faults.
#include "fleet.h"

#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>

using namespace thymewall;
using namespace thymewall::test;

namespace {

std::uint64_t TotalEvents = 0;

/// Generates up to \p MaxCount faults of the given kinds before \p Until.
std::vector<Fault> generateFaults(const std::vector<FaultKind> &Kinds,
                                  std::size_t MaxCount, Micros Until) {
  auto Count = *rc::gen::inRange<std::size_t>(1, MaxCount + 1);
  std::vector<Fault> Result;
  for (std::size_t I = 0; I < Count; ++I) {
    Fault F;
    F.Kind_ = *rc::gen::elementOf(Kinds);
    F.At_ = milliseconds(
        *rc::gen::inRange<int>(500, static_cast<int>(Until / milliseconds(1))));
    F.Parameter_ = *rc::gen::inRange<unsigned>(0, 10'000);
    Result.push_back(F);
  }
  return Result;
}

FleetResults runFleet(const FleetOptions &Options,
                      const std::vector<Fault> &Faults) {
  FleetResults S = Fleet(Options, Faults).run();
  TotalEvents += S.Events_;
  for (const auto &[Reason, Number] : S.OutcomeUnknownReasons_)
    RC_LOG() << "unknown outcomes, " << Reason << ": " << Number << "\n";
  return S;
}

/// Asserts the guarantees that hold under all faults.
void assertInvariants(const FleetResults &S) {
  RC_ASSERT(S.RanTwice_ == 0U);
  RC_ASSERT(S.FalseNotRun_ == 0U);
  RC_ASSERT(S.AnsweredWithoutRun_ == 0U);
  RC_ASSERT(S.WrongService_ == 0U);
  RC_ASSERT(S.MixedAnswers_ == 0U);
  RC_ASSERT(S.VersionRollbacks_ == 0U);
}

std::vector<FaultKind> allFaultKinds() {
  std::vector<FaultKind> Kinds;
  Kinds.reserve(static_cast<std::size_t>(FaultKind::Count));
  for (int I = 0; I < static_cast<int>(FaultKind::Count); ++I)
    Kinds.push_back(static_cast<FaultKind>(I));
  return Kinds;
}

FleetOptions lossyNetwork() {
  FleetOptions O;
  O.Seed_ = *rc::gen::arbitrary<std::uint64_t>();
  O.LossRate_ = *rc::gen::element(0.0, 0.02, 0.1);
  O.DuplicateRate_ = *rc::gen::element(0.0, 0.2);
  O.DelayedShare_ = *rc::gen::element(0.0, 0.2);
  return O;
}

} // namespace

TEST_CASE("delivery guarantees hold under random faults") {
  CHECK(rc::check("any faults, upstreams that do not deduplicate", [] {
    FleetOptions O = lossyNetwork();
    assertInvariants(
        runFleet(O, generateFaults(allFaultKinds(), 12, seconds(9))));
  }));
}

TEST_CASE("delivery guarantees hold with deduplicating upstreams") {
  CHECK(rc::check("any faults, upstreams that deduplicate", [] {
    FleetOptions O = lossyNetwork();
    O.UpstreamsRemember_ = true;
    assertInvariants(
        runFleet(O, generateFaults(allFaultKinds(), 12, seconds(9))));
  }));
}

TEST_CASE("forged routes never reach another service") {
  CHECK(rc::check("any faults, forged routes", [] {
    FleetOptions O = lossyNetwork();
    O.ForgeRoutes_ = true;
    assertInvariants(
        runFleet(O, generateFaults(allFaultKinds(), 6, seconds(9))));
  }));
}

TEST_CASE("planned changes break no flow and lose no request") {
  CHECK(rc::check("planned changes", [] {
    FleetOptions O;
    O.Seed_ = *rc::gen::arbitrary<std::uint64_t>();
    O.DuplicateRate_ = *rc::gen::element(0.0, 0.2);
    FleetResults S = runFleet(
        O, generateFaults({FaultKind::Relabel, FaultKind::Drain,
                           FaultKind::JoinBalancer, FaultKind::PlatformDown,
                           FaultKind::PlatformStale},
                          6, seconds(9)));
    assertInvariants(S);
    RC_ASSERT(S.BrokenFlows_ == 0U);
    RC_ASSERT(S.OutcomeUnknown_ == 0U);
    RC_ASSERT(S.NoFinalAnswer_ == 0U);
    RC_ASSERT(S.Answered_ > 1000U);
  }));
}

TEST_CASE(
    "planned stop loses no request; successors adopt at-most-once requests") {
  CHECK(rc::check("one balancer stops", [] {
    FleetOptions O;
    O.Seed_ = *rc::gen::arbitrary<std::uint64_t>();
    O.DuplicateRate_ = *rc::gen::element(0.0, 0.2);
    O.DelayedShare_ = *rc::gen::element(0.0, 0.2);
    O.MaxPause_ = seconds(4); // some flows are idle throughout the stop
    Fault Stop{FaultKind::StopBalancer,
               milliseconds(*rc::gen::inRange(2000, 4000)),
               *rc::gen::inRange(0U, 4U)};
    FleetResults S = runFleet(O, {Stop});
    assertInvariants(S);
    RC_ASSERT(S.BrokenFlows_ == 0U);
    RC_ASSERT(S.OutcomeUnknown_ == 0U);
    RC_ASSERT(S.NotRun_ == 0U);
    RC_ASSERT(S.NoFinalAnswer_ == 0U);
    RC_ASSERT(S.Adopted_ > 0U);
  }));
}

TEST_CASE("crash of one balancer breaks no flow") {
  CHECK(rc::check("one balancer is killed", [] {
    FleetOptions O;
    O.Seed_ = *rc::gen::arbitrary<std::uint64_t>();
    Fault Kill{FaultKind::KillBalancer,
               milliseconds(*rc::gen::inRange(1000, 4000)),
               *rc::gen::inRange(0U, 4U)};
    FleetResults S = runFleet(O, {Kill});
    assertInvariants(S);
    RC_ASSERT(S.BrokenFlows_ == 0U);
    RC_ASSERT(S.NoFinalAnswer_ == 0U);
    RC_ASSERT(S.Rehomed_ > 0U);
  }));
}

TEST_CASE("drained upstream gets no opens although a balancer is suspended") {
  CHECK(rc::check("drain while a balancer is suspended", [] {
    FleetOptions O;
    O.Seed_ = *rc::gen::arbitrary<std::uint64_t>();
    O.Flows_ = 200; // opens continue during the drain
    std::vector<Fault> Faults = {
        {FaultKind::SuspendBalancer, milliseconds(600),
         *rc::gen::inRange(2600U, 2900U)},
        {FaultKind::Drain, milliseconds(700), *rc::gen::inRange(0U, 6U)}};
    for (unsigned I = 0; I < 4; ++I) // restarts cause new opens
      Faults.push_back(
          {FaultKind::UpstreamRestart, milliseconds(3000 + 400 * I), 1 + I});
    FleetResults S = runFleet(O, Faults);
    assertInvariants(S);
    RC_ASSERT(S.LateOpens_ == 0U);
  }));
}

TEST_CASE("all balancers converge on the newest declaration within 2 seconds") {
  CHECK(rc::check("racing declarations, platform down or stale", [] {
    FleetOptions O;
    O.Seed_ = *rc::gen::arbitrary<std::uint64_t>();
    O.Flows_ = 10;
    FleetResults S = runFleet(
        O, generateFaults({FaultKind::Relabel, FaultKind::Drain,
                           FaultKind::PlatformStale, FaultKind::PartitionOneWay,
                           FaultKind::RestartBalancer},
                          10, seconds(8)));
    RC_ASSERT(S.VersionRollbacks_ == 0U);
    RC_ASSERT(S.Converged_);
  }));
}

TEST_CASE("simulated fleets handled more than 200,000 events") {
  std::cout << "core events under faults: " << TotalEvents << "\n";
  CHECK(TotalEvents > 200'000U);
}
