/// \file
/// Proves that an upstream lives, or not: TCP connections to its address.
#ifndef THYMEWALL_SRC_UPSTREAM_CHECKER_H
#define THYMEWALL_SRC_UPSTREAM_CHECKER_H

#include "thymewall/packet-balancer.h"

#include <asio/io_context.hpp>

namespace thymewall::detail {

struct CheckerHooks {
  std::function<void(Incarnation Upstream, CheckResult Result,
                     MonoTime StartedAt)>
      OnResult_;
  /// A try begins: peers are asked, too. Gives the time of the question.
  std::function<MonoTime()> ProbePeers_;
  /// Whether that question was answered in time, so that silence proves
  /// something.
  std::function<bool(MonoTime ProbedAt)> ProbeAnswered_;
};

class UpstreamChecker {
public:
  UpstreamChecker(asio::io_context &Context, CheckerHooks Hooks);

  /// Tries to connect, and again as long as silence is no proof. Nothing is
  /// sent.
  void check(const UpstreamCheck &Request);

private:
  asio::io_context &Context_;
  std::shared_ptr<const CheckerHooks> Hooks_;
};

} // namespace thymewall::detail

#endif
