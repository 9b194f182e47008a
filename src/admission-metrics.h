/// \file
/// Metrics of the admission of openings.
#ifndef THYMEWALL_SRC_ADMISSION_METRICS_H
#define THYMEWALL_SRC_ADMISSION_METRICS_H

#include "thymewall/metrics.h"
#include "thymewall/packet-balancer.h"

#include <map>

namespace thymewall::detail {

class AdmissionMetrics {
public:
  void record(const AdmissionEvent &Event, const std::string &Service);
  /// Returns the metrics in Prometheus text format: openings queued, admitted
  /// late and rejected, by priority, and the waits by service (`tenant`) and
  /// priority (`class`).
  std::string prometheus() const;

private:
  /// Counts by metric name and labels.
  std::map<std::pair<std::string, std::string>, std::uint64_t> Counts_;
  DelayMetrics Waits_;
};

} // namespace thymewall::detail

#endif
