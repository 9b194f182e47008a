/// \file
/// Simulates a fleet that opens flows to cold upstreams under different
/// admission policies, in virtual time. For tests and bench/cold-ways.
#ifndef THYMEWALL_TEST_COLD_FLEET_H
#define THYMEWALL_TEST_COLD_FLEET_H

#include "thymewall/cold-admission.h"

#include <string>

namespace thymewall::test {

/// How a balancer decides whether to open a flow to a cold upstream.
enum class AdmissionPolicy : std::uint8_t {
  Ramp,   ///< A share of the candidate's flows that grows over time.
  Bucket, ///< A token bucket with the limit divided by the known members.
  Owners, ///< `ColdAdmission`.
  Weight  ///< A random draw: the limit over the rate of the service.
};

/// Which peers the balancers know.
enum class MembershipModel : std::uint8_t {
  Complete,    ///< All know all others.
  Halved,      ///< Half have left, and all others know it.
  Partitioned, ///< Two halves that do not know each other.
  /// Half started 4 s ago: the others do not know them, and each of them knows
  /// a random half of the fleet.
  Added,
  Partial,   ///< Each knows a random 40% of the others.
  Restarted, ///< A third restart one after another and lose their state.
};

struct ColdScenario {
  std::size_t Balancers_ = 0;
  std::size_t Warm_ = 0;
  std::size_t Cold_ = 0;
  ColdLimit Limit_;
  MembershipModel Membership_ = MembershipModel::Complete;
  double FlowsPerBalancer_ = 6; ///< New flows a second.
};

struct ColdOutcome {
  double PeakRatio_ = 0;   ///< Most flows in any second, over the limit.
  double Utilization_ = 0; ///< Flows to cold upstreams over their limit.
  double Rejected_ = 0;    ///< Rejected share of all flows.
};

/// Simulates \p For seconds; the cold upstreams stay cold.
ColdOutcome simulate(const ColdScenario &Scenario, AdmissionPolicy Policy,
                     double For, std::uint64_t Seed);

std::string nameOf(AdmissionPolicy Policy);
std::string nameOf(MembershipModel Which);

} // namespace thymewall::test

#endif
