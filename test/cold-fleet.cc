#include "cold-fleet.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace thymewall::test {

namespace {

/// Range of the network delay from a balancer to an upstream.
constexpr double MinDelayMs = 0.1;
constexpr double MaxDelayMs = 2.0;
/// Duration of the ramp; it starts with the simulation.
constexpr double RampSeconds = 5;

std::uint64_t hashOfBalancer(std::size_t Which) {
  return hashPair(Which, 0x6c62);
}

Incarnation coldUpstream(std::size_t Which) { return Incarnation{Which + 1}; }

/// State of a balancer for all policies.
struct Balancer {
  ColdAdmission Admission_;
  std::vector<double> TokenAt_; ///< Next token for each cold upstream.
  std::size_t Members_ = 1;     ///< Known ones, including itself.
  double StartedAt_ = -100;
};

class Model {
public:
  Model(const ColdScenario &Scenario, AdmissionPolicy Policy,
        std::uint64_t Seed)
      : S_(Scenario), Policy_(Policy), Random_(Seed), Fleet_(S_.Balancers_),
        Arrivals_(S_.Cold_) {
    for (std::size_t Which = 0; Which < Fleet_.size(); ++Which)
      start(Which, S_.Membership_ == MembershipModel::Added && isNew(Which)
                       ? -4
                       : -100);
  }

  ColdOutcome run(double For) {
    double Rate = static_cast<double>(Fleet_.size()) * S_.FlowsPerBalancer_;
    std::exponential_distribution<double> Gap(Rate);
    std::uniform_int_distribution<std::size_t> Any(0, Fleet_.size() - 1);
    double NextRestart = 1;
    std::size_t Restarts = 0;
    for (Now_ = 0; Now_ < For; Now_ += Gap(Random_)) {
      while (S_.Membership_ == MembershipModel::Restarted &&
             Now_ > NextRestart) {
        if (Restarts < Fleet_.size() / 3)
          start(Restarts++, Now_);
        NextRestart += 0.02;
      }
      open(Any(Random_));
    }
    return outcome(For);
  }

private:
  bool isNew(std::size_t Which) const { return Which >= Fleet_.size() / 2; }

  /// Returns whether a balancer knows another one.
  bool knows(std::size_t Which, std::size_t Other) {
    std::uniform_real_distribution<double> Draw(0, 1);
    switch (S_.Membership_) {
    case MembershipModel::Complete:
    case MembershipModel::Restarted:
    case MembershipModel::Halved:
      return true;
    case MembershipModel::Partitioned:
      return isNew(Which) == isNew(Other);
    case MembershipModel::Added:
      return isNew(Which) ? Draw(Random_) < 0.5 : !isNew(Other);
    case MembershipModel::Partial:
      return Draw(Random_) < 0.4;
    }
    return false;
  }

  void start(std::size_t Which, double At) {
    Balancer &B = Fleet_[Which];
    B = Balancer{};
    B.TokenAt_.assign(S_.Cold_, 0);
    B.StartedAt_ = At;
    FleetView View;
    View.SelfHash_ = hashOfBalancer(Which);
    for (std::size_t Other = 0; Other < Fleet_.size(); ++Other)
      if (Other != Which && knows(Which, Other))
        View.PeerHashes_.push_back(hashOfBalancer(Other));
    B.Members_ = View.PeerHashes_.size() + 1;
    View.Settled_ = true;
    Views_.resize(Fleet_.size());
    Views_[Which] = View;
  }

  void open(std::size_t Which) {
    ++Flows_;
    std::size_t All = S_.Warm_ + S_.Cold_;
    std::uniform_int_distribution<std::size_t> Any(0, All - 1);
    switch (Policy_) {
    case AdmissionPolicy::Ramp: {
      std::size_t One = Any(Random_);
      std::size_t Two = Any(Random_);
      bool Takes = One >= S_.Cold_ || ramp();
      return send(Which, Takes ? One : Two);
    }
    case AdmissionPolicy::Bucket:
    case AdmissionPolicy::Owners:
    case AdmissionPolicy::Weight:
      break;
    }
    std::size_t First = Any(Random_);
    for (std::size_t I = 0; I < S_.Cold_; ++I) {
      std::size_t Cold = (First + I) % S_.Cold_;
      if (admits(Which, Cold))
        return send(Which, Cold);
    }
    if (S_.Warm_ == 0)
      ++Rejected_;
  }

  bool ramp() {
    std::uniform_real_distribution<double> Draw(0, 1);
    return Draw(Random_) <= std::max(Now_ / RampSeconds, 0.1);
  }

  bool admits(std::size_t Which, std::size_t Cold) {
    Balancer &B = Fleet_[Which];
    if (Policy_ == AdmissionPolicy::Bucket) {
      if (Now_ < B.TokenAt_[Cold])
        return false;
      B.TokenAt_[Cold] =
          Now_ + static_cast<double>(B.Members_) / S_.Limit_.PerSecond_;
      return true;
    }
    if (Policy_ == AdmissionPolicy::Weight) {
      std::uniform_real_distribution<double> Draw(0, 1);
      double Whole = S_.FlowsPerBalancer_ * static_cast<double>(B.Members_);
      return Draw(Random_) < S_.Limit_.PerSecond_ / Whole;
    }
    MonoTime At(Micros(static_cast<Micros::rep>((Now_ + 1000) * 1e6)));
    Views_[Which].Settled_ = Now_ - B.StartedAt_ >= 3;
    B.Admission_.setFleet(Views_[Which]);
    if (!B.Admission_.admits(At, coldUpstream(Cold), S_.Limit_))
      return false;
    B.Admission_.recordOpening(At, coldUpstream(Cold), S_.Limit_);
    return true;
  }

  void send(std::size_t, std::size_t Upstream) {
    if (Upstream >= S_.Cold_)
      return;
    std::uniform_real_distribution<double> Delay(MinDelayMs, MaxDelayMs);
    Arrivals_[Upstream].push_back(Now_ + Delay(Random_) / 1000);
  }

  ColdOutcome outcome(double For) {
    ColdOutcome Result;
    std::size_t Taken = 0;
    for (std::vector<double> &At : Arrivals_) {
      std::sort(At.begin(), At.end());
      Taken += At.size();
      std::size_t Begin = 0;
      for (std::size_t End = 0; End < At.size(); ++End) {
        while (At[End] - At[Begin] > 1)
          ++Begin;
        double Count = static_cast<double>(End - Begin + 1);
        Result.PeakRatio_ =
            std::max(Result.PeakRatio_, Count / S_.Limit_.burstLimit());
      }
    }
    double Allowed = S_.Limit_.PerSecond_ * For * static_cast<double>(S_.Cold_);
    Result.Utilization_ = static_cast<double>(Taken) / Allowed;
    Result.Rejected_ =
        static_cast<double>(Rejected_) / static_cast<double>(Flows_);
    return Result;
  }

  ColdScenario S_;
  AdmissionPolicy Policy_;
  std::mt19937_64 Random_;
  std::vector<Balancer> Fleet_;
  std::vector<FleetView> Views_;
  std::vector<std::vector<double>> Arrivals_;
  double Now_ = 0;
  std::size_t Flows_ = 0;
  std::size_t Rejected_ = 0;
};

} // namespace

ColdOutcome simulate(const ColdScenario &Scenario, AdmissionPolicy Policy,
                     double For, std::uint64_t Seed) {
  ColdScenario S = Scenario;
  if (S.Membership_ == MembershipModel::Halved)
    S.Balancers_ /= 2;
  return Model(S, Policy, Seed).run(For);
}

std::string nameOf(AdmissionPolicy Policy) {
  switch (Policy) {
  case AdmissionPolicy::Ramp:
    return "ramp";
  case AdmissionPolicy::Bucket:
    return "bucket";
  case AdmissionPolicy::Owners:
    return "owners";
  case AdmissionPolicy::Weight:
    return "weight";
  }
  return "";
}

std::string nameOf(MembershipModel Which) {
  switch (Which) {
  case MembershipModel::Complete:
    return "alike";
  case MembershipModel::Halved:
    return "halved";
  case MembershipModel::Partitioned:
    return "apart";
  case MembershipModel::Added:
    return "added";
  case MembershipModel::Partial:
    return "partial";
  case MembershipModel::Restarted:
    return "restarted";
  }
  return "";
}

} // namespace thymewall::test
