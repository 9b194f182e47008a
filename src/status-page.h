/// \file
/// HTTP pages of the request balancer: `/status` and `/histograms` as JSON, and
/// `/metrics` in Prometheus text format.
#ifndef THYMEWALL_SRC_STATUS_PAGE_H
#define THYMEWALL_SRC_STATUS_PAGE_H

#include "process-pages.h"
#include "thymewall/balancer.h"
#include "thymewall/metrics.h"

namespace thymewall::detail {

/// Contents of the pages; made on the Asio context's thread.
struct StatusReport {
  std::string Name_;
  Status Status_;
  Counters Counters_;
  const DelayMetrics *Delays_ = nullptr;
  DeclarationPtr Declaration_;
  /// Counters of the process beside those of the core, by metric name.
  std::vector<std::pair<std::string, std::uint64_t>> ProcessCounters_;
};

std::string statusJson(const StatusReport &R);
std::string metricsText(const StatusReport &R);

/// Returns the page of a path.
HttpPage statusPage(const StatusReport &R, const std::string &Path);

} // namespace thymewall::detail

#endif
