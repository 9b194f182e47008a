/// \file
/// Evidence against an upstream that balancers tell each other. Each draws its
/// own conclusion.
#ifndef THYMEWALL_UPSTREAM_WARNING_H
#define THYMEWALL_UPSTREAM_WARNING_H

#include "thymewall/core.h"

namespace thymewall {

struct UpstreamWarning {
  enum class Kind : std::uint8_t {
    Dead,   ///< A check proved it to the balancer that tells.
    Stalled ///< It takes requests and answers none.
  };
  Incarnation Upstream_{};
  Kind Kind_ = Kind::Dead;
};
inline bool operator==(const UpstreamWarning &A, const UpstreamWarning &B) {
  return A.Upstream_ == B.Upstream_ && A.Kind_ == B.Kind_;
}
inline bool operator<(const UpstreamWarning &A, const UpstreamWarning &B) {
  return std::tie(A.Upstream_, A.Kind_) < std::tie(B.Upstream_, B.Kind_);
}

} // namespace thymewall

#endif
