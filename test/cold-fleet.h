/// \file
/// Openings of a fleet to cold upstreams on virtual time, for each way to keep
/// them within a limit. For tests and for the comparison of these ways.
#ifndef THYMEWALL_TEST_COLD_FLEET_H
#define THYMEWALL_TEST_COLD_FLEET_H

#include "thymewall/cold-admission.h"

#include <string>

namespace thymewall::test {

/// How a balancer decides whether a flow goes to a cold upstream.
enum class AdmissionPolicy : std::uint8_t {
  Ramp,   ///< A share of the candidate's flows that grows with time.
  Bucket, ///< A token bucket of the limit divided by the members believed in.
  Owners, ///< `ColdAdmission`.
  Weight  ///< A draw by the limit over the whole rate of the service.
};

/// What balancers believe of each other.
enum class MembershipModel : std::uint8_t {
  Alike,     ///< All know all.
  Halved,    ///< Half are gone, and all know it.
  Apart,     ///< Two halves, each of which has forgotten the other.
  Added,     ///< Half came 4 s ago: nobody has heard of them, and each of them
             ///< of half of the others.
  Partial,   ///< Each has heard of 40% of the others, drawn for itself.
  Restarted, ///< A third start again in turn, with nothing remembered.
};

struct ColdScenario {
  std::size_t Balancers_ = 0;
  std::size_t Warm_ = 0;
  std::size_t Cold_ = 0;
  ColdLimit Limit_;
  MembershipModel Belief_ = MembershipModel::Alike;
  double FlowsPerBalancer_ = 6; ///< New ones a second.
};

struct ColdOutcome {
  double PeakRatio_ = 0; ///< Most flows in a sliding second, over the limit.
  double Used_ = 0;      ///< Flows of the cold, over what they bear.
  double Rejected_ = 0;  ///< Share of all flows.
};

/// Plays \p For seconds, in which the cold stay cold.
ColdOutcome play(const ColdScenario &Scenario, AdmissionPolicy Way, double For,
                 std::uint64_t Seed);

std::string nameOf(AdmissionPolicy Way);
std::string nameOf(MembershipModel Which);

} // namespace thymewall::test

#endif
