#include "thymewall/routing.h"

#include "thymewall/packet.h"

#include <algorithm>
#include <xxhash.h>

namespace thymewall {

namespace {

/// Keeps the draw of a service apart from other uses of the flow's hash.
constexpr std::uint64_t ServiceDraw = 0x73657276;

} // namespace

std::size_t EndpointHash::operator()(const Endpoint &At) const {
  return XXH64(At.Ip_.data(), At.Ip_.size(), At.Port_);
}

FlowId flowOf(const Packet &P) {
  EndpointHash Hash;
  return static_cast<FlowId>(hashPair(Hash(P.Caller_), Hash(P.Service_)));
}

const std::vector<ServiceShare> *RoutingTable::find(const Endpoint &At) const {
  auto Known = Addresses_.find(At);
  return Known == Addresses_.end() ? nullptr : &Known->second;
}

bool RoutingTable::knowsService(ServiceId Id) const {
  auto LeadsThere = [Id](const auto &Item) {
    return std::any_of(
        Item.second.begin(), Item.second.end(),
        [Id](const ServiceShare &S) { return S.Service_ == Id; });
  };
  return ServiceNames_.count(raw(Id)) != 0 ||
         std::any_of(Addresses_.begin(), Addresses_.end(), LeadsThere);
}

double RoutingTable::coldFlowsPerSecond(ServiceId Id) const {
  auto Known = ColdFlowsPerSecond_.find(raw(Id));
  return Known == ColdFlowsPerSecond_.end() ? 0 : Known->second;
}

std::string RoutingTable::serviceName(ServiceId Id) const {
  auto Known = ServiceNames_.find(raw(Id));
  return Known == ServiceNames_.end() ? std::to_string(raw(Id)) : Known->second;
}

ServiceId chooseService(const std::vector<ServiceShare> &Shares, FlowId Flow) {
  if (Shares.size() == 1)
    return Shares.front().Service_;
  std::uint64_t Sum = 0;
  for (const ServiceShare &S : Shares)
    Sum += S.Weight_;
  std::uint64_t Draw = hashPair(raw(Flow), ServiceDraw) % Sum;
  for (const ServiceShare &S : Shares) {
    if (Draw < S.Weight_)
      return S.Service_;
    Draw -= S.Weight_;
  }
  return Shares.back().Service_;
}

} // namespace thymewall
