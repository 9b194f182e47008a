/// \file
/// Load generator: opens flows, sends requests, resends them until their
/// deadline, and records the final answer to each.
#ifndef THYMEWALL_SRC_LOAD_RUN_H
#define THYMEWALL_SRC_LOAD_RUN_H

#include "load-scenario.h"

#include <asio/io_context.hpp>
#include <memory>

namespace thymewall::detail {

/// Runs a scenario and stops the context when all flows are closed.
class LoadRun {
public:
  LoadRun(asio::io_context &Context, const Scenario &S);
  ~LoadRun();

  /// Returns the record of a finished run as JSON: totals, numbers of requests
  /// by final answer, and delay histograms.
  std::string record() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif
