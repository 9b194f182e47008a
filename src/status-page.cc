#include "status-page.h"

#include <nlohmann/json.hpp>

namespace thymewall::detail {

namespace {

using Json = nlohmann::json;
using NamedValue = std::pair<std::string, std::uint64_t>;

/// Returns all counters by name, for both the JSON and the metrics page.
std::vector<NamedValue> counterValues(const StatusReport &R) {
  const Counters &C = R.Counters_;
  static const char *const StepNames[] = {"route", "home", "passed", "refused"};
  std::vector<NamedValue> Result = {
      {"flows", R.Status_.Flows_},
      {"requests_in_progress", R.Status_.Requests_},
      {"passes_in_progress", R.Status_.PendingForwards_},
      {"table_bytes", R.Status_.MemoryBytes_},
      {"opens", C.Opens_},
      {"opened", C.Opened_},
      {"requests", C.Requests_},
      {"answered", C.Answered_},
      {"refused_not_run", C.NotRun_},
      {"outcome_unknown", C.OutcomeUnknown_},
      {"open_retries", C.Retries_},
      {"rehomed", C.Rehomed_},
      {"moved", C.Moved_},
      {"adopted", C.Adopted_},
      {"late_wakes", C.LateWakes_}};
  for (std::size_t I = 0; I < C.ResolvedBy_.size(); ++I)
    Result.emplace_back(std::string("resolved_by_") + StepNames[I],
                        C.ResolvedBy_[I]);
  for (std::size_t I = 1; I < C.Errors_.size(); ++I)
    Result.emplace_back(
        "error_" + std::string(errorRow(static_cast<ErrorKind>(I)).Name_),
        C.Errors_[I]);
  Result.insert(Result.end(), R.ProcessCounters_.begin(),
                R.ProcessCounters_.end());
  return Result;
}

std::string upstreamName(const StatusReport &R, UpstreamId Id) {
  if (R.Declaration_)
    for (const Upstream &U : R.Declaration_->Upstreams_)
      if (U.Id_ == Id)
        return U.Name_;
  return "undeclared-" + std::to_string(raw(Id));
}

} // namespace

std::string statusJson(const StatusReport &R) {
  Json Upstreams = Json::array();
  for (const UpstreamRow &U : R.Status_.Upstreams_)
    Upstreams.push_back({{"name", upstreamName(R, U.Id_)},
                         {"address", formatEndpoint(U.Address_)},
                         {"own_flows", U.OwnFlows_},
                         {"in_flight", U.InFlight_},
                         {"reported_flows", U.ReportedFlows_},
                         {"declared", U.Declared_},
                         {"leaving", U.Leaving_},
                         {"ejected", U.EjectedUntil_ > R.Status_.Now_},
                         {"failures", U.ConsecutiveFailures_}});
  Json Values = Json::object();
  for (const NamedValue &N : counterValues(R))
    Values[N.first] = N.second;
  Json Page = {{"name", R.Name_},
               {"version", R.Status_.DeclarationVersion_},
               {"digest", R.Status_.Digest_},
               {"ready", R.Status_.Ready_},
               {"stopping", R.Status_.Stopping_},
               {"counters", std::move(Values)},
               {"upstreams", std::move(Upstreams)}};
  return Page.dump();
}

std::string metricsText(const StatusReport &R) {
  std::string Text;
  for (const NamedValue &N : counterValues(R))
    Text += metricLine(N.first, static_cast<std::int64_t>(N.second));
  Text += metricLine("version",
                     static_cast<std::int64_t>(R.Status_.DeclarationVersion_));
  return Text + R.Delays_->prometheus("thymewall_delay_seconds");
}

HttpPage statusPage(const StatusReport &R, const std::string &Path) {
  return processPage({[&] { return metricsText(R); },
                      [&] { return statusJson(R); },
                      [&] { return R.Delays_->json(); }},
                     Path);
}

} // namespace thymewall::detail
