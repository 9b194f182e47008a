// Thresholds of failed requests, alone and in simulated fleets whose hosts fail
// and return.
#include "stall-fleet.h"
#include "thymewall/failure-evidence.h"

#include <doctest/doctest.h>

using namespace thymewall;
using namespace thymewall::test;
using namespace std::chrono_literals;

TEST_CASE("the threshold grows with the number of failing upstreams") {
  CHECK(FailureEvidence::thresholdAmong(479, 0) == 1);
  CHECK(FailureEvidence::thresholdAmong(0, 0) == 1);
  CHECK(FailureEvidence::thresholdAmong(13, 1) == 2);
  CHECK(FailureEvidence::thresholdAmong(479, 96) == 2); // a fifth hangs
  CHECK(FailureEvidence::thresholdAmong(479, 240) == 4);
  CHECK(FailureEvidence::thresholdAmong(479, 479) <=
        FailureEvidence::MaxRequests);
  for (std::size_t Others : {1U, 13U, 119U, 479U})
    for (std::size_t Silent = 1; Silent <= Others; ++Silent)
      CHECK(FailureEvidence::thresholdAmong(Others, Silent - 1) <=
            FailureEvidence::thresholdAmong(Others, Silent));
}

TEST_CASE("a failed request counts once, until it expires or is cleared") {
  FailureEvidence E;
  MonoTime Now(100s);
  CHECK(E.add(Now, 1, FlowId{7}));
  CHECK_FALSE(E.add(Now, 1, FlowId{7}));
  CHECK(E.add(Now + 100ms, 1, FlowId{8}));
  CHECK(E.count(Now + 200ms, 1) == 2);
  CHECK(E.count(Now + FailureEvidence::CountingWindow, 1) == 1);
  CHECK(E.add(Now + FailureEvidence::CountingWindow, 1, FlowId{7}));
  E.clear(1);
  CHECK(E.count(Now + 200ms, 1) == 0);
  for (std::uint64_t Flow = 0; Flow < 100; ++Flow)
    E.add(Now, 2, FlowId{Flow});
  CHECK(E.count(Now, 2) == FailureEvidence::MaxRequests);
  E.expire(Now + FailureEvidence::CountingWindow);
  CHECK(E.count(Now, 2) == 0);
}

namespace {

/// Sizes of a fleet; requests a second.
struct Size {
  std::size_t Hosts_;
  std::size_t Upstreams_;
  std::size_t Requests_;
};
const Size Sizes[] = {{8, 14, 375}, {88, 120, 1125}, {295, 480, 2813}};

/// Prints the shares of wrong verdicts.
void report(const Size &S, const StallFleet &Fleet) {
  double Pairs = static_cast<double>(S.Hosts_ * S.Upstreams_) / 100;
  MESSAGE(S.Hosts_,
          " hosts: ", static_cast<double>(Fleet.falselySuspected()) / Pairs,
          "% of pairs falsely suspected, ",
          static_cast<double>(Fleet.hangingEligible()) / Pairs,
          "% hanging but eligible");
}

} // namespace

TEST_CASE("returning hosts cause few healthy upstreams to be suspected") {
  for (const Size &S : Sizes) {
    StallFleet Fleet(S.Hosts_, S.Upstreams_, S.Requests_);
    Fleet.failHosts(S.Hosts_ * 4 / 5);
    Fleet.run(3s);
    Fleet.restoreHosts(400ms);
    Fleet.run(6s);
    CAPTURE(S.Hosts_);
    report(S, Fleet);
    // At most one in twenty on average over the balancers.
    CHECK(Fleet.falselySuspected() * 20 <= S.Upstreams_ * S.Hosts_);
    CHECK(Fleet.served() > Fleet.requests() * 95 / 100);
  }
}

TEST_CASE("hanging upstreams are found within two seconds") {
  for (const Size &S : Sizes) {
    StallFleet Fleet(S.Hosts_, S.Upstreams_, S.Requests_);
    Fleet.run(2s);
    Fleet.hangUpstreams(S.Upstreams_ / 5);
    Fleet.run(4s);
    CAPTURE(S.Hosts_);
    report(S, Fleet);
    CHECK(Fleet.hangingEligible() * 10 <= S.Hosts_ * (S.Upstreams_ / 5));
    CHECK(Fleet.falselySuspected() * 20 <= S.Upstreams_ * S.Hosts_);
  }
}

TEST_CASE("hanging upstreams are also found while hosts return") {
  for (const Size &S : Sizes) {
    StallFleet Fleet(S.Hosts_, S.Upstreams_, S.Requests_);
    Fleet.failHosts(S.Hosts_ * 3 / 5);
    Fleet.run(2s);
    Fleet.hangUpstreams(S.Upstreams_ / 5);
    Fleet.run(2300ms);
    Fleet.restoreHosts(400ms);
    Fleet.run(4500ms);
    CAPTURE(S.Hosts_);
    report(S, Fleet);
    CHECK(Fleet.hangingEligible() * 5 <= S.Hosts_ * (S.Upstreams_ / 5));
    CHECK(Fleet.falselySuspected() * 20 <= S.Upstreams_ * S.Hosts_);
  }
}
