#include "thymewall/aperture.h"

#include <algorithm>
#include <cmath>

namespace thymewall {

namespace {

/// Hash salt of the order of upstreams.
constexpr std::uint64_t RingOrder = 0x72696e67;

std::uint64_t ringHash(const RingUpstream &U) {
  return hashPair(raw(U.Incarnation_), RingOrder);
}

/// Returns the start of this balancer's segment, from 0 to below 1.
double segmentStart(const FleetLoad &Fleet, ServiceId Service) {
  auto Order = [](const BalancerLoad &B) {
    return std::tie(B.DataHall_, B.Hash_);
  };
  std::uint64_t Before = 0;
  std::uint64_t Total = loadOf(Fleet.Self_, Service);
  for (const BalancerLoad &Peer : Fleet.Peers_) {
    std::uint64_t Load = loadOf(Peer, Service);
    Total += Load;
    if (Order(Peer) < Order(Fleet.Self_))
      Before += Load;
  }
  // Balancers without load after all others start at the ring's start.
  if (Before == Total)
    return 0;
  return static_cast<double>(Before) / static_cast<double>(Total);
}

/// Returns whether the balancers of this data hall carry far less load than
/// others on average.
bool isHallIdle(const FleetLoad &Fleet, ServiceId Service) {
  double Total = loadOf(Fleet.Self_, Service);
  double InHall = Total;
  double Members = 1;
  double MembersInHall = 1;
  for (const BalancerLoad &Peer : Fleet.Peers_) {
    double Load = loadOf(Peer, Service);
    Total += Load;
    ++Members;
    if (Peer.DataHall_ != Fleet.Self_.DataHall_)
      continue;
    InHall += Load;
    ++MembersInHall;
  }
  return InHall / MembersInHall < IdleHallLoad * Total / Members;
}

/// Returns the distance of two points of the ring, from 0 to 0.5.
double distance(double A, double B) {
  double Apart = std::abs(A - B);
  Apart -= std::floor(Apart);
  return std::min(Apart, 1 - Apart);
}

/// Returns whether both ends of \p Current are close to those of \p Target.
bool isClose(const Arc &Current, const Arc &Target, std::size_t RingSize) {
  double MaxDrift = MaxArcDrift / static_cast<double>(RingSize);
  return distance(Current.Start_, Target.Start_) <= MaxDrift &&
         distance(Current.Start_ + Current.Length_,
                  Target.Start_ + Target.Length_) <= MaxDrift &&
         std::abs(Current.Length_ - Target.Length_) <= 2 * MaxDrift;
}

} // namespace

UpstreamRing::UpstreamRing(std::vector<RingUpstream> Upstreams)
    : Upstreams_(std::move(Upstreams)) {
  auto HasNoSlots = [](const RingUpstream &U) { return U.Slots_ == 0; };
  Upstreams_.erase(
      std::remove_if(Upstreams_.begin(), Upstreams_.end(), HasNoSlots),
      Upstreams_.end());
  std::sort(Upstreams_.begin(), Upstreams_.end(),
            [](const RingUpstream &A, const RingUpstream &B) {
              return std::make_tuple(std::cref(A.DataHall_), ringHash(A)) <
                     std::make_tuple(std::cref(B.DataHall_), ringHash(B));
            });
  std::uint64_t Total = 0;
  for (const RingUpstream &U : Upstreams_)
    Total += U.Slots_;
  std::uint64_t UpTo = 0;
  for (const RingUpstream &U : Upstreams_) {
    UpTo += U.Slots_;
    Ends_.push_back(static_cast<double>(UpTo) / static_cast<double>(Total));
  }
}

std::vector<std::uint32_t> UpstreamRing::within(const Arc &Section) const {
  std::vector<std::uint32_t> Result;
  if (Upstreams_.empty())
    return Result;
  auto First = std::upper_bound(Ends_.begin(), Ends_.end(), Section.Start_);
  auto Begin = static_cast<std::size_t>(First - Ends_.begin());
  double End = Section.Start_ + Section.Length_;
  for (std::size_t I = 0; I < size(); ++I) {
    std::size_t At = (Begin + I) % size();
    double Turns = Begin + I < size() ? 0 : 1;
    double SegmentStart = (At == 0 ? 0 : Ends_[At - 1]) + Turns;
    if (I > 0 && SegmentStart >= End)
      break;
    Result.push_back(Upstreams_[At].Index_);
  }
  return Result;
}

std::optional<Arc> arcOf(const FleetLoad &Fleet, ServiceId Service,
                         std::size_t RingSize, double Extra) {
  std::optional<double> Share = ownShare(Fleet, Service);
  if (!Share || RingSize == 0 || isHallIdle(Fleet, Service))
    return std::nullopt;
  double Length = *Share + Extra / static_cast<double>(RingSize);
  return Arc{segmentStart(Fleet, Service), std::min(Length, 1.0)};
}

std::optional<Aperture> nextAperture(const std::optional<Aperture> &Current,
                                     const FleetLoad &Fleet, ServiceId Service,
                                     const UpstreamRing &Ring) {
  std::optional<Arc> Target = arcOf(Fleet, Service, Ring.size());
  if (!Target)
    return std::nullopt;
  bool Keeps = Current && isClose(Current->Arc_, *Target, Ring.size());
  Arc Section = Keeps ? Current->Arc_ : *Target;
  return Aperture{Section, *ownShare(Fleet, Service), Ring.within(Section)};
}

} // namespace thymewall
