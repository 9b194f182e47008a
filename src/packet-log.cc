#include "packet-log.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace thymewall::detail {

namespace {

const char *eventName(Decision::Kind Kind) {
  switch (Kind) {
  case Decision::Kind::Opened:
    return "flow_opened";
  case Decision::Kind::OpenMoved:
    return "flow_open_moved";
  case Decision::Kind::OpenRetried:
    return "flow_open_retried";
  case Decision::Kind::Followed:
    return "flow_followed";
  case Decision::Kind::Unconfirmed:
    return "flow_unconfirmed";
  case Decision::Kind::Refused:
    return "packet_refused";
  }
  return "";
}

const char *eventName(UpstreamEvent::Kind Kind) {
  switch (Kind) {
  case UpstreamEvent::Kind::Listed:
    return "upstream_listed";
  case UpstreamEvent::Kind::Restarted:
    return "upstream_restarted";
  case UpstreamEvent::Kind::Draining:
    return "upstream_draining";
  case UpstreamEvent::Kind::Lapsed:
    return "upstream_lapsed";
  case UpstreamEvent::Kind::Gone:
    return "upstream_gone";
  case UpstreamEvent::Kind::Ejected:
    return "upstream_ejected";
  case UpstreamEvent::Kind::Stalled:
    return "upstream_stalled";
  case UpstreamEvent::Kind::Failing:
    return "upstream_failing";
  case UpstreamEvent::Kind::Checked:
    return "upstream_checked";
  case UpstreamEvent::Kind::Dead:
    return "upstream_dead";
  }
  return "";
}

const char *eventName(AdmissionEvent::Kind Kind) {
  switch (Kind) {
  case AdmissionEvent::Kind::Queued:
    return "opening_queued";
  case AdmissionEvent::Kind::Admitted:
    return "opening_admitted";
  case AdmissionEvent::Kind::Rejected:
    return "opening_rejected";
  case AdmissionEvent::Kind::Full:
    return "service_full";
  case AdmissionEvent::Kind::HasRoom:
    return "service_has_room";
  }
  return "";
}

const char *nameOf(ConfigResponse::Outcome Outcome) {
  switch (Outcome) {
  case ConfigResponse::Outcome::Done:
    return "done";
  case ConfigResponse::Outcome::Stale:
    return "stale";
  case ConfigResponse::Outcome::HistoryGone:
    return "history_gone";
  case ConfigResponse::Outcome::Refused:
    return "refused";
  case ConfigResponse::Outcome::Unreadable:
    return "unreadable";
  case ConfigResponse::Outcome::Failed:
    return "failed";
  }
  return "";
}

std::int64_t millis(Micros Duration) { return Duration.count() / 1000; }

} // namespace

std::string formatIncarnation(Incarnation Id) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%llx",
                static_cast<unsigned long long>(raw(Id)));
  return Text;
}

void logPacketDecision(const Decision &D) {
  LogFields Fields = {{"caller", formatEndpoint(D.Caller_)},
                      {"address", formatEndpoint(D.Service_)}};
  if (D.Kind_ == Decision::Kind::Refused) {
    const ErrorRow &Row = errorRow(D.Error_);
    Fields.emplace_back("reason", Row.Name_);
    Fields.emplace_back(
        "answer", Row.Response_ == ErrorResponse::Reset ? "reset" : "none");
  } else if (D.Upstream_ != Incarnation{}) {
    Fields.emplace_back("upstream", formatIncarnation(D.Upstream_));
  }
  if (D.Candidates_ != 0)
    Fields.emplace_back("candidates", D.Candidates_);
  Fields.emplace_back("routing_version", D.RoutingVersion_);
  if (D.HasConfirmation_)
    Fields.emplace_back("knowledge_age_ms", millis(D.KnowledgeAge_));
  logRateLimited(eventName(D.Kind_), Fields);
}

void logUpstreamEvent(const UpstreamEvent &Event) {
  LogFields Fields = {{"upstream", formatIncarnation(Event.Upstream_)},
                      {"address", formatEndpoint(Event.Address_)},
                      {"revision", Event.Revision_}};
  bool HasEvidence = Event.Kind_ == UpstreamEvent::Kind::Stalled ||
                     Event.Kind_ == UpstreamEvent::Kind::Failing;
  if (HasEvidence) {
    Fields.emplace_back(Event.Kind_ == UpstreamEvent::Kind::Stalled
                            ? "unanswered"
                            : "short_answers",
                        Event.Evidence_);
    Fields.emplace_back("needed", Event.Needed_);
  }
  logRateLimited(eventName(Event.Kind_), Fields);
}

void logPlacement(const PlacementChange &Change, const std::string &Service) {
  bool Apertures = Change.Placement_ == Placement::Apertures;
  logRateLimited("placement_changed",
                 {{"service", Service},
                  {"way", Apertures ? "apertures" : "two_draws"},
                  {"share", std::lround(Change.Share_ * 1000)},
                  {"arc", Change.Arc_}});
}

void logReset(const ResetFlow &R) {
  logRateLimited("flow_reset", {{"caller", formatEndpoint(R.Caller_)},
                                {"address", formatEndpoint(R.Service_)},
                                {"reason", errorRow(R.Error_).Name_}});
}

const char *nameOf(AdmissionEvent::Reason Reason) {
  switch (Reason) {
  case AdmissionEvent::Reason::ExpectedWait:
    return "expected_wait";
  case AdmissionEvent::Reason::Waited:
    return "waited";
  case AdmissionEvent::Reason::Displaced:
    return "displaced";
  case AdmissionEvent::Reason::None:
    break;
  }
  return "none";
}

void logAdmission(const AdmissionEvent &Event, const std::string &Service) {
  using Kind = AdmissionEvent::Kind;
  LogFields Fields = {{"service", Service},
                      {"in_progress", Event.InProgress_},
                      {"limit", Event.Limit_}};
  if (Event.Kind_ == Kind::Full || Event.Kind_ == Kind::HasRoom)
    return logRateLimited(eventName(Event.Kind_), Fields);
  Fields.emplace_back("caller", formatEndpoint(Event.Caller_));
  Fields.emplace_back("priority", Event.Priority_);
  if (Event.Kind_ != Kind::Admitted) {
    Fields.emplace_back("place", Event.Ahead_);
    Fields.emplace_back("expected_wait_ms", millis(Event.ExpectedWait_));
  }
  if (Event.Kind_ != Kind::Queued)
    Fields.emplace_back("waited_ms", millis(Event.Waited_));
  if (Event.Kind_ == Kind::Rejected)
    Fields.emplace_back("reason", nameOf(Event.Reason_));
  logRateLimited(eventName(Event.Kind_), Fields);
}

void logEvacuation(const EvacuationChange &Change) {
  logRateLimited(
      Change.Evacuated_ ? "data_hall_evacuated" : "data_hall_taken_back",
      {{"data_hall", Change.DataHall_}, {"revision", Change.Revision_}});
}

void logUpstreamSummary(const std::vector<UpstreamChange> &Changes,
                        Revision Through) {
  auto Listed = std::count_if(
      Changes.begin(), Changes.end(),
      [](const UpstreamChange &C) { return C.Entry_ && !C.Ended_; });
  logRateLimited("upstreams_told", {{"listed", Listed},
                                    {"ended", Changes.size() - Listed},
                                    {"revision", Through}});
}

void logStateLag(const StateLag &Lag, bool IsBehind, Revision Through,
                 Micros StateAge) {
  LogFields Fields = {{"revision", Through},
                      {"newest_revision", Lag.NewestRevision_},
                      {"newest_at", Lag.NewestPeer_},
                      {"behind_ms", millis(Lag.BehindFor_)},
                      {"knowledge_age_ms", millis(StateAge)},
                      {"confirmed_by", Lag.ConfirmedBy_},
                      {"max_transit_ms", millis(Lag.MaxTransit_)}};
  logRateLimited(IsBehind ? "state_behind" : "state_caught_up", Fields);
}

void logServiceOutage(const ServiceOutage &Outage) {
  bool Own = Outage.Evidence_ == ServiceOutage::Evidence::OwnCalls;
  logState("configuration_service_outage_ended",
           {{"unconfirmed_ms",
             millis(Outage.ConfirmedAt_ - Outage.LastConfirmedAt_)},
            {"evidence", Own ? "own_calls" : "peer_reports"}});
}

void logRouting(const RoutingTable &Table) {
  logRateLimited("routing_in_force",
                 {{"version", Table.Version_},
                  {"addresses", Table.Addresses_.size()},
                  {"objectives", Table.Objectives_.size()}});
}

namespace {

/// Fields that show what the host observed; the round trip is -1 if too few
/// peers gave a result.
LogFields healthFields(const HostHealth &Health) {
  return {
      {"round_trip_ms", Health.RoundTrip_ ? millis(*Health.RoundTrip_) : -1},
      {"peers", Health.Peers_},
      {"tick_delay_ms", millis(Health.TickDelay_)}};
}

} // namespace

void logHostImpaired(const HostHealth &Health) {
  LogFields Fields = healthFields(Health);
  Fields.emplace_back("reason", nameOf(Health.Reason_));
  logRateLimited("host_impaired", Fields);
}

void logStepBack(StepBack::Change Change, const HostHealth &Health,
                 const StepBack &Decision) {
  LogFields Fields = healthFields(Health);
  Fields.emplace_back("ahead", Decision.place().Ahead_);
  Fields.emplace_back("limit", Decision.place().Limit_);
  Fields.emplace_back("hall_size", Decision.place().HallSize_);
  if (Change == StepBack::Change::SteppedBack)
    return logRateLimited("host_stepped_back", Fields);
  bool Healthy = Decision.reportedImpairment() == 0;
  Fields.emplace_back("reason", Healthy ? "healthy" : "limit");
  logRateLimited("host_returned", Fields);
}

void ConfigServiceLog::answered(MonoTime Now, const ConfigResponse &Response) {
  bool Served = Response.Outcome_ == ConfigResponse::Outcome::Done ||
                Response.Outcome_ == ConfigResponse::Outcome::Stale ||
                Response.Outcome_ == ConfigResponse::Outcome::HistoryGone;
  if (Response.Outcome_ == ConfigResponse::Outcome::HistoryGone)
    logRateLimited("history_gone", {});
  if (Served == !failing())
    return;
  if (Served) {
    Write_("configuration_service_answers",
           {{"after_ms", millis(Now - FailedAt_)}});
    FailedAt_ = MonoTime{};
    return;
  }
  Write_(
      "configuration_service_call_failed",
      {{"outcome", nameOf(Response.Outcome_)}, {"reason", Response.Reason_}});
  FailedAt_ = Now;
}

void ConfigServiceLog::confirmed(MonoTime AsOf) {
  if (!failing() || AsOf <= FailedAt_)
    return;
  Write_("configuration_service_read_by_peer",
         {{"after_ms", millis(AsOf - FailedAt_)}});
  FailedAt_ = MonoTime{};
}

} // namespace thymewall::detail
