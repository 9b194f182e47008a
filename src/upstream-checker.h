/// \file
/// Proves that an upstream lives, or not: TCP connections to its address.
#ifndef THYMEWALL_SRC_UPSTREAM_CHECKER_H
#define THYMEWALL_SRC_UPSTREAM_CHECKER_H

#include "thymewall/packet-balancer.h"

#include <asio/io_context.hpp>

namespace thymewall::detail {

class UpstreamChecker {
public:
  using Handler = std::function<void(Incarnation Upstream, CheckResult Result,
                                     MonoTime Began)>;

  UpstreamChecker(asio::io_context &Context, Handler OnResult);

  /// Tries to connect, twice if the first try meets silence: one lost packet
  /// proves nothing. Nothing is sent.
  void check(const UpstreamCheck &Wanted);

private:
  asio::io_context &Context_;
  std::shared_ptr<const Handler> OnResult_;
};

} // namespace thymewall::detail

#endif
