/// \file
/// Evidence against an upstream that balancers tell each other. Each draws its
/// own conclusion.
#ifndef THYMEWALL_UPSTREAM_WARNING_H
#define THYMEWALL_UPSTREAM_WARNING_H

#include "thymewall/core.h"

namespace thymewall {

struct UpstreamWarning {
  enum class Kind : std::uint8_t {
    Dead,    ///< A check proved it to the balancer that tells.
    Stalled, ///< It has left a request unanswered.
    Failing  ///< It has answered a request by far too little.
  };
  Incarnation Upstream_{};
  Kind Kind_ = Kind::Dead;
  /// The flow of the request: what tells one piece of evidence from another.
  /// None for a dead one.
  FlowId Flow_{};
  /// Of the start that is meant, as it is published: a warning of one start
  /// says nothing of the next one under the same incarnation.
  std::uint64_t StartTimeMs_ = 0;
};
inline bool operator==(const UpstreamWarning &A, const UpstreamWarning &B) {
  return std::tie(A.Upstream_, A.Kind_, A.Flow_, A.StartTimeMs_) ==
         std::tie(B.Upstream_, B.Kind_, B.Flow_, B.StartTimeMs_);
}
inline bool operator<(const UpstreamWarning &A, const UpstreamWarning &B) {
  return std::tie(A.Upstream_, A.Kind_, A.Flow_, A.StartTimeMs_) <
         std::tie(B.Upstream_, B.Kind_, B.Flow_, B.StartTimeMs_);
}

} // namespace thymewall

#endif
