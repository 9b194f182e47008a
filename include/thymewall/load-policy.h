/// \file
/// How a balancer treats load; set by its settings.
#ifndef THYMEWALL_LOAD_POLICY_H
#define THYMEWALL_LOAD_POLICY_H

#include <cstdint>

namespace thymewall {

/// How the upstream of a new flow is chosen.
enum class Placement : std::uint8_t {
  TwoDraws, ///< The less loaded of two random draws.
  Apertures ///< The least loaded of this balancer's arc of upstreams.
};

/// What happens to an opening whose service is full.
enum class Admission : std::uint8_t {
  Open,   ///< It is forwarded.
  Backlog ///< It waits in a bounded backlog, or is rejected.
};

} // namespace thymewall

#endif
