/// \file
/// The pages that every balancer serves at its metrics address.
#ifndef THYMEWALL_SRC_PROCESS_PAGES_H
#define THYMEWALL_SRC_PROCESS_PAGES_H

#include "http-server.h"

namespace thymewall::detail {

/// What makes each page; only the one that is asked for is made.
struct ProcessPages {
  std::function<std::string()> Metrics_;    ///< Prometheus text.
  std::function<std::string()> Status_;     ///< JSON.
  std::function<std::string()> Histograms_; ///< JSON.
};

/// "/metrics", "/status" and "/histograms"; 404 for every other path.
HttpPage processPage(const ProcessPages &Pages, const std::string &Path);

/// A metric of Prometheus's text format.
std::string metricLine(const std::string &Name, std::int64_t Value);

} // namespace thymewall::detail

#endif
