/// \file
/// Evidence against an upstream that balancers exchange. Each balancer draws
/// its own conclusions from it.
#ifndef THYMEWALL_UPSTREAM_WARNING_H
#define THYMEWALL_UPSTREAM_WARNING_H

#include "thymewall/core.h"

namespace thymewall {

struct UpstreamWarning {
  enum class Kind : std::uint8_t {
    Dead,    ///< The sender's check of the upstream failed.
    Stalled, ///< A request was left unanswered.
    Failing  ///< An answer was much shorter than usual.
  };
  Incarnation Upstream_{};
  Kind Kind_ = Kind::Dead;
  /// Flow of the request; identifies the evidence. Not set for `Kind::Dead`.
  FlowId Flow_{};
  /// Published start time, in Unix milliseconds, of the start that the warning
  /// is about. It does not apply to a later start under the same incarnation.
  std::uint64_t StartTimeMs_ = 0;
  /// Time by the sender's clock, whose origin is arbitrary, at which this
  /// message was sent, and the time since the evidence was observed, both in
  /// milliseconds. Not part of a warning's identity; older releases send
  /// neither.
  std::uint64_t SentAtMs_ = 0;
  std::uint32_t AgeMs_ = 0;
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
