#include "load-audit.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace thymewall::detail {

namespace {

using Json = nlohmann::json;
using Ids = std::vector<std::uint64_t>;

/// Flows per slot of each upstream, keyed by service ID.
using SlotLoads = std::map<std::uint64_t, std::vector<double>>;

/// Adds the loads from an upstream's last samples at or before \p AtMs.
void addSlotLoads(const Json &Upstream, std::int64_t AtMs, SlotLoads &Loads) {
  std::int64_t LastAt = 0;
  for (const Json &Sample : Upstream.at("samples"))
    if (Sample.at(0).get<std::int64_t>() <= AtMs)
      LastAt = Sample.at(0).get<std::int64_t>();
  for (const Json &Sample : Upstream.at("samples"))
    if (LastAt != 0 && Sample.at(0).get<std::int64_t>() == LastAt)
      Loads[Sample.at(1).get<std::uint64_t>()].push_back(
          Sample.at(2).get<double>() / Upstream.at("slots").get<double>());
}

/// Returns by how much the most loaded upstream exceeds the mean load, in
/// percent; the maximum over all services.
double imbalancePercent(const SlotLoads &Loads) {
  double MaxPercent = 0;
  for (const auto &[Service, Values] : Loads) {
    double Sum = 0;
    for (double Value : Values)
      Sum += Value;
    double Mean = Sum / static_cast<double>(Values.size());
    double MaxLoad = *std::max_element(Values.begin(), Values.end());
    MaxPercent = std::max(MaxPercent, (MaxLoad / Mean - 1) * 100);
  }
  return MaxPercent;
}

} // namespace

AuditResult auditRun(const std::string &Callers,
                     const std::vector<std::string> &Upstreams,
                     double ConfigSeconds) {
  Json Record = Json::parse(Callers);
  auto SteadyAtMs = Record.at("steady_at_ms").get<std::int64_t>();
  std::unordered_map<std::uint64_t, int> ExecutionCounts;
  SlotLoads LoadsAtSteady;
  std::uint64_t WrongService = Record.at("wrong_service");
  std::uint64_t RefusedByUpstreams = 0;
  for (const std::string &Text : Upstreams) {
    Json Upstream = Json::parse(Text);
    for (std::uint64_t Id : Upstream.at("executed_once").get<Ids>())
      ++ExecutionCounts[Id];
    WrongService += Upstream.at("wrong_service").get<std::uint64_t>();
    RefusedByUpstreams += Upstream.at("refused").get<std::uint64_t>();
    addSlotLoads(Upstream, SteadyAtMs, LoadsAtSteady);
  }
  auto DuplicateExecutions =
      std::count_if(ExecutionCounts.begin(), ExecutionCounts.end(),
                    [](const auto &Execution) { return Execution.second > 1; });
  std::uint64_t FalseNotRun = 0;
  for (std::uint64_t Id : Record.at("not_run_once").get<Ids>())
    FalseNotRun += ExecutionCounts.count(Id);
  std::uint64_t AnsweredNotRun = 0;
  for (std::uint64_t Id : Record.at("answered_once").get<Ids>())
    AnsweredNotRun += 1 - ExecutionCounts.count(Id);
  std::uint64_t MixedParts = Record.at("mixed_parts");
  std::uint64_t NoFinalAnswer = Record.at("no_final_answer");
  Json Line = {{"flows", Record.at("flows")},
               {"requests", Record.at("requests")},
               {"answered", Record.at("answered")},
               {"refused_not_run", Record.at("refused_not_run")},
               {"outcome_unknown", Record.at("outcome_unknown")},
               {"no_final_answer", NoFinalAnswer},
               {"opens_refused", Record.at("opens_refused")},
               {"refused_by_upstreams", RefusedByUpstreams},
               {"broken_flows", Record.at("broken_flows")},
               {"wrong_service", WrongService},
               {"doubled", DuplicateExecutions},
               {"false_not_run", FalseNotRun},
               {"answered_unrun", AnsweredNotRun},
               {"mixed_parts", MixedParts},
               {"pushes", Record.at("pushes")},
               {"config_seconds_max", ConfigSeconds},
               {"imbalance_percent", imbalancePercent(LoadsAtSteady)}};
  for (const auto &[Tenant, Classes] : Record.at("delays").items())
    for (const auto &[Class, D] : Classes.items())
      Line["p99_ms_" + Tenant + "_" + Class] =
          D.at("p99_us").get<double>() / 1000;
  AuditResult Result;
  Result.Json_ = Line.dump();
  Result.Passed_ = WrongService == 0 && DuplicateExecutions == 0 &&
                   FalseNotRun == 0 && AnsweredNotRun == 0 && MixedParts == 0 &&
                   Record.at("broken_flows") == 0;
  return Result;
}

} // namespace thymewall::detail
