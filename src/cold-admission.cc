#include "thymewall/cold-admission.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

namespace {

/// Balancers that may take themselves for owners for each one that should:
/// two where a fleet is cut in halves; up to six where each has heard of 40% of
/// 300 others (with 4, the fullest second of a limit of 2 was 1.25 of what is
/// allowed, on virtual time).
constexpr double Believing = 6;
/// Flows a second of one owner. More, and an owner's own callers are too few to
/// use the part (6 new flows a second at each of 90 balancers); fewer, and the
/// parts of many owners round up to more than the whole.
constexpr double FlowsOfOwner = 4;
/// Keeps two flows of one owner, a whole second apart by its own clock, from
/// arriving within one: the network delays each by another time.
constexpr double Apart = 1.02;

} // namespace

ColdQuota coldQuota(const ColdLimit &Limit) {
  double Whole = std::min(Limit.PerSecond_, Limit.burstLimit() / Believing);
  // The flows that one owner may have in a second are a whole number.
  double Owners = std::max(1.0, std::round(Whole / FlowsOfOwner));
  double Flows = std::floor(Limit.burstLimit() / Believing / Owners);
  if (Flows < 1)
    return {};
  double Rate = std::min(Whole / Owners, Flows);
  return {static_cast<std::size_t>(Owners),
          Micros(static_cast<Micros::rep>(1e6 * Apart / Rate))};
}

void ColdAdmission::setFleet(FleetView View) {
  if (View == View_)
    return;
  View_ = std::move(View);
  ++ViewGeneration_;
}

bool ColdAdmission::admits(MonoTime Now, Incarnation Upstream,
                           const ColdLimit &Limit) {
  ColdQuota Parts = coldQuota(Limit);
  if (Parts.Owners_ == 0 || !View_.Settled_)
    return false;
  Part &P = Parts_[raw(Upstream)];
  if (Now < P.NextAt_)
    return false;
  if (P.View_ != ViewGeneration_) {
    P.View_ = ViewGeneration_;
    P.Owns_ = owns(Upstream, Parts.Owners_);
  }
  return P.Owns_;
}

void ColdAdmission::recordOpening(MonoTime Now, Incarnation Upstream,
                                  const ColdLimit &Limit) {
  Parts_[raw(Upstream)].NextAt_ = Now + coldQuota(Limit).MinInterval_;
}

bool ColdAdmission::owns(Incarnation Upstream, std::size_t Owners) const {
  std::uint64_t Own = hashPair(View_.SelfHash_, raw(Upstream));
  auto Before =
      std::count_if(View_.PeerHashes_.begin(), View_.PeerHashes_.end(),
                    [&](std::uint64_t Other) {
                      return hashPair(Other, raw(Upstream)) < Own;
                    });
  bool AmongKnown = static_cast<std::size_t>(Before) < Owners;
  bool KnowsAll = View_.EstimatedSize_ <= View_.PeerHashes_.size() + 1;
  return AmongKnown && (KnowsAll || estimatedRank(Own) < Owners);
}

/// How many balancers of the whole fleet come before one with this hash. Where
/// most are not known, a place among the known alone makes owners of many.
std::size_t ColdAdmission::estimatedRank(std::uint64_t Own) const {
  double Share = std::ldexp(static_cast<double>(Own), -64);
  return static_cast<std::size_t>(Share *
                                  static_cast<double>(View_.EstimatedSize_));
}

} // namespace thymewall
