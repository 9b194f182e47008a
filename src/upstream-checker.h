/// \file
/// Liveness checks of upstreams by TCP connections to their addresses.
#ifndef THYMEWALL_SRC_UPSTREAM_CHECKER_H
#define THYMEWALL_SRC_UPSTREAM_CHECKER_H

#include "thymewall/packet-balancer.h"

#include <asio/io_context.hpp>

namespace thymewall::detail {

struct CheckerHooks {
  std::function<void(Incarnation Upstream, CheckResult Result,
                     MonoTime StartedAt)>
      OnResult_;
  /// Probes peers at the start of an attempt. Returns the time of the probe.
  std::function<MonoTime()> ProbePeers_;
  /// Returns whether a peer answered that probe in time, so that a timeout of
  /// the upstream counts.
  std::function<bool(MonoTime ProbedAt)> ProbeAnswered_;
};

class UpstreamChecker {
public:
  UpstreamChecker(asio::io_context &Context, CheckerHooks Hooks);

  /// Tries to connect, again after timeouts until `CheckAttempts` decides.
  /// Sends no data. `OnResult_` gets the result.
  void check(const UpstreamCheck &Request);

private:
  asio::io_context &Context_;
  std::shared_ptr<const CheckerHooks> Hooks_;
};

} // namespace thymewall::detail

#endif
