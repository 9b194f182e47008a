// Simulates a fleet to compare algorithms that limit flows to cold upstreams.
// For each algorithm, prints the highest flow count in a sliding second
// relative to the limit, the capacity used and the share of rejected flows.
// Each is the worst case over seeds, membership views and loads; the capacity
// used counts only runs with equal views.
// Usage: cold-ways [SECONDS]
#include "cold-fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace thymewall;
using namespace thymewall::test;

namespace {

constexpr std::uint64_t Seeds = 3;

struct Load {
  const char *Name_;
  std::size_t Warm_;
  std::size_t Cold_;
};
constexpr Load Loads[] = {{"1 of 120 cold", 119, 1},
                          {"8 of 120 cold", 112, 8},
                          {"40 of 120 cold", 80, 40},
                          {"all 40 cold", 0, 40}};

void compare(std::size_t Balancers, double PerSecond, AdmissionPolicy Policy,
             double Seconds) {
  ColdOutcome Worst;
  double MinUsed = 1e9;
  std::string WorstAt;
  for (const Load &L : Loads)
    for (int Membership = 0;
         Membership <= static_cast<int>(MembershipModel::Restarted);
         ++Membership) {
      ColdScenario S{Balancers,
                     L.Warm_,
                     L.Cold_,
                     {PerSecond, 1.5, 5},
                     static_cast<MembershipModel>(Membership)};
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        ColdOutcome O = simulate(S, Policy, Seconds, Seed);
        if (O.PeakRatio_ > Worst.PeakRatio_)
          WorstAt = std::string(L.Name_) + ", " + nameOf(S.Membership_);
        Worst.PeakRatio_ = std::max(Worst.PeakRatio_, O.PeakRatio_);
        Worst.Rejected_ = std::max(Worst.Rejected_, O.Rejected_);
        if (S.Membership_ == MembershipModel::Complete)
          MinUsed = std::min(MinUsed, O.Utilization_);
      }
    }
  std::printf("%4zu %5.0f  %-7s %6.2f  %5.2f  %5.2f  %s\n", Balancers,
              PerSecond, nameOf(Policy).c_str(), Worst.PeakRatio_, MinUsed,
              Worst.Rejected_, WorstAt.c_str());
}

} // namespace

int main(int Count, char **Values) {
  double Seconds = Count > 1 ? std::atof(Values[1]) : 6;
  std::printf("balancers, limit per second, algorithm, peak second/limit, "
              "minimum used (equal views), maximum rejected, peak at\n");
  for (std::size_t Balancers : {8U, 90U, 300U})
    for (double PerSecond : {2.0, 10.0, 50.0})
      for (AdmissionPolicy Policy :
           {AdmissionPolicy::Ramp, AdmissionPolicy::Bucket,
            AdmissionPolicy::Owners, AdmissionPolicy::Weight})
        compare(Balancers, PerSecond, Policy, Seconds);
}
