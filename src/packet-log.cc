#include "packet-log.h"

#include <algorithm>
#include <cstdio>

namespace thymewall::detail {

namespace {

const char *eventOf(Decision::Kind Kind) {
  switch (Kind) {
  case Decision::Kind::Opened:
    return "flow_opened";
  case Decision::Kind::OpenMoved:
    return "flow_open_moved";
  case Decision::Kind::OpenRetried:
    return "flow_open_retried";
  case Decision::Kind::Followed:
    return "flow_followed";
  case Decision::Kind::Refused:
    return "packet_refused";
  }
  return "";
}

const char *eventOf(Belief::Kind Kind) {
  switch (Kind) {
  case Belief::Kind::Listed:
    return "upstream_listed";
  case Belief::Kind::Restarted:
    return "upstream_restarted";
  case Belief::Kind::Draining:
    return "upstream_draining";
  case Belief::Kind::Lapsed:
    return "upstream_lapsed";
  case Belief::Kind::Gone:
    return "upstream_gone";
  case Belief::Kind::Ejected:
    return "upstream_ejected";
  case Belief::Kind::Stalled:
    return "upstream_stalled";
  case Belief::Kind::Failing:
    return "upstream_failing";
  case Belief::Kind::Checked:
    return "upstream_checked";
  case Belief::Kind::Dead:
    return "upstream_dead";
  }
  return "";
}

const char *nameOf(IntentAnswer::Outcome Outcome) {
  switch (Outcome) {
  case IntentAnswer::Outcome::Done:
    return "done";
  case IntentAnswer::Outcome::Stale:
    return "stale";
  case IntentAnswer::Outcome::HistoryGone:
    return "history_gone";
  case IntentAnswer::Outcome::Refused:
    return "refused";
  case IntentAnswer::Outcome::Failed:
    return "failed";
  }
  return "";
}

std::int64_t millis(Micros Span) { return Span.count() / 1000; }

} // namespace

std::string formatIncarnation(Incarnation Which) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%llx",
                static_cast<unsigned long long>(raw(Which)));
  return Text;
}

void logDecisionOn(const Decision &D) {
  LogFields Fields = {{"caller", formatEndpoint(D.Caller_)},
                      {"address", formatEndpoint(D.Service_)}};
  if (D.Kind_ == Decision::Kind::Refused) {
    const ErrorRow &Row = errorRow(D.Why_);
    Fields.emplace_back("reason", Row.Name_);
    Fields.emplace_back("answer",
                        Row.Answer_ == Answer::Reset ? "reset" : "none");
  } else {
    Fields.emplace_back("upstream", formatIncarnation(D.Upstream_));
  }
  if (D.Candidates_ != 0)
    Fields.emplace_back("candidates", D.Candidates_);
  Fields.emplace_back("routing_version", D.RoutingVersion_);
  if (D.Known_)
    Fields.emplace_back("knowledge_age_ms", millis(D.KnowledgeAge_));
  logRateLimited(eventOf(D.Kind_), Fields);
}

void logBelief(const Belief &B) {
  LogFields Fields = {{"upstream", formatIncarnation(B.Upstream_)},
                      {"address", formatEndpoint(B.At_)},
                      {"revision", B.Revision_}};
  bool Judged =
      B.Kind_ == Belief::Kind::Stalled || B.Kind_ == Belief::Kind::Failing;
  if (Judged) {
    Fields.emplace_back(B.Kind_ == Belief::Kind::Stalled ? "unanswered"
                                                         : "short_answers",
                        B.Evidence_);
    Fields.emplace_back("needed", B.Needed_);
  }
  logRateLimited(eventOf(B.Kind_), Fields);
}

void logReset(const ResetFlow &R) {
  logRateLimited("flow_reset", {{"caller", formatEndpoint(R.Caller_)},
                                {"address", formatEndpoint(R.Service_)},
                                {"reason", errorRow(R.Why_).Name_}});
}

void logEvacuation(const EvacuationChange &Change) {
  logRateLimited(Change.Evacuated_ ? "data_hall_evacuated"
                                   : "data_hall_taken_back",
                 {{"data_hall", Change.DataHall_}, {"revision", Change.At_}});
}

void logUpstreams(const std::vector<UpstreamChange> &Changes,
                  Revision Through) {
  auto Listed = std::count_if(
      Changes.begin(), Changes.end(),
      [](const UpstreamChange &C) { return C.Entry_ && !C.Ended_; });
  logRateLimited("upstreams_told", {{"listed", Listed},
                                    {"ended", Changes.size() - Listed},
                                    {"revision", Through}});
}

void logRouting(const RoutingTable &Table) {
  logRateLimited("routing_in_force", {{"version", Table.Version_},
                                      {"addresses", Table.Addresses_.size()}});
}

void ServiceLog::answered(MonoTime Now, const IntentAnswer &Answer) {
  bool Served = Answer.Outcome_ == IntentAnswer::Outcome::Done ||
                Answer.Outcome_ == IntentAnswer::Outcome::Stale ||
                Answer.Outcome_ == IntentAnswer::Outcome::HistoryGone;
  if (Answer.Outcome_ == IntentAnswer::Outcome::HistoryGone)
    logRateLimited("history_gone", {});
  if (Served == !failing())
    return;
  if (Served) {
    Write_("configuration_service_answers",
           {{"after_ms", millis(Now - FailedAt_)}});
    FailedAt_ = MonoTime{};
    return;
  }
  Write_("configuration_service_call_failed",
         {{"outcome", nameOf(Answer.Outcome_)}, {"reason", Answer.Reason_}});
  FailedAt_ = Now;
}

void ServiceLog::confirmed(MonoTime AsOf) {
  if (!failing() || AsOf <= FailedAt_)
    return;
  Write_("configuration_service_read_by_peer",
         {{"after_ms", millis(AsOf - FailedAt_)}});
  FailedAt_ = MonoTime{};
}

} // namespace thymewall::detail
