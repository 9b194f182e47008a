/// \file
/// The route: an authenticated token that names the upstream of a flow and its
/// home, the balancer process that holds the flow's state. Callers echo it in
/// every request. QUIC-LB connection identifiers and Cheetah (NSDI '20) carry
/// the server in the packet in the same way; they have no home.
#ifndef THYMEWALL_ROUTE_H
#define THYMEWALL_ROUTE_H

#include "thymewall/message.h"

namespace thymewall {

/// Contents of a route.
struct Route {
  ServiceId Service_{};
  FlowId Flow_{};
  UpstreamId Upstream_{};
  Endpoint UpstreamAddress_;
  Incarnation UpstreamIncarnation_{};
  Version PlacedVersion_ = 0; ///< Declaration under which the flow was placed.
  Endpoint HomeAddress_;      ///< Data address of the home balancer.
  Incarnation HomeIncarnation_{};
  std::uint32_t Epoch_ = 0; ///< Number of the flow's insertion at its home.
};
bool operator==(const Route &A, const Route &B);

/// The current key, then the one that is being rotated out.
using KeyPair = std::array<SecretKey, 2>;

/// An encoded route with its tag.
struct SignedRoute {
  std::array<std::uint8_t, MaxRouteSize> Bytes_{};
  std::size_t Size_ = 0;
  Bytes bytes() const { return {Bytes_.data(), Size_}; }
};

/// Encodes \p R and appends a 64-bit SipHash-2-4 tag. Does not allocate.
SignedRoute signRoute(const Route &R, const SecretKey &Secret);

/// Verifies and decodes a route of the given service and flow. Returns
/// `ForgedRoute` if the layout or the tag is wrong; the tag also covers the
/// service and the flow.
///
///   Route R;
///   ErrorKind E = verifyRoute(M.Route_, Keys, Service, M.Flow_, R);
ErrorKind verifyRoute(Bytes Signed, const KeyPair &Keys, ServiceId Service,
                      FlowId Flow, Route &R);

} // namespace thymewall

#endif
