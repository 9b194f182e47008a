#include "thymewall/cold-admission.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

namespace {

/// Number of balancers that may consider themselves owners for each actual
/// owner: two in a partitioned fleet, more where balancers know few peers.
constexpr double MaxOwnerOvercount = 6;
/// Target rate of one owner, in flows a second. With a higher one an owner has
/// too few callers to use its quota; with a lower one rounding up the quotas of
/// many owners exceeds the limit.
constexpr double FlowsPerOwner = 4;
/// Lengthens the interval between two flows of one owner, so that network
/// jitter does not bring them within the same second.
constexpr double IntervalMargin = 1.02;

} // namespace

ColdQuota coldQuota(const ColdLimit &Limit) {
  double Total =
      std::min(Limit.PerSecond_, Limit.burstLimit() / MaxOwnerOvercount);
  // Each owner gets a whole number of flows a second.
  double Owners = std::max(1.0, std::round(Total / FlowsPerOwner));
  double Flows = std::floor(Limit.burstLimit() / MaxOwnerOvercount / Owners);
  if (Flows < 1)
    return {};
  double Rate = std::min(Total / Owners, Flows);
  return {static_cast<std::size_t>(Owners),
          Micros(static_cast<Micros::rep>(1e6 * IntervalMargin / Rate))};
}

void ColdAdmission::setFleet(FleetView View) {
  if (View == View_)
    return;
  View_ = std::move(View);
  ++ViewGeneration_;
}

bool ColdAdmission::admits(MonoTime Now, Incarnation Upstream,
                           const ColdLimit &Limit) {
  ColdQuota Quota = coldQuota(Limit);
  if (Quota.Owners_ == 0 || !View_.Settled_)
    return false;
  State &S = States_[raw(Upstream)];
  if (Now < S.NextAt_)
    return false;
  if (S.OwnedAsOf_ != ViewGeneration_) {
    S.OwnedAsOf_ = ViewGeneration_;
    S.Owns_ = owns(Upstream, Quota.Owners_);
  }
  return S.Owns_;
}

void ColdAdmission::recordOpening(MonoTime Now, Incarnation Upstream,
                                  const ColdLimit &Limit) {
  States_[raw(Upstream)].NextAt_ = Now + coldQuota(Limit).MinInterval_;
}

bool ColdAdmission::owns(Incarnation Upstream, std::size_t Owners) const {
  std::uint64_t Own = hashPair(View_.SelfHash_, raw(Upstream));
  auto Preceding =
      std::count_if(View_.PeerHashes_.begin(), View_.PeerHashes_.end(),
                    [&](std::uint64_t Other) {
                      return hashPair(Other, raw(Upstream)) < Own;
                    });
  bool OwnsAmongKnown = static_cast<std::size_t>(Preceding) < Owners;
  bool KnowsAll = View_.EstimatedSize_ <= View_.PeerHashes_.size() + 1;
  return OwnsAmongKnown && (KnowsAll || estimatedRank(Own) < Owners);
}

/// Estimates how many balancers of the whole fleet precede one with this hash.
/// Where few peers are known, ranking among them alone makes too many owners.
std::size_t ColdAdmission::estimatedRank(std::uint64_t Own) const {
  double Share = std::ldexp(static_cast<double>(Own), -64);
  return static_cast<std::size_t>(Share *
                                  static_cast<double>(View_.EstimatedSize_));
}

} // namespace thymewall
