#include "admission-metrics.h"

#include "packet-log.h"
#include "process-pages.h"

namespace thymewall::detail {

void AdmissionMetrics::record(const AdmissionEvent &Event,
                              const std::string &Service) {
  std::string Priority = std::to_string(Event.Priority_);
  std::string Labels = "priority=\"" + Priority + "\"";
  switch (Event.Kind_) {
  case AdmissionEvent::Kind::Queued:
    ++Counts_[{"openings_queued", Labels}];
    return;
  case AdmissionEvent::Kind::Admitted:
    ++Counts_[{"openings_admitted_late", Labels}];
    break;
  case AdmissionEvent::Kind::Rejected:
    Labels += std::string(",reason=\"") + nameOf(Event.Reason_) + "\"";
    ++Counts_[{"openings_rejected", Labels}];
    break;
  case AdmissionEvent::Kind::Full:
  case AdmissionEvent::Kind::HasRoom:
    return;
  }
  if (Event.Waited_ > Micros(0))
    Waits_.record(Service, Priority, Event.Waited_);
}

std::string AdmissionMetrics::prometheus() const {
  std::string Text;
  for (const auto &[Series, Count] : Counts_)
    Text += metricLine(Series.first + "{" + Series.second + "}",
                       static_cast<std::int64_t>(Count));
  return Text + Waits_.prometheus("thymewall_backlog_wait_seconds");
}

} // namespace thymewall::detail
