/// \file
/// Divides the flows that the upstreams of a service may hold among balancers.
/// Addresses connection limits: an upstream that has reached its limit resets
/// further connections, after the caller has waited for it.
#ifndef THYMEWALL_FLOW_LIMIT_H
#define THYMEWALL_FLOW_LIMIT_H

#include "thymewall/core.h"

namespace thymewall {

/// Maximum numbers of one balancer's flows of a service.
struct FlowLimit {
  std::uint64_t PerUpstream_ = 0;
  std::uint64_t Total_ = 0;
};
inline bool operator==(const FlowLimit &A, const FlowLimit &B) {
  return A.PerUpstream_ == B.PerUpstream_ && A.Total_ == B.Total_;
}

/// Returns the limits of a balancer that carries \p Share of a service's load
/// and opens flows to \p ArcUpstreams of its \p Upstreams, each of which holds
/// \p MaxFlowsPerUpstream. Both limits are at least 1.
FlowLimit flowLimit(std::uint32_t MaxFlowsPerUpstream, double Share,
                    std::size_t Upstreams, std::size_t ArcUpstreams);

} // namespace thymewall

#endif
