/// \file
/// The request balancer as a process: sockets, timers and threads that drive a
/// `Balancer`.
#ifndef THYMEWALL_SRC_BALANCER_PROCESS_H
#define THYMEWALL_SRC_BALANCER_PROCESS_H

#include "thymewall/settings.h"

#include <asio/io_context.hpp>
#include <memory>

namespace thymewall::detail {

class BalancerProcess {
public:
  BalancerProcess(asio::io_context &Context, const Settings &Configured);
  ~BalancerProcess();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif
