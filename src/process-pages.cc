#include "process-pages.h"

namespace thymewall::detail {

HttpPage processPage(const ProcessPages &Pages, const std::string &Path) {
  if (Path == "/metrics")
    return {200, "text/plain; version=0.0.4", Pages.Metrics_()};
  if (Path == "/status")
    return {200, "application/json", Pages.Status_()};
  if (Path == "/histograms")
    return {200, "application/json", Pages.Histograms_()};
  return {404, "text/plain", ""};
}

std::string metricLine(const std::string &Name, std::int64_t Value) {
  return "thymewall_" + Name + " " + std::to_string(Value) + "\n";
}

} // namespace thymewall::detail
