/// \file
/// The route that a caller echoes: which upstream holds the flow and which
/// balancer process is its home, under a keyed tag. Kin: QUIC-LB connection
/// identifiers and Cheetah (NSDI '20) carry the server in the packet; the home
/// and its epoch are ours.
#ifndef THYMEWALL_ROUTE_H
#define THYMEWALL_ROUTE_H

#include "thymewall/message.h"

namespace thymewall {

struct Route {
  ServiceId Service_{};
  FlowId Flow_{};
  UpstreamId Upstream_{};
  Endpoint UpstreamAddress_;
  Incarnation UpstreamIncarnation_{};
  Version PlacedVersion_ = 0; ///< Declaration under which the flow was placed.
  Endpoint HomeAddress_;      ///< Data address of the home balancer.
  Incarnation HomeIncarnation_{};
  std::uint32_t Epoch_ = 0; ///< Home's own count of flow-table insertions.
};
bool operator==(const Route &A, const Route &B);

/// The current key first, then the one that is being rotated out.
using KeyPair = std::array<SecretKey, 2>;

/// A sealed route in a buffer of its own.
struct SignedRoute {
  std::array<std::uint8_t, MaxRoute> Bytes_{};
  std::size_t Size_ = 0;
  Bytes bytes() const { return {Bytes_.data(), Size_}; }
};

/// Seals \p R with a 64-bit SipHash-2-4 tag. Allocates nothing.
SignedRoute signRoute(const Route &R, const SecretKey &Secret);

/// Verifies a route for one service and flow: `ForgedRoute` when the layout or
/// the tag is wrong, which a route of another service or flow always has.
///
///   Route R;
///   if (verifyRoute(M.Route_, Keys, Service, M.Flow_, R) == ErrorKind::None)
///   ...
ErrorKind verifyRoute(Bytes Sealed, const KeyPair &Keys, ServiceId Service,
                      FlowId Flow, Route &R);

} // namespace thymewall

#endif
