/// \file
/// Many callers, each with flows: opens them, sends requests, resends until the
/// deadline, and notes the final answer to each.
#ifndef THYMEWALL_SRC_LOAD_RUN_H
#define THYMEWALL_SRC_LOAD_RUN_H

#include "load-scenario.h"

#include <asio/io_context.hpp>
#include <memory>

namespace thymewall::detail {

class LoadRun {
public:
  LoadRun(asio::io_context &Context, const Scenario &S);
  ~LoadRun();

  /// The record of a finished run as JSON: totals, the numbers of requests by
  /// final answer, and delay histograms.
  std::string record() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace thymewall::detail

#endif
