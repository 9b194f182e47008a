#include "thymewall/routing.h"

#include "thymewall/packet.h"

#include <algorithm>
#include <xxhash.h>

namespace thymewall {

namespace {

/// Makes the choice of a service independent of other uses of the flow's hash.
constexpr std::uint64_t ServiceSalt = 0x73657276;

} // namespace

std::size_t EndpointHash::operator()(const Endpoint &Address) const {
  return XXH64(Address.Ip_.data(), Address.Ip_.size(), Address.Port_);
}

FlowId flowOf(const Packet &P) {
  EndpointHash Hash;
  return static_cast<FlowId>(hashPair(Hash(P.Caller_), Hash(P.Service_)));
}

const std::vector<ServiceShare> *
RoutingTable::find(const Endpoint &Address) const {
  auto It = Addresses_.find(Address);
  return It == Addresses_.end() ? nullptr : &It->second;
}

bool RoutingTable::knowsService(ServiceId Id) const {
  auto HasService = [Id](const auto &Item) {
    return std::any_of(
        Item.second.begin(), Item.second.end(),
        [Id](const ServiceShare &S) { return S.Service_ == Id; });
  };
  return ServiceNames_.count(raw(Id)) != 0 ||
         std::any_of(Addresses_.begin(), Addresses_.end(), HasService);
}

double RoutingTable::coldFlowsPerSecond(ServiceId Id) const {
  auto It = ColdFlowsPerSecond_.find(raw(Id));
  return It == ColdFlowsPerSecond_.end() ? 0 : It->second;
}

const ServiceObjective *RoutingTable::objective(const Endpoint &Address) const {
  auto It = Objectives_.find(Address);
  return It == Objectives_.end() ? nullptr : &It->second;
}

std::uint32_t RoutingTable::maxFlowsPerUpstream(ServiceId Id) const {
  auto It = MaxFlowsPerUpstream_.find(raw(Id));
  return It == MaxFlowsPerUpstream_.end() ? 0 : It->second;
}

std::string RoutingTable::serviceName(ServiceId Id) const {
  auto It = ServiceNames_.find(raw(Id));
  return It == ServiceNames_.end() ? std::to_string(raw(Id)) : It->second;
}

ServiceId chooseService(const std::vector<ServiceShare> &Shares, FlowId Flow) {
  if (Shares.size() == 1)
    return Shares.front().Service_;
  std::uint64_t Sum = 0;
  for (const ServiceShare &S : Shares)
    Sum += S.Weight_;
  std::uint64_t Remainder = hashPair(raw(Flow), ServiceSalt) % Sum;
  for (const ServiceShare &S : Shares) {
    if (Remainder < S.Weight_)
      return S.Service_;
    Remainder -= S.Weight_;
  }
  return Shares.back().Service_;
}

} // namespace thymewall
