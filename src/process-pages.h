/// \file
/// Pages that every balancer serves at its metrics address.
#ifndef THYMEWALL_SRC_PROCESS_PAGES_H
#define THYMEWALL_SRC_PROCESS_PAGES_H

#include "http-server.h"

namespace thymewall::detail {

/// Generators of the pages; only that of the requested page is called.
struct ProcessPages {
  std::function<std::string()> Metrics_;    ///< Prometheus text.
  std::function<std::string()> Status_;     ///< JSON.
  std::function<std::string()> Histograms_; ///< JSON.
};

/// Serves "/metrics", "/status" and "/histograms", and 404 for other paths.
HttpPage processPage(const ProcessPages &Pages, const std::string &Path);

/// Formats a metric in Prometheus text format, with the prefix `thymewall_`.
std::string metricLine(const std::string &Name, std::int64_t Value);

} // namespace thymewall::detail

#endif
